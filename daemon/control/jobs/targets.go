package jobs

import (
	"cmp"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/faults"
)

const (
	// recheckInterval is how often a session is checked for orders that depend on
	// time alone.
	recheckInterval = 100 * time.Millisecond
	// silenceTimeout is the time without reports after which a target gets no new
	// starts. An agent reports at least every TargetReport.HoldMillis, which is
	// below a second.
	silenceTimeout = 1500 * time.Millisecond
	// resendAfter is the time after which an order that the reports do not
	// reflect is sent again. It exceeds the silence limit of the agent's calls.
	resendAfter = time.Second
	// maxPause is how long a filling task may stay paused before it is moved.
	// Paces follow measurements over half a second, so shorter pauses may end
	// by themselves.
	maxPause = 1200 * time.Millisecond
	// maxIdle is how long a job may have ready tasks and none placed while
	// spare capacity exists. The platform allows 3 s.
	maxIdle = 1500 * time.Millisecond
)

// handleReport processes the report of an agent and holds the answer until
// there are orders or its hold time ends.
func (e *engine) handleReport(now time.Time, r *applier.Request, report *controlapi.TargetReport) {
	if last := e.leader.newestReports[report.Host]; last.agent == report.Agent && report.Sequence < last.sequence {
		replyOK(r, controlapi.TargetOrders{}) // overtaken by a newer report
		return
	}
	e.leader.newestReports[report.Host] = reportKey{report.Agent, report.Sequence}
	s := e.leader.session(now, report.Incarnation)
	if s.heldRequest != nil && !s.confirming {
		replyOK(s.heldRequest, controlapi.TargetOrders{}) // superseded
	}
	if s.settleGrants(report) && !s.leaseExpiry.After(now) {
		e.loseTarget(s.target, "answers not received") // before the next answer grants a lease
	}
	if s.report == nil || s.report.Agent != report.Agent {
		s.sentStarts, s.sentStops = map[job.Ref]sentOrder{}, map[job.Ref]sentOrder{}
		s.orderNumber, s.sentWatermark = max(s.orderNumber, report.Seen), 0
		e.log.Info("target connected", zap.String("target", s.target.ID), zap.Int64("born", s.target.Born),
			zap.String("zone", report.Zone), zap.Bool("draining", report.Draining), zap.Int("running", len(report.Running)))
	} else if s.report.Draining != report.Draining {
		e.log.Info("target draining", zap.String("target", s.target.ID), zap.Int64("remaining_ms", report.RemainingMillis))
	}
	e.leader.needsDispatch = e.leader.needsDispatch || s.report == nil || s.report.Draining != report.Draining
	s.report, s.heldRequest, s.reportedAt, s.confirming = report, r, now, false
	s.holdUntil = now.Add(e.holdTime(now, s))
	s.runs = make(map[job.Ref]int, len(report.Running))
	s.adopted, s.stalledRuns = map[job.Ref]bool{}, map[job.Ref]bool{}
	paused := map[job.Ref]time.Time{}
	for _, run := range report.Running {
		s.runs[run.Task] = run.Run
		if run.Adopted {
			s.adopted[run.Task] = true
		}
		if run.Stalled {
			s.stalledRuns[run.Task] = true
		}
		if run.Paused {
			paused[run.Task] = cmp.Or(s.pausedSince[run.Task], now)
		}
	}
	s.pausedSince, s.slowedSince = paused, s.slowedTasks(now, report)
	e.recordStalled(now, s)
	e.leader.disturbances.learn(report.Host, report.Serving, report.Learned)
	if len(report.Learned) > 0 {
		e.leader.dispatcher.EstimatesChanged()
	}
	s.placement = e.leader.dispatcher.SetTarget(s.dispatchTarget())
	e.leader.queueCheck(s)
	s.pruneSentStarts(report.Seen)
	e.proposeEnds(s)
	for _, gone := range report.Gone {
		e.adoptRuns(s, gone)
		e.retireTarget(gone, "gone")
	}
	if report.LeaseWanted && report.Host != "" && !report.Unsettled {
		for _, earlier := range e.store.SupersededTargets(report.Host, report.Incarnation) {
			e.adoptRuns(s, earlier)
			e.retireTarget(earlier, "a later incarnation of the target reports")
		}
	}
}

// holdTime returns how long the answer to the report may be held. An agent that was
// silent for a while gets its lease renewed at once, because held back, the answer
// could come after the lease has expired.
func (e *engine) holdTime(now time.Time, s *session) time.Duration {
	if s.report.LeaseWanted && s.leaseExpiry.Sub(now) < e.options.Lease.TTL/2 {
		return 0
	}
	return time.Duration(s.report.HoldMillis) * time.Millisecond
}

