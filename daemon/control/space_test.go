package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/internal/crashfs"
	"github.com/ibispier/ibispier/settings"
)

// Guards against a log that is bounded by entries only: large commands filled the disks
// of all members at once, and no change was taken any more.
func TestLogOfLargeCommandsFitsTheDisk(t *testing.T) {
	if testing.Short() {
		t.Skip("writes a log of several times the disk")
	}
	const (
		diskMB       = 32
		commandBytes = 400_000
		commands     = 240 // three times the disk
	)
	c := newCluster(t, 3, func(s *settings.Settings) { s.Control.DiskMB = diskMB })
	var disks []*crashfs.FS
	for _, p := range c.processes {
		files := crashfs.New()
		files.Capacity = diskMB << 20
		p.files = files
		disks = append(disks, files)
	}
	c.startAll()
	for _, p := range c.processes {
		p.applier.withLock(func() { p.applier.keep = 4 })
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range commands {
		data := make([]byte, commandBytes)
		for j := range data {
			data[j] = byte('a' + random.IntN(26))
		}
		command := string(data)
		c.waitFor("commit", func() bool {
			leader := c.leader()
			if leader.status().ReadOnly {
				t.Fatalf("a disk is full after %d commands", i)
			}
			_ = leader.role.Inputs.Offer(replica.Input{Propose: data})
			for range 400 {
				if leader.applier.has(command) {
					return true
				}
				time.Sleep(time.Millisecond)
			}
			return false
		})
	}
	last := c.commit()
	c.waitForAll(last)
	for i, p := range c.processes {
		p.stop(t)
		if used := disks[i].Used(); used > diskMB<<20*3/4 {
			t.Errorf("%s uses %d MB of %d, want a quarter to stay free", p.settings.Daemon.ID, used>>20, diskMB)
		}
	}
}
