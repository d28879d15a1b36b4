package consensus

import "slices"

// ChangeMembership proposes one change and returns the index of its entry. A
// change is rejected until the one before it and an entry of the leader's own term
// are committed: otherwise the memberships of two leaders could have quorums that
// do not overlap.
func (n *Node) ChangeMembership(c Change) (uint64, error) {
	switch {
	case n.role != Leader:
		return 0, ErrNotLeader
	case !n.leaderState.transferTo.IsZero():
		return 0, ErrTransferring
	case n.commitIndex < n.leaderState.termStartIndex, n.commitIndex < n.log.lastMembershipIndex():
		return 0, ErrChangePending
	case c.Kind == Remove && c.Replica == n.self():
		return 0, Error.New("step=remove peer=%s: the leader must transfer its leadership first", c.Replica)
	}
	next, err := n.log.membership().apply(c)
	if err != nil {
		return 0, err
	}
	if c.Kind == Remove && !n.canCommitWith(next) {
		return 0, Error.New("step=remove peer=%s: %w", c.Replica, ErrNoQuorumLeft)
	}
	n.appendAsLeader(EntryMembership, next.encode())
	n.leaderState.updateMembers(next, n.log.lastIndex())
	n.broadcastAppend()
	n.advanceLeaderCommit()
	return n.log.lastIndex(), nil
}

// canCommitWith reports whether a quorum of the next membership is responding. A
// removal that it cannot commit would leave the group without a leader.
func (n *Node) canCommitWith(next Membership) bool {
	count := 0
	for _, id := range next.Voters() {
		if id == n.self() || n.leaderState.progress[id].isRecent() {
			count++
		}
	}
	return count >= next.Quorum()
}

// IsCaughtUp reports whether the replica has synced every entry that was committed
// one tick ago.
func (n *Node) IsCaughtUp(id ReplicaID) bool {
	if n.role != Leader || n.leaderState.progress[id] == nil {
		return false
	}
	p := n.leaderState.progress[id]
	return p.isRecent() && p.matchIndex >= n.leaderState.previousTickCommit && n.leaderState.previousTickCommit >= n.leaderState.termStartIndex
}

// TransferLeadership transfers leadership to a voter as soon as its log is
// complete. Proposals are rejected until then, for one election timeout at most.
func (n *Node) TransferLeadership(to ReplicaID) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case to == n.self():
		return nil
	case !n.log.membership().IsVoter(to):
		return ErrNoSuchMember
	}
	n.leaderState.transferTo = to
	n.leaderState.transferTicksLeft = n.config.ElectionTicks
	n.tryTransfer()
	return nil
}

// IsTransferring reports whether a leadership transfer is in progress.
func (n *Node) IsTransferring() bool {
	return n.leaderState != nil && !n.leaderState.transferTo.IsZero()
}

func (n *Node) tryTransfer() {
	if n.leaderState == nil || n.leaderState.transferTo.IsZero() {
		return
	}
	to := n.leaderState.transferTo
	p := n.leaderState.progress[to]
	if p != nil && p.matchIndex == n.log.lastIndex() {
		n.send(Message{Type: MsgTimeoutNow, To: to})
	}
}

func (n *Node) tickTransfer() {
	l := n.leaderState
	if l.transferTo.IsZero() {
		return
	}
	l.transferTicksLeft--
	if l.transferTicksLeft <= 0 || !n.log.membership().IsVoter(l.transferTo) {
		l.transferTo = ReplicaID{}
	}
}

// Successor returns the responding voter with the longest synced log, which is the
// best one to transfer leadership to.
func (n *Node) Successor() (ReplicaID, bool) {
	if n.role != Leader {
		return ReplicaID{}, false
	}
	var best ReplicaID
	var match uint64
	for _, id := range n.log.membership().Voters() {
		p := n.leaderState.progress[id]
		if id != n.self() && p.isRecent() && p.matchIndex >= match {
			best, match = id, p.matchIndex
		}
	}
	return best, !best.IsZero()
}

// Progress is the replication progress of a member.
type Progress struct {
	Member
	Match  uint64
	Active bool
}

// Members returns the members with their progress as far as this replica knows it.
func (n *Node) Members() []Progress {
	members := slices.Clone(n.log.membership().Members)
	list := make([]Progress, 0, len(members))
	for _, m := range members {
		p := Progress{Member: m}
		switch {
		case m.ID == n.self():
			p.Match, p.Active = n.persistence.stableIndex, true
		case n.leaderState != nil:
			p.Match, p.Active = n.leaderState.progress[m.ID].matchIndex, n.leaderState.progress[m.ID].isRecent()
		}
		list = append(list, p)
	}
	return list
}
