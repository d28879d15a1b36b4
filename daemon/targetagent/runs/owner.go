package runs

import (
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/targetagent/calls"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/pacing"
	"github.com/ibispier/ibispier/runapi"
)

const (
	// driftPercent is how much slower the clock of the target may run.
	driftPercent = 2
	// watchWait is how long a watch waits for an end, and pacedWait where
	// serving and filling tasks share the target: their figures cover the last
	// half second.
	watchWait = 900 * time.Millisecond
	pacedWait = 400 * time.Millisecond
	// notedWait is how long the next watch waits for control to take note of
	// ends. Until then a watch returns at once.
	notedWait = 150 * time.Millisecond
	// watchRetry is the pause after a failed watch.
	watchRetry = 200 * time.Millisecond
	// soundFor is how long after an answer the target counts as reachable.
	soundFor = 1500 * time.Millisecond
	// doubtWait is how long an unanswered start may still show up before the
	// run is stopped.
	doubtWait = 100 * time.Millisecond
	// stopRetry is the pause before an unanswered stop is sent again.
	stopRetry = 500 * time.Millisecond
	// stallTime is how long a run may stand still before it is reported. The
	// shortest step of progress is a hundredth of the work, tens of milliseconds at
	// full pace, and a start from a checkpoint takes 250 ms.
	stallTime = 1500 * time.Millisecond
	// stallPace is the pace below which slow progress says nothing.
	stallPace = 50
	// reportHold is how long control may hold the answer to a report. It bounds
	// the age of a lease.
	reportHold = 700 * time.Millisecond
	// reportGap separates reports, so that ends that come together share one.
	reportGap = 5 * time.Millisecond
	// reportRetry is the pause after a report without an answer.
	reportRetry = 50 * time.Millisecond
)

// runState is what the owner knows about a run.
type runState uint8

const (
	starting runState = iota // the start is under way
	doubtful                 // the start was not answered; it may be carried out later
	running
	stopping // a stop is under way or was carried out
)

// run is a run that control has ordered or that the target reports.
type run struct {
	number     int
	state      runState
	order      controlapi.StartOrder
	checkpoint string
	level      int64
	progress   int           // percent of the work that is done; 100 for a lasting task at work
	moved      time.Duration // when it last changed
	adopted    bool          // found on the target; order is empty
	pace       int           // percent that was asked for, or paceUnknown
	since      time.Duration // of the state
	stopSent   time.Duration
	stopped    time.Duration // answer to the stop; 0 without one
	inherited  bool          // ordered for an earlier life under the same id
}

// owner is the state of the duty. Its methods are the inputs; calls and outgoing
// hold what it asks of the duty.
type owner struct {
	log *zap.Logger

	agent  uint64
	host   string
	life   job.TargetIncarnation
	told   runapi.Announcement // newest announcement of the life
	gone   []job.TargetIncarnation
	stale  bool // the life does not answer any more: another one does
	runs   map[job.Ref]*run
	ends   []job.End // not noted, by number
	reject []job.End // starts that the target did not carry out and never will
	noted  uint64
	seen   uint64 // number of the newest orders
	term   uint64
	lease  time.Duration // instance clock at which the lease ends
	pacer  *pacing.Pacer

	watching bool
	watchAt  time.Duration // of the next watch
	answered time.Duration // when the target last answered a watch
	clock    int64         // of the target, at clockAt
	clockAt  time.Duration
	serving  []pacing.ServingSample // newest figures
	filling  []pacing.FillingSample
	paceTurn bool // figures have arrived since the last decision about the pace
	paceDue  bool // a filling task has started since

	tellLearned bool                          // the leader is new
	toldPairs   map[[2]string]job.Disturbance // told to the leader, by serving and filling image

	token    uint64 // of the newest report
	pending  bool   // the newest report has no answer
	sentAt   time.Duration
	reported reportMark
	dirty    bool // something to report at once
	retryAt  time.Duration

	calls    []calls.Call
	called   uint64
	outgoing *controlapi.TargetReport
}

