package consensus

import "slices"

// ReconcileInput is what the leader decides membership changes from.
type ReconcileInput struct {
	Self             ReplicaID
	DesiredIDs       []string // ids in the settings
	Membership       Membership
	SeenIncarnations map[string]uint64 // newest incarnation of each other member
	Progress         []Progress
	IsCaughtUp       func(ReplicaID) bool
	// DesiredVoters is the number of voters to keep where replicas come and go without
	// settings that name them, and 0 where Wanted says all.
	DesiredVoters int
	// IsLost reports whether a member has been silent for so long that another
	// replica may take its place.
	IsLost func(ReplicaID) bool
}

// NextChange returns the next change, one at a time. A learner that has caught
// up is promoted first, which restores the tolerance for failures. A wiped
// replica is removed under its old incarnation and added under the new one as a
// learner. Ids that an operator has removed stay out.
//
// With a number of voters to keep, a learner that has caught up takes the place
// of a lost voter, and further ones stay learners.
func NextChange(v ReconcileInput) (Change, bool) {
	for _, m := range v.Membership.Members {
		if m.Voter || !v.IsCaughtUp(m.ID) {
			continue
		}
		if v.DesiredVoters == 0 || len(v.Membership.Voters()) < v.DesiredVoters {
			return Change{Kind: Promote, Replica: m.ID}, true
		}
		if lost, found := v.lostVoter(); found {
			return Change{Kind: Remove, Replica: lost}, true
		}
	}
	for _, id := range v.DesiredIDs {
		if c, needed := v.changeFor(id); needed {
			return c, true
		}
	}
	return Change{}, false
}

func (v ReconcileInput) lostVoter() (ReplicaID, bool) {
	for _, id := range v.Membership.Voters() {
		if id != v.Self && v.IsLost(id) {
			return id, true
		}
	}
	return ReplicaID{}, false
}

func (v ReconcileInput) changeFor(id string) (Change, bool) {
	incarnation, seen := v.SeenIncarnations[id]
	if id == v.Self.ID || !seen || slices.Contains(v.Membership.Excluded, id) {
		return Change{}, false
	}
	replica := ReplicaID{ID: id, Incarnation: incarnation}
	named := v.Membership.MembersWithID(id)
	switch {
	case len(named) == 0:
		return Change{Kind: AddLearner, Replica: replica}, true
	case named[0].ID == replica || v.isActive(named[0].ID):
		return Change{}, false
	}
	return Change{Kind: Remove, Replica: named[0].ID}, true
}

// isActive reports whether the old incarnation still answers. Then two
// processes run under one id, and removing the one that works would be wrong.
func (v ReconcileInput) isActive(id ReplicaID) bool {
	return slices.ContainsFunc(v.Progress, func(p Progress) bool { return p.ID == id && p.Active })
}
