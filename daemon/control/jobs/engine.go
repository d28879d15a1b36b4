package jobs

import (
	"bytes"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/control/readindex"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/supervise"
)

const (
	// readTimeout is how long a read waits for confirmation by a quorum.
	readTimeout = 2 * time.Second
	// bootstrapInterval is the time between attempts to create the group.
	bootstrapInterval = 500 * time.Millisecond
	// cleanUpInterval is the time between two calls of cleanUp. It is short beside a
	// lease and the retention time of jobs.
	cleanUpInterval = 500 * time.Millisecond
)

// engine implements the decisions of the duty without clock and rings: it
// receives the time, requests and updates of the replica, and emits inputs for
// the replica and answers.
//
// Invariants: every request is answered exactly once; an acceptance is answered
// only after its entry is applied; every other answer, and every order, is sent
// only after a quorum has confirmed, later than the request arrived, that this
// member leads.
type engine struct {
	options    Options
	offerInput func(replica.Input) error
	log        *zap.Logger

	store    *job.Store
	applied  uint64 // index of the last applied entry
	status   replica.Status
	origin   uint64            // ID of this engine in its commands
	sequence uint64            // of the last proposed command
	batch    batch             // next command
	inFlight map[uint64]*batch // proposed but not applied, by sequence
	overdue  map[uint64]*batch // in flight for longer than proposalTimeout
	reads    readindex.Queue
	leader   *leadership // nil unless this member leads
	gauges   refusalGauges
	shares   shareReport

	membersChanged bool
	snapshotWanted bool
	nextBootstrap  time.Time // time of the next attempt
	nextProbe      time.Time // time of the next probe while too many commands are overdue
	changeContext  uint64    // ID of the last membership change
}

func newEngine(o Options, origin uint64, offerInput func(replica.Input) error) *engine {
	return &engine{
		options:    o,
		offerInput: offerInput,
		log:        o.Log,
		store:      job.NewStore(),
		origin:     origin,
		inFlight:   map[uint64]*batch{},
		overdue:    map[uint64]*batch{},
		shares:     newShareReport(o.Metrics, o.Log),
	}
}

// handleUpdate processes an update of the replica.
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
		if r.Err != nil {
			e.log.Info("membership change refused", zap.Error(r.Err))
		}
	}
	e.snapshotWanted = e.snapshotWanted || u.SnapshotWanted
	return nil
}

func (e *engine) restore(s *replica.SnapshotData) error {
	e.store, e.applied = job.NewStore(), s.Index
	if len(s.Data) > 0 {
		if err := json.Unmarshal(s.Data, e.store); err != nil {
			return supervise.Fatal(Error.New("step=restore index=%d: %w", s.Index, err))
		}
		e.store.RebuildIndexes()
	}
	return nil
}

// apply applies one entry. An entry that cannot be decoded would make this
// replica diverge from the others, so the error is fatal.
func (e *engine) apply(now time.Time, entry consensus.Entry) error {
	e.applied = entry.Index
	if entry.Kind != consensus.EntryNormal {
		return nil
	}
	c, err := e.decode(entry)
	if err != nil {
		return err
	}
	if e.leader != nil {
		e.leader.beforeApply(now, e.store, c)
	}
	e.store.Apply(c)
	if e.leader != nil {
		e.leader.afterApply(e.store, c)
		e.recordFinished(time.Now())
		e.recordCopies(c)
	} else {
		e.store.TakeChanged() // a new leader starts with the whole store
	}
	if c.Origin != e.origin {
		return nil
	}
	if b := e.settle(c.Sequence); b != nil {
		e.confirmByCommit(b, entry.Term)
		for _, p := range b.parts {
			if p.onApplied != nil {
				p.onApplied(now)
			}
		}
	}
	return nil
}

// confirmByCommit takes the commit of an own entry as a confirmation of the
// leadership: in the term of the entry, a quorum has acknowledged it after it was
// proposed. If another leader has committed it, the replica reports the lost
// leadership in the same update, before any order is sent.
func (e *engine) confirmByCommit(b *batch, term uint64) {
	if l := e.leader; l != nil && l.term == term && b.proposed.After(l.confirmedAt) {
		l.confirmedAt = b.proposed
	}
}

// decode returns the command of an entry. A command that this engine has proposed
// itself is not decoded again: all its strings come from decoded JSON, so encoding
// does not change them.
func (e *engine) decode(entry consensus.Entry) (*job.Command, error) {
	for _, waiting := range []map[uint64]*batch{e.inFlight, e.overdue} {
		for _, b := range waiting {
			if bytes.Equal(b.encoded, entry.Data) {
				return &b.command, nil
			}
		}
	}
	c, err := decodeCommand(entry.Data)
	if err != nil {
		return nil, supervise.Fatal(Error.New("step=apply index=%d: %w", entry.Index, err))
	}
	return c, nil
}

