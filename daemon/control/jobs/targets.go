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
	silentAfter = 1500 * time.Millisecond
	// resendAfter is the time after which an order that the reports do not show
	// is sent again. It is above the silence limit of the agent's calls.
	resendAfter = time.Second
	// pauseLimit is how long a filling task may stay paused on a target. The pace
	// follows figures of half a second, so shorter pauses may end by themselves.
	pauseLimit = 1200 * time.Millisecond
	// idleLimit is how long a job may have ready tasks and nothing at work while
	// room is plentiful. The platform allows 3 s.
	idleLimit = 1500 * time.Millisecond
	// occupancyInterval separates the log lines about waiting and working tasks.
	occupancyInterval = 2 * time.Second
	// failStreak is the number of failed runs in a row after which a target is
	// suspended, and suspension how long at first.
	failStreak    = 4
	suspension    = 2 * time.Second
	maxSuspension = 16 * time.Second
)

// leadership is what lives and ends with the leadership of this member.
type leadership struct {
	term      uint64
	terms     lease.Timing
	confirmed bool // all entries of earlier leaders are applied
	sessions  map[job.TargetIncarnation]*session
	settling  map[job.Ref]int // runs whose end is proposed
	fresh     map[job.Ref]int // runs that were committed under this leader and not ordered yet
	losing    map[job.TargetIncarnation]bool
	over      map[string]time.Time // jobs that are over, by when this leader saw it
	starting  bool                 // starts are proposed
	dirty     bool                 // something has changed since the last dispatch
	disturbs  *disturbances        // how much filling images disturb serving ones
	idleSince map[string]time.Time // jobs with ready tasks and nothing placed
	noted     time.Time            // last log line about the occupancy
	stored    time.Time            // last entry about pairs of images
}

// session is what the leader knows about one life of a target.
type session struct {
	life    job.TargetIncarnation
	report  *controlapi.TargetReport // nil for a target that is only known from the log
	runs    map[job.Ref]int          // runs in the report
	adopted map[job.Ref]bool         // of these, the ones that the agent has no order for
	request *applier.Request         // held answer
	until   time.Time                // when the held answer is due
	asked   bool                     // the answer waits for a confirmation
	seenAt  time.Time
	expiry  time.Time // the lease may be in force until then
	number  uint64    // of the last orders
	noted   uint64    // as last told
	ends    uint64    // proposed up to this number
	started map[job.Ref]sent
	stopped map[job.Ref]sent
	paused  map[job.Ref]time.Time // filling tasks that may not work, by since when
	stalled map[job.Ref]bool      // runs that stand still

	streak      int // failed runs since the last one that was done
	suspensions int
	suspended   time.Time // no starts before
}

// sent is an order that the report does not show yet.
type sent struct {
	run    int
	number uint64
	at     time.Time
}

// inEffect reports whether an order for the run was sent a moment ago.
func (o sent) inEffect(now time.Time, run int) bool {
	return o.run == run && now.Sub(o.at) < resendAfter
}

func newLeadership(term uint64, terms lease.Timing, b *job.Store) *leadership {
	return &leadership{
		term:     term,
		terms:    terms,
		sessions: map[job.TargetIncarnation]*session{},
		settling: map[job.Ref]int{},
		fresh:    map[job.Ref]int{},
		losing:   map[job.TargetIncarnation]bool{},
		over:     map[string]time.Time{},
		disturbs: newDisturbances(b),
	}
}

// session returns the session of the target. The lease of a target that this
// leader has not heard of counts from now, because it is not known when the
// leader before granted last.
func (l *leadership) session(now time.Time, life job.TargetIncarnation) *session {
	s := l.sessions[life]
	if s == nil {
		s = &session{life: life, expiry: now.Add(l.terms.SafeExpiry()), started: map[job.Ref]sent{}, stopped: map[job.Ref]sent{}}
		l.sessions[life] = s
	}
	return s
}

