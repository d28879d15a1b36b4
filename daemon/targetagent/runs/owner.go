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
	maxClockDriftPercent = 2
	// watchWait is how long a watch waits for an end, and pacedWait where
	// serving and filling tasks share the target: their figures cover the last
	// half second.
	watchWait      = 900 * time.Millisecond
	pacedWatchWait = 400 * time.Millisecond
	// notedWait is how long the next watch waits for control to take note of
	// ends. Until then a watch returns at once.
	acknowledgeWait = 150 * time.Millisecond
	// watchRetry is the pause after a failed watch.
	watchRetryDelay = 200 * time.Millisecond
	// soundFor is how long after an answer the target counts as reachable.
	reachableFor = 1500 * time.Millisecond
	// doubtWait is how long an unanswered start may still show up before the
	// run is stopped.
	unansweredWait = 100 * time.Millisecond
	// stopRetry is the pause before an unanswered stop is sent again.
	stopRetryDelay = 500 * time.Millisecond
	// stallTime is how long a run may stand still before it is reported. The
	// shortest step of progress is a hundredth of the work, tens of milliseconds at
	// full pace, and a start from a checkpoint takes 250 ms.
	stallTimeout = 1500 * time.Millisecond
	// stallPace is the pace below which slow progress says nothing.
	minStallPacePercent = 50
	// reportHold is how long control may hold the answer to a report. It bounds
	// the age of a lease.
	reportHold = 700 * time.Millisecond
	// reportGap separates reports, so that ends that come together share one.
	minReportInterval = 5 * time.Millisecond
	// reportRetry is the pause after a report without an answer.
	reportRetryDelay = 50 * time.Millisecond
)

// runState is what the owner knows about a run.
type runState uint8

const (
	starting   runState = iota // the start is under way
	unanswered                 // the start was not answered; it may be carried out later
	running
	stopping // a stop is under way or was carried out
)

// run is a run that control has ordered or that the target reports.
type run struct {
	number          int
	state           runState
	order           controlapi.StartOrder
	checkpoint      string
	level           int64
	progressPercent int           // percent of the work that is done; 100 for a lasting task at work
	progressAt      time.Duration // when it last changed
	adopted         bool          // found on the target; order is empty
	pacePercent     int           // percent that was asked for, or paceUnknown
	stateSince      time.Duration // of the state
	stopSentAt      time.Duration
	stopAnsweredAt  time.Duration // answer to the stop; 0 without one
	inherited       bool          // ordered for an earlier life under the same id
}

// owner is the state of the duty. Its methods are the inputs; calls and outgoing
// hold what it asks of the duty.
type owner struct {
	log *zap.Logger

	agentID            uint64
	host               string
	incarnation        job.TargetIncarnation
	announcement       runapi.Announcement // newest announcement of the life
	endedIncarnations  []job.TargetIncarnation
	stale              bool // the life does not answer any more: another one does
	runs               map[job.Ref]*run
	unacknowledgedEnds []job.End // not noted, by number
	rejections         []job.End // starts that the target did not carry out and never will
	acknowledgedEnd    uint64
	lastOrders         uint64 // number of the newest orders
	term               uint64
	leaseEnd           time.Duration // instance clock at which the lease ends
	pacer              *pacing.Pacer

	watching          bool
	nextWatchAt       time.Duration // of the next watch
	answeredAt        time.Duration // when the target last answered a watch
	targetClockMillis int64         // of the target, at clockAt
	targetClockReadAt time.Duration
	servingSamples    []pacing.ServingSample // newest figures
	fillingSamples    []pacing.FillingSample
	hasNewSamples     bool // figures have arrived since the last decision about the pace
	hasNewFilling     bool // a filling task has started since

	leaderChanged bool                          // the leader is new
	reportedPairs map[[2]string]job.Disturbance // told to the leader, by serving and filling image

	reportID       uint64 // of the newest report
	reportPending  bool   // the newest report has no answer
	reportSentAt   time.Duration
	reportedCounts reportCounts
	reportNow      bool // something to report at once
	reportRetryAt  time.Duration

	calls          []calls.Call
	callCount      uint64
	outgoingReport *controlapi.TargetReport
}

// reportMark is what the newest report contained.
type reportCounts struct {
	endedIncarnations, rejections int
}

