package consensus

import "slices"

// ReconcileInput is the state from which the leader decides on the next membership
// change.
type ReconcileInput struct {
	Self             ReplicaID
	DesiredIDs       []string // ids that are to be members
	Membership       Membership
	SeenIncarnations map[string]uint64 // newest incarnation of each other replica, by id
	Progress         []Progress
	IsCaughtUp       func(ReplicaID) bool
	// DesiredVoters is the number of voters to keep in a group whose replicas are
	// not named in the settings, and 0 where all of DesiredIDs are to be voters.
	DesiredVoters int
	// IsLost reports whether a member has been unresponsive for so long that
	// another replica may replace it.
	IsLost func(ReplicaID) bool
}

// NextChange returns the next membership change, one at a time. A learner that has
// caught up is promoted first, because that restores the tolerance for failures. A
// replica that lost its disk is removed under its old incarnation and added as a
// learner under the new one. Ids that an operator has removed are not added.
//
// With a desired number of voters, a learner that has caught up replaces a lost
// voter, and any other stays a learner. A lost learner is removed, because replaced
// replicas never return.
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
	return v.lostLearner()
}

func (v ReconcileInput) lostLearner() (Change, bool) {
	if v.DesiredVoters == 0 {
		return Change{}, false
	}
	for _, m := range v.Membership.Members {
		if !m.Voter && v.IsLost(m.ID) {
			return Change{Kind: Remove, Replica: m.ID}, true
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

// isActive reports whether the old incarnation still responds. In that case two
// processes run under one id, and the working one must not be removed.
func (v ReconcileInput) isActive(id ReplicaID) bool {
	return slices.ContainsFunc(v.Progress, func(p Progress) bool { return p.ID == id && p.Active })
}
