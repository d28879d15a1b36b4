package logwriter

import (
	"bytes"
	"context"
	"testing"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/datafolder"
	"github.com/ibispier/ibispier/internal/crashfs"
)

// Guards against a member whose disk its own log has filled and that refuses every
// change for good: a new snapshot, which would cut the log, needs room itself.
func TestFullDiskIsReclaimedFromTheLog(t *testing.T) {
	const entryBytes = 1000
	files := crashfs.New()
	d := New(Options{Files: files, Dir: "data", Incarnation: 7, Log: zap.NewNop(), SegmentBytes: 4 * entryBytes})
	w := &writer{duty: d, session: NewSession()}
	if _, err := w.recover(); err != nil {
		t.Fatal(err)
	}
	index := uint64(0)
	write := func(snapshot uint64) bool {
		index++
		b := &consensus.Batch{Sequence: index, Entries: []consensus.Entry{{Index: index, Term: 1, Data: bytes.Repeat([]byte{1}, entryBytes)}}}
		if snapshot > 0 {
			b.Snapshot = testSnapshot(snapshot, 1)
		}
		w.pendingBatches = []*consensus.Batch{b}
		ctx, cancel := context.WithTimeout(context.Background(), 2*retryDelay)
		defer cancel()
		if err := w.writePending(ctx); err != nil {
			t.Fatal(err)
		}
		for _, r := range w.session.SyncResults.Drain(nil, 8) {
			if r.Sequence == index {
				return true
			}
		}
		return false
	}
	for range 10 {
		write(0)
	}
	write(10)
	for range 10 {
		write(0)
	}
	write(20)
	files.Capacity = files.Used() + entryBytes/2
	if !write(0) {
		t.Fatal("the entry was not written after the older snapshot and its log could be removed")
	}
	state, err := (&writer{duty: d}).recover()
	if err != nil || state.Snapshot.Index != 20 || len(state.Entries) == 0 || state.Entries[len(state.Entries)-1].Index != index {
		t.Fatalf("recovered snapshot %d and %d entries, error %v", state.Snapshot.Index, len(state.Entries), err)
	}
}

// Guards against temporary files of interrupted snapshots that occupy the disk for
// good: each has another name.
func TestInterruptedSnapshotsLeaveNothingBehind(t *testing.T) {
	files := crashfs.New()
	d := New(Options{Files: files, Dir: "data", Incarnation: 7, Log: zap.NewNop()})
	keep := func() bool { return true }
	for i := range uint64(5) {
		if _, err := (&writer{duty: d}).recover(); err != nil {
			t.Fatal(err)
		}
		files.LosePowerAfter(2) // after the write, before the sync
		if _, err := d.folder.Save(testSnapshot(i+1, 1)); err == nil {
			t.Fatal("saved without power")
		}
		files.Restart(keep, func(unsynced int) int { return unsynced })
	}
	if _, err := (&writer{duty: d}).recover(); err != nil {
		t.Fatal(err)
	}
	if names, err := files.List("data"); err != nil || len(names) != 1 {
		t.Fatalf("files %v, want the log only, error %v", names, err)
	}
}

// Measures how long the log writer takes to cut the log: a snapshot of 4 MB and the
// removal of 16 MB of segments.
func BenchmarkCut(b *testing.B) {
	const entryBytes = 256 << 10
	d := New(Options{Files: datafolder.OS{}, Dir: b.TempDir(), Incarnation: 7, Log: zap.NewNop(), SegmentBytes: 4 << 20})
	w := &writer{duty: d}
	if _, err := w.recover(); err != nil {
		b.Fatal(err)
	}
	index := uint64(0)
	for b.Loop() {
		b.StopTimer()
		for range 64 {
			index++
			w.pendingBatches = []*consensus.Batch{{Entries: []consensus.Entry{{Index: index, Term: 1, Data: make([]byte, entryBytes)}}}}
			if err := w.write(); err != nil {
				b.Fatal(err)
			}
		}
		b.StartTimer()
		w.pendingBatches = []*consensus.Batch{{Snapshot: &consensus.Snapshot{Index: index, Term: 1, Data: make([]byte, 4<<20)}}}
		if err := w.write(); err != nil {
			b.Fatal(err)
		}
	}
}
