package routing

import (
	"slices"
	"time"
)

const (
	failuresToEject   = 5 // consecutive
	slowFactor        = 4 // times the median of the service
	samplesToEject    = 8
	minEjection       = time.Second
	maxEjection       = 30 * time.Second
	successesToReturn = 3
)

// health tracks whether a target is ejected. After an ejection, the target is
// on probation: it gets one attempt at a time until enough of them have
// succeeded.
type health struct {
	failures     int // consecutive
	ejections    int // recent ejections; each doubles the length of the next
	ejectedUntil time.Time
	probation    bool
	successes    int // on probation
}

// allows reports whether the target may get an attempt.
func (h *health) allows(now time.Time, outstanding int) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	return !h.probation || outstanding == 0
}

func (h *health) eject(now time.Time) {
	length := min(minEjection<<min(h.ejections, 5), maxEjection)
	h.ejections++
	h.ejectedUntil = now.Add(length)
	h.probation = true
	h.failures, h.successes = 0, 0
}

// recordSuccess counts a success and ends the probation after enough of them.
func (h *health) recordSuccess() {
	h.failures = 0
	if !h.probation {
		return
	}
	if h.successes++; h.successes >= successesToReturn {
		h.probation = false
		h.ejections = max(h.ejections-1, 0)
	}
}

// updateHealth ejects t when it fails repeatedly or is much slower than the
// others.
func (r *Router) updateHealth(now time.Time, t *target, failed bool) {
	if r.options.Policy == RoundRobin || now.Before(t.health.ejectedUntil) {
		return
	}
	if failed {
		t.health.failures++
	}
	broken := t.health.failures >= failuresToEject || (failed && t.health.probation)
	slow := t.isSlow()
	if !broken && !slow {
		if !failed {
			t.health.recordSuccess()
		}
		return
	}
	if t.pool.ejectedCount(now) >= len(t.pool.targets)/2 {
		return // the remaining targets could not carry the load
	}
	t.health.eject(now)
	t.serviceTime.samples = 0 // the probation uses only its own samples
	r.stats.Ejections++
}

// isSlow reports whether the target is much slower than the median of its
// service.
func (t *target) isSlow() bool {
	needed := samplesToEject
	if t.health.probation {
		needed = successesToReturn
	}
	if t.serviceTime.samples < needed || t.serviceTime.mean < 2*t.pool.serviceTime.mean {
		return false
	}
	return t.serviceTime.mean > slowFactor*t.pool.medianServiceTime()
}

func (g *pool) medianServiceTime() float64 {
	means := g.scratch[:0]
	for _, t := range g.targets {
		if t.serviceTime.samples > 0 {
			means = append(means, t.serviceTime.mean)
		}
	}
	g.scratch = means
	if len(means) == 0 {
		return defaultServiceTime
	}
	slices.Sort(means)
	return means[(len(means)-1)/2]
}

func (g *pool) ejectedCount(now time.Time) int {
	n := 0
	for _, t := range g.targets {
		if now.Before(t.health.ejectedUntil) {
			n++
		}
	}
	return n
}
