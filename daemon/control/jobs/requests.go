package jobs

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/control/readindex"
	"github.com/ibispier/ibispier/job"
)

// handleRequest dispatches a request by its operation.
func (e *engine) handleRequest(now time.Time, r *applier.Request) {
	if r.Operation == controlapi.OpMembers && (e.leader != nil || e.status.Leader == "") {
		e.answerMembers(r) // without a leader, the local view is the best available
		return
	}
	if e.leader == nil {
		r.Replier.Reply(applier.Response{Status: applier.NotLeader, Leader: e.status.Leader})
		return
	}
	if !e.acceptsRequests() {
		r.Replier.Reply(applier.Response{Status: applier.NotLeader}) // not ready yet; the request had no effect
		return
	}
	switch body := r.Body.(type) {
	case *controlapi.JobSubmitRequest:
		e.submitJob(now, r, body)
	case *controlapi.ManifestRequest:
		e.putManifest(now, r, body)
	case *job.ZoneChange:
		e.changeZone(r, *body)
	case *controlapi.TargetReport:
		e.handleReport(now, r, body)
	case *controlapi.JobQuery:
		e.handleQuery(now, r, body)
	case *controlapi.Empty:
		if r.Operation == controlapi.OpManifestRead {
			e.afterLeadershipConfirmed(now, r, func(time.Time) {
				replyOK(r, controlapi.ManifestResponse{Source: e.store.Config.Source})
			})
			return
		}
		replyRefused(r, controlapi.ReasonBadRequest+": unknown operation "+string(r.Operation))
	default:
		replyRefused(r, controlapi.ReasonBadRequest+": unknown operation "+string(r.Operation))
	}
}

func (e *engine) answerMembers(r *applier.Request) {
	resp := controlapi.MembersResponse{Leader: e.status.Leader}
	for _, m := range e.status.Members {
		resp.Members = append(resp.Members, controlapi.Member{ID: m.ID.ID, Voter: m.Voter, Active: m.Active})
	}
	replyOK(r, resp)
}

// afterLeadershipConfirmed calls answer once a quorum has confirmed that this member
// leads.
func (e *engine) afterLeadershipConfirmed(now time.Time, r *applier.Request, answer func(now time.Time)) {
	e.reads.Add(readindex.Read{
		Deadline: now.Add(readTimeout),
		Run:      answer,
		Fail:     func() { replyUnavailable(r) },
	})
}

// submitJob accepts a job. It is refused only after a quorum read, or the entry of its
// refusal, has shown that no earlier attempt with the same ID was accepted.
func (e *engine) submitJob(now time.Time, r *applier.Request, s *controlapi.JobSubmitRequest) {
	if e.store.Jobs[s.Spec.ID] != nil {
		replyOK(r, controlapi.JobResponse{Outcome: controlapi.JobOK})
		return
	}
	queue, rest := e.store.Config.Match(s.Host, s.Path)
	if refusal, refused := e.checkSubmission(queue, rest, s); refused {
		e.afterLeadershipConfirmed(now, r, func(time.Time) {
			if e.store.Jobs[s.Spec.ID] != nil {
				refusal = controlapi.JobResponse{Outcome: controlapi.JobOK}
			}
			e.log.Info("job refused", zap.String("job", s.Spec.ID), zap.String("host", s.Host), zap.String("path", s.Path),
				zap.String("outcome", string(refusal.Outcome)), zap.Uint64("manifest", e.store.Config.Version))
			replyOK(r, refusal)
		})
		return
	}
	e.admitJob(now, r, s, queue)
}

