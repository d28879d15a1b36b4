package runs

import (
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/daemon/targetagent/calls"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/runapi"
)

const (
	// watchWait is how long a watch waits for the end of a run. pacedWatchWait
	// replaces it while serving and filling tasks share the target, because their
	// measurements cover only the last 500 ms.
	watchWait      = 900 * time.Millisecond
	pacedWatchWait = 400 * time.Millisecond
	// acknowledgeWait delays the next watch until control has acknowledged the
	// reported ends. While ends are unacknowledged, a watch returns at once.
	acknowledgeWait = 150 * time.Millisecond
	// confirmWait bounds how long a watch is put off while a start has no answer and
	// there are ends to discard. Such a watch would discard nothing and return at once.
	confirmWait = 40 * time.Millisecond
	// watchRetryDelay is the pause after a failed watch.
	watchRetryDelay = 200 * time.Millisecond
	// reachableFor is how long the target counts as reachable after it has answered
	// a watch.
	reachableFor = 1500 * time.Millisecond
)

// sendWatch sends a watch that is due, which discards the ends up to discardable. It goes
// before the starts that were prepared meanwhile, so that no run of theirs ends first.
func (o *owner) sendWatch(now time.Duration, discardable uint64) {
	if o.watching || now < o.nextWatchAt {
		return
	}
	w := runapi.WatchRequest{EndWatermark: discardable, Lease: runapi.Lease{Token: o.term}, Wait: o.nextWatchWait(now)}
	if o.hasLease(now) {
		w.Lease = o.targetLease()
	}
	o.watching = true
	o.calls = slices.Insert(o.calls, 0, calls.Call{Kind: calls.Watch, Incarnation: o.incarnation, Watch: w})
}

// discardableEnd returns the number up to which the target may discard ends. It is 0
// while a start is not confirmed: a target that was restarted under its ID may have
// carried it out, and would take a number of the earlier incarnation for its own.
func (o *owner) discardableEnd() uint64 {
	for _, r := range o.runs {
		if !r.confirmed {
			return 0
		}
	}
	return o.acknowledgedEnd
}

// hasUnansweredStart reports whether a start, or the stop that follows an unanswered
// one, has no answer yet.
func (o *owner) hasUnansweredStart() bool {
	for _, r := range o.runs {
		if !r.confirmed && r.state != running && r.stopAnsweredAt == 0 {
			return true
		}
	}
	return false
}

func (o *owner) nextWatchWait(now time.Duration) time.Duration {
	if o.targetClockReadAt == 0 || len(o.unacknowledgedEnds) > 0 {
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

// handleWatchResult processes the status that the target returned.
func (o *owner) handleWatchResult(now time.Duration, r calls.Result) {
	o.watching = false
	if r.Err != nil {
		o.nextWatchAt = now + watchRetryDelay
		if refused := (*runapi.RefusedError)(nil); !errors.As(r.Err, &refused) {
			o.targetClockReadAt = 0 // the target may have been restarted under the same ID
		}
		o.log.Debug("watch failed", zap.Error(r.Err))
		return
	}
	if r.Status.Incarnation.Born != o.incarnation.Born {
		o.log.Info("another life of the target answers", zap.String("target", o.incarnation.ID),
			zap.Int64("born", o.incarnation.Born), zap.Int64("answers", r.Status.Incarnation.Born))
		o.switchIncarnation(now, o.restartedAnnouncement(r.Status.Incarnation.Born))
		return
	}
	if o.answeredAt == 0 {
		o.checkLongLease(now, r.Status.ClockMillis)
	}
	first := o.answeredAt == 0 || now-o.answeredAt > reachableFor
	o.answeredAt = now
	o.targetClockMillis, o.targetClockReadAt = r.Status.ClockMillis, now
	o.reportNow = o.reportNow || first
	o.logUnreadableRows(r.Status.UnreadableRows)
	o.recordEnds(now, r.Status.Ends)
	o.reconcileRuns(now, r)
	o.hasNewSamples = true
	switch {
	case len(o.unacknowledgedEnds) > 0:
		o.nextWatchAt = now + acknowledgeWait
	case len(r.Status.Ends) > 0 && o.hasUnansweredStart():
		o.nextWatchAt = now + confirmWait
	default:
		o.nextWatchAt = now
	}
}

// logUnreadableRows logs once when the number of unreadable rows changes: the target
// returns the same rows to each watch.
func (o *owner) logUnreadableRows(count int) {
	if count > 0 && count != o.unreadableRows {
		o.log.Warn("rows of the target skipped", zap.String("target", o.incarnation.ID), zap.Int("rows", count))
	}
	o.unreadableRows = count
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

// reconcileRuns compares the runs that the target reports with the known ones. A
// run that is missing from a watch sent after its stop was answered has ended or
// was never started.
func (o *owner) reconcileRuns(now time.Duration, w calls.Result) {
	shown := make(map[job.Ref]bool, len(w.Status.Running))
	for _, s := range w.Status.Running {
		r := o.runs[s.Task]
		if r != nil && r.number > s.Run {
			o.stopEarlierRun(now, s, r)
			continue
		}
		shown[s.Task] = true
		if r == nil || r.number < s.Run {
			if o.hasEnded(s.Task, s.Run) {
				continue
			}
			// An earlier agent process may have set any pace.
			r = &run{number: s.Run, state: running, stateSince: now, pacePercent: paceUnknown, adopted: true}
			o.runs[s.Task] = r
			o.reportNow = true
		}
		r.confirmed = true
		// A target that is slow to answer has read its status by the end of the wait.
		r.shownAt = min(now, w.SentAt+w.Watch.Wait)
		r.level = s.Measurement
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
			// The run has ended. Its end is part of this answer or a later one, unless
			// it was acknowledged already.
			delete(o.runs, task)
			o.reportNow = true
		case r.state == stopping && r.stopAnsweredAt > 0 && w.SentAt > r.stopAnsweredAt:
			if !o.hasEnded(task, r.number) {
				o.recordLateStart(now, task, r)
				o.rejectRun(task, r.number, "stopped before it started")
			}
		}
	}
}

// stopEarlierRun stops a run beside which control has ordered a later one. Control does
// not order that stop: it knows one run of a task.
func (o *owner) stopEarlierRun(now time.Duration, earlier runapi.Run, later *run) {
	if later.earlierStopAt > 0 && now-later.earlierStopAt < stopRetryDelay+time.Second {
		return
	}
	later.earlierStopAt = now
	o.calls = append(o.calls, calls.Call{Kind: calls.Stop, Incarnation: o.incarnation, Task: earlier.Task, Run: earlier.Run, FencingToken: o.term})
	o.log.Info("earlier run stopped", zap.Stringer("task", earlier.Task), zap.Int("run", earlier.Run), zap.Int("ordered_run", later.number))
}
