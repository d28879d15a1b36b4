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
	"github.com/ibispier/ibispier/lease"
)

const (
	// silentAfter is the silence after which a target gets no new starts. An
	// agent reports at least every TargetReport.HoldMillis, below a second.
	silenceLimit = 1500 * time.Millisecond
	// resendAfter is the time after which an order that the reports do not show
	// is sent again. It is above the silence limit of the agent's calls.
	resendAfter = time.Second
	// pauseLimit is how long a filling task may stay paused on a target. The pace
	// follows figures of half a second, so shorter pauses may end by themselves.
	maxPause = 1200 * time.Millisecond
	// idleLimit is how long a job may have ready tasks and nothing at work while
	// room is plentiful. The platform allows 3 s.
	maxIdle = 1500 * time.Millisecond
	// occupancyInterval separates the log lines about waiting and working tasks.
	occupancyInterval = 2 * time.Second
	// failStreak is the number of failed runs in a row after which a target is
	// suspended, and suspension how long at first.
	maxFailureStreak = 4
	minSuspension    = 2 * time.Second
	maxSuspension    = 16 * time.Second
)

// leadership is what lives and ends with the leadership of this member.
type leadership struct {
	term              uint64
	leaseTerms        lease.Timing
	confirmed         bool // all entries of earlier leaders are applied
	sessions          map[job.TargetIncarnation]*session
	proposedEnds      map[job.Ref]int // runs whose end is proposed
	unsentStarts      map[job.Ref]int // runs that were committed under this leader and not ordered yet
	proposedLosses    map[job.TargetIncarnation]bool
	finishedAt        map[string]time.Time // jobs that are over, by when this leader saw it
	startsInFlight    bool                 // starts are proposed
	needsDispatch     bool                 // something has changed since the last dispatch
	disturbances      *disturbanceTable    // how much filling images disturb serving ones
	idleSince         map[string]time.Time // jobs with ready tasks and nothing placed
	occupancyLoggedAt time.Time            // last log line about the occupancy
	estimatesStoredAt time.Time            // last entry about pairs of images
}

// session is what the leader knows about one life of a target.
type session struct {
	target            job.TargetIncarnation
	report            *controlapi.TargetReport // nil for a target that is only known from the log
	runs              map[job.Ref]int          // runs in the report
	adopted           map[job.Ref]bool         // of these, the ones that the agent has no order for
	heldRequest       *applier.Request         // held answer
	answerAt          time.Time                // when the held answer is due
	confirming        bool                     // the answer waits for a confirmation
	reportedAt        time.Time
	leaseExpiry       time.Time // the lease may be in force until then
	orderNumber       uint64    // of the last orders
	sentWatermark     uint64    // as last told
	proposedWatermark uint64    // proposed up to this number
	sentStarts        map[job.Ref]sentOrder
	sentStops         map[job.Ref]sentOrder
	pausedSince       map[job.Ref]time.Time // filling tasks that may not work, by since when
	stalledRuns       map[job.Ref]bool      // runs that stand still

	failureStreak  int // failed runs since the last one that was done
	suspensions    int
	suspendedUntil time.Time // no starts before
}

// sent is an order that the report does not show yet.
type sentOrder struct {
	run         int
	orderNumber uint64
	sentAt      time.Time
}

// inEffect reports whether an order for the run was sent a moment ago.
func (o sentOrder) isPending(now time.Time, run int) bool {
	return o.run == run && now.Sub(o.sentAt) < resendAfter
}

func newLeadership(term uint64, terms lease.Timing, st *job.Store) *leadership {
	return &leadership{
		term:           term,
		leaseTerms:     terms,
		sessions:       map[job.TargetIncarnation]*session{},
		proposedEnds:   map[job.Ref]int{},
		unsentStarts:   map[job.Ref]int{},
		proposedLosses: map[job.TargetIncarnation]bool{},
		finishedAt:     map[string]time.Time{},
		disturbances:   newDisturbanceTable(st),
	}
}

// session returns the session of the target. The lease of a target that this
// leader has not heard of counts from now, because it is not known when the
// leader before granted last.
func (l *leadership) session(now time.Time, target job.TargetIncarnation) *session {
	s := l.sessions[target]
	if s == nil {
		s = &session{target: target, leaseExpiry: now.Add(l.leaseTerms.SafeExpiry()), sentStarts: map[job.Ref]sentOrder{}, sentStops: map[job.Ref]sentOrder{}}
		l.sessions[target] = s
	}
	return s
}

func (l *leadership) failHeldRequests() {
	for _, s := range l.sessions {
		if s.heldRequest != nil {
			replyUnavailable(s.heldRequest)
			s.heldRequest = nil
		}
	}
}

// before follows a command that is about to be applied.
func (l *leadership) beforeApply(st *job.Store, c *job.Command) {
	for i := range c.Ends {
		end := &c.Ends[i]
		if l.proposedEnds[end.Task] == end.Run {
			delete(l.proposedEnds, end.Task)
		}
		if s := l.sessions[end.Target]; s != nil && end.Number > st.LastEndNumber(end.Target) {
			s.countOutcome(end.Outcome)
		}
	}
	for i := range c.Starts {
		l.unsentStarts[c.Starts[i].Task] = c.Starts[i].Run
	}
}

// outcome follows whether the target carries out what it starts.
func (s *session) countOutcome(o job.Outcome) {
	switch o {
	case job.RunDone:
		s.failureStreak, s.suspensions = 0, 0
	case job.RunFailed:
		s.failureStreak++
	}
}