// reportMark is what the newest report contained.
type reportMark struct {
	gone, reject int
}

func newOwner(agent uint64, host string, log *zap.Logger) *owner {
	return &owner{log: log, agent: agent, host: host, runs: map[job.Ref]*run{}, pacer: pacing.New(), toldPairs: map[[2]string]job.Disturbance{}}
}

// answer takes the answer of control to the report with the token.
func (o *owner) answer(now time.Duration, token uint64, orders controlapi.TargetOrders, err error) {
	if token != o.token {
		return // superseded
	}
	o.pending = false
	if err != nil {
		o.retryAt = now + reportRetry
		o.log.Debug("report not answered", zap.Error(err))
		return
	}
	if orders.Number == 0 || orders.Term < o.term {
		return
	}
	if orders.Term > o.term {
		o.log.Info("leader changed", zap.Uint64("term", orders.Term))
		o.tellLearned = true
	}
	o.term, o.seen = orders.Term, orders.Number
	o.gone = o.gone[min(o.reported.gone, len(o.gone)):]
	o.reject = o.reject[min(o.reported.reject, len(o.reject)):]
	o.reported = reportMark{}
	if orders.LeaseMillis > 0 {
		o.lease = max(o.lease, o.sentAt+time.Duration(orders.LeaseMillis)*time.Millisecond)
	}
	o.note(now, orders.Noted)
	for _, s := range orders.Starts {
		o.start(now, s)
	}
	for _, s := range orders.Stops {
		o.stop(now, s.Task, s.Run)
	}
}

// note forgets the ends that are in the log.
func (o *owner) note(now time.Duration, number uint64) {
	if number <= o.noted {
		return
	}
	o.noted = number
	o.ends = slices.DeleteFunc(o.ends, func(e job.End) bool { return e.Number <= number })
	if len(o.ends) == 0 && !o.watching {
		o.watchAt = now
	}
}

// start carries out an order to start, at most once for each run.
func (o *owner) start(now time.Duration, s controlapi.StartOrder) {
	for serving, d := range s.Disturbs {
		o.pacer.Hint(s.Image, serving, d)
	}
	r := o.runs[s.Task]
	if r != nil && r.number == s.Run {
		r.order, r.adopted = s, false
		o.paceDue = true
		return
	}
	if r != nil && r.number > s.Run || o.hasEnded(s.Task, s.Run) {
		return
	}
	if o.lease <= now || o.clockAt == 0 {
		return // control orders it again once there is a lease
	}
	if o.told.Draining {
		// An earlier agent may have started it, so only a stop makes it certain.
		r = &run{number: s.Run, order: s, since: now}
		o.runs[s.Task] = r
		o.sendStop(now, s.Task, r)
		return
	}
	o.runs[s.Task] = &run{number: s.Run, state: starting, order: s, checkpoint: s.Checkpoint, pace: 100, since: now}
	o.calls = append(o.calls, calls.Call{
		Kind: calls.Start, Incarnation: o.life, Task: s.Task, Run: s.Run, ValidUntil: o.lease,
		Start: runapi.Start{Task: s.Task, Run: s.Run, Payload: s.Payload, Checkpoint: s.Checkpoint, Lease: o.leaseOrder()},
	})
}

func (o *owner) hasEnded(task job.Ref, number int) bool {
	return slices.ContainsFunc(o.ends, func(e job.End) bool { return e.Task == task && e.Run == number })
}

// rejected reports that the run does not run and never will.
func (o *owner) rejected(task job.Ref, number int, why string) {
	delete(o.runs, task)
	o.reject = append(o.reject, job.End{Target: o.life, Task: task, Run: number, Outcome: job.RunRejected})
	o.dirty = true
	o.log.Info("run rejected", zap.Stringer("task", task), zap.Int("run", number), zap.String("why", why))
}

// stop makes sure that the run ends or never starts.
func (o *owner) stop(now time.Duration, task job.Ref, number int) {
	r := o.runs[task]
	if r == nil || r.number != number || r.state == stopping && r.stopped > 0 {
		return
	}
	o.sendStop(now, task, r)
}

