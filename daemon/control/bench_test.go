package control

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/datafolder"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/snap"
	"github.com/ibispier/ibispier/wal"
)

// countingFileSystem counts the syncs of files.
type countingFileSystem struct {
	datafolder.OS
	syncs *atomic.Int64
}

type countingFile struct {
	datafolder.File
	syncs *atomic.Int64
}

func (c countingFileSystem) Create(path string) (datafolder.File, error) {
	f, err := c.OS.Create(path)
	return countingFile{f, c.syncs}, err
}

func (f countingFile) Sync() error {
	f.syncs.Add(1)
	return f.File.Sync()
}

// proposeAndWait proposes a command and waits until the leader has applied it.
func proposeAndWait(b *testing.B, p *process, command string) {
	done := make(chan struct{})
	p.applier.withLock(func() { p.applier.waiters[command] = done })
	if err := p.role.Inputs.Offer(replica.Input{Propose: []byte(command)}); err != nil {
		b.Error(err)
		return
	}
	select {
	case <-done:
	case <-time.After(testTimeout):
		b.Errorf("%s not committed within %s", command, testTimeout)
	}
}

// BenchmarkCommit measures commits in a group of three members that sync their
// files to disk.
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { benchmarkCommit(b, callers) })
	}
}

func benchmarkCommit(b *testing.B, callers int) {
	var syncs atomic.Int64
	c := newCluster(b, 3, nil)
	for _, p := range c.processes {
		p.files = countingFileSystem{syncs: &syncs}
	}
	c.startAll()
	c.commit()
	p := c.leader()
	var next atomic.Int64
	before := syncs.Load()
	b.ResetTimer()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				proposeAndWait(b, p, fmt.Sprintf("%0200d", n))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(syncs.Load()-before)/3/float64(b.N), "syncs/commit/member")
}

// BenchmarkFailover measures the time from the stop of the leader to the next commit
// of the other members. Run it with -benchtime 30x.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, 3, nil)
	c.startAll()
	var times []time.Duration
	for range b.N {
		c.commit()
		old := c.leader()
		old.stop(b)
		start := time.Now()
		c.commit()
		times = append(times, time.Since(start))
		old.start(b)
		c.waitForVoters(3)
		c.waitForAll(c.commit())
	}
	slices.Sort(times)
	b.Log(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(times[(len(times)*99-1)/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
}

const restartEntries = 100_000

// BenchmarkRestart measures how long a group of one member takes to apply its log
// after a start: a snapshot and 100,000 entries of 256 bytes.
func BenchmarkRestart(b *testing.B) {
	c := newCluster(b, 1, func(s *settings.Settings) { s.Control.SnapshotEntries = 10 * restartEntries })
	p := c.processes[0]
	fillFolder(b, p.settings.Daemon)
	for range b.N {
		p.start(b)
		c.waitFor("all entries applied", func() (done bool) {
			p.applier.withLock(func() { done = p.applier.applied >= 1000+restartEntries })
			return done
		})
		b.StopTimer()
		p.stop(b)
		b.StartTimer()
	}
}

func fillFolder(b *testing.B, s settings.Daemon) {
	folder, err := datafolder.Open(s.DataFolder)
	if err != nil {
		b.Fatal(err)
	}
	defer folder.Close()
	self := consensus.ReplicaID{ID: s.ID, Incarnation: folder.Incarnation}
	group, err := consensus.DecodeMembership(consensus.Bootstrap(self).Entries[0].Data)
	if err != nil {
		b.Fatal(err)
	}
	start := &consensus.Snapshot{Index: 1000, Term: 1, Membership: group, Data: []byte(`["state"]`)}
	if _, err := (snap.Folder{Files: datafolder.OS{}, Dir: s.DataFolder}).Save(start); err != nil {
		b.Fatal(err)
	}
	log, _, err := wal.Open(wal.Options{Files: datafolder.OS{}, Dir: s.DataFolder, Incarnation: folder.Incarnation})
	if err != nil {
		b.Fatal(err)
	}
	defer log.Close()
	for first := uint64(1001); first <= 1000+restartEntries; first += 100 {
		batch := &consensus.Batch{HardState: &consensus.HardState{Term: 1}}
		for i := range uint64(100) {
			batch.Entries = append(batch.Entries, consensus.Entry{Index: first + i, Term: 1, Data: fmt.Appendf(nil, "%0256d", first+i)})
		}
		if err := log.Append(batch); err != nil {
			b.Fatal(err)
		}
	}
}
