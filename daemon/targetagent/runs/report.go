package runs

import (
	"math"
	"slices"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
)

// buildReport prepares a report when one is due. While there is nothing new to
// report, a single report is outstanding at control, waiting for orders.
func (o *owner) buildReport(now time.Duration) {
	if o.reportPending && now-o.reportSentAt >= unansweredReport {
		o.reportPending = false
	}
	due := o.reportNow && now-o.reportSentAt >= minReportInterval
	if !due && (o.reportPending || now < o.reportRetryAt || now-o.reportSentAt < minReportInterval) {
		return
	}
	o.reportID++
	o.reportPending, o.reportNow, o.reportSentAt = true, false, now
	ends := endsWithin(o.unacknowledgedEnds, maxEndBytes)
	rejections := endsWithin(o.rejections, maxEndBytes)
	o.reportedCounts = reportCounts{rejections: len(rejections)}
	r := &controlapi.TargetReport{
		Incarnation:     o.incarnation,
		Host:            o.host,
		Service:         o.announcement.Service,
		Zone:            o.announcement.Zone,
		Rack:            o.announcement.Rack,
		Labels:          o.announcement.Labels,
		Capacity:        o.announcement.Capacity,
		Draining:        o.announcement.Draining,
		RemainingMillis: o.announcement.RemainingMillis,
		Agent:           o.agentID,
		Sequence:        o.reportID,
		Seen:            o.lastOrderNumber,
		LeaseWanted:     o.wantsLease(now),
		Ends:            append(slices.Clone(ends), rejections...),
		HoldMillis:      reportHold.Milliseconds(),
	}
	r.Unsettled = o.hasInheritedRuns()
	if o.answeredAt > 0 && !r.Unsettled {
		// The current incarnation has answered a call, so the earlier ones have
		// ended. An announcement alone does not show this: it may have been delayed
		// and come from an incarnation that has ended.
		r.Gone = slices.Clone(o.endedIncarnations)
	}
	o.reportedCounts.endedIncarnations = len(r.Gone)
	for task, known := range o.runs {
		r.Running = append(r.Running, controlapi.RunReport{
			Task: task, Run: known.number, Paused: known.order.Filling && known.pacePercent == 0,
			Slowed: known.isSlowed(), Adopted: known.adopted, Stalled: known.isStalled(),
		})
	}
	for _, headroom := range o.pacer.Headrooms() {
		r.Serving = append(r.Serving, controlapi.ServingHeadroom(headroom))
	}
	r.Learned = o.changedPairs()
	o.outgoingReport = r
}

const (
	// maxEndBytes bounds the ends, and the rejected starts, of one report, so that it
	// stays far below wire.MaxFrameBytes. The others follow once control has committed
	// those before them.
	maxEndBytes = 1 << 20
	// endBytes is the encoded size of an end without its checkpoint, rounded up.
	endBytes = 256
	// maxEscapedBytes is the largest number of bytes that JSON writes for one byte.
	maxEscapedBytes = 6
)

// endsWithin returns the first ends that fit into the bytes, at least one.
func endsWithin(ends []job.End, bytes int) []job.End {
	for i := range ends {
		bytes -= endBytes + maxEscapedBytes*len(ends[i].Checkpoint)
		if bytes < 0 && i > 0 {
			return ends[:i]
		}
	}
	return ends
}

// wantsLease reports whether control may grant the target a lease. While a lease of
// an earlier incarnation may bind the target, its runs could outlast the lease that
// control counts.
func (o *owner) wantsLease(now time.Duration) bool {
	return o.answeredAt > 0 && now-o.answeredAt < reachableFor && !o.stale && now >= o.longLeaseUntil
}

const (
	// An estimate is reported again when its coefficient has changed by at least
	// minCoefficientChange, or when its deviation has fallen to the fraction
	// maxDeviationRatio of the one reported before.
	minCoefficientChange = 0.3
	maxDeviationRatio    = 0.8
)

// changedPairs returns the pairs of images whose estimates have changed since they
// were reported. A new leader gets all of them.
func (o *owner) changedPairs() []controlapi.PairDisturbance {
	if o.leaderChanged {
		o.leaderChanged = false
		clear(o.reportedPairs)
	}
	var changed []controlapi.PairDisturbance
	for _, p := range o.pacer.Pairs() {
		key := [2]string{p.Serving, p.Filling}
		last, known := o.reportedPairs[key]
		if known && math.Abs(p.Coefficient-last.Coefficient) < minCoefficientChange && p.Deviation > maxDeviationRatio*last.Deviation {
			continue
		}
		o.reportedPairs[key] = p.Disturbance
		changed = append(changed, controlapi.PairDisturbance{
			Filling: p.Filling, Serving: p.Serving, Disturbance: p.Disturbance,
		})
	}
	return changed
}
