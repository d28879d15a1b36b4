package runs

import (
	"math"
	"slices"
	"time"

	"github.com/ibispier/ibispier/controlapi"
)

// report puts a report together when one is due. Without anything new, one
// report at a time waits for orders.
func (o *owner) report(now time.Duration) {
	due := o.dirty && now-o.sentAt >= reportGap
	if !due && (o.pending || now < o.retryAt || now-o.sentAt < reportGap) {
		return
	}
	o.token++
	o.pending, o.dirty, o.sentAt = true, false, now
	o.reported = reportMark{reject: len(o.reject)}
	r := &controlapi.TargetReport{
		Life:            o.life,
		Host:            o.host,
		Service:         o.told.Service,
		Zone:            o.told.Zone,
		Rack:            o.told.Rack,
		Labels:          o.told.Labels,
		Capacity:        o.told.Capacity,
		Draining:        o.told.Draining,
		RemainingMillis: o.told.RemainingMillis,
		Agent:           o.agent,
		Seen:            o.seen,
		LeaseWanted:     o.answered > 0 && now-o.answered < soundFor && !o.stale,
		Ends:            append(slices.Clone(o.ends), o.reject...),
		HoldMillis:      reportHold.Milliseconds(),
	}
	r.Unsettled = o.hasInherited()
	if o.answered > 0 && !r.Unsettled {
		// The current life has answered a call, so the earlier ones have ended. An
		// announcement alone may be late, and come from a life that has ended.
		r.Gone = slices.Clone(o.gone)
	}
	o.reported.gone = len(r.Gone)
	for task, state := range o.runs {
		r.Running = append(r.Running, controlapi.RunReport{
			Task: task, Run: state.number, Checkpoint: state.checkpoint, Paused: state.order.Filling && state.pace == 0,
			Adopted: state.adopted, Stalled: state.isStalled(now),
		})
	}
	for _, q := range o.pacer.Headrooms() {
		r.Serving = append(r.Serving, controlapi.ServingHeadroom(q))
	}
	r.Learned = o.learned()
	o.outgoing = r
}

const (
	// tellChange and tellPrecision are the changes of an estimate that are worth
	// telling: by this much, or to this share of its deviation.
	tellChange    = 0.3
	tellPrecision = 0.8
)

// learned returns the pairs whose estimates have changed since they were told.
func (o *owner) learned() []controlapi.PairDisturbance {
	if o.tellLearned {
		o.tellLearned = false
		clear(o.toldPairs)
	}
	var changed []controlapi.PairDisturbance
	for _, p := range o.pacer.Pairs() {
		key := [2]string{p.Serving, p.Filling}
		last, known := o.toldPairs[key]
		if known && math.Abs(p.Coefficient-last.Coefficient) < tellChange && p.Deviation > tellPrecision*last.Deviation {
			continue
		}
		o.toldPairs[key] = p.Disturbance
		changed = append(changed, controlapi.PairDisturbance{
			Filling: p.Filling, Serving: p.Serving, Disturbance: p.Disturbance,
		})
	}
	return changed
}