func newOwner(agentID uint64, host string, log *zap.Logger) *owner {
	return &owner{log: log, agentID: agentID, host: host, runs: map[job.Ref]*run{}, pacer: pacing.New(), reportedPairs: map[[2]string]job.Disturbance{}}
}

// answer takes the answer of control to the report with the token.
func (o *owner) handleOrders(now time.Duration, token uint64, orders controlapi.TargetOrders, err error) {
	if token != o.reportID {
		return // superseded
	}
	o.reportPending = false
	if err != nil {
		o.reportRetryAt = now + reportRetryDelay
		o.log.Debug("report not answered", zap.Error(err))
		return
	}
	if orders.Number == 0 || orders.Term < o.term {
		return
	}
	if orders.Term > o.term {
		o.log.Info("leader changed", zap.Uint64("term", orders.Term))
		o.leaderChanged = true
	}
	o.term, o.lastOrders = orders.Term, orders.Number
	o.endedIncarnations = o.endedIncarnations[min(o.reportedCounts.endedIncarnations, len(o.endedIncarnations)):]
	o.rejections = o.rejections[min(o.reportedCounts.rejections, len(o.rejections)):]
	o.reportedCounts = reportCounts{}
	if orders.LeaseMillis > 0 {
		o.leaseEnd = max(o.leaseEnd, o.reportSentAt+time.Duration(orders.LeaseMillis)*time.Millisecond)
	}
	o.acknowledgeEnds(now, orders.Noted)
	for _, s := range orders.Starts {
		o.startRun(now, s)
	}
	for _, s := range orders.Stops {
		o.stopRun(now, s.Task, s.Run)
	}
}

// note forgets the ends that are in the log.
func (o *owner) acknowledgeEnds(now time.Duration, number uint64) {
	if number <= o.acknowledgedEnd {
		return
	}
	o.acknowledgedEnd = number
	o.unacknowledgedEnds = slices.DeleteFunc(o.unacknowledgedEnds, func(e job.End) bool { return e.Number <= number })
	if len(o.unacknowledgedEnds) == 0 && !o.watching {
		o.nextWatchAt = now
	}
}

// start carries out an order to start, at most once for each run.
func (o *owner) startRun(now time.Duration, s controlapi.StartOrder) {
	for serving, d := range s.Disturbs {
		o.pacer.Hint(s.Image, serving, d)
	}
	r := o.runs[s.Task]
	if r != nil && r.number == s.Run {
		r.order, r.adopted = s, false
		o.hasNewFilling = true
		return
	}
	if r != nil && r.number > s.Run || o.hasEnded(s.Task, s.Run) {
		return
	}
	if o.leaseEnd <= now || o.targetClockReadAt == 0 {
		return // control orders it again once there is a lease
	}
	if o.announcement.Draining {
		// An earlier agent may have started it, so only a stop makes it certain.
		r = &run{number: s.Run, order: s, stateSince: now}
		o.runs[s.Task] = r
		o.sendStop(now, s.Task, r)
		return
	}
	o.runs[s.Task] = &run{number: s.Run, state: starting, order: s, checkpoint: s.Checkpoint, pacePercent: 100, stateSince: now}
	o.calls = append(o.calls, calls.Call{
		Kind: calls.Start, Incarnation: o.incarnation, Task: s.Task, Run: s.Run, ValidUntil: o.leaseEnd,
		Start: runapi.Start{Task: s.Task, Run: s.Run, Payload: s.Payload, Checkpoint: s.Checkpoint, Lease: o.targetLease()},
	})
}

func (o *owner) hasEnded(task job.Ref, number int) bool {
	return slices.ContainsFunc(o.unacknowledgedEnds, func(e job.End) bool { return e.Task == task && e.Run == number })
}

// rejected reports that the run does not run and never will.
func (o *owner) rejectRun(task job.Ref, number int, why string) {
	delete(o.runs, task)
	o.rejections = append(o.rejections, job.End{Target: o.incarnation, Task: task, Run: number, Outcome: job.RunRejected})
	o.reportNow = true
	o.log.Info("run rejected", zap.Stringer("task", task), zap.Int("run", number), zap.String("why", why))
}

// stop makes sure that the run ends or never starts.
func (o *owner) stopRun(now time.Duration, task job.Ref, number int) {
	r := o.runs[task]
	if r == nil || r.number != number || r.state == stopping && r.stopAnsweredAt > 0 {
		return
	}
	o.sendStop(now, task, r)
}

