// Package testproc builds the commands of this module and runs them as child
// processes of a test. It signals only processes that it started, by their id.
package testproc

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// WaitTimeout bounds every wait for a condition. It is long because tests may run
// on a busy machine.
const WaitTimeout = 20 * time.Second

// Build compiles the named commands into a new folder and returns the folder.
// The caller removes the folder.
func Build(names ...string) (string, error) {
	dir, err := os.MkdirTemp("", "ibispier-test-")
	if err != nil {
		return "", err
	}
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, name := range names {
		args = append(args, "github.com/ibispier/ibispier/cmd/"+name)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return dir, fmt.Errorf("go build: %w\n%s", err, out)
	}
	return dir, nil
}

// Process is a child process.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	log    *os.File
	exited bool
}

// Start runs a command until the test ends. Its output goes to a file, the end of
// which is logged if the test fails.
func Start(t testing.TB, name string, cmd *exec.Cmd) *Process {
	t.Helper()
	log, err := os.CreateTemp(t.TempDir(), "log")
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	p := &Process{Name: name, cmd: cmd, log: log}
	t.Cleanup(func() { p.cleanup(t) })
	return p
}

func (p *Process) cleanup(t testing.TB) {
	if !p.exited {
		p.Kill()
	}
	if t.Failed() {
		text, _ := os.ReadFile(p.log.Name())
		lines := bytes.Split(text, []byte("\n"))
		t.Logf("log of %s:\n%s", p.Name, bytes.Join(lines[max(0, len(lines)-20):], []byte("\n")))
	}
	_ = p.log.Close()
}

// Terminate sends SIGTERM, which asks for a graceful shutdown.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Suspend sends SIGSTOP, which suspends the process until Resume.
func (p *Process) Suspend() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	p.Wait()
}

// Wait waits until the process has exited and returns its exit code.
func (p *Process) Wait() int {
	if !p.exited {
		_ = p.cmd.Wait()
		p.exited = true
	}
	return p.cmd.ProcessState.ExitCode()
}

// FreeAddresses returns n free loopback addresses.
func FreeAddresses(t testing.TB, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// WriteSettings writes a settings file with the given lines and returns its path.
func WriteSettings(t testing.TB, lines ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Eventually polls until the condition holds and fails the test after
// WaitTimeout.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); time.Now().Before(deadline); {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s: not within %s", what, WaitTimeout)
}

// RespondsOK reports whether a GET of url returns status 200.
func RespondsOK(url string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
