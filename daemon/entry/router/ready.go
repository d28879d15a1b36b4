package router

import (
	"sync/atomic"
	"time"
)

const (
	warmUpTickInterval = 50 * time.Millisecond
	// targetSettleTime is how long no new target may appear before the set of
	// targets counts as complete. Agents connect to a new entry instance at
	// different times.
	targetSettleTime = 300 * time.Millisecond
	// maxWarmUp bounds the wait for targets. It exceeds the longest reconnect
	// delay of an agent, 1.5 s.
	maxWarmUp = 2 * time.Second
)

// readiness tracks whether the router can serve requests. It needs a
// configuration and the targets that agents announce after a start: without
// the targets it would refuse requests that other entry instances can serve.
type readiness struct {
	ready        atomic.Bool
	startedAt    time.Time
	lastTargetAt time.Time // when the last new target was announced
}

func (r *readiness) reset(now time.Time) {
	r.ready.Store(false)
	r.startedAt, r.lastTargetAt = now, time.Time{}
}

// update reports whether the router is ready. Once ready, it stays ready until
// reset.
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

// Ready reports whether the configuration and the targets are known.
func (d *Duty) Ready() bool { return d.readiness.ready.Load() }