func (o *owner) sendStop(now time.Duration, task job.Ref, r *run) {
	r.state, r.stopSentAt, r.stopAnsweredAt = stopping, now, 0
	o.calls = append(o.calls, calls.Call{Kind: calls.Stop, Incarnation: o.incarnation, Task: task, Run: r.number, FencingToken: o.term})
}

// leaseOrder returns the end of the lease on the clock of the target, which may
// run slow.
func (o *owner) targetLease() runapi.Lease {
	left := o.leaseEnd - o.targetClockReadAt
	return runapi.Lease{
		UntilMillis: o.targetClockMillis + (left * (100 - maxClockDriftPercent) / 100).Milliseconds(),
		Token:       o.term,
	}
}

// result takes the outcome of a call to the target.
func (o *owner) handleResult(now time.Duration, r calls.Result) {
	if r.Incarnation != o.incarnation {
		return
	}
	if errors.Is(r.Err, runapi.ErrOtherLife) {
		o.stale = true
	}
	switch r.Kind {
	case calls.Watch:
		o.handleWatchResult(now, r)
	case calls.Start:
		o.handleStartResult(now, r)
	case calls.Stop:
		if known := o.runs[r.Task]; known != nil && known.number == r.Run && r.Err == nil {
			known.stopAnsweredAt = now
			o.nextWatchAt = min(o.nextWatchAt, now)
		}
	case calls.Pace:
		if known := o.runs[r.Task]; known != nil && known.number == r.Run && r.Err != nil {
			known.pacePercent = paceUnknown // sent again with the next decision
		}
	}
}

func (o *owner) handleStartResult(now time.Duration, r calls.Result) {
	known := o.runs[r.Task]
	if known == nil || known.number != r.Run || known.state != starting {
		return
	}
	var refused *runapi.RefusedError
	switch {
	case r.Err == nil:
		known.state, known.stateSince = running, now
		o.hasNewFilling = o.hasNewFilling || known.order.Filling
	case errors.As(r.Err, &refused) && refused.Reason == runapi.ReasonFenced:
		// A newer leader has ordered something here and decides about the run.
		delete(o.runs, r.Task)
	case errors.As(r.Err, &refused) && (refused.Reason == runapi.ReasonOld || !known.order.Again):
		o.rejectRun(r.Task, r.Run, string(refused.Reason))
	case errors.As(r.Err, &refused):
		// An earlier call for the run may still be carried out.
		o.sendStop(now, r.Task, known)
	default:
		known.state, known.stateSince = unanswered, now
		o.log.Info("start not answered", zap.Stringer("task", r.Task), zap.Int("run", r.Run), zap.Error(r.Err))
	}
}

// watched takes the state of the target.
func (o *owner) handleWatchResult(now time.Duration, r calls.Result) {
	o.watching = false
	if r.Err != nil {
		o.nextWatchAt = now + watchRetryDelay
		o.log.Debug("watch failed", zap.Error(r.Err))
		return
	}
	if r.Status.Life.Born != o.incarnation.Born {
		o.log.Info("another life of the target answers", zap.String("target", o.incarnation.ID),
			zap.Int64("born", o.incarnation.Born), zap.Int64("answers", r.Status.Life.Born))
		o.switchIncarnation(now, o.restartedAnnouncement(r.Status.Life.Born))
		return
	}
	first := o.answeredAt == 0 || now-o.answeredAt > reachableFor
	o.answeredAt = now
	o.targetClockMillis, o.targetClockReadAt = r.Status.ClockMillis, now
	o.reportNow = o.reportNow || first
	o.recordEnds(now, r.Status.Ends)
	o.reconcileRuns(now, r)
	o.hasNewSamples = true
	o.nextWatchAt = now
	if len(o.unacknowledgedEnds) > 0 {
		o.nextWatchAt = now + acknowledgeWait
	}
}

func (o *owner) recordEnds(now time.Duration, ends []job.End) {
	for _, e := range ends {
		last := o.acknowledgedEnd
		if len(o.unacknowledgedEnds) > 0 {
			last = max(last, o.unacknowledgedEnds[len(o.unacknowledgedEnds)-1].Number)
		}
		if e.Number <= last {
			continue
		}
		e.Target = o.incarnation
		o.unacknowledgedEnds = append(o.unacknowledgedEnds, e)
		o.reportNow = true
		if r := o.runs[e.Task]; r != nil && r.number <= e.Run {
			delete(o.runs, e.Task)
		}
	}
}

