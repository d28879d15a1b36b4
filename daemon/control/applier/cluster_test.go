package applier

import (
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/internal/testseed"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/state/codec"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

// cluster is a fake of a replicated log in virtual time. One leader at a time
// appends to a single log, in an order that may differ from that of the proposals.
// Members receive entries and leadership changes with a delay. Uncommitted
// proposals can be lost when the leader changes.
type cluster struct {
	now     time.Time
	rnd     *rand.Rand
	members []*member
	log     []consensus.Entry
	pending [][]byte // proposed to the leader, not committed
	reads   []pendingRead
	leader  int
	term    uint64
}

// pendingRead is an unconfirmed read request. Its index is that of the log when the
// read was requested. It may be confirmed after another member has become leader.
type pendingRead struct {
	member  int
	context uint64
	index   uint64
}

type member struct {
	engine    *engine
	delivered int
}

func newCluster(size int, seed int64) *cluster {
	c := &cluster{now: time.Unix(1_000_000, 0), rnd: rand.New(rand.NewSource(seed)), leader: -1}
	for i := range size {
		c.members = append(c.members, nil)
		c.restart(i)
	}
	return c
}

// restart gives a member a new engine, restored from a snapshot of the old engine
// if there is one.
func (c *cluster) restart(i int) {
	o := DefaultOptions(zap.NewNop())
	o.NewOrigin = c.rnd.Uint64
	e := newEngine(o, func(in replica.Input) error { return c.acceptInput(i, in) })
	e.feed.out = ring.New[SchedulerUpdate]("scheduler.in", 16)
	m := &member{engine: e}
	c.reads = slices.DeleteFunc(c.reads, func(r pendingRead) bool { return r.member == i })
	if old := c.members[i]; old != nil {
		old.engine.failPending()
		data, err := codec.EncodeImage(old.engine.machine.Image())
		if err != nil {
			panic(err)
		}
		m.delivered = old.delivered
		c.update(m, replica.Update{Snapshot: &replica.SnapshotData{Index: uint64(old.delivered), Data: data}})
	}
	c.members[i] = m
}

func (c *cluster) update(m *member, u replica.Update) {
	if err := m.engine.handleUpdate(c.now, u); err != nil {
		panic(err)
	}
}

// acceptInput processes an input from the engine of member i. Inputs of a deposed
// leader that has not yet learned of its deposition are ignored.
func (c *cluster) acceptInput(i int, in replica.Input) error {
	if c.rnd.Intn(50) == 0 {
		return ring.ErrFull
	}
	switch {
	case i != c.leader:
	case in.Propose != nil:
		c.pending = append(c.pending, in.Propose)
		if n := len(c.pending); n > 1 && c.rnd.Intn(3) == 0 { // proposals may be reordered
			c.pending[n-1], c.pending[n-2] = c.pending[n-2], c.pending[n-1]
		}
	case in.ReadContext != 0:
		c.reads = append(c.reads, pendingRead{i, in.ReadContext, uint64(len(c.log))})
	}
	return nil
}

func (c *cluster) commit(n int) {
	for _, data := range c.pending[:min(n, len(c.pending))] {
		c.log = append(c.log, consensus.Entry{Index: uint64(len(c.log) + 1), Term: c.term, Data: data})
	}
	c.pending = c.pending[min(n, len(c.pending)):]
}

// deliver sends up to n log entries to member i.
func (c *cluster) deliver(i, n int) {
	m := c.members[i]
	end := min(m.delivered+n, len(c.log))
	c.update(m, replica.Update{Entries: c.log[m.delivered:end]})
	m.delivered = end
}

// confirmReads confirms all pending reads.
func (c *cluster) confirmReads() {
	reads := c.reads
	c.reads = nil
	for _, r := range reads {
		c.update(c.members[r.member], replica.Update{Reads: []replica.ReadReady{{Context: r.context, Index: r.index}}})
	}
}

// elect makes member i the leader. A random part of the pending proposals of the
// old leader is committed, and the rest is lost.
func (c *cluster) elect(i int) {
	c.commit(c.rnd.Intn(len(c.pending) + 1))
	c.pending = nil
	if c.rnd.Intn(2) == 0 {
		c.reads = nil
	}
	c.leader = i
	c.term++
	c.sendStatus(i)
}

// sendStatus sends member i its current status.
func (c *cluster) sendStatus(i int) {
	s := replica.Status{IsLeader: i == c.leader, Term: c.term}
	c.update(c.members[i], replica.Update{Status: &s})
}

func (c *cluster) flush() {
	for _, m := range c.members {
		m.engine.flush(c.now)
		m.engine.feed.out.Drain(nil, 16)
	}
}

// settle commits, delivers and confirms everything that is pending.
func (c *cluster) settle() {
	for range 3 {
		c.flush()
		c.commit(len(c.pending))
		for i := range c.members {
			c.sendStatus(i)
			c.deliver(i, len(c.log))
		}
		c.confirmReads()
		c.flush()
	}
}

// advance advances the virtual time and ticks every engine.
func (c *cluster) advance(d time.Duration) {
	c.now = c.now.Add(d)
	for _, m := range c.members {
		m.engine.tick(c.now)
	}
	c.flush()
}

// recordedReply is a Replier that records the response and the number of responses.
type recordedReply struct {
	Response
	count int
}

// Reply implements Replier.
func (a *recordedReply) Reply(r Response) {
	a.Response = r
	a.count++
}

// request sends a request to member i and returns the record of its response.
func (c *cluster) request(i int, op controlapi.Operation, body any) *recordedReply {
	a := new(recordedReply)
	c.members[i].engine.handleRequest(c.now, &Request{Operation: op, Body: body, Deadline: c.now.Add(2 * time.Second), Replier: a})
	c.flush()
	return a
}

// mustRequest sends a request to member i, repeatedly if the outcome is unknown,
// and returns the body of the response.
func mustRequest[T any](t *testing.T, c *cluster, i int, op controlapi.Operation, body any) T {
	t.Helper()
	for range 20 { // a full ring of the replica gives "unavailable"
		a := c.request(i, op, body)
		c.settle()
		if a.count == 1 && a.Status == OK {
			return a.Body.(T)
		}
		if a.count == 1 && a.Status != Unavailable {
			t.Fatalf("%s: got %+v, want status OK", op, a.Response)
		}
	}
	t.Fatalf("%s got no response with status OK in 20 attempts", op)
	panic("unreachable")
}