// pruneSentStarts removes the starts that the report reflects.
func (s *session) pruneSentStarts(seen uint64) {
	for ref, o := range s.sentStarts {
		if o.orderNumber <= seen {
			delete(s.sentStarts, ref)
		}
	}
}

// proposeEnds proposes the reported ends that are new.
func (e *engine) proposeEnds(s *session) {
	watermark := max(e.store.LastEndNumber(s.target), s.proposedWatermark)
	var ended []string
	for _, end := range s.report.Ends {
		if end.Number > 0 && end.Number <= watermark || end.Number == 0 && e.leader.proposedEnds[runKey{end.Task, end.Run}] {
			continue
		}
		end.Target = s.target
		if end.Number > 0 {
			end.Previous, watermark = watermark, end.Number
		}
		e.leader.proposedEnds[runKey{end.Task, end.Run}] = true
		s.proposedWatermark = max(s.proposedWatermark, end.Number)
		ended = append(ended, end.Task.String()+"#"+strconv.Itoa(end.Run)+":"+string(end.Outcome))
		e.addPart(func(c *job.Command) { c.Ends = append(c.Ends, end) }, nil, func() {
			if e.leader != nil {
				delete(e.leader.proposedEnds, runKey{end.Task, end.Run})
				s.proposedWatermark = 0
			}
		})
	}
	if len(ended) > 0 {
		e.log.Info("ended", zap.String("target", s.target.ID), zap.Uint64("up_to", s.proposedWatermark), zap.Strings("runs", ended))
	}
}

// recordStalled counts the stalled runs in the report as failures.
func (e *engine) recordStalled(now time.Time, s *session) {
	for ref := range s.stalledRuns {
		j, t := e.store.Find(ref)
		if t == nil || !t.IsPlaced(s.runs[ref]) {
			continue
		}
		lasting := j.Spec.Steps[ref.Step].Lasting
		e.leader.recordFailure(now, j, faults.Failure{Task: ref, Target: s.target, Lasting: lasting, Stalled: true})
	}
}

// expireLeases proposes the loss of the targets whose lease has expired, and drops
// the sessions of those without tasks that no longer report.
func (e *engine) expireLeases(now time.Time) {
	for target, s := range e.leader.sessions {
		if s.leaseExpiry.After(now) {
			continue
		}
		if len(e.store.TasksOn(target)) > 0 {
			e.loseTarget(target, "lease expired")
		} else if s.heldRequest == nil && now.Sub(s.reportedAt) > e.options.Lease.SafeExpiry() {
			e.leader.removeSession(target)
		}
	}
}

// ensureSessions gives each target with tasks a session even if it does not report,
// so that its lease expires.
func (e *engine) ensureSessions(now time.Time) {
	for _, target := range e.store.OccupiedTargets() {
		e.leader.session(now, target)
	}
}

// retireTarget proposes the loss of an incarnation that has ended. Its session is
// removed, so that the dispatcher places no more starts on it.
func (e *engine) retireTarget(target job.TargetIncarnation, reason string) {
	e.loseTarget(target, reason)
	s := e.leader.sessions[target]
	if s == nil {
		return
	}
	if s.heldRequest != nil && !s.confirming {
		replyOK(s.heldRequest, controlapi.TargetOrders{})
		s.heldRequest = nil
	}
	e.leader.removeSession(target)
}

// adoptRuns moves the runs of an earlier incarnation that the current one
// executes.
func (e *engine) adoptRuns(s *session, earlier job.TargetIncarnation) {
	for ref, t := range e.store.TasksOn(earlier) {
		run, _ := t.RunOn(earlier)
		if s.runs[ref] != run {
			continue
		}
		a := job.Adoption{Task: ref, Run: run, Target: s.target}
		e.log.Info("run adopted", zap.Stringer("task", ref), zap.Int("run", run), zap.String("target", s.target.ID),
			zap.Int64("born", s.target.Born), zap.Int64("placed_born", earlier.Born))
		e.addPart(func(c *job.Command) { c.Adopted = append(c.Adopted, a) }, nil, nil)
	}
}

// loseTarget proposes the loss of a target, so that its tasks become ready
// again.
func (e *engine) loseTarget(target job.TargetIncarnation, reason string) {
	if e.leader.proposedLosses[target] || len(e.store.TasksOn(target)) == 0 {
		return
	}
	l := e.leader
	l.proposedLosses[target] = true
	e.log.Info("target lost", zap.String("target", target.ID), zap.Int64("born", target.Born),
		zap.String("why", reason), zap.Int("tasks", len(e.store.TasksOn(target))))
	forget := func() { delete(l.proposedLosses, target) }
	e.addPart(func(c *job.Command) { c.Lost = append(c.Lost, target) }, func(time.Time) { forget() }, forget)
}
