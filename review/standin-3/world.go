package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
)

// program is the command of all roles in the deploy file.
const program = "target/ibispierd"

// Values of a small deployment, as the pages state them.
const (
	holdMaxMS = 6000
	visibleMS = 3000
	contactMS = 3000
	finishS   = 14
	service   = "hire-desk"
	host      = "nony24.example"
	prefix    = "/lohu930/"
)

// errCannotRun marks a case that could not run.
type errCannotRun struct{ error }

func cannotRun(format string, values ...any) error {
	return errCannotRun{fmt.Errorf(format, values...)}
}

// process is a process of the project.
type process struct {
	name     string
	ip       string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

// world is a small deployment on loopback addresses.
type world struct {
	ctx      context.Context
	cancel   context.CancelFunc
	record   *record
	folder   string
	ports    ports
	cores    []*process
	entries  []*process
	agents   []*process
	runners  []*runner
	bootTrue bool
}

// ports are the same on all machines.
type ports struct{ control, front, ready, app, internal int }

const (
	coreCount  = 3
	entryCount = 2
)

func coreIP(i int) string        { return fmt.Sprintf("127.41.1.%d", i+1) }
func entryIP(i int) string       { return fmt.Sprintf("127.41.2.%d", i+1) }
func sideIP(i int) string        { return fmt.Sprintf("127.41.3.%d", i+1) }
func at(ip string, p int) string { return net.JoinHostPort(ip, strconv.Itoa(p)) }

// newWorld starts the core, the entry processes and one agent for each runner. The
// runners start later.
func newWorld(folder string, r *record, runners []*runner) (*world, error) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{ctx: ctx, cancel: cancel, record: r, folder: folder, runners: runners, bootTrue: true}
	var err error
	if w.ports, err = freePorts(len(runners)); err != nil {
		return w, err
	}
	for i := range coreCount {
		p := &process{name: fmt.Sprintf("core-%d", i+1), ip: coreIP(i)}
		w.cores = append(w.cores, p)
		if err := w.launch(p, "deploy/control.ini"); err != nil {
			return w, err
		}
	}
	for i := range entryCount {
		p := &process{name: fmt.Sprintf("front-%d", i+1), ip: entryIP(i)}
		w.entries = append(w.entries, p)
		if err := w.launch(p, "deploy/entry.ini"); err != nil {
			return w, err
		}
	}
	for i, runner := range runners {
		p := &process{name: fmt.Sprintf("side-%d", i+1), ip: sideIP(i)}
		w.agents = append(w.agents, p)
		if err := w.launch(p, "deploy/agent.ini"); err != nil {
			return w, err
		}
		runner.address, runner.agent = at(p.ip, w.ports.app), at(p.ip, w.ports.control)
	}
	return w, nil
}

// freePorts returns ports that are free on all addresses.
func freePorts(sides int) (ports, error) {
	var ips []string
	for i := range coreCount {
		ips = append(ips, coreIP(i))
	}
	for i := range entryCount {
		ips = append(ips, entryIP(i))
	}
	for i := range sides {
		ips = append(ips, sideIP(i))
	}
	for try := 0; try < 200; try++ {
		base := 21000 + (os.Getpid()*7+try*16)%9000
		if allFree(ips, base, 6) {
			return ports{control: base, front: base + 1, ready: base + 2, app: base + 3, internal: base + 4}, nil
		}
	}
	return ports{}, cannotRun("no free ports")
}

func allFree(ips []string, base, count int) bool {
	for _, ip := range ips {
		for p := base; p < base+count; p++ {
			l, err := net.Listen("tcp", at(ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// settingsOf fills in a template of the deploy folder.
func (w *world) settingsOf(p *process, template string) (string, error) {
	data, err := os.ReadFile(template)
	if err != nil {
		return "", cannotRun("template: %v", err)
	}
	var seeds []string
	for i := range coreCount {
		seeds = append(seeds, at(coreIP(i), w.ports.control))
	}
	control := at(p.ip, w.ports.control)
	fields := map[string]string{
		"nodeName": p.name, "ip": p.ip, "zone": "ibadan", "seeds": strings.Join(seeds, ","),
		"limits.memoryMb": "280", "limits.maxFds": "4096", "limits.diskMb": "128",
		"internalPorts.0": strconv.Itoa(w.ports.internal), "internalPorts.1": strconv.Itoa(w.ports.internal + 1),
		"bounds.holdMaxMs": strconv.FormatInt(w.runners[0].holdMax, 10), "bindAddrs.control": control,
		"bindAddrs.front": at(p.ip, w.ports.front), "bindAddrs.ready": at(p.ip, w.ports.ready),
		"app": at(p.ip, w.ports.app), "dataDir": filepath.Join(w.folder, p.name),
		"bootstrap": strconv.FormatBool(w.bootTrue), "faultTolerance.machines": "1",
	}
	unknown := ""
	text := placeholder.ReplaceAllStringFunc(string(data), func(m string) string {
		name := strings.Trim(m, "{}")
		value, known := fields[name]
		if !known {
			unknown = name
		}
		return value
	})
	if unknown != "" {
		return "", cannotRun("template %s: unknown field %q", template, unknown)
	}
	return text, nil
}

// launch writes the settings of a process and starts it.
func (w *world) launch(p *process, template string) error {
	text, err := w.settingsOf(p, template)
	if err != nil {
		return err
	}
	p.settings = filepath.Join(w.folder, p.name+".ini")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return cannotRun("settings: %v", err)
	}
	return w.run(p)
}

// run starts the process with its settings and its data folder.
func (w *world) run(p *process) error {
	log, err := os.OpenFile(filepath.Join(w.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return cannotRun("log: %v", err)
	}
	p.cmd = exec.Command(program)
	p.cmd.Env = []string{"IBISPIER_CONFIG=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + w.folder}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return cannotRun("start of %s: %v", p.name, err)
	}
	w.record.add("%s starts", p.name)
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// close ends everything that was started.
func (w *world) close() {
	w.cancel()
	for _, list := range [][]*process{w.cores, w.entries, w.agents} {
		for _, p := range list {
			if p.cmd != nil && p.cmd.Process != nil && p.done != nil {
				_ = p.cmd.Process.Kill()
				<-p.done
			}
		}
	}
}

// startRunners starts the runners of the machines.
func (w *world) startRunners() error {
	for _, r := range w.runners {
		if err := r.start(w.ctx); err != nil {
			return cannotRun("runner: %v", err)
		}
	}
	return nil
}
