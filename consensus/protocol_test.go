package consensus

import "testing"

func newThreeVoters(t *testing.T) (*network, *simulatedReplica) {
	w := newNetwork(t, 3, 1)
	w.settle("full membership", w.allAreVoters)
	return w, w.leader()
}

func (w *network) isolate(r *simulatedReplica, isolated bool) {
	for _, other := range w.replicas {
		w.blocked[[2]string{r.id.ID, other.id.ID}] = isolated
		w.blocked[[2]string{other.id.ID, r.id.ID}] = isolated
	}
}

func (w *network) rounds(count int) {
	for range count {
		w.round(false)
	}
}

func (w *network) follower(leader *simulatedReplica) *simulatedReplica {
	for _, r := range w.replicas {
		if r != leader {
			return r
		}
	}
	return nil
}

// Guards against a replica that raises its term while it is partitioned and
// deposes a healthy leader when it returns (pre-vote).
func TestReturningReplicaDoesNotDeposeTheLeader(t *testing.T) {
	w, leader := newThreeVoters(t)
	term := leader.node.Term()
	cut := w.follower(leader)
	w.isolate(cut, true)
	w.rounds(100)
	w.isolate(cut, false)
	w.rounds(20)
	if w.leader() != leader || leader.node.Term() != term {
		t.Fatalf("leader %s in term %d, want %s in term %d", w.leader().id, w.leader().node.Term(), leader.id, term)
	}
}

// Guards against a vote request for a higher term that deposes a live leader, for
// example from a replica that has lost contact with only the leader (leader
// stickiness).
func TestVoteForAHigherTermIsIgnoredBesideALeader(t *testing.T) {
	w, leader := newThreeVoters(t)
	voter := w.follower(leader)
	var candidate *simulatedReplica
	for _, r := range w.replicas {
		if r != leader && r != voter {
			candidate = r
		}
	}
	for _, to := range []*simulatedReplica{voter, leader} {
		term := to.node.Term()
		to.node.Step(Message{
			Type: MsgVote, From: candidate.id, To: to.id, Term: term + 5, Group: to.node.Membership().Group,
			LogIndex: candidate.node.LastIndex(), LogTerm: candidate.node.log.lastTerm(),
		})
		if to.node.Term() != term {
			t.Fatalf("%s moved to term %d beside a live leader", to.id, to.node.Term())
		}
	}
}

// Guards against a leader that stays leader without contact to a quorum
// (check-quorum).
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	w, leader := newThreeVoters(t)
	w.isolate(leader, true)
	w.rounds(3 * leader.node.config.ElectionTicks)
	if leader.node.Role() == Leader {
		t.Fatal("an isolated replica still leads")
	}
}

// Guards against messages and votes that are accepted from an unknown incarnation
// or from another group.
func TestUnknownIncarnationsAndGroupsCountForNothing(t *testing.T) {
	w, leader := newThreeVoters(t)
	voter := w.follower(leader)
	wiped := ReplicaID{ID: leader.id.ID, Incarnation: 99}
	w.crash(leader)
	for range 100 {
		voter.node.Tick()
	}
	group := voter.node.Membership().Group
	last, lastTerm := voter.node.LastIndex(), voter.node.log.lastTerm()
	voter.node.TakeOutput()
	vote := Message{Type: MsgVote, To: voter.id, Term: 50, LogIndex: last + 9, LogTerm: lastTerm + 9}
	for _, c := range []struct {
		from  ReplicaID
		group uint64
	}{{wiped, group}, {leader.id, group + 1}} {
		vote.From, vote.Group = c.from, c.group
		voter.node.Step(vote)
		if voter.node.Term() >= 50 {
			t.Fatalf("a vote request of %s in group %d was accepted", c.from, c.group)
		}
	}
	voter.node.startElection(0)
	voter.node.Step(Message{Type: MsgVoteReply, From: wiped, To: voter.id, Term: voter.node.Term(), Group: group})
	if voter.node.Role() == Leader {
		t.Fatal("the vote of a wiped replica was counted")
	}
	overwrite := Message{
		Type: MsgAppend, From: leader.id, To: voter.id, Term: 60, Group: group + 1, LogIndex: last, LogTerm: lastTerm,
		Entries: []Entry{{Index: last + 1, Term: 60}},
	}
	if voter.node.Step(overwrite); voter.node.LastIndex() != last {
		t.Fatal("the leader of another group appended an entry")
	}
}

