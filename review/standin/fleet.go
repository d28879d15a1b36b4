package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Fleet is a small deployment on loopback addresses: 3 control and 2 entry processes,
// and an agent beside each runner.
type Fleet struct {
	root, dir string
	record    *Record
	prefix    string // of all addresses
	ports     struct{ internal, admin, front, ready, control, app int }
	processes map[string]*exec.Cmd
	Runners   []*Runner
}

// Sizes of the deployment.
const (
	controlCount = 3
	entryCount   = 2
)

// NewFleet chooses free addresses.
func NewFleet(root string, record *Record, runners int) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "ibispier-review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{root: root, dir: dir, record: record, processes: map[string]*exec.Cmd{}}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 21000 + rand.IntN(8000)
		f.ports.internal, f.ports.admin, f.ports.front = base, base+1, base+2
		f.ports.ready, f.ports.control, f.ports.app = base+3, base+4, base+5
		if f.free(runners) {
			return f, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (f *Fleet) free(runners int) bool {
	for host := range 60 {
		if host >= 40+runners {
			break
		}
		for port := f.ports.internal; port <= f.ports.app; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", f.prefix, host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (f *Fleet) controlIP(i int) string { return fmt.Sprintf("%s%d", f.prefix, 10+i) }
func (f *Fleet) entryIP(i int) string   { return fmt.Sprintf("%s%d", f.prefix, 20+i) }
func (f *Fleet) agentIP(i int) string   { return fmt.Sprintf("%s%d", f.prefix, 40+i) }

// Operators returns the addresses of the operators' interface.
func (f *Fleet) Operators() []string {
	var list []string
	for i := range controlCount {
		list = append(list, fmt.Sprintf("%s:%d", f.controlIP(i), f.ports.control))
	}
	return list
}

// Fronts returns the addresses of the callers' interface.
func (f *Fleet) Fronts() []string {
	var list []string
	for i := range entryCount {
		list = append(list, fmt.Sprintf("%s:%d", f.entryIP(i), f.ports.front))
	}
	return list
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`)

// render fills in a template of the deploy folder.
func (f *Fleet) render(template, name string, values map[string]string) (string, error) {
	data, err := os.ReadFile(filepath.Join(f.root, "deploy", template))
	if err != nil {
		return "", err
	}
	filled := placeholder.ReplaceAllStringFunc(string(data), func(p string) string { return values[p[2:len(p)-2]] })
	path := filepath.Join(f.dir, name+".ini")
	return path, os.WriteFile(path, []byte(filled), 0o600)
}

func (f *Fleet) values(name, ip, zone string) map[string]string {
	return map[string]string{
		"nodeName": name, "ip": ip, "zone": zone, "limits.memoryMb": "280",
		"internalPorts.0": fmt.Sprint(f.ports.internal), "internalPorts.1": fmt.Sprint(f.ports.admin),
		"seeds": strings.Join(f.Operators(), ","), "bootstrap": "true", "faultTolerance.machines": "1",
		"dataDir":           filepath.Join(f.dir, name),
		"bindAddrs.front":   fmt.Sprintf("%s:%d", ip, f.ports.front),
		"bindAddrs.ready":   fmt.Sprintf("%s:%d", ip, f.ports.ready),
		"bindAddrs.control": fmt.Sprintf("%s:%d", ip, f.ports.control),
		"app":               fmt.Sprintf("%s:%d", ip, f.ports.app),
	}
}

// launch starts a process with the command of the deploy file.
func (f *Fleet) launch(template, name string, values map[string]string) error {
	config, err := f.render(template, name, values)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/ibispierd")
	cmd.Dir = f.root
	cmd.Env = append(os.Environ(), "IBISPIER_CONFIG="+config)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	f.processes[name] = cmd
	f.record.Add("process %s starts", name)
	go func() {
		err := cmd.Wait()
		f.record.Add("process %s has ended: %v", name, err)
	}()
	return nil
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%3) }

// Start starts all processes and runners. The runners have equal sizes.
func (f *Fleet) Start(runners int, cpuMilli int64, firstHeartbeat time.Duration) error {
	for i := range controlCount {
		name := fmt.Sprintf("control-%d", i+1)
		if err := f.launch("control.ini", name, f.values(name, f.controlIP(i), zoneOf(i))); err != nil {
			return err
		}
	}
	for i := range entryCount {
		name := fmt.Sprintf("entry-%d", i+1)
		if err := f.launch("entry.ini", name, f.values(name, f.entryIP(i), zoneOf(i))); err != nil {
			return err
		}
	}
	for i := range runners {
		if err := f.LaunchAgent(i); err != nil {
			return err
		}
		r := NewRunner(RunnerConfig{
			ID: fmt.Sprintf("i-%010x", 0xa0+i), App: fmt.Sprintf("%s:%d", f.agentIP(i), f.ports.app),
			Control: fmt.Sprintf("%s:%d", f.agentIP(i), f.ports.control), Zone: zoneOf(i), Service: "desk",
			Rack: fmt.Sprintf("r%d-1", i), CPUMilli: cpuMilli, MemoryMiB: 128_000, FirstHeartbeat: firstHeartbeat,
		}, f.record)
		f.Runners = append(f.Runners, r)
		if err := r.Start(time.Now()); err != nil {
			return err
		}
	}
	return nil
}

func agentName(i int) string { return fmt.Sprintf("agent-%d", i+1) }

// LaunchAgent starts the agent of a runner.
func (f *Fleet) LaunchAgent(i int) error {
	return f.launch("agent.ini", agentName(i), f.values(agentName(i), f.agentIP(i), zoneOf(i)))
}

// Signal sends a signal to a process that the fleet has started.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	f.record.Add("process %s gets signal %q", name, s)
	return f.processes[name].Process.Signal(s)
}

// Stop ends all processes. The folder with their logs is kept if keep is set.
func (f *Fleet) Stop(keep bool) {
	for _, cmd := range f.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	time.Sleep(300 * time.Millisecond)
	if keep {
		fmt.Println("logs:", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}
