package consensus

// followLeader records that the sender leads the current term.
func (n *Node) followLeader(leader ReplicaID) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.hard.Term, leader)
	}
	n.electionElapsed = 0
}

func (n *Node) handleAppend(m Message) {
	n.followLeader(m.From)
	n.epoch = max(n.epoch, m.Context)
	if m.LogIndex < n.commit {
		// The committed part matches the log of every leader.
		n.matched = max(n.matched, n.commit)
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
			Hint:     n.hintFor(m),
		})
		return
	}
	if !n.mergeEntries(m.Entries) {
		return
	}
	n.matched = max(n.matched, m.LogIndex+uint64(len(m.Entries)))
	n.advanceCommit(min(m.Commit, n.matched))
	n.acknowledge(true)
}

// hintFor returns the last index at which the logs may match: entries with a
// term above that of the leader's entry cannot be in the leader's log.
func (n *Node) hintFor(m Message) uint64 {
	hint := min(m.LogIndex-1, n.log.lastIndex())
	for hint > n.commit {
		if term, known := n.log.term(hint); known && term <= m.LogTerm {
			break
		}
		hint--
	}
	return hint
}

// mergeEntries appends what is new and truncates the log at the first entry
// that conflicts. It reports false for entries that cannot be valid.
func (n *Node) mergeEntries(entries []Entry) bool {
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.commit {
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
	n.persist.truncate(index)
	n.matched = min(n.matched, index-1)
}

// acknowledge reports how far the log matches and is synced. Without force it
// is silent unless there is something new.
func (n *Node) acknowledge(force bool) {
	if n.role != Follower || n.leader.IsZero() {
		return
	}
	index := min(n.matched, n.persist.stable)
	if index <= n.acked && !force {
		return
	}
	n.acked = index
	n.send(Message{Type: MsgAppendReply, To: n.leader, LogIndex: index, Context: n.epoch})
}

func (n *Node) handleHeartbeat(m Message) {
	n.followLeader(m.From)
	n.advanceCommit(min(m.Commit, n.matched))
	n.send(Message{
		Type:     MsgHeartbeatReply,
		To:       m.From,
		LogIndex: min(n.matched, n.persist.stable),
		Context:  m.Context,
	})
}

func (n *Node) handleSnapshot(m Message) {
	n.followLeader(m.From)
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index <= n.commit {
		n.matched = max(n.matched, n.commit)
		n.acknowledge(true)
		return
	}
	if n.log.matches(s.Index, s.Term) {
		n.matched = max(n.matched, s.Index)
		n.advanceCommit(s.Index)
		n.acknowledge(true)
		return
	}
	n.install(s)
}

// install replaces the log by the snapshot of the leader.
func (n *Node) install(s *Snapshot) {
	n.log.reset(s)
	n.snapshot = *s
	n.commit = s.Index
	n.matched = s.Index
	n.persist.reset(s)
}

func (n *Node) advanceCommit(index uint64) { n.commit = max(n.commit, index) }