func (o *owner) sendStop(now time.Duration, task job.Ref, r *run) {
	r.state, r.stopSent, r.stopped = stopping, now, 0
	o.calls = append(o.calls, calls.Call{Kind: calls.Stop, Incarnation: o.life, Task: task, Run: r.number, FencingToken: o.term})
}

// leaseOrder returns the end of the lease on the clock of the target, which may
// run slow.
func (o *owner) leaseOrder() runapi.Lease {
	left := o.lease - o.clockAt
	return runapi.Lease{
		UntilMillis: o.clock + (left * (100 - driftPercent) / 100).Milliseconds(),
		Token:       o.term,
	}
}

// result takes the outcome of a call to the target.
func (o *owner) result(now time.Duration, r calls.Result) {
	if r.Incarnation != o.life {
		return
	}
	if errors.Is(r.Err, runapi.ErrOtherLife) {
		o.stale = true
	}
	switch r.Kind {
	case calls.Watch:
		o.watched(now, r)
	case calls.Start:
		o.startAnswered(now, r)
	case calls.Stop:
		if state := o.runs[r.Task]; state != nil && state.number == r.Run && r.Err == nil {
			state.stopped = now
			o.watchAt = min(o.watchAt, now)
		}
	case calls.Pace:
		if state := o.runs[r.Task]; state != nil && state.number == r.Run && r.Err != nil {
			state.pace = paceUnknown // sent again with the next decision
		}
	}
}

func (o *owner) startAnswered(now time.Duration, r calls.Result) {
	state := o.runs[r.Task]
	if state == nil || state.number != r.Run || state.state != starting {
		return
	}
	var refused *runapi.RefusedError
	switch {
	case r.Err == nil:
		state.state, state.since = running, now
		o.paceDue = o.paceDue || state.order.Filling
	case errors.As(r.Err, &refused) && refused.Reason == runapi.ReasonFenced:
		// A newer leader has ordered something here and decides about the run.
		delete(o.runs, r.Task)
	case errors.As(r.Err, &refused) && (refused.Reason == runapi.ReasonOld || !state.order.Again):
		o.rejected(r.Task, r.Run, string(refused.Reason))
	case errors.As(r.Err, &refused):
		// An earlier call for the run may still be carried out.
		o.sendStop(now, r.Task, state)
	default:
		state.state, state.since = doubtful, now
		o.log.Info("start not answered", zap.Stringer("task", r.Task), zap.Int("run", r.Run), zap.Error(r.Err))
	}
}

// watched takes the state of the target.
func (o *owner) watched(now time.Duration, r calls.Result) {
	o.watching = false
	if r.Err != nil {
		o.watchAt = now + watchRetry
		o.log.Debug("watch failed", zap.Error(r.Err))
		return
	}
	if r.Status.Life.Born != o.life.Born {
		o.log.Info("another life of the target answers", zap.String("target", o.life.ID),
			zap.Int64("born", o.life.Born), zap.Int64("answers", r.Status.Life.Born))
		o.adopt(now, o.reborn(r.Status.Life.Born))
		return
	}
	first := o.answered == 0 || now-o.answered > soundFor
	o.answered = now
	o.clock, o.clockAt = r.Status.ClockMillis, now
	o.dirty = o.dirty || first
	o.takeEnds(now, r.Status.Ends)
	o.takeRunning(now, r)
	o.paceTurn = true
	o.watchAt = now
	if len(o.ends) > 0 {
		o.watchAt = now + notedWait
	}
}

func (o *owner) takeEnds(now time.Duration, ends []job.End) {
	for _, e := range ends {
		last := o.noted
		if len(o.ends) > 0 {
			last = max(last, o.ends[len(o.ends)-1].Number)
		}
		if e.Number <= last {
			continue
		}
		e.Target = o.life
		o.ends = append(o.ends, e)
		o.dirty = true
		if r := o.runs[e.Task]; r != nil && r.number <= e.Run {
			delete(o.runs, e.Task)
		}
	}
}

