package consensus

import "slices"

// snapshotTimeoutElections is the time that the leader waits for the reply to a
// snapshot before it probes the replica again, in election timeouts.
const snapshotTimeoutElections = 4

// Bounds of the number of heartbeat replies without progress after which
// unacknowledged appends count as lost. One reply is too few, because a slow sync
// is not a loss; a busy replica needs many.
const (
	minLossThreshold = 4
	maxLossThreshold = 64
)

func (n *Node) tickLeader() {
	l := n.leaderState
	l.quorumCheckElapsed++
	l.previousTickCommit = n.commitIndex
	if l.quorumCheckElapsed >= n.config.ElectionTicks {
		l.quorumCheckElapsed = 0
		if !n.hasActiveQuorum() {
			// Check-quorum: a leader that a quorum does not reply to may have been
			// replaced already.
			n.becomeFollower(n.hardState.Term, ReplicaID{})
			return
		}
	}
	n.tickTransfer()
	n.tickSnapshots()
	n.broadcastHeartbeat()
}

// hasActiveQuorum reports whether a quorum has replied since the last call, and
// starts the next period.
func (n *Node) hasActiveQuorum() bool {
	membership := n.log.membership()
	count := 0
	for _, id := range membership.Voters() {
		if id == n.self() || n.leaderState.progress[id].isActive {
			count++
		}
	}
	for _, p := range n.leaderState.progress {
		p.wasActive, p.isActive = p.isActive, false
	}
	return count >= membership.Quorum()
}

func (n *Node) tickSnapshots() {
	for _, p := range n.leaderState.progress {
		if p.state != snapshotting {
			continue
		}
		if p.snapshotTicksLeft--; p.snapshotTicksLeft <= 0 {
			p.startProbing(p.matchIndex + 1)
		}
	}
}

// Propose appends commands to the log.
func (n *Node) Propose(commands ...[]byte) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case !n.leaderState.transferTo.IsZero():
		return ErrTransferring
	}
	for _, data := range commands {
		n.appendAsLeader(EntryNormal, data)
	}
	n.broadcastAppend()
	return nil
}

func (n *Node) appendAsLeader(kind EntryKind, data []byte) {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	if err := n.log.append([]Entry{e}); err != nil {
		panic(err) // the entry is consecutive and the membership was encoded here
	}
}

func (n *Node) broadcastAppend() { n.forEachPeer(n.sendAppends) }

func (n *Node) broadcastHeartbeat() { n.forEachPeer(n.sendHeartbeat) }

func (n *Node) forEachPeer(send func(ReplicaID, *progress)) {
	for _, member := range n.log.membership().Members {
		if member.ID != n.self() {
			send(member.ID, n.leaderState.progress[member.ID])
		}
	}
}

func (n *Node) sendHeartbeat(to ReplicaID, p *progress) {
	n.send(Message{
		Type:    MsgHeartbeat,
		To:      to,
		Commit:  min(n.commitIndex, p.matchIndex),
		Context: n.leaderState.readRound,
	})
}

// sendAppends sends as many appends to the replica as flow control allows.
func (n *Node) sendAppends(to ReplicaID, p *progress) {
	switch p.state {
	case probing:
		if !p.isProbeInFlight {
			p.isProbeInFlight = n.sendAppend(to, p)
		}
	case replicating:
		for p.nextIndex <= n.log.lastIndex() && len(p.inFlight) < n.config.MaxInFlightAppends {
			if !n.sendAppend(to, p) {
				return
			}
		}
	}
}

