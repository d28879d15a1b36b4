package jobs

import (
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/backlog"
)

const (
	// returnWindow is how long the record of a refusal is kept after its hold, so that a
	// job that returns keeps its place.
	returnWindow = 2 * time.Minute
	// crowdedRefusals is the number of records from which those past their hold are dropped
	// at once. The rest of the room is for refusals that are in force.
	crowdedRefusals = job.MaxRefusals * 3 / 4
)

// refusals is what a leader knows of refused submissions. The records are in the store.
type refusals struct {
	holds    map[string]*refusalHold // by ID
	backlogs *backlogView            // nil unless submissions may be refused
}

// refusalHold is the time for which a record is in force, on the clock of this leader.
type refusalHold struct {
	count    int       // of the record
	until    time.Time // until then every copy is refused
	expiring bool      // the removal of the record is proposed
}

func newRefusals(now time.Time, enabled bool) *refusals {
	r := &refusals{holds: map[string]*refusalHold{}}
	if enabled {
		r.backlogs = newBacklogView(now)
	}
	return r
}

// refusalHold returns the hold of the ID, or nil if it has no record. It begins when this
// leader first sees the record: later than the refusal was answered, by whichever leader.
func (e *engine) refusalHold(now time.Time, id string) *refusalHold {
	record, refused := e.store.Refusals[id]
	if !refused {
		return nil
	}
	h := e.leader.refusals.holds[id]
	if h == nil || h.count != record.Count {
		h = &refusalHold{count: record.Count, until: now.Add(time.Duration(record.HoldMillis) * time.Millisecond)}
		e.leader.refusals.holds[id] = h
	}
	return h
}

// admitJob accepts a valid submission, unless its ID is refused or it surely cannot be done
// in time. A copy that comes while the ID is refused may itself have copies that are under
// way, so its refusal holds for their lifetime too.
func (e *engine) admitJob(now time.Time, r *applier.Request, s *controlapi.JobSubmitRequest, queue *job.Queue) {
	if h := e.refusalHold(now, s.Spec.ID); h != nil && h.until.After(now) {
		if earliest := now.Add(backlog.CopyLifetime); h.until.Before(earliest) {
			h.until = earliest
		}
		e.afterLeadershipConfirmed(now, r, func(now time.Time) {
			if e.store.Jobs[s.Spec.ID] != nil {
				replyOK(r, controlapi.JobResponse{Outcome: controlapi.JobOK})
				return
			}
			e.answerCopy(now, r, s.Spec.ID)
		})
		return
	}
	if d, pool := e.judge(now, queue, &s.Spec); d.Hopeless {
		e.refuseJob(now, r, s, queue, pool, d)
		return
	}
	e.acceptJob(r, s, queue)
}

// refuseJob proposes the record of a refusal, and answers once it is applied. An entry
// before it may have accepted or cancelled the job. Without room for the record, the job
// is accepted.
func (e *engine) refuseJob(now time.Time, r *applier.Request, s *controlapi.JobSubmitRequest, queue *job.Queue, pool backlog.Pool, d backlog.Decision) {
	id := s.Spec.ID
	refusal := job.NewRefusal{
		ID: id, After: e.store.RefusalCount(id), HoldMillis: d.RetryAfter.Milliseconds(), AtMillis: time.Now().UnixMilli(),
		Service: pool.Service, Filling: pool.Filling, Work: int64(backlog.WorkMillis(&s.Spec, pool.Filling)),
	}
	e.noteRefused(pool, refusal.Work)
	e.addPart(func(c *job.Command) { c.Refuse = append(c.Refuse, refusal) }, func(now time.Time) {
		switch {
		case e.store.Jobs[id] != nil:
			replyOK(r, controlapi.JobResponse{Outcome: controlapi.JobOK})
		case e.store.HasTombstone(id):
			replyOK(r, controlapi.JobResponse{Outcome: controlapi.JobCancelled})
		case e.store.RefusalCount(id) > refusal.After:
			e.logRefusal(s, queue, d)
			e.countRefusal(queue)
			e.answerRefused(now, r, id)
		default:
			e.log.Info("refusal not recorded", zap.String("job", id), zap.Int("records", len(e.store.Refusals)), zap.Uint64("index", e.applied))
			e.acceptJob(r, s, queue)
		}
	}, func() { replyUnavailable(r) })
}

func (e *engine) logRefusal(s *controlapi.JobSubmitRequest, queue *job.Queue, d backlog.Decision) {
	e.log.Info("job refused", zap.String("job", s.Spec.ID), zap.String("queue", queue.Name), zap.String("outcome", string(controlapi.JobNoRoom)),
		zap.Int("refusals", e.store.RefusalCount(s.Spec.ID)), zap.Float64("ahead_core_s", d.Ahead/1000), zap.Float64("drain_cores", d.Drain.Expected),
		zap.Float64("drain_upper_cores", d.Drain.Upper), zap.Bool("drain_measured", d.Drain.Measured), zap.Duration("expected_end", d.End),
		zap.Duration("bound", d.Late), zap.Duration("retry_after", d.RetryAfter), zap.Int("records", len(e.store.Refusals)), zap.Uint64("index", e.applied))
}

// answerCopy answers a submission whose ID is refused already.
func (e *engine) answerCopy(now time.Time, r *applier.Request, id string) {
	e.log.Info("refusal in force", zap.String("job", id), zap.Int("refusals", e.store.RefusalCount(id)), zap.Uint64("index", e.applied))
	e.answerRefused(now, r, id)
}

// answerRefused tells the caller for how long its submission stays refused. If the record
// has expired meanwhile, the outcome is left open, and the caller sends again.
func (e *engine) answerRefused(now time.Time, r *applier.Request, id string) {
	h := e.refusalHold(now, id)
	if h == nil || !h.until.After(now) {
		replyUnavailable(r)
		return
	}
	replyOK(r, controlapi.JobResponse{Outcome: controlapi.JobNoRoom, RetryAfterMillis: h.until.Sub(now).Milliseconds()})
}

// expireRefusals removes the records that are past their hold and the time to return.
func (e *engine) expireRefusals(now time.Time) {
	kept := returnWindow
	if len(e.store.Refusals) > crowdedRefusals {
		kept = 0
	}
	for id, record := range e.store.Refusals {
		h := e.refusalHold(now, id)
		if h.expiring || now.Before(h.until.Add(kept)) {
			continue
		}
		h.expiring = true
		expired := job.ExpiredRefusal{ID: id, Count: record.Count}
		e.addPart(func(c *job.Command) { c.Expired = append(c.Expired, expired) }, nil, func() { h.expiring = false })
	}
	holds := e.leader.refusals.holds
	for id := range holds {
		if e.store.RefusalCount(id) == 0 {
			delete(holds, id)
		}
	}
}
