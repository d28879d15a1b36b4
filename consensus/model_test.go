package consensus

import (
	"encoding/binary"
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	if f := flag.Lookup("rapid.steps"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.steps", "120")
	}
	os.Exit(m.Run())
}

// allAreVoters reports whether the current incarnation of every replica is a voter
// by a committed entry. The group then tolerates the loss of a disk.
func (w *network) allAreVoters() bool {
	leader := w.leader()
	if leader == nil || leader.node.CommitIndex() < leader.node.log.lastMembershipIndex() {
		return false
	}
	membership := leader.node.Membership()
	for _, r := range w.replicas {
		if !membership.IsVoter(r.id) {
			return false
		}
	}
	return uint64(len(w.oracle.committed)) >= leader.node.log.lastMembershipIndex()
}

// mayLoseDisk reports whether the group must survive the loss of a disk now. No
// uncommitted membership may exist anywhere, because the group could be in the
// middle of a change to fewer voters.
func (w *network) mayLoseDisk() bool {
	if !w.allAreVoters() {
		return false
	}
	committed := w.leader().node.log.lastMembershipIndex()
	var all []Entry
	for _, m := range w.messages {
		all = append(all, m.Entries...)
	}
	for _, r := range w.replicas {
		all = append(all, r.disk.Entries...)
		for _, b := range r.writing {
			all = append(all, b.Entries...)
		}
		if r.node != nil {
			all = append(all, r.node.log.entries...)
		}
	}
	return !slices.ContainsFunc(all, func(e Entry) bool { return e.Kind == EntryMembership && e.Index > committed })
}

func (w *network) propose(r *simulatedReplica, count int) {
	for range count {
		w.oracle.commands++
		_ = r.node.Propose(binary.LittleEndian.AppendUint64(nil, w.oracle.commands))
	}
	w.collect(r)
}

func (w *network) read(r *simulatedReplica) {
	w.oracle.context++
	w.oracle.reads[w.oracle.context] = uint64(len(w.oracle.committed))
	_ = r.node.Read(w.oracle.context)
	w.collect(r)
}

func (w *network) snapshot(r *simulatedReplica) {
	if r.applied > 0 {
		_ = r.node.CreateSnapshot(r.applied, binary.LittleEndian.AppendUint64(nil, r.hash))
		w.collect(r)
	}
}

func (w *network) heal() {
	clear(w.blocked)
	for _, r := range w.replicas {
		r.isPaused, r.isDiskStalled = false, false
		w.restart(r)
	}
}

// actions returns the actions of the state machine test.
func (w *network) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *simulatedReplica {
		return w.replicas[rapid.IntRange(0, len(w.replicas)-1).Draw(t, "replica")]
	}
	onNode := func(f func(t *rapid.T, r *simulatedReplica)) func(*rapid.T) {
		return func(t *rapid.T) {
			r := pick(t)
			if r.node == nil || r.isPaused {
				t.Skip("down")
			}
			f(t, r)
		}
	}
	rounds := func(t *rapid.T) {
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			w.round(true)
		}
	}
	return map[string]func(*rapid.T){
		"":         func(t *rapid.T) { w.t = t },
		"rounds1":  rounds,
		"rounds2":  rounds,
		"propose":  onNode(func(t *rapid.T, r *simulatedReplica) { w.propose(r, rapid.IntRange(1, 10).Draw(t, "count")) }),
		"read":     onNode(func(_ *rapid.T, r *simulatedReplica) { w.read(r) }),
		"snapshot": onNode(func(_ *rapid.T, r *simulatedReplica) { w.snapshot(r) }),
		"tick": onNode(func(t *rapid.T, r *simulatedReplica) {
			for range rapid.IntRange(1, 10).Draw(t, "ticks") {
				w.tick(r)
			}
		}),
		"crash":   onNode(func(_ *rapid.T, r *simulatedReplica) { w.crash(r) }),
		"restart": func(t *rapid.T) { w.restart(pick(t)) },
		"pause":   onNode(func(_ *rapid.T, r *simulatedReplica) { r.isPaused = true }),
		"resume":  func(t *rapid.T) { pick(t).isPaused = false },
		"block": func(t *rapid.T) { // one way
			w.blocked[[2]string{pick(t).id.ID, pick(t).id.ID}] = true
		},
		"isolate": func(t *rapid.T) {
			id := pick(t).id.ID
			for _, r := range w.replicas {
				w.blocked[[2]string{id, r.id.ID}] = true
				w.blocked[[2]string{r.id.ID, id}] = true
			}
		},
		"slowDisk":  onNode(func(_ *rapid.T, r *simulatedReplica) { r.isDiskStalled = true }),
		"fastDisk":  onNode(func(_ *rapid.T, r *simulatedReplica) { r.isDiskStalled = false }),
		"crashSlow": func(*rapid.T) { w.crashSlow() },
		"heal":      func(*rapid.T) { w.heal() },
		"transfer":  onNode(func(t *rapid.T, r *simulatedReplica) { _ = r.node.TransferLeadership(pick(t).id); w.collect(r) }),
		"remove": onNode(func(t *rapid.T, r *simulatedReplica) {
			if !w.allAreVoters() {
				t.Skip("a removal while a lost disk is not repaired would be a second loss")
			}
			_, _ = r.node.ChangeMembership(Change{Kind: Remove, Replica: pick(t).id})
			w.collect(r)
		}),
		"wipe": func(t *rapid.T) {
			if !w.mayLoseDisk() {
				t.Skip("not all replicas are voters")
			}
			r := pick(t)
			w.crash(r)
			w.wipe(r)
			if rapid.Bool().Draw(t, "restart") {
				w.restart(r)
			}
		},
		"repairAndLoseAnother": func(t *rapid.T) { w.repairAndLoseAnother(pick(t), pick(t)) },
	}
}

// crashSlow crashes and restarts the replicas with a stalled disk, which loses what
// they have not synced.
func (w *network) crashSlow() {
	for _, r := range w.replicas {
		if r.isDiskStalled {
			w.crash(r)
			w.restart(r)
			r.isDiskStalled = false
		}
	}
}

// repairAndLoseAnother wipes one replica, and a second one as soon as the first is
// repaired.
func (w *network) repairAndLoseAnother(first, second *simulatedReplica) {
	w.heal()
	w.settle("full membership", w.mayLoseDisk)
	w.propose(w.leader(), 3)
	w.crash(first)
	w.wipe(first)
	w.restart(first)
	w.settle("repair", w.mayLoseDisk)
	w.crash(second)
	w.wipe(second)
}

// Guards against committed entries that are lost or changed, two leaders in one
// term, stale reads, and a group that does not recover once faults end.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "size")
		w := newNetwork(t, size, rapid.Uint64().Draw(t, "seed"))
		w.settle("full membership", w.allAreVoters)
		t.Repeat(w.actions())
		w.t = t
		w.heal()
		w.settle("full membership", w.allAreVoters)
		w.propose(w.leader(), 1)
		last := uint64(len(w.oracle.committed))
		w.settle("new commit on every replica", func() bool {
			for _, r := range w.replicas {
				if r.applied <= last {
					return false
				}
			}
			return true
		})
	})
}
