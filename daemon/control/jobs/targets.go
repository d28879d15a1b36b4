package jobs

import (
	"cmp"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/control/readindex"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/dispatch"
	"github.com/ibispier/ibispier/lease"
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
	// occupancyInterval is the time between log lines about occupancy.
	occupancyInterval = 2 * time.Second
	// maxFailureStreak is the number of consecutive failed runs after which a
	// target is suspended. minSuspension is the length of the first suspension.
	maxFailureStreak = 4
	minSuspension    = 2 * time.Second
	maxSuspension    = 16 * time.Second
)

// leadership is the state that a member keeps while it leads in one term.
type leadership struct {
	term              uint64
	leaseTiming       lease.Timing
	confirmed         bool // all entries of earlier leaders are applied
	sessions          map[job.TargetIncarnation]*session
	proposedEnds      map[job.Ref]int                // runs whose end is proposed
	unsentStarts      map[job.Ref]int                // runs committed in this term whose start was not sent yet
	proposedLosses    map[job.TargetIncarnation]bool // targets whose loss is proposed
	finishedAt        map[string]time.Time           // when this leader first saw that a job is finished
	confirmedAt       time.Time                      // a quorum has confirmed this leader at that time or later
	needsDispatch     bool                           // something has changed since the last dispatch
	disturbances      *disturbanceTable              // disturbance between filling and serving images
	dispatcher        *dispatch.Dispatcher
	unanswered        []*session           // sessions whose orders may have changed since they were checked
	idleSince         map[string]time.Time // since when jobs have ready tasks and none placed
	cleanedAt         time.Time            // when cleanUp last ran
	occupancyLoggedAt time.Time            // time of the last occupancy log line
	estimatesStoredAt time.Time            // time of the last entry with estimates
}

// session is the leader's state for one incarnation of a target.
type session struct {
	target            job.TargetIncarnation
	report            *controlapi.TargetReport // latest one; nil if the target is known only from the log
	runs              map[job.Ref]int          // runs in the report
	adopted           map[job.Ref]bool         // runs in the report that the agent found without an order
	heldRequest       *applier.Request         // report that is not answered yet
	holdUntil         time.Time                // deadline of the held answer
	confirming        bool                     // the answer waits for the leadership check
	reportedAt        time.Time                // time of the latest report
	leaseExpiry       time.Time                // the lease may be valid until then
	orderNumber       uint64                   // of the last answer
	sentWatermark     uint64                   // end number that was last acknowledged to the agent
	proposedWatermark uint64                   // highest end number that was proposed
	sentStarts        map[job.Ref]sentOrder    // starts that the reports do not reflect yet
	sentStops         map[job.Ref]sentOrder    // latest stop sent for each task
	pausedSince       map[job.Ref]time.Time    // when filling tasks were first reported as paused
	stalledRuns       map[job.Ref]bool         // runs reported as making no progress
	placement         *dispatch.TargetState    // view of the dispatcher; nil before the first report
	queued            bool                     // is in leadership.unanswered
	checkedAt         time.Time                // when the session was last checked for orders

	failureStreak  int       // failed runs since the last one that was done
	suspensions    int       // suspensions since the last run that was done, up to 4
	suspendedUntil time.Time // no starts before
}

// sentOrder is an order that the reports do not reflect yet.
type sentOrder struct {
	run         int
	orderNumber uint64
	sentAt      time.Time
}

// isPending reports whether an order for the run was sent less than resendAfter
// ago.
func (o sentOrder) isPending(now time.Time, run int) bool {
	return o.run == run && now.Sub(o.sentAt) < resendAfter
}

func newLeadership(term uint64, timing lease.Timing, limits dispatch.Limits, st *job.Store) *leadership {
	return &leadership{
		term:           term,
		leaseTiming:    timing,
		sessions:       map[job.TargetIncarnation]*session{},
		proposedEnds:   map[job.Ref]int{},
		unsentStarts:   map[job.Ref]int{},
		proposedLosses: map[job.TargetIncarnation]bool{},
		finishedAt:     map[string]time.Time{},
		disturbances:   newDisturbanceTable(st),
		dispatcher:     dispatch.New(limits),
	}
}

