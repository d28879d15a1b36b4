package crowd

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/ibispier/ibispier/internal/testproc"
)

const (
	// memoryMiB is the memory of a process in its settings, and the bound on what it
	// has resident and the kernel holds for its connections.
	memoryMiB = 64
	// manyDescriptors leaves room for the whole crowd, fewDescriptors does not.
	manyDescriptors = 1024
	fewDescriptors  = 256
)

// process is one daemon with lowered limits.
type process struct {
	cmd         *exec.Cmd
	descriptors int
	memory      *memory
}

// startProcess starts a daemon that may open that many descriptors and listens on the
// addresses.
func startProcess(t *testing.T, name string, descriptors int, listens []string, lines ...string) *process {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	lines = append([]string{"[daemon]", "id = " + name, "zone = zone-a", "grace = 0s", "memory = " + strconv.Itoa(memoryMiB)}, lines...)
	limit := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	cmd := exec.Command("sh", "-c", limit, filepath.Join(binaries, "ibispierd"), "-config", testproc.WriteSettings(t, lines...))
	testproc.Start(t, name, cmd)
	return &process{cmd: cmd, descriptors: descriptors, memory: watchMemory(t, cmd.Process.Pid, listens)}
}

// status returns a field of /proc/PID/status, or "" once the process has ended.
func (p *process) status(field string) string {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(content), "\n") {
		if value, found := strings.CutPrefix(line, field+":"); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// suspend stops the process until resume.
func (p *process) suspend(t *testing.T) { p.signal(t, syscall.SIGSTOP) }

func (p *process) resume(t *testing.T) { p.signal(t, syscall.SIGCONT) }

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

func (p *process) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// settle returns once the process takes no more memory or descriptors, because it has
// read what the crowd has sent, or has ended.
func (p *process) settle() {
	const polls, interval = 5, 100 * time.Millisecond
	last, same := "", 0
	for range 100 {
		now := fmt.Sprint(p.status("VmHWM"), p.openDescriptors(), p.memory.peak.Load())
		if same++; now != last {
			last, same = now, 0
		}
		if same == polls {
			return
		}
		time.Sleep(interval)
	}
}

// checkBounds checks that the process lives and has kept within its memory, and that
// it keeps back a quarter of its descriptors for its own links and files.
func (p *process) checkBounds(t *testing.T, when string) {
	t.Helper()
	peak, _ := strconv.Atoi(strings.TrimSuffix(p.status("VmHWM"), " kB"))
	open := p.openDescriptors()
	held := p.memory.peak.Load()
	t.Logf("%s: peak of resident memory %d MiB, of the kernel's buffers %d MiB, of both %d MiB, descriptors %d",
		when, peak>>10, p.memory.peakKernel.Load()>>20, held>>20, open)
	if peak == 0 || strings.HasPrefix(p.status("State"), "Z") {
		t.Fatalf("%s: the process has ended", when)
	}
	if peak > memoryMiB<<10 {
		t.Errorf("%s: the peak of resident memory is %d KiB, the bound is %d KiB", when, peak, memoryMiB<<10)
	}
	if held > memoryMiB<<20 {
		t.Errorf("%s: the peak of resident memory and the kernel's buffers is %d KiB, the bound is %d KiB", when, held>>10, memoryMiB<<10)
	}
	if bound := p.descriptors * 3 / 4; open > bound {
		t.Errorf("%s: %d descriptors are open, the bound is %d", when, open, bound)
	}
}

// ordinary is a request of a client that keeps to the rules.
type ordinary struct {
	method, url, host, body string
	answers                 func(*http.Response) bool
}

func statusOK(r *http.Response) bool { return r.StatusCode == http.StatusOK }

// isAnswered sends the request on a connection of its own.
func (o ordinary) isAnswered() bool {
	request, err := http.NewRequest(o.method, o.url, strings.NewReader(o.body))
	if err != nil {
		return false
	}
	request.Host = o.host
	request.Header.Set("Ibispier-Customer", "veilinghal")
	client := http.Client{Timeout: testproc.WaitTimeout / 4, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return o.answers(response)
}

// await repeats the request until it is answered.
func (o ordinary) await(t *testing.T, when string) {
	t.Helper()
	testproc.Eventually(t, when+": an ordinary request is answered", o.isAnswered)
}