func (l *leadership) abandon() {
	for _, s := range l.sessions {
		if s.request != nil {
			unavailable(s.request)
			s.request = nil
		}
	}
}

// before follows a command that is about to be applied.
func (l *leadership) before(b *job.Store, c *job.Command) {
	for i := range c.Ends {
		end := &c.Ends[i]
		if l.settling[end.Task] == end.Run {
			delete(l.settling, end.Task)
		}
		if s := l.sessions[end.Target]; s != nil && end.Number > b.LastEndNumber(end.Target) {
			s.outcome(end.Outcome)
		}
	}
	for i := range c.Starts {
		l.fresh[c.Starts[i].Task] = c.Starts[i].Run
	}
}

// outcome follows whether the target carries out what it starts.
func (s *session) outcome(o job.Outcome) {
	switch o {
	case job.RunDone:
		s.streak, s.suspensions = 0, 0
	case job.RunFailed:
		s.streak++
	}
}

// report takes the report of an agent and holds the answer.
func (e *engine) report(now time.Time, r *applier.Request, report *controlapi.TargetReport) {
	s := e.leader.session(now, report.Life)
	if s.request != nil && !s.asked {
		reply(s.request, controlapi.TargetOrders{}) // superseded
	}
	if s.report == nil || s.report.Agent != report.Agent {
		s.started, s.stopped = map[job.Ref]sent{}, map[job.Ref]sent{}
		s.number, s.noted = max(s.number, report.Seen), 0
		e.log.Info("target connected", zap.String("target", s.life.ID), zap.Int64("born", s.life.Born),
			zap.String("zone", report.Zone), zap.Bool("draining", report.Draining), zap.Int("running", len(report.Running)))
	} else if s.report.Draining != report.Draining {
		e.log.Info("target draining", zap.String("target", s.life.ID), zap.Int64("remaining_ms", report.RemainingMillis))
	}
	e.leader.dirty = e.leader.dirty || s.report == nil || s.report.Draining != report.Draining
	s.report, s.request, s.seenAt, s.asked = report, r, now, false
	s.until = now.Add(time.Duration(report.HoldMillis) * time.Millisecond)
	s.runs = make(map[job.Ref]int, len(report.Running))
	s.adopted, s.stalled = map[job.Ref]bool{}, map[job.Ref]bool{}
	paused := map[job.Ref]time.Time{}
	for _, run := range report.Running {
		s.runs[run.Task] = run.Run
		if run.Adopted {
			s.adopted[run.Task] = true
		}
		if run.Stalled {
			s.stalled[run.Task] = true
		}
		if run.Paused {
			paused[run.Task] = cmp.Or(s.paused[run.Task], now)
		}
	}
	s.paused = paused
	e.suspendStalled(now, s)
	e.leader.disturbs.learn(report.Host, report.Serving, report.Learned)
	s.prune(report.Seen)
	e.takeEnds(s)
	for _, gone := range report.Gone {
		e.adoptRuns(s, gone)
		e.endLife(gone, "gone")
	}
	if report.LeaseWanted && report.Host != "" && !report.Unsettled {
		for _, earlier := range e.book.SupersededTargets(report.Host, report.Life) {
			e.endLife(earlier, "a later life of its target answers")
		}
	}
}

// prune forgets the orders that the report takes into account.
func (s *session) prune(seen uint64) {
	for ref, o := range s.started {
		if o.number <= seen {
			delete(s.started, ref)
		}
	}
}

// takeEnds proposes the ends that are new.
func (e *engine) takeEnds(s *session) {
	noted := max(e.book.LastEndNumber(s.life), s.ends)
	var ended []string
	for _, end := range s.report.Ends {
		if end.Number > 0 && end.Number <= noted || end.Number == 0 && e.leader.settling[end.Task] == end.Run {
			continue
		}
		end.Target = s.life
		e.leader.settling[end.Task] = end.Run
		s.ends = max(s.ends, end.Number)
		ended = append(ended, end.Task.String()+"#"+strconv.Itoa(end.Run)+":"+string(end.Outcome))
		e.add(func(c *job.Command) { c.Ends = append(c.Ends, end) }, nil, func() {
			if e.leader != nil {
				delete(e.leader.settling, end.Task)
				s.ends = 0
			}
		})
	}
	if len(ended) > 0 {
		e.log.Info("ended", zap.String("target", s.life.ID), zap.Uint64("up_to", s.ends), zap.Strings("runs", ended))
	}
}

