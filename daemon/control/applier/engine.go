package applier

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/readindex"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/state"
	"github.com/ibispier/ibispier/state/codec"
	"github.com/ibispier/ibispier/supervise"
)

// engine decides what the applier does. It has no clock and no ring: time,
// requests, decisions of the scheduler and updates of the replica come in, and
// inputs for the replica, responses and changes for the scheduler go out through
// the functions that it was given.
//
// Invariants: every request is answered once; a request that changes the state
// is answered "ok" only after its entry is applied; a read is answered only
// after a quorum has confirmed, later than the request arrived, that this
// member leads.
type engine struct {
	options Options
	submit  func(replica.Input) error // offers to the replica; fails when it takes no more
	log     *zap.Logger

	machine   *state.Machine
	applied   uint64
	status    replica.Status
	id        state.CommandID // of the last proposal
	proposals map[state.CommandID]*proposal
	reads     readindex.Queue
	members   map[uint64]*Request // membership changes by context
	context   uint64              // of the last membership change
	leader    *leadership         // nil unless this member leads
	feed      feed

	snapshotWanted bool
}

// maxProposals bounds the commands that wait for their entry, for example while
// the quorum is lost and this member has not noticed.
const maxProposals = 16384

// proposal waits for its entry.
type proposal struct {
	deadline time.Time
	done     func(now time.Time, r state.Result)
	fail     func()
}

func newEngine(o Options, submit func(replica.Input) error) *engine {
	return &engine{
		options:   o,
		submit:    submit,
		log:       o.Log,
		machine:   state.New(o.State),
		id:        state.CommandID{Origin: o.NewOrigin()},
		proposals: map[state.CommandID]*proposal{},
		members:   map[uint64]*Request{},
	}
}

// propose appends a command. done is called when it is applied, fail when that
// is not known any more. A replica whose disk is full takes no commands, and
// reads go on.
func (e *engine) propose(now time.Time, c *state.Command, deadline time.Time, done func(time.Time, state.Result), fail func()) {
	if e.status.ReadOnly || len(e.proposals) >= maxProposals {
		fail()
		return
	}
	e.id.Sequence++
	c.ID = e.id
	c.Now = now
	data, err := codec.EncodeCommand(c)
	if err == nil {
		err = e.submit(replica.Input{Propose: data})
	}
	if err != nil {
		fail()
		return
	}
	e.proposals[c.ID] = &proposal{deadline: deadline, done: done, fail: fail}
}

// update takes what the replica tells. Entries come before the status, so a
// command that was committed under this leadership is still answered.
func (e *engine) update(now time.Time, u replica.Update) error {
	if u.Snapshot != nil {
		if err := e.restore(u.Snapshot); err != nil {
			return err
		}
	}
	for _, entry := range u.Entries {
		if err := e.apply(now, entry); err != nil {
			return err
		}
	}
	if u.Status != nil {
		e.setStatus(now, *u.Status)
	}
	for _, r := range u.Reads {
		e.reads.HandleConfirmation(r)
	}
	e.reads.RunConfirmed(now, e.applied)
	for _, r := range u.MemberResults {
		e.memberResult(r)
	}
	e.snapshotWanted = e.snapshotWanted || u.SnapshotWanted
	return nil
}

// restore replaces the state. A log without a snapshot starts with an empty one.
func (e *engine) restore(s *replica.SnapshotData) error {
	if s.Index == 0 && len(s.Data) == 0 {
		e.machine, e.applied = state.New(e.options.State), 0
		return nil
	}
	img, err := codec.DecodeImage(s.Data)
	if err != nil {
		return supervise.Fatal(Error.New("step=restore index=%d: %w", s.Index, err))
	}
	e.machine = state.Restore(e.options.State, img)
	e.applied = s.Index
	return nil
}

// apply carries out one entry. An entry that can not be decoded would make this
// replica differ from the others, so it ends the process.
func (e *engine) apply(now time.Time, entry consensus.Entry) error {
	e.applied = entry.Index
	if entry.Kind != consensus.EntryNormal {
		return nil
	}
	c, err := codec.DecodeCommand(entry.Data)
	if err != nil {
		return supervise.Fatal(Error.New("step=apply index=%d: %w", entry.Index, err))
	}
	result := e.machine.Apply(c)
	if e.leader != nil {
		e.observe(now, result)
	}
	if p := e.proposals[c.ID]; p != nil {
		delete(e.proposals, c.ID)
		p.done(now, result)
	}
	return nil
}

// setStatus follows the leadership of this member. Another term is another
// leadership, even when this member leads again.
func (e *engine) setStatus(now time.Time, s replica.Status) {
	led := e.leader != nil
	changed := led != s.IsLeader || led && s.Term != e.leader.term
	e.status = s
	if !changed {
		return
	}
	if led {
		e.endLeadership()
	}
	if s.IsLeader {
		e.startLeadership(now, s.Term)
	}
}

// endLeadership answers everyone who waits. Their commands may be committed by
// the next leader, so the outcome is not known here.
func (e *engine) endLeadership() {
	e.log.Info("leadership ended", zap.Uint64("term", e.leader.term))
	proposals := e.proposals
	e.proposals = map[state.CommandID]*proposal{}
	for _, p := range proposals {
		p.fail()
	}
	e.reads.FailAll()
	e.leader.failAll()
	e.leader = nil
	e.feed.stop()
}

func (e *engine) startLeadership(now time.Time, term uint64) {
	e.log.Info("leadership started", zap.Uint64("term", term), zap.Uint64("applied", e.applied))
	e.leader = newLeadership(now, term, e.options, e.machine)
	e.feed.start()
}

// tick does what depends on time alone.
func (e *engine) tick(now time.Time) {
	for id, p := range e.proposals {
		if !p.deadline.After(now) {
			delete(e.proposals, id)
			p.fail()
		}
	}
	if e.leader == nil {
		return
	}
	e.reads.Expire(now)
	e.expireLeases(now)
	e.expireHeld(now)
	e.loseAgents(now)
	e.noteAlarms(now)
}

// flush sends what the calls before have collected.
func (e *engine) flush(now time.Time) {
	if e.leader == nil {
		e.feed.flush(nil, e)
		return
	}
	e.wakeAgents(now)
	e.reads.RequestConfirmation(now, e.submit)
	e.feed.flush(e.leader, e)
}

func (e *engine) memberResult(r replica.MemberResult) {
	req := e.members[r.Context]
	if req == nil {
		return
	}
	delete(e.members, r.Context)
	if r.Err != nil {
		req.refuse(r.Err)
		return
	}
	req.reply(e.membersResponse())
}

// abandon answers everyone who waits when the duty ends.
func (e *engine) abandon() {
	if e.leader != nil {
		e.endLeadership()
	}
	for context, req := range e.members {
		delete(e.members, context)
		req.unavailable()
	}
}

// reasonOf returns the reason of a refusal, which is a word and a message.
func reasonOf(err error) string {
	var typed *controlapi.Error
	if err == nil {
		return ""
	}
	if errors.As(err, &typed) {
		return typed.Reason + ": " + typed.Message
	}
	return err.Error()
}
