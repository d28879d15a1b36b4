package replica

import (
	"slices"

	"github.com/ibispier/ibispier/consensus"
)

// View is what the leader decides membership changes from.
type View struct {
	Self       consensus.ReplicaID
	Wanted     []string // ids in the settings
	Membership consensus.Membership
	Seen       map[string]uint64 // newest incarnation of each other member
	Progress   []consensus.Progress
	IsCaughtUp func(consensus.ReplicaID) bool
}

// NextChange returns the next change, one at a time. A learner that has caught
// up is promoted first, which restores the tolerance for failures. A wiped
// replica is removed under its old incarnation and added under the new one as a
// learner. Ids that an operator has removed stay out.
func NextChange(v View) (consensus.Change, bool) {
	for _, m := range v.Membership.Members {
		if !m.Voter && v.IsCaughtUp(m.ID) {
			return consensus.Change{Kind: consensus.Promote, Replica: m.ID}, true
		}
	}
	for _, id := range v.Wanted {
		if c, needed := v.changeFor(id); needed {
			return c, true
		}
	}
	return consensus.Change{}, false
}

func (v View) changeFor(id string) (consensus.Change, bool) {
	incarnation, seen := v.Seen[id]
	if id == v.Self.ID || !seen || slices.Contains(v.Membership.Excluded, id) {
		return consensus.Change{}, false
	}
	replica := consensus.ReplicaID{ID: id, Incarnation: incarnation}
	named := v.Membership.Named(id)
	switch {
	case len(named) == 0:
		return consensus.Change{Kind: consensus.AddLearner, Replica: replica}, true
	case named[0].ID == replica || v.isActive(named[0].ID):
		return consensus.Change{}, false
	}
	return consensus.Change{Kind: consensus.Remove, Replica: named[0].ID}, true
}

// isActive reports whether the old incarnation still answers. Then two
// processes run under one id, and removing the one that works would be wrong.
func (v View) isActive(id consensus.ReplicaID) bool {
	return slices.ContainsFunc(v.Progress, func(p consensus.Progress) bool { return p.ID == id && p.Active })
}
