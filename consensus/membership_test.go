package consensus

import "testing"

var (
	replicaA = ReplicaID{"a", 1}
	replicaB = ReplicaID{"b", 2}
	replicaC = ReplicaID{"c", 3}
)

// newLeaderOfThree returns a leader of term 5 in a group of three that has not
// committed an entry in that term.
func newLeaderOfThree(t *testing.T) *Node {
	t.Helper()
	n, err := New(Config{Self: replicaA}, State{
		HardState: HardState{Term: 4},
		Snapshot: Snapshot{Index: 1, Term: 1, Membership: Membership{
			Group: 1, Members: []Member{{replicaA, true}, {replicaB, true}, {replicaC, true}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	n.startElection(0)
	n.Step(Message{Type: MsgVoteReply, From: replicaB, To: replicaA, Term: 5, Group: 1})
	if n.Role() != Leader {
		t.Fatal("not elected by two of three")
	}
	return n
}

// Guards against a membership change by a leader that has committed nothing in its
// term: its membership may be older than that of the previous leader.
func TestNoChangeBeforeACommitOfTheTerm(t *testing.T) {
	n := newLeaderOfThree(t)
	change := Change{Kind: AddLearner, Replica: ReplicaID{"d", 4}}
	if _, err := n.ChangeMembership(change); err != ErrChangePending {
		t.Fatalf("got %v, want %v", err, ErrChangePending)
	}
	n.MarkSynced(n.TakeOutput().Batch.Sequence)
	n.Step(Message{Type: MsgAppendReply, From: replicaB, To: replicaA, Term: 5, Group: 1, LogIndex: 2})
	if _, err := n.ChangeMembership(change); err != nil {
		t.Fatal(err)
	}
}

// Guards against a read that a leader confirms alone, or with a reply to an earlier
// round.
func TestReadNeedsAQuorumOfTheRound(t *testing.T) {
	n := newLeaderOfThree(t)
	n.MarkSynced(n.TakeOutput().Batch.Sequence)
	n.Step(Message{Type: MsgAppendReply, From: replicaB, To: replicaA, Term: 5, Group: 1, LogIndex: 2})
	if err := n.Read(7); err != nil {
		t.Fatal(err)
	}
	if reads := n.TakeOutput().Reads; len(reads) > 0 {
		t.Fatal("a read was confirmed without a quorum")
	}
	for round, confirmed := range []bool{false, true} {
		n.Step(Message{Type: MsgHeartbeatReply, From: replicaB, To: replicaA, Term: 5, Group: 1, LogIndex: 2, Context: uint64(round)})
		if got := len(n.TakeOutput().Reads) > 0; got != confirmed {
			t.Fatalf("answer to round %d: confirmed is %v", round, got)
		}
	}
}

// Guards against changes that add or remove more than one voter, count a learner as
// a voter, or leave two incarnations of one id in the group.
func TestApplyChange(t *testing.T) {
	m := Membership{Group: 1, Members: []Member{{replicaA, true}, {replicaB, true}, {ReplicaID{"d", 4}, false}}}
	for name, c := range map[string]struct {
		change Change
		voters int // 0 for a refusal
	}{
		"add":                      {Change{Kind: AddLearner, Replica: replicaC}, 2},
		"add beside old":           {Change{Kind: AddLearner, Replica: ReplicaID{"b", 9}}, 0},
		"promote":                  {Change{Kind: Promote, Replica: ReplicaID{"d", 4}}, 3},
		"promote stranger":         {Change{Kind: Promote, Replica: replicaC}, 0},
		"promote old incarnation":  {Change{Kind: Promote, Replica: ReplicaID{"d", 3}}, 0},
		"remove voter":             {Change{Kind: Remove, Replica: replicaB}, 1},
		"remove learner":           {Change{Kind: Remove, Replica: ReplicaID{"d", 4}}, 2},
		"remove other incarnation": {Change{Kind: Remove, Replica: ReplicaID{"b", 9}}, 0},
	} {
		next, err := m.apply(c.change)
		if (err != nil) != (c.voters == 0) {
			t.Errorf("%s: got %v", name, err)
		}
		if err == nil && (len(next.Voters()) != c.voters || next.Quorum() != c.voters/2+1) {
			t.Errorf("%s: %d voters, quorum %d", name, len(next.Voters()), next.Quorum())
		}
	}
	last := Membership{Members: []Member{{replicaA, true}}}
	if _, err := last.apply(Change{Kind: Remove, Replica: replicaA}); err == nil {
		t.Error("the last voter was removed")
	}
}

// Guards against a membership that stays in effect after its entry was
// overwritten.
func TestTruncatedMembershipIsUndone(t *testing.T) {
	n := newLeaderOfThree(t)
	n.MarkSynced(n.TakeOutput().Batch.Sequence)
	n.Step(Message{Type: MsgAppendReply, From: replicaB, To: replicaA, Term: 5, Group: 1, LogIndex: 2})
	if _, err := n.ChangeMembership(Change{Kind: Remove, Replica: replicaC}); err != nil {
		t.Fatal(err)
	}
	if len(n.Membership().Members) != 2 {
		t.Fatal("a change does not take effect when it is appended")
	}
	n.Step(Message{
		Type: MsgAppend, From: replicaB, To: replicaA, Term: 6, Group: 1, LogIndex: 2, LogTerm: 5,
		Entries: []Entry{{Index: 3, Term: 6, Kind: EntryNoOp}},
	})
	if len(n.Membership().Members) != 3 {
		t.Fatalf("membership %v after its entry was overwritten", n.Membership().Members)
	}
}

// Guards against a repair of a wiped replica in the wrong order, against the removal
// of an incarnation that still responds, and against the return of an id that an
// operator has removed.
func TestNextChange(t *testing.T) {
	wiped := ReplicaID{"b", 9}
	all := []Member{{replicaA, true}, {replicaB, true}, {replicaC, true}}
	for name, c := range map[string]struct {
		members  []Member
		excluded []string
		active   bool // the old incarnation responds
		caughtUp bool
		want     Change
	}{
		"remove the old incarnation": {members: all, want: Change{Kind: Remove, Replica: replicaB}},
		"old incarnation answers":    {members: all, active: true},
		"add the new incarnation":    {members: []Member{{replicaA, true}, {replicaC, true}}, want: Change{Kind: AddLearner, Replica: wiped}},
		"removed by an operator":     {members: []Member{{replicaA, true}, {replicaC, true}}, excluded: []string{"b"}},
		"not caught up":              {members: []Member{{replicaA, true}, {replicaC, true}, {wiped, false}}},
		"promote": {members: []Member{{replicaA, true}, {replicaC, true}, {wiped, false}}, caughtUp: true,
			want: Change{Kind: Promote, Replica: wiped}},
	} {
		got, needed := NextChange(ReconcileInput{
			Self:             replicaA,
			DesiredIDs:       []string{"a", "b", "c", "never seen"},
			Membership:       Membership{Members: c.members, Excluded: c.excluded},
			SeenIncarnations: map[string]uint64{"b": wiped.Incarnation, "c": replicaC.Incarnation},
			Progress:         []Progress{{Member: Member{ID: replicaB, Voter: true}, Active: c.active}},
			IsCaughtUp:       func(ReplicaID) bool { return c.caughtUp },
		})
		if got != c.want || needed != (c.want != Change{}) {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

// Guards against the promotion of a learner that lacks committed entries: the loss
// of another disk right after it could lose them.
func TestPromotionWaitsForTheLog(t *testing.T) {
	n := newLeaderOfThree(t)
	answer := func(from ReplicaID, index uint64) {
		n.Step(Message{Type: MsgAppendReply, From: from, To: replicaA, Term: 5, Group: 1, LogIndex: index})
	}
	n.MarkSynced(n.TakeOutput().Batch.Sequence)
	answer(replicaB, 2)
	learner := ReplicaID{"d", 4}
	if _, err := n.ChangeMembership(Change{Kind: AddLearner, Replica: learner}); err != nil {
		t.Fatal(err)
	}
	n.MarkSynced(n.TakeOutput().Batch.Sequence)
	answer(replicaB, 3)
	n.Tick()
	for index, want := range []bool{false, false, false, true} {
		answer(learner, uint64(index))
		if n.IsCaughtUp(learner) != want {
			t.Fatalf("learner has synced %d of 3: caught up is %v", index, !want)
		}
	}
}
