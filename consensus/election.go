package consensus

// startPreVote asks the voters whether they would vote for this replica. It does
// not raise the term, so a replica that cannot win does not disrupt the leader.
func (n *Node) startPreVote() {
	n.becomeFollower(n.hardState.Term, ReplicaID{})
	n.role = PreCandidate
	n.votes = map[ReplicaID]bool{n.self(): true}
	n.retryElectionSoon()
	if n.hasVoteQuorum() {
		n.startElection(0)
		return
	}
	n.requestVotes(MsgPreVote, n.hardState.Term+1, 0)
}

// retryElectionSoon sets a timeout below the usual one. It bounds the delay after
// a split vote, or after a pre-vote that was rejected because a voter received the
// last heartbeat of the failed leader slightly later. With the usual timeout, an
// election with a split vote took 1.8 s in all.
func (n *Node) retryElectionSoon() {
	n.electionElapsed = 0
	n.electionTimeout = 2 + n.random.IntN(n.config.ElectionTicks/2+1)
}

func (n *Node) startElection(context uint64) {
	n.becomeFollower(n.hardState.Term+1, ReplicaID{})
	n.hardState.Vote = n.self()
	n.role = Candidate
	n.votes = map[ReplicaID]bool{n.self(): true}
	n.retryElectionSoon()
	if n.hasVoteQuorum() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MsgVote, n.hardState.Term, context)
}

func (n *Node) requestVotes(kind MessageType, term, context uint64) {
	for _, voter := range n.log.membership().Voters() {
		if voter == n.self() {
			continue
		}
		n.send(Message{
			Type:     kind,
			To:       voter,
			Term:     term,
			LogIndex: n.log.lastIndex(),
			LogTerm:  n.log.lastTerm(),
			Context:  context,
		})
	}
}

// hasVoteQuorum reports whether a quorum of the voters of the membership in effect
// has granted its vote.
func (n *Node) hasVoteQuorum() bool {
	membership := n.log.membership()
	granted := 0
	for _, voter := range membership.Voters() {
		if n.votes[voter] {
			granted++
		}
	}
	return granted >= membership.Quorum()
}

// isUpToDate reports whether the candidate's log contains every entry that may be
// committed as far as this replica knows.
func (n *Node) isUpToDate(m Message) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.LogIndex >= n.log.lastIndex()
}

func (n *Node) handlePreVote(m Message) {
	grant := m.Term > n.hardState.Term && !n.hasLiveLeader() && n.isUpToDate(m)
	reply := Message{Type: MsgPreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	n.send(reply)
}

func (n *Node) handlePreVoteReply(m Message) {
	if n.role != PreCandidate || m.Reject || m.Term != n.hardState.Term+1 {
		return
	}
	n.votes[m.From] = true
	if n.hasVoteQuorum() {
		n.startElection(0)
	}
}

func (n *Node) handleVote(m Message) {
	canVote := n.hardState.Vote.IsZero() || n.hardState.Vote == m.From
	grant := canVote && n.leader.IsZero() && n.isUpToDate(m)
	if grant {
		n.hardState.Vote = m.From
		n.resetElectionTimer()
	}
	n.send(Message{Type: MsgVoteReply, To: m.From, Reject: !grant})
}

func (n *Node) handleVoteReply(m Message) {
	if n.role != Candidate || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}

// handleTimeoutNow starts an election at once, because the leader transfers its
// leadership to this replica.
func (n *Node) handleTimeoutNow(m Message) {
	if n.role == Leader || m.From != n.leader || !n.log.membership().IsVoter(n.self()) {
		return
	}
	n.startElection(contextLeadershipTransfer)
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.self()
	n.leaderState = newLeaderState(n)
	n.appendAsLeader(EntryNoOp, nil)
	n.broadcastAppend()
}
