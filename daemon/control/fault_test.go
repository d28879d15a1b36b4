package control

import (
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/datafolder"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
)

// failingFileSystem fails writes or syncs while an error is set for them.
type failingFileSystem struct {
	datafolder.OS
	write, sync *atomic.Pointer[syscall.Errno]
}

type failingFile struct {
	datafolder.File
	failingFileSystem
}

func newFailing() failingFileSystem {
	return failingFileSystem{write: new(atomic.Pointer[syscall.Errno]), sync: new(atomic.Pointer[syscall.Errno])}
}

func (f failingFileSystem) Create(path string) (datafolder.File, error) {
	file, err := f.OS.Create(path)
	return failingFile{file, f}, err
}

// Write writes half of p before it fails, like a disk that runs out of space.
func (f failingFile) Write(p []byte) (int, error) {
	if cause := f.write.Load(); cause != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, *cause
	}
	return f.File.Write(p)
}

func (f failingFile) Sync() error {
	if cause := f.sync.Load(); cause != nil {
		return *cause
	}
	return f.File.Sync()
}

// Guards against a full disk that ends the process or stops reads, and against
// accepting changes while the disk is full.
func TestFullDiskRefusesChangesAndServesReads(t *testing.T) {
	c := newCluster(t, 1, nil)
	p := c.processes[0]
	files := newFailing()
	p.files = files
	c.startAll()
	c.commit()
	full := syscall.ENOSPC
	files.write.Store(&full)
	_ = p.role.Inputs.Offer(replica.Input{Propose: []byte("fills the disk")})
	c.waitFor("read-only status", func() bool { return p.status().ReadOnly })
	_ = p.role.Inputs.Offer(replica.Input{Propose: []byte("refused")})
	_ = p.role.Inputs.Offer(replica.Input{ReadContext: 5})
	c.waitFor("read on a full disk", func() (found bool) {
		p.applier.withLock(func() { _, found = p.applier.reads[5] })
		return found
	})
	if err := c.changeMembership(p, replica.ActionRemove, "c0"); err == nil {
		t.Error("a membership change was accepted on a full disk")
	}
	files.write.Store(nil)
	c.commit()
	if p.applier.has("refused") {
		t.Error("a proposal was accepted on a full disk")
	}
}

// Guards against members that stay read-only, torn segments and half snapshots after
// their disks were full for a while, one after another, so that changes are refused or
// stay unanswered long after the last disk has room again.
func TestDisksFullInTurn(t *testing.T) {
	const (
		rounds   = 3
		fullFor  = 700 * time.Millisecond
		ackBound = 4 * time.Second // the platform's bound for the answer to a change
	)
	c := newCluster(t, 3, func(s *settings.Settings) { s.Control.SnapshotEntries = 40 })
	for _, p := range c.processes {
		p.files = newFailing()
	}
	c.startAll()
	last := c.commit()
	full := syscall.ENOSPC
	for round := range rounds {
		for i, p := range c.processes {
			p.files.(failingFileSystem).write.Store(&full)
			for end := time.Now().Add(fullFor); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if leader := c.leader(); leader != nil { // refused while its own disk is full
					_ = leader.role.Inputs.Offer(replica.Input{Propose: []byte("storm")})
				}
			}
			p.files.(failingFileSystem).write.Store(nil)
			room := time.Now()
			last = c.commit()
			if took := time.Since(room); took > ackBound {
				t.Errorf("round %d, disk %d: a change was answered %s after the disk had room, want %s", round, i, took, ackBound)
			}
			c.waitForAll(last)
		}
	}
	for _, p := range c.processes {
		if s := p.status(); s.ReadOnly {
			t.Errorf("%s is read-only although its disk has room", p.settings.Daemon.ID)
		}
		p.stop(t)
	}
	for _, p := range c.processes {
		p.start(t)
	}
	c.waitForAll(last)
	c.commit()
}

// Guards against a process that continues after a failed sync, or that applies a
// command that was not synced.
func TestFailedSyncEndsTheProcess(t *testing.T) {
	c := newCluster(t, 1, nil)
	p := c.processes[0]
	files := newFailing()
	p.files = files
	c.startAll()
	c.commit()
	cause := syscall.EIO
	files.sync.Store(&cause)
	_ = p.role.Inputs.Offer(replica.Input{Propose: []byte("not synced")})
	select {
	case err := <-p.done:
		p.cancel = nil
		if !supervise.IsFatal(err) {
			t.Errorf("got %v, want a fatal error", err)
		}
	case <-time.After(testTimeout):
		t.Fatalf("the role still runs %s after a failed sync", testTimeout)
	}
	if p.applier.has("not synced") {
		t.Error("a command that is not synced was applied")
	}
}

// Guards against losing commands, or failing to start, when the newest snapshot is
// damaged but an older one and the log since then are intact.
func TestDamagedSnapshot(t *testing.T) {
	c := newCluster(t, 1, func(s *settings.Settings) { s.Control.SnapshotEntries = 100 })
	p := c.processes[0]
	c.startAll()
	pattern := filepath.Join(p.settings.Daemon.DataFolder, "snap-*.snap")
	var files, commands []string
	for len(files) < 2 {
		commands = append(commands, c.commit())
		files, _ = filepath.Glob(pattern)
	}
	p.stop(t)
	slices.Sort(files)
	corruptFile(t, files[1])
	p.start(t)
	for _, command := range commands {
		c.waitForAll(command)
	}
	if left, _ := filepath.Glob(pattern + ".damaged"); len(left) != 1 {
		t.Errorf("damaged files renamed: %v, want one", left)
	}
}

func corruptFile(t *testing.T, path string) {
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	content[len(content)/2] ^= 1
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against a restart of the core, after one of its duties has failed, that
// loses commands, delivers entries twice or with a gap, or accepts answers meant for
// the previous run. On a gap or a repeated entry the applier panics, which exceeds
// the restarts that the policy allows.
func TestCoreRestartsAfterAFailedDuty(t *testing.T) {
	c := newCluster(t, 1, nil)
	p := c.processes[0]
	c.startAll()
	var commands []string
	for range 3 {
		commands = append(commands, c.commit())
		before := 0
		p.applier.withLock(func() {
			before = p.applier.snapshots
			p.applier.applied = 1 << 40 // the next entry makes the applier panic
		})
		_ = p.role.Inputs.Offer(replica.Input{Propose: []byte("panic")})
		c.waitFor("restart", func() (restarted bool) {
			p.applier.withLock(func() { restarted = p.applier.snapshots > before })
			return restarted
		})
	}
	commands = append(commands, c.commit())
	c.waitFor("all commands in order", func() (same bool) {
		p.applier.withLock(func() {
			got := slices.DeleteFunc(slices.Clone(p.applier.commands), func(s string) bool { return s == "panic" })
			same = slices.Equal(slices.Compact(got), commands) // commit may propose a command twice
		})
		return same
	})
}
