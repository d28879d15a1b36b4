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

// engine contains the decisions of the applier, without a clock or goroutines. Its
// callers pass in the time, requests, decisions of the scheduler and updates of
// the replica. It sends inputs to the replica through offerInput, responses
// through the repliers, and updates to the scheduler through feed.
//
// Invariants: every request gets exactly one response; a request that changes the
// state gets OK only after its entry is applied; a read gets OK only if a quorum
// has confirmed, after the request arrived, that this member leads.
type engine struct {
	options    Options
	offerInput func(replica.Input) error // fails when the ring of the replica is full
	log        *zap.Logger

	machine              *state.Machine
	applied              uint64
	status               replica.Status
	lastCommandID        state.CommandID
	pendingCommands      map[state.CommandID]*pendingCommand
	reads                readindex.Queue
	pendingMemberChanges map[uint64]*Request // by replica.MemberChange.Context
	lastMemberContext    uint64
	leader               *leadership // nil unless this member leads
	feed                 feed

	snapshotWanted bool
}

// maxPendingCommands limits the commands that wait for their log entry. They
// accumulate when the quorum is lost and this member still considers itself the
// leader.
const maxPendingCommands = 16384

// pendingCommand is a proposed command whose log entry is not applied yet.
// onUnknown is called instead of onApplied when its outcome can no longer be
// learned.
type pendingCommand struct {
	deadline  time.Time
	onApplied func(now time.Time, r state.Result)
	onUnknown func()
}

func newEngine(o Options, offerInput func(replica.Input) error) *engine {
	return &engine{
		options:              o,
		offerInput:           offerInput,
		log:                  o.Log,
		machine:              state.New(o.State),
		lastCommandID:        state.CommandID{Origin: o.NewOrigin()},
		pendingCommands:      map[state.CommandID]*pendingCommand{},
		pendingMemberChanges: map[uint64]*Request{},
	}
}

// propose proposes a command. It calls onApplied when the command is applied, or
// onUnknown when it cannot be proposed or its outcome can no longer be learned. A
// replica whose disk is full accepts no commands, while reads continue.
func (e *engine) propose(now time.Time, c *state.Command, deadline time.Time, onApplied func(time.Time, state.Result), onUnknown func()) {
	if e.status.ReadOnly || len(e.pendingCommands) >= maxPendingCommands {
		onUnknown()
		return
	}
	e.lastCommandID.Sequence++
	c.ID = e.lastCommandID
	c.Now = now
	data, err := codec.EncodeCommand(c)
	if err == nil {
		err = e.offerInput(replica.Input{Propose: data})
	}
	if err != nil {
		onUnknown()
		return
	}
	e.pendingCommands[c.ID] = &pendingCommand{deadline: deadline, onApplied: onApplied, onUnknown: onUnknown}
}

// handleUpdate processes an update of the replica. Entries are applied before the
// status, so that commands that were committed during a leadership that ends now
// still get their response.
func (e *engine) handleUpdate(now time.Time, u replica.Update) error {
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
		e.completeMemberChange(r)
	}
	e.snapshotWanted = e.snapshotWanted || u.SnapshotWanted
	return nil
}

// restore replaces the state by that of a snapshot. An empty snapshot, for a log
// that has none, gives an empty state.
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

// apply applies a log entry. If the entry cannot be decoded, skipping it would
// make this replica diverge from the others, so the process exits.
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
		e.handleResult(now, result)
	}
	if p := e.pendingCommands[c.ID]; p != nil {
		delete(e.pendingCommands, c.ID)
		p.onApplied(now, result)
	}
	return nil
}

// setStatus records the status of the replica and starts or ends the leadership of
// this member. A new term is a new leadership, even if this member leads again.
func (e *engine) setStatus(now time.Time, s replica.Status) {
	wasLeader := e.leader != nil
	changed := wasLeader != s.IsLeader || wasLeader && s.Term != e.leader.term
	e.status = s
	if !changed {
		return
	}
	if wasLeader {
		e.endLeadership()
	}
	if s.IsLeader {
		e.startLeadership(now, s.Term)
	}
}

// endLeadership responds Unavailable to all waiting requests. Their commands may
// still be committed by the next leader, so their outcome is unknown here.
func (e *engine) endLeadership() {
	e.log.Info("leadership ended", zap.Uint64("term", e.leader.term))
	pending := e.pendingCommands
	e.pendingCommands = map[state.CommandID]*pendingCommand{}
	for _, p := range pending {
		p.onUnknown()
	}
	e.reads.FailAll()
	e.leader.failHeldRequests()
	e.leader = nil
	e.feed.stop()
}

func (e *engine) startLeadership(now time.Time, term uint64) {
	e.log.Info("leadership started", zap.Uint64("term", term), zap.Uint64("applied", e.applied))
	e.leader = newLeadership(now, term, e.options, e.machine)
	e.feed.start()
}

// tick runs the periodic work: timeouts, lease expiry and alarms.
func (e *engine) tick(now time.Time) {
	for id, p := range e.pendingCommands {
		if !p.deadline.After(now) {
			delete(e.pendingCommands, id)
			p.onUnknown()
		}
	}
	if e.leader == nil {
		return
	}
	e.reads.Expire(now)
	e.expireLeases(now)
	e.expireHeldRequests(now)
	e.detectLostAgents(now)
	e.logAlarmChanges(now)
}

// flush sends what the preceding calls have collected: responses to held reports,
// read requests to the replica, and the update for the scheduler.
func (e *engine) flush(now time.Time) {
	if e.leader == nil {
		e.feed.flush(nil, e)
		return
	}
	e.replyToDueAgents(now)
	e.reads.RequestConfirmation(now, e.offerInput)
	e.feed.flush(e.leader, e)
}

func (e *engine) completeMemberChange(r replica.MemberResult) {
	req := e.pendingMemberChanges[r.Context]
	if req == nil {
		return
	}
	delete(e.pendingMemberChanges, r.Context)
	if r.Err != nil {
		req.replyRefused(r.Err)
		return
	}
	req.reply(e.membersResponse())
}

// failPending responds Unavailable to all waiting requests when the duty ends.
func (e *engine) failPending() {
	if e.leader != nil {
		e.endLeadership()
	}
	for context, req := range e.pendingMemberChanges {
		delete(e.pendingMemberChanges, context)
		req.replyUnavailable()
	}
}

// reasonOf returns the reason and the message of a refusal.
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