// session returns the session of the target and creates it if needed. The lease
// of a target that has not reported to this leader is assumed to start now,
// because it is unknown when an earlier leader last granted it.
func (l *leadership) session(now time.Time, target job.TargetIncarnation) *session {
	s := l.sessions[target]
	if s == nil {
		s = &session{target: target, leaseExpiry: now.Add(l.leaseTiming.SafeExpiry()), sentStarts: map[job.Ref]sentOrder{}, sentStops: map[job.Ref]sentOrder{}}
		l.sessions[target] = s
	}
	return s
}

// failHeldRequests answers all held reports as unavailable.
func (l *leadership) failHeldRequests() {
	for _, s := range l.sessions {
		if s.heldRequest != nil {
			replyUnavailable(s.heldRequest)
			s.heldRequest = nil
		}
	}
}

// beforeApply updates the leader's state for a command that is about to be
// applied.
func (l *leadership) beforeApply(st *job.Store, c *job.Command) {
	for i := range c.Ends {
		end := &c.Ends[i]
		if l.proposedEnds[end.Task] == end.Run {
			delete(l.proposedEnds, end.Task)
		}
		s := l.sessions[end.Target]
		if s == nil {
			continue
		}
		l.queueCheck(s)
		if end.Number > st.LastEndNumber(end.Target) {
			s.countOutcome(end.Outcome)
		}
	}
	for i := range c.Starts {
		l.unsentStarts[c.Starts[i].Task] = c.Starts[i].Run
	}
}

// afterApply takes over what the command has changed.
func (l *leadership) afterApply(st *job.Store, c *job.Command) {
	for target := range st.TakeChanged() {
		l.dispatcher.TasksChanged(target)
		if s := l.sessions[target]; s != nil {
			l.queueCheck(s)
		}
	}
	if len(c.Zones) > 0 {
		l.dispatcher.ZonesChanged()
	}
	l.needsDispatch = true
}

// queueCheck has the session checked for orders at the next flush.
func (l *leadership) queueCheck(s *session) {
	if !s.queued {
		s.queued = true
		l.unanswered = append(l.unanswered, s)
	}
}

// removeSession forgets a session and the dispatcher's view of its target.
func (l *leadership) removeSession(target job.TargetIncarnation) {
	delete(l.sessions, target)
	l.dispatcher.RemoveTarget(target)
}

// countOutcome tracks whether runs on the target succeed.
func (s *session) countOutcome(o job.Outcome) {
	switch o {
	case job.RunDone:
		s.failureStreak, s.suspensions = 0, 0
	case job.RunFailed:
		s.failureStreak++
	}
}

// handleReport processes the report of an agent and holds the answer until
// there are orders or its hold time ends.
func (e *engine) handleReport(now time.Time, r *applier.Request, report *controlapi.TargetReport) {
	s := e.leader.session(now, report.Incarnation)
	if s.heldRequest != nil && !s.confirming {
		replyOK(s.heldRequest, controlapi.TargetOrders{}) // superseded
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
	s.pausedSince = paused
	e.suspendStalled(now, s)
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
			e.retireTarget(earlier, "a later incarnation of the target reports")
		}
	}
}

// holdTime returns how long the answer to the report may be held. An agent that was
// silent for a while gets its lease renewed at once, because held back, the answer
// could come after the lease has expired.
func (e *engine) holdTime(now time.Time, s *session) time.Duration {
	if s.leaseExpiry.Sub(now) < e.options.Lease.TTL/2 {
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
		if end.Number > 0 && end.Number <= watermark || end.Number == 0 && e.leader.proposedEnds[end.Task] == end.Run {
			continue
		}
		end.Target = s.target
		e.leader.proposedEnds[end.Task] = end.Run
		s.proposedWatermark = max(s.proposedWatermark, end.Number)
		ended = append(ended, end.Task.String()+"#"+strconv.Itoa(end.Run)+":"+string(end.Outcome))
		e.addPart(func(c *job.Command) { c.Ends = append(c.Ends, end) }, nil, func() {
			if e.leader != nil {
				delete(e.leader.proposedEnds, end.Task)
				s.proposedWatermark = 0
			}
		})
	}
	if len(ended) > 0 {
		e.log.Info("ended", zap.String("target", s.target.ID), zap.Uint64("up_to", s.proposedWatermark), zap.Strings("runs", ended))
	}
}