// acceptJob proposes the job. An entry before it may have cancelled or refused it.
func (e *engine) acceptJob(r *applier.Request, s *controlapi.JobSubmitRequest, queue *job.Queue) {
	submission := &job.Submission{Spec: s.Spec, Queue: *queue, AtMillis: time.Now().UnixMilli(), AfterRefusals: e.store.RefusalCount(s.Spec.ID)}
	e.noteAccepted(submission)
	e.addPart(func(c *job.Command) { c.Submit = append(c.Submit, submission) }, func(now time.Time) {
		if e.store.HasTombstone(s.Spec.ID) { // cancelled by an entry before this one
			e.log.Info("job refused", zap.String("job", s.Spec.ID), zap.String("outcome", string(controlapi.JobCancelled)), zap.Uint64("index", e.applied))
			replyOK(r, controlapi.JobResponse{Outcome: controlapi.JobCancelled})
			return
		}
		if e.store.Jobs[s.Spec.ID] == nil {
			e.answerCopy(now, r, s.Spec.ID)
			return
		}
		e.log.Info("job accepted", zap.String("job", s.Spec.ID), zap.String("queue", submission.Queue.Name),
			zap.Int("steps", len(s.Spec.Steps)), zap.Int("max_per_target", s.Spec.Steps[0].MaxPerTarget), zap.Bool("lasting", s.Spec.Steps[0].Lasting), zap.Int64("cpu_milli", s.Spec.Steps[0].Need.CPUMilli), zap.Int("live_jobs", len(e.store.LiveJobs())), zap.Uint64("index", e.applied))
		replyOK(r, controlapi.JobResponse{Outcome: controlapi.JobOK})
	}, func() { replyUnavailable(r) })
}

// checkSubmission returns the answer to a submission that must be refused, and
// whether it must be.
func (e *engine) checkSubmission(q *job.Queue, rest string, s *controlapi.JobSubmitRequest) (controlapi.JobResponse, bool) {
	switch {
	case e.store.HasTombstone(s.Spec.ID):
		return controlapi.JobResponse{Outcome: controlapi.JobCancelled}, true
	case e.store.Config.Version == 0:
		return controlapi.JobResponse{Outcome: controlapi.JobNoManifest, RetryAfterMillis: noManifestRetry.Milliseconds()}, true
	case q == nil:
		return controlapi.JobResponse{Outcome: controlapi.JobNoQueue}, true
	case rest != s.Spec.ID || s.Spec.Check() != nil:
		return controlapi.JobResponse{Outcome: controlapi.JobInvalid}, true
	default:
		return controlapi.JobResponse{}, false
	}
}

// noManifestRetry is the retry delay sent to callers before the first
// configuration arrives. Operators resend the configuration about once a
// second.
const noManifestRetry = time.Second

// handleQuery answers job queries and cancellations.
func (e *engine) handleQuery(now time.Time, r *applier.Request, q *controlapi.JobQuery) {
	e.afterLeadershipConfirmed(now, r, func(now time.Time) {
		if e.store.Config.Version == 0 {
			replyOK(r, controlapi.JobResponse{Outcome: controlapi.JobNoManifest, RetryAfterMillis: noManifestRetry.Milliseconds()})
			return
		}
		queue, _ := e.store.Config.Match(q.Host, q.Path)
		switch r.Operation {
		case controlapi.OpJobWaiting:
			e.answerWaiting(r, queue)
		case controlapi.OpJobCancel:
			e.cancelJob(now, r, q, queue)
		default:
			e.answerStatus(r, q, queue)
		}
	})
}

func (e *engine) answerWaiting(r *applier.Request, queue *job.Queue) {
	if queue == nil {
		replyOK(r, controlapi.JobResponse{Outcome: controlapi.JobNoQueue})
		return
	}
	replyOK(r, controlapi.JobResponse{Outcome: controlapi.JobOK, Waiting: e.store.QueuedCount(queue)})
}

// findJob returns the job whose ID is the last segment of the path. The queue that
// now matches the path plays no part: it may be another one than at the submission,
// because queues are removed, moved and covered by others while jobs run.
func (e *engine) findJob(q *controlapi.JobQuery, queue *job.Queue) (*job.Job, controlapi.JobOutcome) {
	switch j := e.store.Jobs[jobID(q)]; {
	case j != nil:
		return j, controlapi.JobOK
	case queue == nil:
		return nil, controlapi.JobNoQueue
	default:
		return nil, controlapi.JobUnknown
	}
}

func jobID(q *controlapi.JobQuery) string { return q.Path[strings.LastIndexByte(q.Path, '/')+1:] }

func (e *engine) answerStatus(r *applier.Request, q *controlapi.JobQuery, queue *job.Queue) {
	j, outcome := e.findJob(q, queue)
	answer := controlapi.JobResponse{Outcome: outcome}
	if j != nil {
		answer.State = j.State()
	}
	replyOK(r, answer)
}

