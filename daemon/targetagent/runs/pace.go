package runs

import (
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/daemon/targetagent/calls"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/pacing"
)

// paceUnknown is the pace of an adopted run, and of a run whose last pace call
// failed. The next decision sends the pace again.
const paceUnknown = -1

// slowedPercent is the pace up to which a task counts as slowed. The rest of an average
// run then takes longer than a stop, a start elsewhere and a restore.
const slowedPercent = 40

func (r *run) isSlowed() bool {
	return r.order.Filling && r.pacePercent != paceUnknown && r.pacePercent <= slowedPercent
}

// decidePaces feeds new samples to the pacer and sets the pace of the filling
// tasks. A filling task that has just started gets its pace without waiting for
// new samples.
func (o *owner) decidePaces(now time.Duration) {
	if !o.hasNewSamples && !o.hasNewFilling {
		return
	}
	o.servingSamples, o.fillingSamples = o.samples()
	if o.hasNewSamples {
		o.pacer.Observe(now, o.servingSamples, o.fillingSamples)
	}
	o.hasNewSamples, o.hasNewFilling = false, false
	o.pacer.Decide(now, o.fillingSamples)
	for task, r := range o.runs {
		if r.order.Filling && r.state == running {
			o.sendPace(now, task, r)
		}
	}
}

// sendPace sets the pace of a filling task if it differs from the last one.
func (o *owner) sendPace(now time.Duration, task job.Ref, r *run) {
	percent := 100
	if len(o.servingSamples) > 0 {
		percent = o.pacer.PacePercent(r.order.Image)
	}
	if r.pacePercent == percent {
		return
	}
	o.log.Debug("pace set", zap.Stringer("task", task), zap.Int("percent", percent), zap.Int("before", r.pacePercent))
	r.pacePercent, r.progressAt = percent, now
	o.calls = append(o.calls, calls.Call{Kind: calls.Pace, Incarnation: o.incarnation, Task: task, Run: r.number, PacePercent: percent, FencingToken: o.term})
}

// samples returns the newest measurements of the serving tasks, and those of the
// filling tasks summed by image.
func (o *owner) samples() ([]pacing.ServingSample, []pacing.FillingSample) {
	capacity := float64(o.announcement.Capacity.CPUMilli)
	if capacity <= 0 {
		return nil, nil
	}
	var serving []pacing.ServingSample
	byImage := map[string]*pacing.FillingSample{}
	for task, r := range o.runs {
		switch {
		case r.state != running:
		case r.order.TailTargetMillis > 0:
			if r.level > 0 {
				ratio := float64(r.level) / float64(r.order.TailTargetMillis)
				serving = append(serving, pacing.ServingSample{Task: task.String(), Job: task.Job, Image: r.order.Image, Ratio: ratio})
			}
		case r.order.Filling:
			f := byImage[r.order.Image]
			if f == nil {
				f = &pacing.FillingSample{Image: r.order.Image}
				byImage[r.order.Image] = f
			}
			f.UsedShare += float64(r.level) / capacity
			f.FullPaceShare += float64(r.order.CPUMilli) / capacity
		}
	}
	filling := make([]pacing.FillingSample, 0, len(byImage))
	for _, f := range byImage {
		filling = append(filling, *f)
	}
	return serving, filling
}
