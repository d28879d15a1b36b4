package logwriter

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/internal/crashfs"
	"github.com/ibispier/ibispier/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

// model is what a member must find on its disk.
type model struct {
	hardState consensus.HardState
	snapshot  uint64
	term      uint64 // of the snapshot
	entries   map[uint64]consensus.Entry
	last      uint64
	committed uint64
}

func (m model) clone() model {
	entries := map[uint64]consensus.Entry{}
	for i, e := range m.entries {
		entries[i] = e
	}
	m.entries = entries
	return m
}

// apply returns the model after the batch.
func (m model) apply(b *consensus.Batch) model {
	m = m.clone()
	if b.HardState != nil {
		m.hardState = *b.HardState
	}
	if b.Snapshot != nil {
		m.snapshot, m.term = b.Snapshot.Index, b.Snapshot.Term
		m.committed = max(m.committed, m.snapshot)
	}
	if b.Reset {
		m.entries, m.last = map[uint64]consensus.Entry{}, b.Snapshot.Index
	}
	for _, e := range b.Entries {
		m.entries[e.Index], m.last = e, e.Index
	}
	return m
}

// holds reports whether the state contains what the model does.
func (m model) holds(s consensus.State) error {
	if s.HardState != m.hardState {
		return Error.New("hard state %+v, want %+v", s.HardState, m.hardState)
	}
	if s.Snapshot.Index != m.snapshot || m.snapshot > 0 && string(s.Snapshot.Data) != snapshotData(m.snapshot, m.term) {
		return Error.New("snapshot %d with %q, want %d", s.Snapshot.Index, s.Snapshot.Data, m.snapshot)
	}
	found := map[uint64]consensus.Entry{}
	for i, e := range s.Entries {
		if i > 0 && e.Index != s.Entries[i-1].Index+1 {
			return Error.New("entry %d after %d", e.Index, s.Entries[i-1].Index)
		}
		found[e.Index] = e
	}
	if n := len(s.Entries); n > 0 && (s.Entries[0].Index > m.snapshot+1 || s.Entries[n-1].Index > m.last && s.Entries[n-1].Index > m.snapshot) {
		return Error.New("entries %d to %d, want %d to %d", s.Entries[0].Index, s.Entries[n-1].Index, m.snapshot+1, m.last)
	}
	for i := m.snapshot + 1; i <= m.last; i++ {
		if !reflect.DeepEqual(found[i], m.entries[i]) {
			return Error.New("entry %d is %+v, want %+v", i, found[i], m.entries[i])
		}
	}
	return nil
}

func snapshotData(index, term uint64) string { return fmt.Sprintf("state %d of term %d", index, term) }

// disk drives a writer on a file system that loses power.
type disk struct {
	*rapid.T
	files  *crashfs.FS
	duty   *Duty
	writer *writer
	want   model
}

// losePower ends the process, and recovers its state as often as the power is lost
// again meanwhile. The state must be the expected one, or the one after the batch that
// was being written.
func (d *disk) losePower(unfinished ...model) {
	for {
		d.files.Restart(
			func() bool { return rapid.Bool().Draw(d.T, "kept") },
			func(unsynced int) int { return rapid.IntRange(0, unsynced).Draw(d.T, "bytes kept") },
		)
		d.files.LosePowerAfter(rapid.IntRange(-1, 20).Draw(d.T, "operations until the next loss"))
		d.writer = &writer{duty: d.duty}
		state, err := d.writer.recover()
		if errors.Is(err, crashfs.ErrPowerLost) || err != nil && strings.Contains(err.Error(), crashfs.ErrPowerLost.Error()) {
			continue
		}
		d.files.LosePowerAfter(-1)
		if err != nil {
			d.Fatalf("not recovered: %v", err)
		}
		d.check(state, unfinished)
		return
	}
}

func (d *disk) check(state consensus.State, unfinished []model) {
	err := d.want.holds(state)
	for _, m := range unfinished {
		if err == nil {
			return
		}
		if err = m.holds(state); err == nil {
			d.want = m
		}
	}
	if err != nil {
		d.Fatal(err)
	}
}

// write writes the batch. The power may be lost meanwhile.
func (d *disk) write(b *consensus.Batch) {
	d.files.LosePowerAfter(rapid.IntRange(-1, 30).Draw(d.T, "operations until the loss"))
	d.writer.pendingBatches = []*consensus.Batch{b}
	if err := d.writer.write(); err != nil {
		// The snapshot is saved before the log is written.
		saved := *b
		saved.HardState, saved.Entries = nil, nil
		d.losePower(d.want.apply(&saved), d.want.apply(b))
		return
	}
	d.files.LosePowerAfter(-1)
	d.want = d.want.apply(b)
}