// cancelJob cancels a job. An ID that no job has is stored as a tombstone before the caller
// is told that there is no such job: a copy of the submission may still be on its way.
func (e *engine) cancelJob(now time.Time, r *applier.Request, q *controlapi.JobQuery, queue *job.Queue) {
	id := jobID(q)
	j, outcome := e.findJob(q, queue)
	switch {
	case j != nil:
	case outcome != controlapi.JobUnknown, !job.ValidID(id), e.store.HasTombstone(id):
		replyOK(r, controlapi.JobResponse{Outcome: outcome})
		return
	case len(e.store.Tombstones) >= job.MaxTombstones:
		e.answerTooManyTombstones(now, r, id)
		return
	}
	e.addPart(func(c *job.Command) { c.Cancel = append(c.Cancel, id) }, func(now time.Time) {
		switch {
		case e.store.Jobs[id] != nil: // also if its submission was under way
			e.log.Info("job cancelled", zap.String("job", id), zap.Uint64("index", e.applied))
			replyOK(r, controlapi.JobResponse{Outcome: controlapi.JobOK})
		case e.store.HasTombstone(id):
			e.log.Info("unknown job cancelled", zap.String("job", id), zap.Int("tombstones", len(e.store.Tombstones)), zap.Uint64("index", e.applied))
			replyOK(r, controlapi.JobResponse{Outcome: controlapi.JobUnknown})
		default:
			e.answerTooManyTombstones(now, r, id)
		}
	}, func() { replyUnavailable(r) })
}

// answerTooManyTombstones refuses to cancel an unknown job until the oldest tombstone is
// forgotten.
func (e *engine) answerTooManyTombstones(now time.Time, r *applier.Request, id string) {
	retry := max(e.leader.nextForgotten.Sub(now), minTombstoneRetry)
	e.log.Info("cancel refused", zap.String("job", id), zap.Int("tombstones", len(e.store.Tombstones)), zap.Duration("retry_after", retry))
	replyOK(r, controlapi.JobResponse{Outcome: controlapi.JobOverloaded, RetryAfterMillis: retry.Milliseconds()})
}

// minTombstoneRetry is the shortest retry delay sent to callers while there are too many
// tombstones. Expired ones are forgotten every cleanUpInterval.
const minTombstoneRetry = time.Second

// putManifest proposes an externally approved configuration. An older or equal
// version is acknowledged without effect.
func (e *engine) putManifest(now time.Time, r *applier.Request, m *controlapi.ManifestRequest) {
	if err := m.Config.Check(); err != nil {
		e.log.Info("manifest refused", zap.Uint64("manifest", m.Config.Version), zap.Error(err))
		replyRefused(r, err.Error())
		return
	}
	if m.Config.Version <= e.store.Config.Version {
		// Not logged: operators resend a configuration until it is acknowledged, and
		// each copy in the log has the size of the configuration.
		e.afterLeadershipConfirmed(now, r, func(time.Time) {
			e.log.Info("manifest acknowledged", zap.Uint64("manifest", m.Config.Version), zap.Uint64("in_force", e.store.Config.Version))
			replyOK(r, controlapi.Empty{})
		})
		return
	}
	if b := e.batchWithConfig(m.Config.Version); b != nil {
		b.parts = append(b.parts, part{func(*job.Command) {}, func(time.Time) { replyOK(r, controlapi.Empty{}) }, func() { replyUnavailable(r) }})
		return
	}
	e.addPart(func(c *job.Command) { c.Config = &m.Config }, func(time.Time) {
		e.log.Info("manifest acknowledged", zap.Uint64("manifest", m.Config.Version),
			zap.Uint64("in_force", e.store.Config.Version), zap.Uint64("index", e.applied))
		replyOK(r, controlapi.Empty{})
	}, func() { replyUnavailable(r) })
}

// batchWithConfig returns a command, in flight or next, with a configuration of the
// version or a newer one.
func (e *engine) batchWithConfig(version uint64) *batch {
	for _, b := range e.inFlight {
		if b.command.Config != nil && b.command.Config.Version >= version {
			return b
		}
	}
	if c := e.batch.command.Config; c != nil && c.Version >= version {
		return &e.batch
	}
	return nil
}

func (e *engine) changeZone(r *applier.Request, z job.ZoneChange) {
	e.addPart(func(c *job.Command) { c.Zones = append(c.Zones, z) }, func(time.Time) {
		e.log.Info("zone changed", zap.String("zone", z.Zone), zap.Bool("out", z.Out), zap.Uint64("index", e.applied))
		replyOK(r, controlapi.Empty{})
	}, func() { replyUnavailable(r) })
}