// answerTargets answers the reports for which there are orders or whose hold
// time has ended. Every answer may renew a lease, so it waits until a quorum
// has confirmed the leadership after the report has arrived.
func (e *engine) answerTargets(now time.Time) {
	for _, s := range e.leader.unanswered {
		s.queued = false
		e.answerTarget(now, s)
	}
	e.leader.unanswered = e.leader.unanswered[:0]
}

func (e *engine) answerTarget(now time.Time, s *session) {
	if s.heldRequest == nil || s.confirming {
		return
	}
	s.checkedAt = now
	if s.holdUntil.After(now) && !e.hasOrders(now, s) {
		return
	}
	if !s.reportedAt.After(e.leader.confirmedAt) {
		e.sendOrders(now, s, s.heldRequest)
		return
	}
	s.confirming = true
	e.confirmOrders(now, s, s.heldRequest)
}

// checkWaitingTargets queues the sessions whose hold time has ended, and those
// whose orders may have become due by time alone: orders that are sent again, and
// tasks that have been paused for too long.
func (e *engine) checkWaitingTargets(now time.Time) {
	for _, s := range e.leader.sessions {
		if s.heldRequest != nil && (!s.holdUntil.After(now) || now.Sub(s.checkedAt) >= recheckInterval) {
			e.leader.queueCheck(s)
		}
	}
}

// confirmOrders sends the orders to a target once a quorum has confirmed that
// this member leads.
func (e *engine) confirmOrders(now time.Time, s *session, r *applier.Request) {
	l := e.leader
	e.reads.Add(readindex.Read{
		Deadline: now.Add(readTimeout),
		Run: func(now time.Time) {
			if e.leader != l {
				replyUnavailable(r)
				return
			}
			e.sendOrders(now, s, r)
		},
		Fail: func() {
			replyUnavailable(r)
			if s.heldRequest == r {
				s.heldRequest = nil
			}
		},
	})
}

// sendOrders answers a report. If a newer report has arrived meanwhile, the
// answer is empty and that report receives the orders.
func (e *engine) sendOrders(now time.Time, s *session, r *applier.Request) {
	if s.heldRequest != r {
		replyOK(r, controlapi.TargetOrders{})
		return
	}
	s.heldRequest, s.confirming = nil, false
	s.orderNumber++
	orders := controlapi.TargetOrders{Term: e.leader.term, Number: s.orderNumber, EndWatermark: e.store.LastEndNumber(s.target)}
	s.sentWatermark = orders.EndWatermark
	if s.report.LeaseWanted && !e.leader.proposedLosses[s.target] {
		orders.LeaseMillis = e.options.Lease.TTL.Milliseconds()
		s.leaseExpiry = now.Add(e.options.Lease.SafeExpiry())
	}
	orders.Starts = e.startOrders(now, s)
	orders.Stops = e.stopOrders(now, s)
	e.logOrders(s, &orders)
	replyOK(r, orders)
}

// logOrders writes one line for all orders of an answer, so that a burst of
// starts neither floods the log nor goes unlogged.
func (e *engine) logOrders(s *session, orders *controlapi.TargetOrders) {
	if len(orders.Starts)+len(orders.Stops) == 0 {
		return
	}
	starts := make([]string, 0, len(orders.Starts))
	for _, o := range orders.Starts {
		starts = append(starts, o.Task.String()+"#"+strconv.Itoa(o.Run)+":"+o.Image)
	}
	stops := make([]string, 0, len(orders.Stops))
	for _, o := range orders.Stops {
		stops = append(stops, o.Task.String()+"#"+strconv.Itoa(o.Run))
	}
	e.log.Info("ordered", zap.String("target", s.target.ID), zap.Uint64("term", orders.Term), zap.Uint64("number", orders.Number),
		zap.Int64("lease_ms", orders.LeaseMillis), zap.Strings("starts", starts), zap.Strings("stops", stops))
}