// setStatus tracks the leadership of this member. A new term starts a new
// leadership, even if this member was the leader before.
func (e *engine) setStatus(now time.Time, s replica.Status) {
	led := e.leader != nil
	changed := led != s.IsLeader || led && s.Term != e.leader.term
	if s.Leader != e.status.Leader {
		e.log.Info("leader changed", zap.String("leader", s.Leader), zap.Uint64("term", s.Term))
	}
	e.membersChanged = e.membersChanged || len(s.Members) != len(e.status.Members) || e.status.Leader != s.Leader
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

// memberIDs returns the IDs of the control members.
func (e *engine) memberIDs() []string {
	ids := make([]string, 0, len(e.status.Members))
	for _, m := range e.status.Members {
		ids = append(ids, m.ID.ID)
	}
	return ids
}

func (e *engine) startLeadership(now time.Time, term uint64) {
	e.log.Info("leadership started", zap.Uint64("term", term), zap.Uint64("applied", e.applied),
		zap.Int("live_jobs", len(e.store.LiveJobs())), zap.Uint64("manifest", e.store.Config.Version))
	e.leader = newLeadership(e.log, term, e.options, e.store)
	e.leader.refusals = newRefusals(now, e.options.RefuseHopeless)
	e.ensureSessions(now)
	e.confirmLeadership(now)
}

// confirmLeadership enables the leader once a quorum has confirmed it: only
// then are all entries of earlier leaders applied.
func (e *engine) confirmLeadership(now time.Time) {
	l := e.leader
	e.reads.Add(readindex.Read{
		Deadline: now.Add(readTimeout),
		Run: func(time.Time) {
			if e.leader == l {
				l.confirmed, l.needsDispatch = true, true
				l.disturbances = newDisturbanceTable(e.store) // includes entries of earlier leaders
				l.dispatcher.EstimatesChanged()
				e.log.Info("leadership confirmed", zap.Uint64("term", l.term), zap.Uint64("applied", e.applied))
			}
		},
		Fail: func() {
			if e.leader == l {
				e.confirmLeadership(now.Add(readTimeout))
			}
		},
	})
}

// endLeadership fails all waiting requests as unavailable. The next leader may
// still commit their commands, so the outcome is unknown.
func (e *engine) endLeadership() {
	e.log.Info("leadership ended", zap.Uint64("term", e.leader.term))
	l := e.leader
	e.leader = nil
	e.shares.reset()
	waiting := []map[uint64]*batch{e.overdue, e.inFlight}
	e.overdue, e.inFlight = map[uint64]*batch{}, map[uint64]*batch{}
	for _, batches := range waiting {
		for _, b := range batches {
			b.failAll()
		}
	}
	e.batch.failAll()
	e.batch = batch{}
	e.reads.FailAll()
	l.failHeldRequests()
}

// tick performs the periodic work.
func (e *engine) tick(now time.Time) {
	e.bootstrap(now)
	if e.leader == nil {
		return
	}
	e.expireCommands(now)
	e.reads.Expire(now)
	if !e.acceptsRequests() {
		return
	}
	e.expireLeases(now)
	e.cleanUp(now)
	e.logOccupancy(now)
	e.reportShares(now)
	e.storeDisturbances(now)
	e.planMoves(now)
	e.checkWaitingTargets(now)
	e.leader.needsDispatch = true
}

// cleanUp performs the periodic work whose cost grows with the store.
func (e *engine) cleanUp(now time.Time) {
	if now.Sub(e.leader.cleanedAt) < cleanUpInterval {
		return
	}
	e.leader.cleanedAt = now
	e.ensureSessions(now)
	e.forgetJobs(now)
	e.expireRefusals(now)
	e.sampleDrain(now)
	e.leader.forgetEnded(e.store)
}

// bootstrap creates the group on the first start, while it has no members.
func (e *engine) bootstrap(now time.Time) {
	if !e.options.Bootstrap || e.status.Members == nil || len(e.status.Members) > 0 || now.Before(e.nextBootstrap) {
		return
	}
	e.nextBootstrap = now.Add(bootstrapInterval)
	e.changeContext++
	change := &replica.MemberChange{Action: replica.ActionBootstrap, Context: e.changeContext}
	if err := e.offerInput(replica.Input{MemberChange: change}); err != nil {
		e.log.Warn("submitting bootstrap failed", zap.Error(err))
	}
}

// acceptsRequests reports whether the leader may accept requests and send
// orders. A new group accepts nothing until it has as many voters as are needed
// to tolerate the configured losses.
func (e *engine) acceptsRequests() bool {
	if e.leader == nil || !e.leader.confirmed {
		return false
	}
	if e.store.Orders > 0 || e.store.Config.Version > 0 {
		return true
	}
	voters := 0
	for _, m := range e.status.Members {
		if m.Voter {
			voters++
		}
	}
	return voters >= e.options.MinVoters
}

// flush sends what earlier calls have collected.
func (e *engine) flush(now time.Time) {
	if e.leader == nil {
		e.offerSnapshot()
		return
	}
	if e.acceptsRequests() {
		e.dispatch(now)
		e.answerTargets(now)
	}
	e.propose(now)
	e.reads.RequestConfirmation(now, e.offerInput)
	e.offerSnapshot()
}

// offerSnapshot passes the encoded store to the replica if it has requested a
// snapshot.
func (e *engine) offerSnapshot() {
	if !e.snapshotWanted {
		return
	}
	data, err := json.Marshal(e.store)
	if err != nil {
		e.log.Error("encoding snapshot failed", zap.Error(err))
		e.snapshotWanted = false
		return
	}
	if e.offerInput(replica.Input{Snapshot: &replica.SnapshotData{Index: e.applied, Data: data}}) == nil {
		e.snapshotWanted = false
	}
}

// failPending fails all waiting requests when the duty ends.
func (e *engine) failPending() {
	if e.leader != nil {
		e.endLeadership()
	}
}

func replyOK(r *applier.Request, body any) {
	r.Replier.Reply(applier.Response{Status: applier.OK, Body: body})
}

func replyUnavailable(r *applier.Request) {
	r.Replier.Reply(applier.Response{Status: applier.Unavailable})
}

func replyRefused(r *applier.Request, reason string) {
	r.Replier.Reply(applier.Response{Status: applier.Refused, Reason: reason})
}