// answerTargets answers the reports for which there are orders, and those whose
// time is over. An answer waits for a confirmation, because it renews a lease.
func (e *engine) answerTargets(now time.Time) {
	for _, s := range e.leader.sessions {
		if s.request == nil || s.asked {
			continue
		}
		if s.until.After(now) && !e.hasNews(now, s) {
			continue
		}
		s.asked = true
		e.afterTargetRead(now, s, s.request)
	}
}

func (e *engine) afterTargetRead(now time.Time, s *session, r *applier.Request) {
	l := e.leader
	e.reads.Add(readindex.Read{
		Deadline: now.Add(readTimeout),
		Run: func(now time.Time) {
			if e.leader != l {
				unavailable(r)
				return
			}
			e.sendOrders(now, s, r)
		},
		Fail: func() {
			unavailable(r)
			if s.request == r {
				s.request = nil
			}
		},
	})
}

// sendOrders answers a report. When a newer report has come meanwhile, its own
// answer brings the orders.
func (e *engine) sendOrders(now time.Time, s *session, r *applier.Request) {
	if s.request != r {
		reply(r, controlapi.TargetOrders{})
		return
	}
	s.request, s.asked = nil, false
	s.number++
	orders := controlapi.TargetOrders{Term: e.leader.term, Number: s.number, Noted: e.book.LastEndNumber(s.life)}
	s.noted = orders.Noted
	if s.report.LeaseWanted && !e.leader.losing[s.life] {
		orders.LeaseMillis = e.options.Lease.TTL.Milliseconds()
		s.expiry = now.Add(e.options.Lease.SafeExpiry())
	}
	orders.Starts = e.startOrders(now, s)
	orders.Stops = e.stopOrders(now, s)
	e.logOrders(s, &orders)
	reply(r, orders)
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
	e.log.Info("ordered", zap.String("target", s.life.ID), zap.Uint64("term", orders.Term), zap.Uint64("number", orders.Number),
		zap.Int64("lease_ms", orders.LeaseMillis), zap.Strings("starts", starts), zap.Strings("stops", stops))
}

func (e *engine) hasNews(now time.Time, s *session) bool {
	if e.book.LastEndNumber(s.life) > s.noted {
		return true
	}
	for ref, t := range e.book.TasksOn(s.life) {
		if e.unordered(now, s, ref, t) {
			return true
		}
	}
	for ref, run := range s.runs {
		if e.unwanted(now, s, ref, run) {
			return true
		}
	}
	return false
}

// unordered reports whether the agent does not know of a start in the log. A
// start may be ordered again: a target starts a run at most once. An agent that
// has started anew needs the order to tell serving from filling tasks.
func (e *engine) unordered(now time.Time, s *session, ref job.Ref, t *job.Task) bool {
	if t.State != job.Placed || s.runs[ref] == t.Run && !s.adopted[ref] || e.leader.settling[ref] == t.Run {
		return false
	}
	return !s.started[ref].inEffect(now, t.Run)
}

func (e *engine) startOrders(now time.Time, s *session) []controlapi.StartOrder {
	var orders []controlapi.StartOrder
	for ref, t := range e.book.TasksOn(s.life) {
		if !e.unordered(now, s, ref, t) {
			continue
		}
		j := e.book.Jobs[ref.Job]
		step := &j.Spec.Steps[ref.Step]
		again := e.leader.fresh[ref] != t.Run || s.adopted[ref]
		delete(e.leader.fresh, ref)
		s.started[ref] = sent{run: t.Run, number: s.number, at: now}
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
			Disturbs:         e.leader.disturbs.of(step),
		})
	}
	return orders
}