// takeRunning compares the runs of the target with what is known. A stopped run
// that a later answer does not show has ended or never started.
func (o *owner) takeRunning(now time.Duration, w calls.Result) {
	shown := make(map[job.Ref]bool, len(w.Status.Running))
	for _, s := range w.Status.Running {
		shown[s.Task] = true
		r := o.runs[s.Task]
		if r == nil || r.number < s.Run {
			if o.hasEnded(s.Task, s.Run) {
				continue
			}
			// An earlier agent may have set any pace.
			r = &run{number: s.Run, state: running, since: now, pace: paceUnknown, adopted: true}
			o.runs[s.Task] = r
			o.dirty = true
		}
		r.checkpoint, r.level = s.Checkpoint, s.Level
		if r.progress != s.Percent || r.moved == 0 {
			r.progress, r.moved = s.Percent, now
		}
		if r.state == starting || r.state == doubtful {
			r.state, r.since = running, now
		}
	}
	for task, r := range o.runs {
		if shown[task] || w.SentAt < r.since {
			continue
		}
		switch {
		case r.state == running:
			// It has ended, and its end is listed with this answer or a later one,
			// unless it is noted already.
			delete(o.runs, task)
			o.dirty = true
		case r.state == stopping && r.stopped > 0 && w.SentAt > r.stopped:
			if !o.hasEnded(task, r.number) {
				o.rejected(task, r.number, "stopped before it started")
			}
		}
	}
}

// decide asks for what is due now.
func (o *owner) decide(now time.Duration) {
	if o.life.ID == "" {
		return
	}
	for task, r := range o.runs {
		switch {
		case r.state == doubtful && now-r.since >= doubtWait:
			o.sendStop(now, task, r)
		case r.state == stopping && r.stopped == 0 && now-r.stopSent >= stopRetry+time.Second:
			o.sendStop(now, task, r)
		}
	}
	o.pace(now)
	o.watch(now)
	o.report(now)
}

// isStalled reports whether a run stands still although it may work.
func (r *run) isStalled(now time.Duration) bool {
	return r.state == running && !r.adopted && r.moved > 0 && now-r.moved >= stallTime && r.progress < 100 &&
		(!r.order.Filling || r.pace >= stallPace)
}

func (o *owner) watch(now time.Duration) {
	if o.watching || now < o.watchAt {
		return
	}
	w := runapi.Watch{Noted: o.noted, Lease: runapi.Lease{Token: o.term}, Wait: o.watchTime(now)}
	if o.clockAt > 0 && o.lease > now {
		w.Lease = o.leaseOrder()
	}
	o.watching = true
	o.calls = append(o.calls, calls.Call{Kind: calls.Watch, Incarnation: o.life, Watch: w})
}

func (o *owner) watchTime(now time.Duration) time.Duration {
	if o.answered == 0 || len(o.ends) > 0 {
		return 0
	}
	serving, filling := false, false
	for _, r := range o.runs {
		if r.state == stopping || r.state == doubtful {
			return doubtWait
		}
		serving = serving || r.order.TailTargetMillis > 0
		filling = filling || r.order.Filling
	}
	if serving && filling {
		return pacedWait
	}
	return watchWait
}

// wake returns the time until decide has something to do.
func (o *owner) wake(now time.Duration) time.Duration {
	next := now + idleWait
	if o.life.ID == "" {
		return idleWait
	}
	if !o.watching {
		next = min(next, o.watchAt)
	}
	if !o.pending {
		next = min(next, max(o.retryAt, o.sentAt+reportGap))
	} else if o.dirty {
		next = min(next, o.sentAt+reportGap)
	}
	for _, r := range o.runs {
		switch {
		case r.state == doubtful:
			next = min(next, r.since+doubtWait)
		case r.state == stopping && r.stopped == 0:
			next = min(next, r.stopSent+stopRetry+time.Second)
		}
	}
	return next - now
}
