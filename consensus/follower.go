package consensus

// followLeader records that the sender leads the current term.
func (n *Node) followLeader(leader ReplicaID) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.hardState.Term, leader)
	}
	n.electionElapsed = 0
}

func (n *Node) handleAppend(m Message) {
	n.followLeader(m.From)
	n.appendEpoch = max(n.appendEpoch, m.Context)
	if m.LogIndex < n.commitIndex {
		// Committed entries are the same in the log of every leader.
		n.matchIndex = max(n.matchIndex, n.commitIndex)
		n.acknowledge(true)
		return
	}
	if !n.log.matches(m.LogIndex, m.LogTerm) {
		n.send(Message{
			Type:     MsgAppendReply,
			To:       m.From,
			Reject:   true,
			Context:  m.Context,
			LogIndex: m.LogIndex,
			Hint:     n.rejectionHint(m),
		})
		return
	}
	if !n.mergeEntries(m.Entries) {
		return
	}
	n.matchIndex = max(n.matchIndex, m.LogIndex+uint64(len(m.Entries)))
	n.advanceCommit(min(m.Commit, n.matchIndex))
	n.acknowledge(true)
}

// rejectionHint returns the last index at which the logs may match: entries with a
// term above that of the leader's entry cannot be in the leader's log.
func (n *Node) rejectionHint(m Message) uint64 {
	hint := min(m.LogIndex-1, n.log.lastIndex())
	for hint > n.commitIndex {
		if term, known := n.log.term(hint); known && term <= m.LogTerm {
			break
		}
		hint--
	}
	return hint
}

// mergeEntries appends the entries that the log lacks, after it has truncated the
// log at the first conflict. It returns false if the entries cannot be valid.
func (n *Node) mergeEntries(entries []Entry) bool {
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.commitIndex {
			return false
		}
		if e.Index <= n.log.lastIndex() {
			n.truncate(e.Index)
		}
		return n.log.append(entries[i:]) == nil
	}
	return true
}

func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	n.persistence.truncate(index)
	n.matchIndex = min(n.matchIndex, index-1)
}

// acknowledge reports to the leader the last index that matches its log and is
// synced. Without force it sends only if that index has advanced.
func (n *Node) acknowledge(force bool) {
	if n.role != Follower || n.leader.IsZero() {
		return
	}
	index := min(n.matchIndex, n.persistence.stableIndex)
	if index <= n.ackedIndex && !force {
		return
	}
	n.ackedIndex = index
	n.send(Message{Type: MsgAppendReply, To: n.leader, LogIndex: index, Context: n.appendEpoch})
}

func (n *Node) handleHeartbeat(m Message) {
	n.followLeader(m.From)
	n.advanceCommit(min(m.Commit, n.matchIndex))
	n.send(Message{
		Type:     MsgHeartbeatReply,
		To:       m.From,
		LogIndex: min(n.matchIndex, n.persistence.stableIndex),
		Context:  m.Context,
	})
}

func (n *Node) handleSnapshot(m Message) {
	n.followLeader(m.From)
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index <= n.commitIndex {
		n.matchIndex = max(n.matchIndex, n.commitIndex)
		n.acknowledge(true)
		return
	}
	if n.log.matches(s.Index, s.Term) {
		n.matchIndex = max(n.matchIndex, s.Index)
		n.advanceCommit(s.Index)
		n.acknowledge(true)
		return
	}
	n.installSnapshot(s)
}

// installSnapshot replaces the log by the leader's snapshot.
func (n *Node) installSnapshot(s *Snapshot) {
	n.log.reset(s)
	n.snapshot = *s
	n.commitIndex = s.Index
	n.matchIndex = s.Index
	n.persistence.reset(s)
}

func (n *Node) advanceCommit(index uint64) { n.commitIndex = max(n.commitIndex, index) }