// unwanted reports whether a run that the target holds is not in the log, stands
// still, or is a filling task that the serving tasks there leave no room to work.
// Stopped, it goes on from its checkpoint on a target that suits it.
func (e *engine) unwanted(now time.Time, s *session, ref job.Ref, run int) bool {
	if e.leader.settling[ref] == run || s.stopped[ref].inEffect(now, run) {
		return false
	}
	if since, paused := s.paused[ref]; paused && now.Sub(since) >= pauseLimit || s.stalled[ref] {
		return true
	}
	_, t := e.book.Find(ref)
	return t == nil || t.State != job.Placed || t.Run != run || t.Target != s.life
}

// suspendStalled keeps new starts from a target on which runs stand still.
func (e *engine) suspendStalled(now time.Time, s *session) {
	if len(s.stalled) == 0 || s.suspended.After(now) {
		return
	}
	s.suspended = now.Add(suspension)
	e.log.Info("target suspended", zap.String("target", s.life.ID), zap.Int("stalled_runs", len(s.stalled)), zap.Duration("for", suspension))
}

func (e *engine) stopOrders(now time.Time, s *session) []controlapi.StopOrder {
	var orders []controlapi.StopOrder
	for ref, run := range s.runs {
		if !e.unwanted(now, s, ref, run) {
			continue
		}
		s.stopped[ref] = sent{run: run, number: s.number, at: now}
		orders = append(orders, controlapi.StopOrder{Task: ref, Run: run})
	}
	return orders
}

// loseTargets gives up the targets whose lease has expired.
func (e *engine) loseTargets(now time.Time) {
	for _, life := range e.book.OccupiedTargets() {
		e.leader.session(now, life)
	}
	for life, s := range e.leader.sessions {
		if s.expiry.After(now) {
			continue
		}
		if len(e.book.TasksOn(life)) > 0 {
			e.lose(life, "lease expired")
		} else if s.request == nil && now.Sub(s.seenAt) > e.options.Lease.SafeExpiry() {
			delete(e.leader.sessions, life)
		}
	}
}

// endLife gives up a life that is over. Its last report must not draw further
// starts to it.
func (e *engine) endLife(life job.TargetIncarnation, why string) {
	e.lose(life, why)
	s := e.leader.sessions[life]
	if s == nil {
		return
	}
	if s.request != nil && !s.asked {
		reply(s.request, controlapi.TargetOrders{})
	}
	delete(e.leader.sessions, life)
}

// adoptRuns keeps the runs of an earlier life that the present one works on.
func (e *engine) adoptRuns(s *session, gone job.TargetIncarnation) {
	for ref, t := range e.book.TasksOn(gone) {
		if s.runs[ref] != t.Run {
			continue
		}
		a := job.Adoption{Task: ref, Run: t.Run, Target: s.life}
		e.log.Info("run adopted", zap.Stringer("task", ref), zap.Int("run", t.Run), zap.String("target", s.life.ID),
			zap.Int64("born", s.life.Born), zap.Int64("placed_born", gone.Born))
		e.add(func(c *job.Command) { c.Adopted = append(c.Adopted, a) }, nil, nil)
	}
}

func (e *engine) lose(life job.TargetIncarnation, why string) {
	if e.leader.losing[life] || len(e.book.TasksOn(life)) == 0 {
		return
	}
	l := e.leader
	l.losing[life] = true
	e.log.Info("target lost", zap.String("target", life.ID), zap.Int64("born", life.Born),
		zap.String("why", why), zap.Int("tasks", len(e.book.TasksOn(life))))
	forget := func() { delete(l.losing, life) }
	e.add(func(c *job.Command) { c.Lost = append(c.Lost, life) }, func(time.Time) { forget() }, forget)
}
