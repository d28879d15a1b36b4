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
	// maxClockDriftPercent is how much slower the clock of the target may run than
	// the instance's clock.
	maxClockDriftPercent = 2
	// unansweredWait is how long the agent waits for a run to appear on the target
	// after its start was not answered. Then it stops the run.
	unansweredWait = 100 * time.Millisecond
	// maxStartDelay bounds the time that a start waits behind calls that the target does
	// not answer. Its job may be cancelled meanwhile; the platform allows starts up to 3 s
	// after a cancel.
	maxStartDelay = time.Second
	// stopRetryDelay is the pause before a stop is sent again, after its call has
	// timed out.
	stopRetryDelay = 500 * time.Millisecond
	// stallTimeout is how long a run may make no progress before it is reported as
	// stalled. The smallest visible progress is 1% of the work, which takes tens of
	// milliseconds at full pace; a start from a checkpoint takes 250 ms.
	stallTimeout = 1500 * time.Millisecond
	// minStallPacePercent is the pace below which a lack of progress does not count
	// as a stall.
	minStallPacePercent = 50
	// reportHold is how long control may hold the response to a report. It bounds
	// the age of a lease, which counts from when the report was sent.
	reportHold = 700 * time.Millisecond
	// minReportInterval is the shortest time between reports, so that runs that end
	// at the same time share a report.
	minReportInterval = 5 * time.Millisecond
	// reportRetryDelay is the pause after a report that was not answered, or whose answer
	// could not be carried out.
	reportRetryDelay = 50 * time.Millisecond
	// unansweredReport is the time after which the answer to a report counts as lost
	// within this process: the client of control has given the call up by then.
	unansweredReport = reportTimeout + time.Second
)

// runState is the state of a run as far as the agent knows it.
type runState uint8

const (
	starting   runState = iota // the start was sent
	unanswered                 // the start was not answered; the target may still carry it out
	running
	stopping // a stop was sent; it may have been carried out
)

// run is a run that control has ordered or that the target has reported.
type run struct {
	number          int
	state           runState
	order           controlapi.StartOrder
	level           int64         // newest runapi.Run.Measurement
	progressPercent int           // share of the work that is done; 100 for a long-running task that is working
	progressAt      time.Duration // when the progress or the pace last changed
	shownAt         time.Duration // up to when the newest status is known to show the run
	adopted         bool          // found on the target; order is empty until control repeats it
	pacePercent     int           // newest pace that was sent, or paceUnknown
	stateSince      time.Duration // when the run entered its state
	stopSentAt      time.Duration
	stopAnsweredAt  time.Duration // 0 while the stop is not answered
	confirmed       bool          // the target has shown the run, so the current incarnation has carried out its start
	earlierStopAt   time.Duration // when an earlier run beside it was last stopped
	inherited       bool          // ordered for an earlier incarnation with the same ID
}

// owner is the state of the duty, without input or output. Its methods take the
// inputs; calls and outgoingReport hold what the duty is to send.
type owner struct {
	log *zap.Logger

	agentID            uint64
	host               string
	maxLease           time.Duration // the target shortens longer leases to this
	incarnation        job.TargetIncarnation
	announcement       runapi.Announcement     // newest announcement of the incarnation
	endedIncarnations  []job.TargetIncarnation // reported as gone until a report is answered
	stale              bool                    // another incarnation has answered a call
	runs               map[job.Ref]*run
	unacknowledgedEnds []job.End       // not committed by control, in order of their numbers
	rejections         []job.End       // runs that the target has not started and never will
	rejectedRuns       map[job.Ref]int // highest run of each task that was reported so
	acknowledgedEnd    uint64          // control has committed the ends up to this number
	lastOrderNumber    uint64          // number of the newest orders
	term               uint64          // of the newest orders; the fencing token
	leaseEnd           time.Duration   // on the instance's clock
	pacer              *pacing.Pacer

	unsettledLoggedAt time.Duration                           // time of the last log line about unsettled runs
	unreadableRows    int                                     // in the newest status of the target
	watching          bool                                    // a watch is in progress
	nextWatchAt       time.Duration                           // when the next watch is due
	answeredAt        time.Duration                           // when the target last answered a watch; 0 for never
	targetClockMillis int64                                   // clock of the target at targetClockReadAt
	targetClockReadAt time.Duration                           // 0 while the clock is unknown
	lateStarts        map[job.Ref]lateStart                   // stopped starts that a restarted target may still carry out
	leaseCalls        map[job.TargetIncarnation]time.Duration // when a call with a lease was last in progress, by the incarnation that it was meant for
	longLeaseUntil    time.Duration                           // a lease meant for an earlier incarnation may bind the target until then
	servingSamples    []pacing.ServingSample                  // newest measurements
	fillingSamples    []pacing.FillingSample
	hasNewSamples     bool // measurements have arrived since the last decision about paces
	hasNewFilling     bool // a filling task has started or was described since that decision

	leaderChanged bool                          // the new leader has not yet been sent all pairs
	reportedPairs map[[2]string]job.Disturbance // newest estimates sent to the leader, by serving and filling image

	reportID       uint64 // of the newest report
	reportPending  bool   // the newest report has not been answered
	reportSentAt   time.Duration
	reportedCounts reportCounts
	reportNow      bool          // there is something new to report
	reportRetryAt  time.Duration // earliest time of a report that contains nothing new

	calls          []calls.Call
	callCount      uint64                   // calls that were sent; distributes calls among the callers
	outgoingReport *controlapi.TargetReport // nil when no report is to be sent
}

