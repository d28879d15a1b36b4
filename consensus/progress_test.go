package consensus

import "testing"

// leaderOfTwo returns a leader that has committed an entry with b, and the id of b.
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

// syncAndCollectAppends syncs what the node writes and returns the number of
// entries that it sends and the context of the last append.
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

// Guards against a leader that resends everything in flight for each rejected
// append while rejections and replies to earlier appends alternate: one lost
// append then causes a hundred copies, and the slower the replica, the more.
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

// Guards against a leader that floods a slow replica: the replica answers
// heartbeats, but a large append takes longer than a few heartbeats, and each copy
// of it delays the reply further.
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
	const slow = 30 // heartbeats until the replica replies to an append
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

// Guards against a log in memory that is bounded by entries only: a thousand large ones
// exceeded the memory of a member.
func TestTrailingEntriesAreBoundedInBytes(t *testing.T) {
	l, err := newEntryLog(State{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(100) {
		if err := l.append([]Entry{{Index: i + 1, Term: 1, Data: make([]byte, 10)}}); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		last, maxEntries uint64
		maxBytes         int
		want             uint64
	}{
		{80, 1000, 1000, 0},
		{80, 20, 1000, 60},
		{80, 1000, 50, 75},
		{80, 3, 50, 77},
		{80, 1000, 5, 80},
	} {
		if got := l.trailingFrom(c.last, c.maxEntries, c.maxBytes); got != c.want {
			t.Errorf("%+v: entries are kept after %d", c, got)
		}
	}
}