// Guards against a replica without state that votes or stands for election.
func TestBlankReplicaNeitherVotesNorStands(t *testing.T) {
	blank, err := New(Config{Self: ReplicaID{ID: "x", Incarnation: 1}}, State{})
	if err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		blank.Tick()
	}
	for _, kind := range []MessageType{MsgPreVote, MsgVote} {
		blank.Step(Message{Type: kind, From: ReplicaID{ID: "a", Incarnation: 1}, To: blank.self(), Group: 3, Term: 9, LogIndex: 9, LogTerm: 9})
	}
	if out := blank.TakeOutput(); len(out.Messages) > 0 || out.Batch != nil || blank.Role() != Follower {
		t.Fatalf("a blank replica did %+v", out)
	}
}

// Guards against a follower that restarts within a term and does not learn the
// commit index before the next new entry.
func TestRestartedFollowerLearnsTheCommit(t *testing.T) {
	w, leader := newThreeVoters(t)
	r, term := w.follower(leader), leader.node.Term()
	w.crash(r)
	w.rounds(1)
	w.restart(r)
	w.rounds(20)
	if leader.node.Term() != term || r.applied != leader.node.CommitIndex() {
		t.Fatalf("applied %d in term %d, want %d in term %d", r.applied, r.node.Term(), leader.node.CommitIndex(), term)
	}
}

// Guards against a leader that sends an unbounded number of appends to a replica
// that does not reply, and against one that waits for each reply.
func TestFlowControl(t *testing.T) {
	w, leader := newThreeVoters(t)
	silent := w.follower(leader)
	w.messages = nil
	for range 100 {
		w.propose(leader, 1)
	}
	sent := 0
	for _, m := range w.messages {
		if m.To == silent.id && m.Type == MsgAppend {
			sent++
		}
	}
	if limit := leader.node.config.MaxInFlightAppends; sent != limit {
		t.Fatalf("%d appends in flight, want %d", sent, limit)
	}
}

// Guards against a membership change that is proposed before the previous one is
// committed.
func TestChangesOneAtATime(t *testing.T) {
	_, leader := newThreeVoters(t)
	first := Change{Kind: AddLearner, Replica: ReplicaID{ID: "x", Incarnation: 50}}
	second := Change{Kind: AddLearner, Replica: ReplicaID{ID: "y", Incarnation: 51}}
	if _, err := leader.node.ChangeMembership(first); err != nil {
		t.Fatal(err)
	}
	if _, err := leader.node.ChangeMembership(second); err != ErrChangePending {
		t.Fatalf("second change: got %v, want %v", err, ErrChangePending)
	}
}

// Guards against the removal of a voter that leaves no responding quorum.
func TestRemovalNeedsAQuorumOfTheRest(t *testing.T) {
	w, leader := newThreeVoters(t)
	gone := w.follower(leader)
	w.crash(gone)
	for range 5 {
		w.rounds(leader.node.config.ElectionTicks)
	}
	for _, r := range w.replicas {
		if r == leader || r == gone {
			continue
		}
		if _, err := leader.node.ChangeMembership(Change{Kind: Remove, Replica: r.id}); err == nil {
			t.Fatal("a removal that leaves no quorum was proposed")
		}
	}
}

// Guards against an entry that counts towards the quorum before it is synced, at a
// follower and at the leader itself.
func TestOnlySyncedEntriesCount(t *testing.T) {
	w, leader := newThreeVoters(t)
	follower := w.follower(leader)
	for _, r := range w.replicas {
		if r != leader && r != follower {
			w.crash(r)
		}
	}
	for _, unsynced := range []*simulatedReplica{leader, follower} {
		before := leader.node.CommitIndex()
		w.propose(leader, 1)
		for range 20 {
			w.deliverAll()
			w.sync(leader, boolToInt(unsynced != leader))
			w.sync(follower, boolToInt(unsynced != follower))
		}
		if leader.node.CommitIndex() != before {
			t.Fatalf("an entry that %s has not synced was committed", unsynced.id)
		}
		w.rounds(5)
		if leader.node.CommitIndex() <= before {
			t.Fatal("the entry was not committed after the sync")
		}
	}
}

