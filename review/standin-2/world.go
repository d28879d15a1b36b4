package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines as the pages have it.
const (
	frontPort     = 24161
	readyPort     = 24167
	controlPort   = 24166
	appPort       = 24180
	cutAppPort    = 24181 // proxy in front of the app port
	cutBeatPort   = 24182 // proxy in front of the control port of a side machine
	internalPort  = 24720
	internalPort2 = 24735
)

// machine is one machine: an address of its own and a process of the project.
type machine struct {
	name, role, zone, ip string
	target               string // address at which the process finds its runner
	config               string
	cmd                  *exec.Cmd
	exited               chan struct{}
}

// world holds the machines, the runners and the record of a case.
type world struct {
	daemon   string
	trouble  bool
	dir      string
	net      string // first three parts of the addresses
	began    time.Time
	mu       sync.Mutex
	file     *os.File
	machines []*machine
	runners  []*runner
	cores    []*machine
	fronts   []*machine
	closed   sync.Once
	over     bool // the processes are being ended; nothing more is recorded
}

func newWorld(daemon, recordPath string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{daemon: daemon, trouble: trouble, dir: dir, file: file, began: time.Now()}
	for range 100 {
		w.net = fmt.Sprintf("127.%d.%d", 70+rand.IntN(150), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", w.net, internalPort))
		if err == nil {
			_ = l.Close()
			break
		}
	}
	w.record("trouble=%v", trouble)
	return w, nil
}

// record writes a line with the time since the start of the case.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return
	}
	line := fmt.Sprintf("%8.3f %s", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	fmt.Fprintln(w.file, line)
	fmt.Println(line)
}

func (w *world) close() {
	w.closed.Do(func() {
		w.mu.Lock()
		w.over = true
		w.mu.Unlock()
		for _, m := range w.machines {
			m.signal(syscall.SIGCONT)
			m.signal(syscall.SIGKILL)
		}
		for _, m := range w.machines {
			if m.cmd != nil {
				<-m.exited
			}
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(w.dir)
		} else {
			fmt.Println("logs in", w.dir)
		}
	})
}

// add adds a machine with the role; i numbers the machines of the deployment.
func (w *world) add(role, zone string) *machine {
	n := len(w.machines) + 1
	m := &machine{name: fmt.Sprintf("%s-%s-%d", role, zone, n), role: role, zone: zone, ip: fmt.Sprintf("%s.%d", w.net, n)}
	w.machines = append(w.machines, m)
	return m
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// writeConfig fills in the template of the deploy folder as the platform does.
func (w *world) writeConfig(m *machine, bootstrap bool) error {
	var seeds []string
	for _, c := range w.cores {
		seeds = append(seeds, c.addr(controlPort))
	}
	memory := map[string]string{"control": "280", "entry": "284", "agent": "152"}[m.role]
	fields := map[string]string{
		"nodeName": m.name, "zone": m.zone, "ip": m.ip, "seeds": strings.Join(seeds, ","),
		"internalPorts.0": fmt.Sprint(internalPort), "internalPorts.1": fmt.Sprint(internalPort2),
		"limits.memoryMb": memory, "limits.diskMb": "128", "dataDir": filepath.Join(w.dir, m.name+"-data"),
		"bootstrap": fmt.Sprint(bootstrap), "faultTolerance.machines": "1",
		"bounds.holdMaxMs": fmt.Sprint(holdMax.Milliseconds()), "app": m.target,
		"bindAddrs.control": m.addr(controlPort), "bindAddrs.front": m.addr(frontPort), "bindAddrs.ready": m.addr(readyPort),
	}
	text, err := os.ReadFile(filepath.Join("deploy", m.role+".ini"))
	if err != nil {
		return err
	}
	missing := ""
	filled := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		name := strings.Trim(p, "{}")
		value, known := fields[name]
		if !known {
			missing = name
		}
		return value
	})
	if missing != "" {
		return fmt.Errorf("template of %s has an unknown field %s", m.role, missing)
	}
	m.config = filepath.Join(w.dir, m.name+".ini")
	return os.WriteFile(m.config, []byte(filled), 0o600)
}

// start starts the process of the machine as the deploy file says.
func (w *world) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(w.daemon)
	cmd.Env = append(os.Environ(), "IBISPIER_CONFIG="+m.config)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that this case started.
func (m *machine) signal(s syscall.Signal) {
	if m.cmd == nil {
		return
	}
	select {
	case <-m.exited:
	default:
		_ = m.cmd.Process.Signal(s)
	}
}

// deploy starts 3 core and 2 front machines and a side machine with a runner for each
// of the kinds, and waits until the system is ready for work.
func (w *world) deploy(kinds []string, behindCut map[int]bool) error {
	zones := []string{"z1", "z2", "z3"}
	for i := range 3 {
		w.cores = append(w.cores, w.add("control", zones[i]))
	}
	for i := range 2 {
		w.fronts = append(w.fronts, w.add("entry", zones[i]))
	}
	for i, kind := range kinds {
		m := w.add("agent", zones[i%3])
		r := newRunner(w, m, kind, fmt.Sprintf("r%d", i/3))
		m.target = m.addr(appPort)
		if behindCut[i] {
			m.target = m.addr(cutAppPort)
			if err := r.putBehindCut(); err != nil {
				return err
			}
		}
		w.runners = append(w.runners, r)
	}
	for _, m := range w.machines {
		if err := w.writeConfig(m, true); err != nil {
			return err
		}
		if err := w.start(m); err != nil {
			return err
		}
	}
	for _, r := range w.runners {
		if err := r.start(); err != nil {
			return err
		}
	}
	return nil
}
