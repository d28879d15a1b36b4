package router

import (
	"sync/atomic"
	"time"
)

const (
	warmUpTickInterval = 50 * time.Millisecond
	// targetSettleTime is the time without a new target after which the targets
	// count as known. Agents find a new entry instance at different times.
	targetSettleTime = 300 * time.Millisecond
	// maxWarmUp bounds the wait for targets. It is above the longest pause of an
	// agent before it dials again, 1.5 s.
	maxWarmUp = 2 * time.Second
)

// readiness tells when the router may get requests: with a configuration and
// the targets that the agents announce after a start. Without the targets it
// would refuse what other entry instances can serve.
type readiness struct {
	ready        atomic.Bool
	startedAt    time.Time
	lastTargetAt time.Time // of the last new target
}

func (r *readiness) reset(now time.Time) {
	r.ready.Store(false)
	r.startedAt, r.lastTargetAt = now, time.Time{}
}

// update reports and remembers whether the router is ready.
func (r *readiness) update(now time.Time, configured bool) bool {
	if r.ready.Load() {
		return true
	}
	settled := !r.lastTargetAt.IsZero() && now.Sub(r.lastTargetAt) >= targetSettleTime
	if configured && (settled || now.Sub(r.startedAt) >= maxWarmUp) {
		r.ready.Store(true)
	}
	return r.ready.Load()
}

// Ready reports whether a configuration and the targets are known.
func (d *Duty) Ready() bool { return d.readiness.ready.Load() }
