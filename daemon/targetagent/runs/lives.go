package runs

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/targetagent/calls"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/pacing"
	"github.com/ibispier/ibispier/runapi"
)

// handleAnnouncement processes an announcement of the target.
func (o *owner) handleAnnouncement(now time.Duration, a runapi.Announcement) {
	switch {
	case a.Incarnation == o.incarnation:
		if a.Sequence <= o.announcement.Sequence && !a.Leaving {
			return
		}
		if a.Leaving {
			a = o.markLeaving(a)
		}
		o.reportNow = o.reportNow || a.Draining != o.announcement.Draining
		o.announcement = a
	case a.Leaving:
		return
	case o.incarnation.ID == "" || a.Incarnation.Born > o.incarnation.Born || o.stale:
		o.switchIncarnation(now, a)
	default:
		o.log.Info("ignored the announcement of an earlier incarnation", zap.String("target", a.Incarnation.ID), zap.Int64("born", a.Incarnation.Born))
	}
}

// markLeaving returns the newest announcement, marked as draining: an announcement
// that the target leaves names only the target.
func (o *owner) markLeaving(a runapi.Announcement) runapi.Announcement {
	last := o.announcement
	last.Draining, last.RemainingMillis = true, 0
	last.Sequence = max(last.Sequence, a.Sequence)
	return last
}

// switchIncarnation makes a new incarnation of the target the current one. No run
// of the earlier incarnation is still running.
func (o *owner) switchIncarnation(now time.Duration, a runapi.Announcement) {
	o.log.Info("target announced", zap.String("target", a.Incarnation.ID), zap.Int64("born", a.Incarnation.Born),
		zap.String("earlier", o.incarnation.ID), zap.Int64("earlier_born", o.incarnation.Born), zap.Bool("draining", a.Draining))
	if o.incarnation.ID != "" {
		o.endedIncarnations = append(o.endedIncarnations, o.incarnation)
	}
	// A delayed announcement of another incarnation may have displaced the one that
	// is now announced again.
	o.endedIncarnations = slices.DeleteFunc(o.endedIncarnations, func(l job.TargetIncarnation) bool { return l == a.Incarnation })
	// Orders that answer a report of the earlier incarnation are meant for that
	// incarnation and must be ignored.
	o.reportID, o.reportPending = o.reportID+1, false
	undecided := o.unsettledRuns(now, a.Incarnation)
	if a.Incarnation.ID != o.incarnation.ID {
		clear(o.leaseCalls)
		o.longLeaseUntil = 0 // the target refuses calls for another ID
		clear(o.lateStarts)
	}
	o.incarnation, o.announcement, o.stale = a.Incarnation, a, false
	o.runs, o.unacknowledgedEnds, o.rejections = undecided, nil, nil
	clear(o.rejectedRuns)
	for task, r := range o.runs {
		o.sendStop(now, task, r)
	}
	o.acknowledgedEnd, o.leaseEnd, o.answeredAt, o.targetClockMillis, o.targetClockReadAt = 0, 0, 0, 0, 0
	o.pacer = pacing.New()
	clear(o.reportedPairs)
	o.watching, o.nextWatchAt = false, now
	o.reportNow = true
}

// unsettledRuns returns the runs whose start may be carried out by the next
// incarnation, or was already: calls name only the target's ID, so that an
// incarnation with the same ID cannot tell that a call is meant for an earlier one.
func (o *owner) unsettledRuns(now time.Duration, next job.TargetIncarnation) map[job.Ref]*run {
	runs := map[job.Ref]*run{}
	if next.ID != o.incarnation.ID {
		return runs
	}
	for task, s := range o.lateStarts {
		if now < s.until {
			runs[task] = &run{number: s.number, order: s.order, inherited: true}
		}
	}
	for task, r := range o.runs {
		if !r.confirmed || r.inherited {
			runs[task] = &run{number: r.number, order: r.order, inherited: true}
		}
	}
	return runs
}

// lateCallWindow is how long after an unanswered call the target may still carry it
// out, as the known platforms state it.
const lateCallWindow = 12 * time.Second

// lateStart is an unanswered start that was followed by an answered stop. The stop
// binds only the incarnation that has answered it.
type lateStart struct {
	number int
	order  controlapi.StartOrder
	until  time.Duration
}

// recordLateStart records a run that was stopped before the target has shown it.
func (o *owner) recordLateStart(now time.Duration, task job.Ref, r *run) {
	maps.DeleteFunc(o.lateStarts, func(_ job.Ref, s lateStart) bool { return now >= s.until })
	o.lateStarts[task] = lateStart{number: r.number, order: r.order, until: now + lateCallWindow}
}

// hasInheritedRuns reports whether a start that was meant for an earlier
// incarnation may still be carried out.
func (o *owner) hasInheritedRuns() bool {
	for _, r := range o.runs {
		if r.inherited {
			return true
		}
	}
	return false
}

// restartedAnnouncement returns a provisional announcement of a target that was
// restarted under the same ID. The target's own announcement follows.
func (o *owner) restartedAnnouncement(born int64) runapi.Announcement {
	a := o.announcement
	a.Incarnation.Born, a.Sequence, a.Draining = born, 0, false
	return a
}

// birthSlack covers the rounding of the target's clock and the time that its answer
// was on its way.
const birthSlack = 50 * time.Millisecond

// carriesLease reports whether the call renews the lease of its target.
func carriesLease(c calls.Call) bool {
	return c.Kind == calls.Start || c.Kind == calls.Watch && c.Watch.Lease.UntilMillis > 0
}

// recordLeaseCall notes the end of a call. A call with a lease that was meant for an
// earlier incarnation and ends after the current one has answered may have reached
// the current one.
func (o *owner) recordLeaseCall(now time.Duration, c calls.Call) {
	if !carriesLease(c) || c.Incarnation.ID != o.incarnation.ID {
		return
	}
	o.leaseCalls[c.Incarnation] = now
	if c.Incarnation != o.incarnation && o.answeredAt > 0 {
		o.assumeLongLease(now)
	}
}

// checkLongLease processes the first answer of an incarnation. Calls with a lease
// that ended before it was born cannot have reached it; a later one, computed with
// the clock of an earlier incarnation, may bind it for as long as the target allows.
func (o *owner) checkLongLease(now time.Duration, clockMillis int64) {
	age := time.Duration(clockMillis) * time.Millisecond
	born := now - age*(100+maxClockDriftPercent)/100 - birthSlack
	for meantFor, at := range o.leaseCalls {
		if meantFor != o.incarnation && at >= born {
			o.assumeLongLease(now)
			return
		}
	}
}

func (o *owner) assumeLongLease(now time.Duration) {
	o.longLeaseUntil = now + o.maxLease
	o.log.Info("target may hold the lease of an earlier incarnation", zap.String("target", o.incarnation.ID),
		zap.Int64("born", o.incarnation.Born), zap.Duration("no_lease_for", o.maxLease))
}
