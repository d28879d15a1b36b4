package testcluster

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// WaitTimeout bounds every wait for a condition. It is long because tests may run
// on a busy machine.
const WaitTimeout = 60 * time.Second

var build struct {
	once sync.Once
	dir  string
	err  error
}

// buildBinaries builds the programs once per test binary and returns their folder.
func buildBinaries(t testing.TB) string {
	t.Helper()
	build.once.Do(func() {
		build.dir, build.err = os.MkdirTemp("", "ibispier-bin-")
		if build.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", build.dir+"/", "github.com/ibispier/ibispier/cmd/...").CombinedOutput()
		if err != nil {
			build.err = fmt.Errorf("go build: %w: %s", err, out)
		}
	})
	if build.err != nil {
		t.Fatal(build.err)
	}
	return build.dir
}

// RemoveBinaries deletes the built programs. TestMain calls it after the tests.
func RemoveBinaries() {
	if build.dir != "" {
		_ = os.RemoveAll(build.dir)
	}
}

// Process is one child process.
type Process struct {
	Name      string
	t         testing.TB
	path      string
	args      []string
	env       []string // besides the environment of the test
	cmd       *exec.Cmd
	done      chan struct{}
	out       *output
	exclusive sync.Mutex // held by Exclusive
}

// Exclusive runs steps on the process while no other call of Exclusive does, so
// that concurrent faults on one process do not interleave.
func (p *Process) Exclusive(steps func()) {
	p.exclusive.Lock()
	defer p.exclusive.Unlock()
	steps()
}

// output buffers what a process writes.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

// String returns the output so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// StartProcess starts a program of this module. Cleanup of the test kills it and
// logs the end of its output if the test failed.
func StartProcess(t testing.TB, name, program string, args ...string) *Process {
	t.Helper()
	return startProcess(&Process{Name: name, t: t, path: filepath.Join(buildBinaries(t), program), args: args, out: new(output)})
}

// StartTestBinary is like StartProcess, but starts the running test binary with the
// variables ("NAME=VALUE") in its environment. TestMain tells by them what to run.
func StartTestBinary(t testing.TB, name string, env ...string) *Process {
	t.Helper()
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return startProcess(&Process{Name: name, t: t, path: path, env: env, out: new(output)})
}

func startProcess(p *Process) *Process {
	p.t.Helper()
	t := p.t
	p.Start()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", p.Name, tail(p.out.String()))
		}
	})
	return p
}

const tailBytes = 2000

func tail(s string) string {
	if len(s) > tailBytes {
		return "..." + s[len(s)-tailBytes:]
	}
	return s
}

// Start starts the process. It may be called again after the process has exited.
func (p *Process) Start() {
	p.t.Helper()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	p.done = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.Name, err)
	}
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("signal %s to %s: %v", sig, p.Name, err)
	}
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	if p.Exited() {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Suspend stops the process until Resume.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM, which asks for a graceful shutdown, and returns the exit
// code.
func (p *Process) Stop() int {
	p.t.Helper()
	p.Signal(syscall.SIGTERM)
	return p.Wait()
}

// Wait waits until the process has exited and returns its exit code.
func (p *Process) Wait() int {
	p.t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(WaitTimeout):
		p.t.Fatalf("%s did not exit within %s", p.Name, WaitTimeout)
		return -1
	}
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Output returns what the process has written so far.
func (p *Process) Output() string { return p.out.String() }

// Eventually polls until the condition holds and fails the test after
// WaitTimeout.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", WaitTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