// reportCounts is how many of the ended incarnations and rejections the newest
// report contained. They are dropped when the report is answered.
type reportCounts struct {
	endedIncarnations, rejections int
}

func newOwner(agentID uint64, host string, maxLease time.Duration, log *zap.Logger) *owner {
	return &owner{log: log, agentID: agentID, host: host, maxLease: maxLease, runs: map[job.Ref]*run{}, rejectedRuns: map[job.Ref]int{}, lateStarts: map[job.Ref]lateStart{}, leaseCalls: map[job.TargetIncarnation]time.Duration{}, pacer: pacing.New(), reportedPairs: map[[2]string]job.Disturbance{}}
}

// handleOrders processes the response of control to the report with the ID.
func (o *owner) handleOrders(now time.Duration, reportID uint64, orders controlapi.TargetOrders, err error) {
	if reportID != o.reportID {
		return // a newer report was sent
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
	o.term, o.lastOrderNumber = orders.Term, orders.Number
	o.endedIncarnations = o.endedIncarnations[min(o.reportedCounts.endedIncarnations, len(o.endedIncarnations)):]
	o.rejections = o.rejections[min(o.reportedCounts.rejections, len(o.rejections)):]
	o.reportedCounts = reportCounts{}
	if orders.LeaseMillis > 0 {
		o.leaseEnd = max(o.leaseEnd, o.reportSentAt+time.Duration(orders.LeaseMillis)*time.Millisecond)
	}
	o.acknowledgeEnds(now, orders.EndWatermark)
	discardable := o.discardableEnd() // the starts below would keep the watch from discarding ends
	for _, s := range orders.Starts {
		o.startRun(now, s)
	}
	o.sendWatch(now, discardable)
	for _, s := range orders.Stops {
		o.stopRun(now, s)
	}
}

// acknowledgeEnds drops the ends up to number, which control has committed.
func (o *owner) acknowledgeEnds(now time.Duration, number uint64) {
	if number <= o.acknowledgedEnd {
		return
	}
	o.acknowledgedEnd = number
	o.unacknowledgedEnds = slices.DeleteFunc(o.unacknowledgedEnds, func(e job.End) bool { return e.Number <= number })
	if len(o.unacknowledgedEnds) == 0 && !o.watching {
		o.nextWatchAt = now
		if o.hasUnansweredStart() {
			o.nextWatchAt = now + confirmWait // or until the starts are answered
		}
	}
}

// startRun carries out an order to start a run, at most once for each run.
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
	if s.Run <= o.rejectedRuns[s.Task] {
		o.rejectAgain(s)
		return
	}
	if !o.hasLease(now) {
		o.reportRetryAt = now + reportRetryDelay // control repeats the order in each answer
		return
	}
	if o.announcement.Draining {
		// An earlier agent process may have started the run. Only a stop ensures
		// that it does not run.
		r = &run{number: s.Run, order: s, stateSince: now}
		o.runs[s.Task] = r
		o.sendStop(now, s.Task, r)
		return
	}
	o.runs[s.Task] = &run{number: s.Run, state: starting, order: s, pacePercent: 100, stateSince: now}
	o.calls = append(o.calls, calls.Call{
		Kind: calls.Start, Incarnation: o.incarnation, Task: s.Task, Run: s.Run, ValidUntil: min(o.leaseEnd, now+maxStartDelay),
		Start: runapi.StartRequest{Task: s.Task, Run: s.Run, Payload: s.Payload, Checkpoint: s.Checkpoint, Lease: o.targetLease()},
	})
}

func (o *owner) hasEnded(task job.Ref, number int) bool {
	return slices.ContainsFunc(o.unacknowledgedEnds, func(e job.End) bool { return e.Task == task && e.Run == number })
}