func (d *disk) appendEntries() {
	first := rapid.Uint64Range(d.want.committed+1, d.want.last+1).Draw(d.T, "first")
	hard := d.want.hardState
	if first <= d.want.last {
		hard.Term++
	}
	b := &consensus.Batch{HardState: &hard}
	for i := range rapid.Uint64Range(1, 4).Draw(d.T, "entries") {
		b.Entries = append(b.Entries, consensus.Entry{Index: first + i, Term: hard.Term, Data: bytes.Repeat([]byte{byte(i)}, rapid.IntRange(0, 90).Draw(d.T, "bytes"))})
	}
	d.write(b)
	d.want.committed = rapid.Uint64Range(min(d.want.committed, d.want.last), d.want.last).Draw(d.T, "committed")
}

func (d *disk) saveSnapshot() {
	if d.want.committed <= d.want.snapshot {
		return
	}
	index := rapid.Uint64Range(d.want.snapshot+1, d.want.committed).Draw(d.T, "snapshot")
	d.write(&consensus.Batch{Snapshot: testSnapshot(index, d.want.entries[index].Term)})
}

// installSnapshot saves a snapshot of the leader, which replaces the log.
func (d *disk) installSnapshot() {
	hard := d.want.hardState
	index := d.want.last + rapid.Uint64Range(1, 5).Draw(d.T, "beyond the log")
	d.write(&consensus.Batch{HardState: &hard, Snapshot: testSnapshot(index, hard.Term), Reset: true})
}

func testSnapshot(index, term uint64) *consensus.Snapshot {
	return &consensus.Snapshot{Index: index, Term: term, Data: []byte(snapshotData(index, term))}
}

// Guards against a log that cannot be recovered, or lacks something that was synced,
// after a power loss that keeps and loses unsynced changes of the folder one by one:
// among the segments that a snapshot had released, some came back and others did not,
// and the process ended at each start.
func TestRecoveryAfterPowerLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := crashfs.New()
		d := &disk{T: t, files: files, want: model{entries: map[uint64]consensus.Entry{}}}
		d.duty = New(Options{
			Files: files, Dir: "data", Incarnation: 7, Log: zap.NewNop(),
			SegmentBytes: rapid.SampledFrom([]int64{1, 150, 600}).Draw(t, "segment bytes"),
		})
		d.writer = &writer{duty: d.duty}
		if _, err := d.writer.recover(); err != nil {
			t.Fatal(err)
		}
		t.Repeat(map[string]func(*rapid.T){
			"append":   func(*rapid.T) { d.appendEntries() },
			"snapshot": func(*rapid.T) { d.saveSnapshot() },
			"install":  func(*rapid.T) { d.installSnapshot() },
			"power":    func(*rapid.T) { d.losePower() },
		})
	})
}

// Guards against starting on a log with missing segments that no snapshot covers: no
// power loss explains them, and the member would lack entries that it has
// acknowledged.
func TestMissingSegmentsBeyondTheSnapshotAreDamage(t *testing.T) {
	for name, c := range map[string]struct {
		snapshot uint64
		missing  string
		damaged  bool
	}{
		"covered":               {6, "wal-0000000000000003.log", false},
		"not covered":           {3, "wal-0000000000000006.log", true},
		"end beyond the gap":    {4, "wal-0000000000000006.log", true},
		"no snapshot":           {0, "wal-0000000000000003.log", true},
		"start beyond snapshot": {6, "wal-0000000000000008.log", true},
	} {
		files := crashfs.New()
		d := New(Options{Files: files, Dir: "data", Incarnation: 7, Log: zap.NewNop(), SegmentBytes: 1})
		w := &writer{duty: d}
		if _, err := w.recover(); err != nil {
			t.Fatal(err)
		}
		for i := uint64(1); i <= 8; i++ {
			w.pendingBatches = []*consensus.Batch{{HardState: &consensus.HardState{Term: 1}, Entries: []consensus.Entry{{Index: i, Term: 1}}}}
			if err := w.write(); err != nil {
				t.Fatal(err)
			}
		}
		if c.snapshot > 0 {
			if _, err := d.folder.Save(testSnapshot(c.snapshot, 1)); err != nil {
				t.Fatal(err)
			}
		}
		if err := files.Remove("data/" + c.missing); err != nil {
			t.Fatal(err)
		}
		state, err := (&writer{duty: d}).recover()
		if (err != nil) != c.damaged {
			t.Errorf("%s: recovered %d entries, error %v", name, len(state.Entries), err)
		}
	}
}
