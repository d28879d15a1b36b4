package logwriter

import (
	"testing"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/snap"
	"github.com/ibispier/ibispier/wal"
)

func entries(first, last, term uint64) []consensus.Entry {
	var list []consensus.Entry
	for i := first; i <= last; i++ {
		list = append(list, consensus.Entry{Index: i, Term: term})
	}
	return list
}

// Guards against starting with a gap between the snapshot and the log, which would
// lose commands, and against keeping a log that a snapshot has replaced.
func TestSnapshotAndLogJoin(t *testing.T) {
	damaged := []string{"snap-x.snap"}
	for name, c := range map[string]struct {
		logged   wal.Recovered
		snapshot consensus.Snapshot
		damaged  []string
		joins    bool
		replaced bool
	}{
		"blank":                              {joins: true},
		"log from the start":                 {logged: wal.Recovered{Entries: entries(1, 9, 1)}, damaged: damaged, joins: true},
		"older snapshot and log":             {logged: wal.Recovered{Entries: entries(6, 9, 1)}, snapshot: consensus.Snapshot{Index: 5, Term: 1}, damaged: damaged, joins: true},
		"snapshot inside the log":            {logged: wal.Recovered{Entries: entries(2, 9, 1)}, snapshot: consensus.Snapshot{Index: 5, Term: 1}, joins: true},
		"gap":                                {logged: wal.Recovered{Entries: entries(7, 9, 1)}, snapshot: consensus.Snapshot{Index: 5, Term: 1}, damaged: damaged},
		"snapshot of the reset is damaged":   {logged: wal.Recovered{ResetIndex: 7, Entries: entries(8, 9, 1)}, snapshot: consensus.Snapshot{Index: 5, Term: 1}, damaged: damaged},
		"damaged and no log":                 {damaged: damaged},
		"released log":                       {snapshot: consensus.Snapshot{Index: 5, Term: 1}, joins: true},
		"crash before the reset, short log":  {logged: wal.Recovered{Entries: entries(1, 4, 1)}, snapshot: consensus.Snapshot{Index: 5, Term: 2}, joins: true, replaced: true},
		"crash before the reset, other term": {logged: wal.Recovered{Entries: entries(1, 9, 1)}, snapshot: consensus.Snapshot{Index: 5, Term: 2}, joins: true, replaced: true},
		"crash before the second reset":      {logged: wal.Recovered{ResetIndex: 3}, snapshot: consensus.Snapshot{Index: 5, Term: 2}, joins: true, replaced: true},
		"after the reset":                    {logged: wal.Recovered{ResetIndex: 5, ResetTerm: 2}, snapshot: consensus.Snapshot{Index: 5, Term: 2}, joins: true},
	} {
		err := checkContiguous(c.logged, snap.Loaded{Snapshot: c.snapshot, Damaged: c.damaged})
		if (err == nil) != c.joins {
			t.Errorf("%s: check gives %v", name, err)
		}
		if c.joins && isReplaced(c.logged, c.snapshot) != c.replaced {
			t.Errorf("%s: replaced is %v", name, !c.replaced)
		}
	}
}