// sendAppend sends one append that starts at p.nextIndex. It returns false if it
// sent a snapshot instead.
func (n *Node) sendAppend(to ReplicaID, p *progress) bool {
	previous := p.nextIndex - 1
	term, known := n.log.term(previous)
	if !known {
		n.sendSnapshot(to, p)
		return false
	}
	entries := n.log.entriesFrom(p.nextIndex, n.config.MaxEntriesPerAppend, n.config.MaxBytesPerAppend)
	n.send(Message{
		Type:     MsgAppend,
		To:       to,
		LogIndex: previous,
		LogTerm:  term,
		Commit:   n.commitIndex,
		Context:  p.epoch,
		Entries:  entries,
	})
	if p.state == probing {
		p.probeLastIndex = previous + uint64(len(entries))
		return true
	}
	if len(entries) > 0 {
		p.nextIndex += uint64(len(entries))
		p.inFlight = append(p.inFlight, p.nextIndex-1)
	}
	return true
}

func (n *Node) sendSnapshot(to ReplicaID, p *progress) {
	s := n.snapshot
	p.state = snapshotting
	p.snapshotIndex = s.Index
	p.snapshotTicksLeft = snapshotTimeoutElections * n.config.ElectionTicks
	n.send(Message{Type: MsgSnapshot, To: to, Snapshot: &s})
}

// handleFollowerReply handles the reply of a replica to an append or a heartbeat.
func (n *Node) handleFollowerReply(m Message) {
	if n.role != Leader {
		return
	}
	p := n.leaderState.progress[m.From]
	if p == nil {
		return
	}
	p.isActive = true
	switch {
	case m.Type == MsgHeartbeatReply:
		n.handleHeartbeatReply(m, p)
	case m.Reject:
		n.handleAppendReject(m, p)
	default:
		n.handleAppendAck(m, p)
	}
	n.tryTransfer()
}

func (n *Node) handleAppendReject(m Message, p *progress) {
	stale := m.Context != p.epoch || m.LogIndex <= p.matchIndex || (p.state == probing && m.LogIndex != p.nextIndex-1)
	if stale || p.state == snapshotting {
		return
	}
	p.startProbing(min(m.LogIndex, m.Hint+1))
	n.sendAppends(m.From, p)
}

func (n *Node) handleAppendAck(m Message, p *progress) {
	if m.LogIndex > n.log.lastIndex() {
		return
	}
	advanced := p.recordAck(m.LogIndex, m.Context)
	switch {
	case p.state == snapshotting && m.LogIndex < p.snapshotIndex:
		return
	case p.state == snapshotting:
		p.startProbing(p.matchIndex + 1)
	case p.state == probing && m.Context == p.epoch:
		p.startReplicating()
	}
	if advanced {
		n.advanceLeaderCommit()
	}
	if n.role == Leader {
		n.sendAppends(m.From, p)
	}
}

func (n *Node) handleHeartbeatReply(m Message, p *progress) {
	p.readRound = max(p.readRound, m.Context)
	n.confirmReads()
	isSynced := p.matchIndex >= n.log.lastIndex() && m.LogIndex >= p.matchIndex
	if isSynced || p.state == snapshotting {
		p.idleReplies = 0
		return
	}
	// Appends or their replies may be lost, or the replica was restarted and no
	// longer knows that its log matches. The leader then probes from the last
	// index that it knows to be synced.
	if p.idleReplies++; p.idleReplies >= p.lossThreshold {
		p.probeAfterLoss()
	}
	n.sendAppends(m.From, p)
}

// advanceLeaderCommit commits the entries that a quorum has synced. Only an entry
// of the current term is counted; it commits all entries before it.
func (n *Node) advanceLeaderCommit() {
	index := n.quorumMatch()
	if index <= n.commitIndex {
		return
	}
	if term, known := n.log.term(index); !known || term != n.hardState.Term {
		return
	}
	n.commitIndex = index
	n.confirmReads()
}

// quorumMatch returns the highest index that a quorum of voters has synced.
func (n *Node) quorumMatch() uint64 {
	voters := n.log.membership().Voters()
	synced := make([]uint64, 0, len(voters))
	for _, id := range voters {
		if id == n.self() {
			synced = append(synced, n.persistence.stableIndex)
			continue
		}
		synced = append(synced, n.leaderState.progress[id].matchIndex)
	}
	slices.Sort(synced)
	return synced[(len(synced)-1)/2]
}
