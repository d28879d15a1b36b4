package consensus

import "slices"

// snapshotTimeout is how many election timeouts the leader waits for an answer
// to a snapshot before it offers the snapshot again.
const snapshotTimeout = 4

// idleHeartbeats is how many heartbeats are answered without progress before
// appends count as lost, at first and at most. One is too few: a slow sync is not
// a loss, and a busy replica needs many.
const (
	idleHeartbeats    = 4
	maxIdleHeartbeats = 64
)

func (n *Node) tickLeader() {
	l := n.leading
	l.elapsed++
	l.lagged = n.commit
	if l.elapsed >= n.config.ElectionTicks {
		l.elapsed = 0
		if !n.hasActiveQuorum() {
			// Check-quorum: a leader without contact to a quorum may have been
			// replaced already.
			n.becomeFollower(n.hard.Term, ReplicaID{})
			return
		}
	}
	n.tickTransfer()
	n.tickSnapshots()
	n.broadcastHeartbeat()
}

// hasActiveQuorum reports whether a quorum answered since the last call.
func (n *Node) hasActiveQuorum() bool {
	membership := n.log.membership()
	count := 0
	for _, id := range membership.Voters() {
		if id == n.self() || n.leading.progress[id].active {
			count++
		}
	}
	for _, p := range n.leading.progress {
		p.before, p.active = p.active, false
	}
	return count >= membership.Quorum()
}

func (n *Node) tickSnapshots() {
	for _, p := range n.leading.progress {
		if p.state != snapshotting {
			continue
		}
		if p.timeout--; p.timeout <= 0 {
			p.probe(p.match + 1)
		}
	}
}

// Propose appends commands to the log.
func (n *Node) Propose(commands ...[]byte) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case !n.leading.transfer.IsZero():
		return ErrTransferring
	}
	for _, data := range commands {
		n.appendAsLeader(EntryNormal, data)
	}
	n.broadcastAppend()
	return nil
}

func (n *Node) appendAsLeader(kind EntryKind, data []byte) {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	if err := n.log.append([]Entry{e}); err != nil {
		panic(err) // the entry is consecutive and the membership was encoded here
	}
}

func (n *Node) broadcastAppend() { n.toOthers(n.sendAppends) }

func (n *Node) broadcastHeartbeat() { n.toOthers(n.sendHeartbeat) }

func (n *Node) toOthers(send func(ReplicaID, *progress)) {
	for _, member := range n.log.membership().Members {
		if member.ID != n.self() {
			send(member.ID, n.leading.progress[member.ID])
		}
	}
}

func (n *Node) sendHeartbeat(to ReplicaID, p *progress) {
	n.send(Message{
		Type:    MsgHeartbeat,
		To:      to,
		Commit:  min(n.commit, p.match),
		Context: n.leading.round,
	})
}

// sendAppends sends what flow control allows.
func (n *Node) sendAppends(to ReplicaID, p *progress) {
	switch p.state {
	case probing:
		if !p.waiting {
			p.waiting = n.sendAppend(to, p)
		}
	case replicating:
		for p.next <= n.log.lastIndex() && len(p.inFlight) < n.config.MaxInFlightAppends {
			if !n.sendAppend(to, p) {
				return
			}
		}
	}
}

// sendAppend sends one append that starts at p.next. It reports false when a
// snapshot was sent instead.
func (n *Node) sendAppend(to ReplicaID, p *progress) bool {
	previous := p.next - 1
	term, known := n.log.term(previous)
	if !known {
		n.sendSnapshot(to, p)
		return false
	}
	entries := n.log.batch(p.next, n.config.MaxEntriesPerAppend, n.config.MaxBytesPerAppend)
	n.send(Message{
		Type:     MsgAppend,
		To:       to,
		LogIndex: previous,
		LogTerm:  term,
		Commit:   n.commit,
		Context:  p.epoch,
		Entries:  entries,
	})
	if p.state == probing {
		p.probed = previous + uint64(len(entries))
		return true
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
	return true
}

func (n *Node) sendSnapshot(to ReplicaID, p *progress) {
	s := n.snapshot
	p.state = snapshotting
	p.snapshot = s.Index
	p.timeout = snapshotTimeout * n.config.ElectionTicks
	n.send(Message{Type: MsgSnapshot, To: to, Snapshot: &s})
}

// handleProgress takes the answer of a replica to an append or a heartbeat.
func (n *Node) handleProgress(m Message) {
	if n.role != Leader {
		return
	}
	p := n.leading.progress[m.From]
	if p == nil {
		return
	}
	p.active = true
	switch {
	case m.Type == MsgHeartbeatReply:
		n.handleHeartbeatReply(m, p)
	case m.Reject:
		n.handleReject(m, p)
	default:
		n.handleAcknowledged(m, p)
	}
	n.tryTransfer()
}

func (n *Node) handleReject(m Message, p *progress) {
	stale := m.Context != p.epoch || m.LogIndex <= p.match || (p.state == probing && m.LogIndex != p.next-1)
	if stale || p.state == snapshotting {
		return
	}
	p.probe(min(m.LogIndex, m.Hint+1))
	n.sendAppends(m.From, p)
}

func (n *Node) handleAcknowledged(m Message, p *progress) {
	if m.LogIndex > n.log.lastIndex() {
		return
	}
	advanced := p.acknowledged(m.LogIndex, m.Context)
	switch {
	case p.state == snapshotting && m.LogIndex < p.snapshot:
		return
	case p.state == snapshotting:
		p.probe(p.match + 1)
	case p.state == probing && m.Context == p.epoch:
		p.pipeline()
	}
	if advanced {
		n.advanceLeaderCommit()
	}
	if n.role == Leader {
		n.sendAppends(m.From, p)
	}
}

func (n *Node) handleHeartbeatReply(m Message, p *progress) {
	p.round = max(p.round, m.Context)
	n.confirmReads()
	isDone := p.match >= n.log.lastIndex() && m.LogIndex >= p.match
	if isDone || p.state == snapshotting {
		p.idle = 0
		return
	}
	// Appends or their answers may be lost, or the replica was restarted and no
	// longer knows that its log matches. The leader then probes from what it
	// knows to be synced.
	if p.idle++; p.idle >= p.patience {
		p.probeAgain()
	}
	n.sendAppends(m.From, p)
}

// advanceLeaderCommit commits what a quorum has synced. Only an entry of the
// own term is counted; it commits the entries before it.
func (n *Node) advanceLeaderCommit() {
	index := n.quorumMatch()
	if index <= n.commit {
		return
	}
	if term, known := n.log.term(index); !known || term != n.hard.Term {
		return
	}
	n.commit = index
	n.confirmReads()
}

// quorumMatch returns the highest index that a quorum of voters has synced.
func (n *Node) quorumMatch() uint64 {
	voters := n.log.membership().Voters()
	synced := make([]uint64, 0, len(voters))
	for _, id := range voters {
		if id == n.self() {
			synced = append(synced, n.persist.stable)
			continue
		}
		synced = append(synced, n.leading.progress[id].match)
	}
	slices.Sort(synced)
	return synced[(len(synced)-1)/2]
}
