package consensus

import "testing"

// leaderOfTwo returns a leader that has committed with b, and the append that
// committed it.
func leaderOfTwo(t *testing.T) (n *Node, b ReplicaID) {
	t.Helper()
	a, b := ReplicaID{"a", 1}, ReplicaID{"b", 2}
	m := Membership{Group: 1, Members: []Member{{a, true}, {b, true}}}
	n, err := New(Config{Self: a}, State{HardState: HardState{Term: 4}, Snapshot: Snapshot{Index: 1, Term: 1, Membership: m}})
	if err != nil {
		t.Fatal(err)
	}
	n.startElection(0)
	n.Step(Message{Type: MsgVoteReply, From: b, To: a, Term: 5, Group: 1})
	syncAndCollectAppends(n)
	n.Step(Message{Type: MsgAppendReply, From: b, To: a, Term: 5, Group: 1, LogIndex: 2})
	syncAndCollectAppends(n)
	return n, b
}

// syncAndCollectAppends syncs what the node writes and returns the entries that it sends.
func syncAndCollectAppends(n *Node) (entries int, context uint64) {
	out := n.TakeOutput()
	if out.Batch != nil {
		n.MarkSynced(out.Batch.Sequence)
	}
	messages := append(out.Messages, n.TakeOutput().Messages...)
	for _, m := range messages {
		if m.Type == MsgAppend {
			entries += len(m.Entries)
			context = m.Context
		}
	}
	return entries, context
}

// Guards against a leader that sends everything in flight again for each refused
// append, as refusals and answers to earlier appends come in turns: one lost
// append then grows into a hundred copies, and the slower the replica is, the
// more copies it gets.
func TestRefusalsOfOneLossCauseOneResend(t *testing.T) {
	n, b := leaderOfTwo(t)
	const count = 40
	for range count {
		if err := n.Propose([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	syncAndCollectAppends(n) // the appends of entries 3 to 42; that of entry 13 is lost
	sent := 0
	for i := uint64(13); i < 42; i++ {
		n.Step(Message{Type: MsgAppendReply, From: b, To: n.self(), Term: 5, Group: 1, Reject: true, LogIndex: i, Hint: 12})
		synced := min(i-10, 12) // the sync of an entry before the lost one
		n.Step(Message{Type: MsgAppendReply, From: b, To: n.self(), Term: 5, Group: 1, LogIndex: synced})
		entries, _ := syncAndCollectAppends(n)
		sent += entries
	}
	if sent == 0 || sent > count {
		t.Errorf("%d entries sent again after one lost append, want %d at most", sent, count)
	}
}

// Guards against a leader that floods a slow replica: heartbeats are answered, but
// a large append takes longer than a few heartbeats, and each copy of it delays
// the answer further.
func TestSlowReplicaIsNotFlooded(t *testing.T) {
	n, b := leaderOfTwo(t)
	data := make([]byte, 4<<10)
	for range 64 {
		if err := n.Propose(data); err != nil {
			t.Fatal(err)
		}
	}
	syncAndCollectAppends(n)
	copies, waited := 0, 0
	const slow = 30 // heartbeats until the replica answers
	for range 10 * slow {
		n.Step(Message{Type: MsgHeartbeatReply, From: b, To: n.self(), Term: 5, Group: 1, LogIndex: 2})
		if entries, _ := syncAndCollectAppends(n); entries > 0 {
			copies++
		}
		waited++
	}
	if copies > 10*slow/16 {
		t.Errorf("%d copies in %d heartbeats without progress", copies, waited)
	}
}
