package runs

import (
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
	if o.answered > 0 {
		// The current life has answered a call, so the earlier ones have ended. An
		// announcement alone may be late, and come from a life that has ended.
		r.Gone = slices.Clone(o.gone)
	}
	o.reported.gone = len(r.Gone)
	for task, state := range o.runs {
		r.Running = append(r.Running, controlapi.RunReport{
			Task: task, Run: state.number, Checkpoint: state.checkpoint, Paused: state.order.Filling && state.pace == 0,
			Adopted: state.adopted,
		})
	}
	if len(o.filling) > 0 {
		for _, s := range o.serving {
			r.Serving = append(r.Serving, controlapi.ServingFigure(s))
		}
	}
	if o.tellLearned {
		o.tellLearned = false
		for _, pair := range o.pacer.Learned(now) {
			r.Learned = append(r.Learned, controlapi.PairFigure(pair))
		}
	}
	for _, f := range o.filling {
		r.Filling = append(r.Filling, controlapi.FillingFigure{Image: f.Image, Using: f.Using})
	}
	o.outgoing = r
}
