package consensus

// Read requests a confirmation that this replica still leads. Output.Reads later
// returns the context with the index whose state may answer the read. Reads that
// are pending when leadership is lost get no reply.
func (n *Node) Read(context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.leaderState.queuedReads = append(n.leaderState.queuedReads, context)
	return nil
}

// startReadRound starts one round for all reads since the last one. The leader
// needs a committed entry of its own term first: before that it may not know the
// newest committed entry.
func (n *Node) startReadRound() {
	l := n.leaderState
	if l == nil || len(l.queuedReads) == 0 || n.commitIndex < l.termStartIndex {
		return
	}
	l.readRound++
	l.pendingReads = append(l.pendingReads, pendingReadRound{round: l.readRound, index: n.commitIndex, contexts: l.queuedReads})
	l.queuedReads = nil
	n.broadcastHeartbeat()
	n.confirmReads()
}

// confirmReads completes the read rounds that a quorum has confirmed.
func (n *Node) confirmReads() {
	l := n.leaderState
	if l == nil {
		return
	}
	for len(l.pendingReads) > 0 && n.hasReadQuorum(l.pendingReads[0].round) {
		for _, context := range l.pendingReads[0].contexts {
			n.pending.Reads = append(n.pending.Reads, ReadReady{Context: context, Index: l.pendingReads[0].index})
		}
		l.pendingReads = l.pendingReads[1:]
	}
}

func (n *Node) hasReadQuorum(round uint64) bool {
	membership := n.log.membership()
	count := 0
	for _, id := range membership.Voters() {
		if id == n.self() || n.leaderState.progress[id].readRound >= round {
			count++
		}
	}
	return count >= membership.Quorum()
}
