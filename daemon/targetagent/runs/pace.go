package runs

import (
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/daemon/targetagent/calls"
	"github.com/ibispier/ibispier/pacing"
)

// paceUnknown is the pace of a run until the target has confirmed one.
const paceUnknown = -1

// pace sets the pace of the filling tasks from the newest figures.
func (o *owner) pace(now time.Duration) {
	if !o.paceTurn {
		return
	}
	o.paceTurn = false
	o.serving, o.filling = o.figures()
	if len(o.serving) > 0 && len(o.filling) > 0 {
		o.pacer.Observe(now, o.serving, o.filling)
	}
	for task, r := range o.runs {
		if !r.order.Filling || r.state != running {
			continue
		}
		percent := 100
		if len(o.serving) > 0 {
			percent = o.pacer.Percent(r.order.Image)
		}
		if r.pace == percent {
			continue
		}
		o.log.Debug("pace ordered", zap.Stringer("task", task), zap.Int("percent", percent), zap.Int("before", r.pace))
		r.pace = percent
		o.calls = append(o.calls, calls.Call{Kind: calls.Pace, Life: o.life, Task: task, Run: r.number, Percent: percent, Token: o.term})
	}
}

// figures returns what the serving and the filling tasks have shown last.
func (o *owner) figures() ([]pacing.Serving, []pacing.Filling) {
	capacity := float64(o.told.Capacity.CPUMilli)
	if capacity <= 0 {
		return nil, nil
	}
	var serving []pacing.Serving
	byImage := map[string]*pacing.Filling{}
	for _, r := range o.runs {
		switch {
		case r.state != running:
		case r.order.TailTargetMillis > 0:
			serving = append(serving, pacing.Serving{Image: r.order.Image, Ratio: float64(r.level) / float64(r.order.TailTargetMillis)})
		case r.order.Filling:
			f := byImage[r.order.Image]
			if f == nil {
				f = &pacing.Filling{Image: r.order.Image}
				byImage[r.order.Image] = f
			}
			f.Using += float64(r.level) / capacity
			f.Full += float64(r.order.CPUMilli) / capacity
		}
	}
	filling := make([]pacing.Filling, 0, len(byImage))
	for _, f := range byImage {
		filling = append(filling, *f)
	}
	return serving, filling
}