// hasOrders reports whether there are starts, stops or a new watermark to send.
func (e *engine) hasOrders(now time.Time, s *session) bool {
	if e.store.LastEndNumber(s.target) > s.sentWatermark {
		return true
	}
	for ref, t := range e.store.TasksOn(s.target) {
		if e.needsStart(now, s, ref, t) {
			return true
		}
	}
	for ref, run := range s.runs {
		if e.needsStop(now, s, ref, run) {
			return true
		}
	}
	return false
}

// needsStart reports whether the agent does not know of a committed start.
// Sending a start again is safe, because a target starts a run at most once. A
// restarted agent needs the order to tell serving from filling tasks.
func (e *engine) needsStart(now time.Time, s *session, ref job.Ref, t *job.Task) bool {
	if t.State != job.Placed || s.runs[ref] == t.Run && !s.adopted[ref] || e.leader.proposedEnds[ref] == t.Run {
		return false
	}
	return !s.sentStarts[ref].isPending(now, t.Run)
}

// startOrders returns the starts that must be sent to the target.
func (e *engine) startOrders(now time.Time, s *session) []controlapi.StartOrder {
	var orders []controlapi.StartOrder
	for ref, t := range e.store.TasksOn(s.target) {
		if !e.needsStart(now, s, ref, t) {
			continue
		}
		j := e.store.Jobs[ref.Job]
		step := &j.Spec.Steps[ref.Step]
		again := e.leader.unsentStarts[ref] != t.Run || s.adopted[ref]
		delete(e.leader.unsentStarts, ref)
		s.sentStarts[ref] = sentOrder{run: t.Run, orderNumber: s.orderNumber, sentAt: now}
		orders = append(orders, controlapi.StartOrder{
			Task:             ref,
			Run:              t.Run,
			Payload:          j.Spec.Payload,
			Checkpoint:       t.Checkpoint,
			Again:            again,
			Filling:          step.Filling,
			CPUMilli:         step.Need.CPUMilli,
			Image:            step.Image,
			TailTargetMillis: step.TailTargetMillis,
			Disturbs:         e.leader.disturbances.byServingImage(step),
		})
	}
	return orders
}

// needsStop reports whether a run on the target must be stopped: it is not in
// the log, has stalled, or is a filling task that the serving tasks have kept
// paused for maxPause. A stopped task continues from its checkpoint, possibly
// on a more suitable target.
func (e *engine) needsStop(now time.Time, s *session, ref job.Ref, run int) bool {
	if e.leader.proposedEnds[ref] == run || s.sentStops[ref].isPending(now, run) {
		return false
	}
	if since, paused := s.pausedSince[ref]; paused && now.Sub(since) >= maxPause || s.stalledRuns[ref] {
		return true
	}
	_, t := e.store.Find(ref)
	return t == nil || t.State != job.Placed || t.Run != run || t.Target != s.target
}

// suspendStalled keeps new starts away from a target with stalled runs.
func (e *engine) suspendStalled(now time.Time, s *session) {
	if len(s.stalledRuns) == 0 || s.suspendedUntil.After(now) {
		return
	}
	s.suspendedUntil = now.Add(minSuspension)
	e.log.Info("target suspended", zap.String("target", s.target.ID), zap.Int("stalled_runs", len(s.stalledRuns)), zap.Duration("for", minSuspension))
}

// stopOrders returns the stops that must be sent to the target.
func (e *engine) stopOrders(now time.Time, s *session) []controlapi.StopOrder {
	var orders []controlapi.StopOrder
	for ref, run := range s.runs {
		if !e.needsStop(now, s, ref, run) {
			continue
		}
		s.sentStops[ref] = sentOrder{run: run, orderNumber: s.orderNumber, sentAt: now}
		orders = append(orders, controlapi.StopOrder{Task: ref, Run: run})
	}
	return orders
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
		if s.runs[ref] != t.Run {
			continue
		}
		a := job.Adoption{Task: ref, Run: t.Run, Target: s.target}
		e.log.Info("run adopted", zap.Stringer("task", ref), zap.Int("run", t.Run), zap.String("target", s.target.ID),
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