// report takes the report of an agent and holds the answer.
func (e *engine) handleReport(now time.Time, r *applier.Request, report *controlapi.TargetReport) {
	s := e.leader.session(now, report.Life)
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
	s.answerAt = now.Add(time.Duration(report.HoldMillis) * time.Millisecond)
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
	s.pruneSentStarts(report.Seen)
	e.proposeEnds(s)
	for _, gone := range report.Gone {
		e.adoptRuns(s, gone)
		e.retireTarget(gone, "gone")
	}
	if report.LeaseWanted && report.Host != "" && !report.Unsettled {
		for _, earlier := range e.store.SupersededTargets(report.Host, report.Life) {
			e.retireTarget(earlier, "a later life of its target answers")
		}
	}
}

// prune forgets the orders that the report takes into account.
func (s *session) pruneSentStarts(seen uint64) {
	for ref, o := range s.sentStarts {
		if o.orderNumber <= seen {
			delete(s.sentStarts, ref)
		}
	}
}

// takeEnds proposes the ends that are new.
func (e *engine) proposeEnds(s *session) {
	noted := max(e.store.LastEndNumber(s.target), s.proposedWatermark)
	var ended []string
	for _, end := range s.report.Ends {
		if end.Number > 0 && end.Number <= noted || end.Number == 0 && e.leader.proposedEnds[end.Task] == end.Run {
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

// answerTargets answers the reports for which there are orders, and those whose
// time is over. An answer waits for a confirmation, because it renews a lease.
func (e *engine) answerTargets(now time.Time) {
	for _, s := range e.leader.sessions {
		if s.heldRequest == nil || s.confirming {
			continue
		}
		if s.answerAt.After(now) && !e.hasOrders(now, s) {
			continue
		}
		s.confirming = true
		e.confirmOrders(now, s, s.heldRequest)
	}
}

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

// sendOrders answers a report. When a newer report has come meanwhile, its own
// answer brings the orders.
func (e *engine) sendOrders(now time.Time, s *session, r *applier.Request) {
	if s.heldRequest != r {
		replyOK(r, controlapi.TargetOrders{})
		return
	}
	s.heldRequest, s.confirming = nil, false
	s.orderNumber++
	orders := controlapi.TargetOrders{Term: e.leader.term, Number: s.orderNumber, Noted: e.store.LastEndNumber(s.target)}
	s.sentWatermark = orders.Noted
	if s.report.LeaseWanted && !e.leader.proposedLosses[s.target] {
		orders.LeaseMillis = e.options.Lease.TTL.Milliseconds()
		s.leaseExpiry = now.Add(e.options.Lease.SafeExpiry())
	}
	orders.Starts = e.startOrders(now, s)
	orders.Stops = e.stopOrders(now, s)
	e.logOrders(s, &orders)
	replyOK(r, orders)
}

// logOrders writes one line for all orders of an answer, so that a wave of
// starts is neither many lines nor left out.
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

// unordered reports whether the agent does not know of a start in the log. A
// start may be ordered again: a target starts a run at most once. An agent that
// has started anew needs the order to tell serving from filling tasks.
func (e *engine) needsStart(now time.Time, s *session, ref job.Ref, t *job.Task) bool {
	if t.State != job.Placed || s.runs[ref] == t.Run && !s.adopted[ref] || e.leader.proposedEnds[ref] == t.Run {
		return false
	}
	return !s.sentStarts[ref].isPending(now, t.Run)
}

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

// unwanted reports whether a run that the target holds is not in the log, stands
// still, or is a filling task that the serving tasks there leave no room to work.
// Stopped, it goes on from its checkpoint on a target that suits it.
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

// suspendStalled keeps new starts from a target on which runs stand still.
func (e *engine) suspendStalled(now time.Time, s *session) {
	if len(s.stalledRuns) == 0 || s.suspendedUntil.After(now) {
		return
	}
	s.suspendedUntil = now.Add(minSuspension)
	e.log.Info("target suspended", zap.String("target", s.target.ID), zap.Int("stalled_runs", len(s.stalledRuns)), zap.Duration("for", minSuspension))
}

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

// loseTargets gives up the targets whose lease has expired.
func (e *engine) expireLeases(now time.Time) {
	for _, target := range e.store.OccupiedTargets() {
		e.leader.session(now, target)
	}
	for target, s := range e.leader.sessions {
		if s.leaseExpiry.After(now) {
			continue
		}
		if len(e.store.TasksOn(target)) > 0 {
			e.loseTarget(target, "lease expired")
		} else if s.heldRequest == nil && now.Sub(s.reportedAt) > e.options.Lease.SafeExpiry() {
			delete(e.leader.sessions, target)
		}
	}
}

// endLife gives up a life that is over. Its last report must not draw further
// starts to it.
func (e *engine) retireTarget(target job.TargetIncarnation, reason string) {
	e.loseTarget(target, reason)
	s := e.leader.sessions[target]
	if s == nil {
		return
	}
	if s.heldRequest != nil && !s.confirming {
		replyOK(s.heldRequest, controlapi.TargetOrders{})
	}
	delete(e.leader.sessions, target)
}

// adoptRuns keeps the runs of an earlier life that the present one works on.
func (e *engine) adoptRuns(s *session, gone job.TargetIncarnation) {
	for ref, t := range e.store.TasksOn(gone) {
		if s.runs[ref] != t.Run {
			continue
		}
		a := job.Adoption{Task: ref, Run: t.Run, Target: s.target}
		e.log.Info("run adopted", zap.Stringer("task", ref), zap.Int("run", t.Run), zap.String("target", s.target.ID),
			zap.Int64("born", s.target.Born), zap.Int64("placed_born", gone.Born))
		e.addPart(func(c *job.Command) { c.Adopted = append(c.Adopted, a) }, nil, nil)
	}
}

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