// rejectRun reports that the run was not started and never will be.
func (o *owner) rejectRun(task job.Ref, number int, why string) {
	delete(o.runs, task)
	o.rejectedRuns[task] = max(o.rejectedRuns[task], number)
	o.rejections = append(o.rejections, job.End{Target: o.incarnation, Task: task, Run: number, Outcome: job.RunRejected})
	o.reportNow = true
	o.log.Info("run rejected", zap.Stringer("task", task), zap.Int("run", number), zap.String("why", why))
}

// rejectAgain repeats a rejection that control has not recorded. It is final: control may
// record an earlier report of it at any time, and start the task elsewhere.
func (o *owner) rejectAgain(s controlapi.StartOrder) {
	reported := slices.ContainsFunc(o.rejections, func(e job.End) bool { return e.Task == s.Task && e.Run == s.Run })
	if !reported {
		o.rejectRun(s.Task, s.Run, "rejected before")
	}
}

// stopRun ensures that the run ends or never starts. A run that is not known has ended,
// unless no report has ever shown it: then its start may still be carried out.
func (o *owner) stopRun(now time.Duration, s controlapi.StopOrder) {
	r := o.runs[s.Task]
	if r == nil && s.Unreported && !o.hasEnded(s.Task, s.Run) {
		r = &run{number: s.Run, stateSince: now}
		o.runs[s.Task] = r
	}
	if r == nil || r.number != s.Run || r.state == stopping && r.stopAnsweredAt > 0 {
		return
	}
	o.sendStop(now, s.Task, r)
}

func (o *owner) sendStop(now time.Duration, task job.Ref, r *run) {
	r.state, r.stopSentAt, r.stopAnsweredAt = stopping, now, 0
	o.calls = append(o.calls, calls.Call{Kind: calls.Stop, Incarnation: o.incarnation, Task: task, Run: r.number, FencingToken: o.term})
}

// hasLease reports whether the target may be given a lease. While its clock is
// unknown it gets none, because a lease on the clock of an earlier incarnation would
// bind a restarted target for as long as the target allows.
func (o *owner) hasLease(now time.Duration) bool {
	return o.leaseEnd > now && o.targetClockReadAt > 0
}

// targetLease returns the lease on the clock of the target. The remaining time is
// shortened, because that clock may run slow.
func (o *owner) targetLease() runapi.Lease {
	left := o.leaseEnd - o.targetClockReadAt
	return runapi.Lease{
		UntilMillis: o.targetClockMillis + (left * (100 - maxClockDriftPercent) / 100).Milliseconds(),
		Token:       o.term,
	}
}

// handleResult processes the outcome of a call to the target.
func (o *owner) handleResult(now time.Duration, r calls.Result) {
	o.recordLeaseCall(now, r.Call)
	if r.Incarnation != o.incarnation {
		return
	}
	if errors.Is(r.Err, runapi.ErrIncarnationChanged) {
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
			known.pacePercent = paceUnknown // the next decision sends it again
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
		if len(o.unacknowledgedEnds) == 0 && !o.hasUnansweredStart() {
			o.nextWatchAt = min(o.nextWatchAt, now) // it confirms the runs, so that ends can be discarded
		}
		o.hasNewFilling = o.hasNewFilling || known.order.Filling
	case errors.As(r.Err, &refused) && refused.Reason == runapi.ReasonFenced:
		// The target has taken orders of a newer leader, which decides about the run.
		delete(o.runs, r.Task)
	case errors.As(r.Err, &refused) && (refused.Reason == runapi.ReasonStaleRun || !known.order.Again):
		o.rejectRun(r.Task, r.Run, string(refused.Reason))
	case errors.As(r.Err, &refused):
		// The target may still carry out an earlier start of the same run.
		o.sendStop(now, r.Task, known)
	default:
		known.state, known.stateSince = unanswered, now
		o.log.Info("start not answered", zap.Stringer("task", r.Task), zap.Int("run", r.Run), zap.Error(r.Err))
	}
}

// decide prepares the calls and the report that are due now.
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
	o.sendWatch(now, o.discardableEnd())
	o.buildReport(now)
	o.logUnsettledRuns(now)
}

// isStalled reports whether a run makes no progress although its pace allows it. Time
// without a status does not count: the agent may have been suspended itself.
func (r *run) isStalled() bool {
	return r.state == running && !r.adopted && r.progressAt > 0 && r.shownAt-r.progressAt >= stallTimeout && r.progressPercent < 100 &&
		(!r.order.Filling || r.pacePercent >= minStallPacePercent)
}

// timeToNextDecision returns the time until decide may have something to do.
func (o *owner) timeToNextDecision(now time.Duration) time.Duration {
	next := now + idleWait
	if o.incarnation.ID == "" {
		return idleWait
	}
	if !o.watching {
		next = min(next, o.nextWatchAt)
	}
	if o.reportPending {
		next = min(next, o.reportSentAt+unansweredReport)
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
