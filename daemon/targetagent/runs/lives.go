package runs

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/pacing"
	"github.com/ibispier/ibispier/runapi"
)

// announced takes an announcement of the target.
func (o *owner) announced(now time.Duration, a runapi.Announcement) {
	switch {
	case a.Incarnation == o.life:
		if a.Sequence <= o.told.Sequence && !a.Leaving {
			return
		}
		if a.Leaving {
			a = o.leave(a)
		}
		o.dirty = o.dirty || a.Draining != o.told.Draining
		o.told = a
	case a.Leaving:
		return
	case o.life.ID == "" || a.Incarnation.Born > o.life.Born || o.stale:
		o.adopt(now, a)
	default:
		o.log.Info("announcement of an earlier life ignored", zap.String("target", a.Incarnation.ID), zap.Int64("born", a.Incarnation.Born))
	}
}

// leave keeps what was told before: a leave says only who leaves.
func (o *owner) leave(a runapi.Announcement) runapi.Announcement {
	last := o.told
	last.Draining, last.RemainingMillis = true, 0
	last.Sequence = max(last.Sequence, a.Sequence)
	return last
}

// adopt makes a new life of the target the current one. Nothing of the earlier
// one runs any more.
func (o *owner) adopt(now time.Duration, a runapi.Announcement) {
	o.log.Info("target announced", zap.String("target", a.Incarnation.ID), zap.Int64("born", a.Incarnation.Born),
		zap.String("earlier", o.life.ID), zap.Int64("earlier_born", o.life.Born), zap.Bool("draining", a.Draining))
	if o.life.ID != "" {
		o.gone = append(o.gone, o.life)
	}
	// A life may come back after a late announcement of another one.
	o.gone = slices.DeleteFunc(o.gone, func(l job.TargetIncarnation) bool { return l == a.Incarnation })
	// The answer to a report of the earlier life has orders for that life.
	o.token, o.pending = o.token+1, false
	undecided := o.undecided(a.Incarnation)
	o.life, o.told, o.stale = a.Incarnation, a, false
	o.runs, o.ends, o.reject = undecided, nil, nil
	for task, r := range o.runs {
		o.sendStop(now, task, r)
	}
	o.noted, o.lease, o.answered, o.clock, o.clockAt = 0, 0, 0, 0, 0
	o.pacer = pacing.New()
	clear(o.toldPairs)
	o.watching, o.watchAt = false, now
	o.dirty = true
}

// undecided returns the runs whose start may still reach the next life: under the
// same id, the target cannot tell that a call is meant for an earlier one.
func (o *owner) undecided(next job.TargetIncarnation) map[job.Ref]*run {
	runs := map[job.Ref]*run{}
	if next.ID != o.life.ID {
		return runs
	}
	for task, r := range o.runs {
		if r.state == starting || r.state == doubtful || r.inherited {
			runs[task] = &run{number: r.number, order: r.order, inherited: true}
		}
	}
	return runs
}

// hasInherited reports whether it is open what becomes of a start for an earlier
// life.
func (o *owner) hasInherited() bool {
	for _, r := range o.runs {
		if r.inherited {
			return true
		}
	}
	return false
}

// reborn returns the announcement of a life under the same id. Its own
// announcement follows.
func (o *owner) reborn(born int64) runapi.Announcement {
	a := o.told
	a.Incarnation.Born, a.Sequence, a.Draining = born, 0, false
	return a
}