// takeRunning compares the runs of the target with what is known. A stopped run
// that a later answer does not show has ended or never started.
func (o *owner) reconcileRuns(now time.Duration, w calls.Result) {
	shown := make(map[job.Ref]bool, len(w.Status.Running))
	for _, s := range w.Status.Running {
		shown[s.Task] = true
		r := o.runs[s.Task]
		if r == nil || r.number < s.Run {
			if o.hasEnded(s.Task, s.Run) {
				continue
			}
			// An earlier agent may have set any pace.
			r = &run{number: s.Run, state: running, stateSince: now, pacePercent: paceUnknown, adopted: true}
			o.runs[s.Task] = r
			o.reportNow = true
		}
		r.checkpoint, r.level = s.Checkpoint, s.Level
		if r.progressPercent != s.Percent || r.progressAt == 0 {
			r.progressPercent, r.progressAt = s.Percent, now
		}
		if r.state == starting || r.state == unanswered {
			r.state, r.stateSince = running, now
		}
	}
	for task, r := range o.runs {
		if shown[task] || w.SentAt < r.stateSince {
			continue
		}
		switch {
		case r.state == running:
			// It has ended, and its end is listed with this answer or a later one,
			// unless it is noted already.
			delete(o.runs, task)
			o.reportNow = true
		case r.state == stopping && r.stopAnsweredAt > 0 && w.SentAt > r.stopAnsweredAt:
			if !o.hasEnded(task, r.number) {
				o.rejectRun(task, r.number, "stopped before it started")
			}
		}
	}
}

// decide asks for what is due now.
func (o *owner) decide(now time.Duration) {
	if o.incarnation.ID == "" {
		return
	}
	for task, r := range o.runs {
		switch {
		case r.state == unanswered && now-r.stateSince >= unansweredWait:
			o.sendStop(now, task, r)
		case r.state == stopping && r.stopAnsweredAt == 0 && now-r.stopSentAt >= stopRetryDelay+time.Second:
			o.sendStop(now, task, r)
		}
	}
	o.decidePaces(now)
	o.sendWatch(now)
	o.buildReport(now)
}

// isStalled reports whether a run stands still although it may work.
func (r *run) isStalled(now time.Duration) bool {
	return r.state == running && !r.adopted && r.progressAt > 0 && now-r.progressAt >= stallTimeout && r.progressPercent < 100 &&
		(!r.order.Filling || r.pacePercent >= minStallPacePercent)
}

func (o *owner) sendWatch(now time.Duration) {
	if o.watching || now < o.nextWatchAt {
		return
	}
	w := runapi.Watch{Noted: o.acknowledgedEnd, Lease: runapi.Lease{Token: o.term}, Wait: o.nextWatchWait(now)}
	if o.targetClockReadAt > 0 && o.leaseEnd > now {
		w.Lease = o.targetLease()
	}
	o.watching = true
	o.calls = append(o.calls, calls.Call{Kind: calls.Watch, Incarnation: o.incarnation, Watch: w})
}

func (o *owner) nextWatchWait(now time.Duration) time.Duration {
	if o.answeredAt == 0 || len(o.unacknowledgedEnds) > 0 {
		return 0
	}
	serving, filling := false, false
	for _, r := range o.runs {
		if r.state == stopping || r.state == unanswered {
			return unansweredWait
		}
		serving = serving || r.order.TailTargetMillis > 0
		filling = filling || r.order.Filling
	}
	if serving && filling {
		return pacedWatchWait
	}
	return watchWait
}

// wake returns the time until decide has something to do.
func (o *owner) timeToNextDecision(now time.Duration) time.Duration {
	next := now + idleWait
	if o.incarnation.ID == "" {
		return idleWait
	}
	if !o.watching {
		next = min(next, o.nextWatchAt)
	}
	if !o.reportPending {
		next = min(next, max(o.reportRetryAt, o.reportSentAt+minReportInterval))
	} else if o.reportNow {
		next = min(next, o.reportSentAt+minReportInterval)
	}
	for _, r := range o.runs {
		switch {
		case r.state == unanswered:
			next = min(next, r.stateSince+unansweredWait)
		case r.state == stopping && r.stopAnsweredAt == 0:
			next = min(next, r.stopSentAt+stopRetryDelay+time.Second)
		}
	}
	return next - now
}
