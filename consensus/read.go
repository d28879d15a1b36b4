package consensus

// Read asks to confirm that this replica still leads. The read with the context
// may be answered with the state at the index that Output.Reads gives later.
// Reads that are open when leadership is lost get no answer.
func (n *Node) Read(context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.leading.newReads = append(n.leading.newReads, context)
	return nil
}

// takeReads starts one round for the reads since the last one. A leader first
// needs a committed entry of its own term, because before that it may not know
// the newest committed entry.
func (n *Node) takeReads() {
	l := n.leading
	if l == nil || len(l.newReads) == 0 || n.commit < l.firstOwn {
		return
	}
	l.round++
	l.reads = append(l.reads, openRead{round: l.round, index: n.commit, contexts: l.newReads})
	l.newReads = nil
	n.broadcastHeartbeat()
	n.confirmReads()
}

// confirmReads releases the rounds that a quorum has answered.
func (n *Node) confirmReads() {
	l := n.leading
	if l == nil {
		return
	}
	for len(l.reads) > 0 && n.hasQuorumFor(l.reads[0].round) {
		for _, context := range l.reads[0].contexts {
			n.pending.Reads = append(n.pending.Reads, ReadReady{Context: context, Index: l.reads[0].index})
		}
		l.reads = l.reads[1:]
	}
}

func (n *Node) hasQuorumFor(round uint64) bool {
	membership := n.log.membership()
	count := 0
	for _, id := range membership.Voters() {
		if id == n.self() || n.leading.progress[id].round >= round {
			count++
		}
	}
	return count >= membership.Quorum()
}