func (w *network) deliverAll() {
	for range len(w.messages) {
		w.deliverOne(false)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against a vote that is sent before it is synced: after a crash the
// replica could vote a second time in the same term.
func TestVoteWaitsForItsSync(t *testing.T) {
	w, leader := newThreeVoters(t)
	voter := w.follower(leader)
	var candidate *simulatedReplica
	for _, r := range w.replicas {
		if r != leader && r != voter {
			candidate = r
		}
	}
	w.crash(leader)
	for range 10 {
		voter.node.Tick()
	}
	voter.node.TakeOutput()
	voter.node.Step(Message{
		Type: MsgVote, From: candidate.id, To: voter.id, Term: 90, Group: voter.node.Membership().Group,
		LogIndex: voter.node.LastIndex(), LogTerm: voter.node.log.lastTerm(),
	})
	out := voter.node.TakeOutput()
	if out.Batch == nil || out.Batch.HardState == nil || len(out.Messages) > 0 {
		t.Fatalf("vote before its sync: %+v", out)
	}
	voter.node.MarkSynced(out.Batch.Sequence)
	out = voter.node.TakeOutput()
	if len(out.Messages) == 0 || out.Messages[len(out.Messages)-1].Type != MsgVoteReply || out.Messages[len(out.Messages)-1].Reject {
		t.Fatalf("no vote after its sync: %+v", out)
	}
}

// Guards against the sync of an overwritten entry that counts for the entry that
// replaced it.
func TestSyncOfAnOverwrittenEntryDoesNotCount(t *testing.T) {
	w, leader := newThreeVoters(t)
	r := w.follower(leader)
	n := r.node
	n.TakeOutput()
	last, lastTerm := n.LastIndex(), n.log.lastTerm()
	send := func(term uint64, count int) *Batch {
		m := Message{
			Type: MsgAppend, From: leader.id, To: r.id, Term: term, Group: n.Membership().Group,
			LogIndex: last, LogTerm: lastTerm,
		}
		for i := range count {
			m.Entries = append(m.Entries, Entry{Index: last + 1 + uint64(i), Term: term})
		}
		n.Step(m)
		return n.TakeOutput().Batch
	}
	first := send(n.Term(), 3)
	second := send(n.Term()+1, 2)
	n.MarkSynced(first.Sequence)
	if n.persistence.stableIndex > last {
		t.Fatalf("stable up to %d after the sync of overwritten entries, want %d", n.persistence.stableIndex, last)
	}
	n.MarkSynced(second.Sequence)
	if n.persistence.stableIndex != last+2 {
		t.Fatalf("stable up to %d, want %d", n.persistence.stableIndex, last+2)
	}
}

// Guards against an entry of an older term that counts as committed once a quorum
// has it: a later leader may still replace it.
func TestEntriesOfOlderTermsAreNotCounted(t *testing.T) {
	a, b, c := ReplicaID{"a", 1}, ReplicaID{"b", 2}, ReplicaID{"c", 3}
	m := Membership{Group: 1, Members: []Member{{a, true}, {b, true}, {c, true}}}
	n, err := New(Config{Self: a}, State{
		HardState: HardState{Term: 4},
		Snapshot:  Snapshot{Index: 1, Term: 1, Membership: m},
		Entries:   []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 3}},
	})
	if err != nil {
		t.Fatal(err)
	}
	n.startElection(0)
	n.Step(Message{Type: MsgVoteReply, From: b, To: a, Term: 5, Group: 1})
	batch := n.TakeOutput().Batch
	n.Step(Message{Type: MsgAppendReply, From: b, To: a, Term: 5, Group: 1, LogIndex: 3})
	if n.CommitIndex() != 1 {
		t.Fatalf("commit %d after a quorum has only entries of older terms, want 1", n.CommitIndex())
	}
	n.MarkSynced(batch.Sequence)
	n.Step(Message{Type: MsgAppendReply, From: b, To: a, Term: 5, Group: 1, LogIndex: 4})
	if n.CommitIndex() != 4 {
		t.Fatalf("commit %d after a quorum has an entry of the term, want 4", n.CommitIndex())
	}
}
