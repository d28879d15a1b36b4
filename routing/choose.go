package routing

import (
	"slices"
	"time"

	"github.com/ibispier/ibispier/request"
)

// randomPicks is the number of random picks before a scan. A scan alone would
// favour targets that follow one that accepts no work.
const randomPicks = 4

// choose returns the target for the next attempt of c, or the reason why there
// is none. Ejected targets and targets that c has tried are the last resort.
func (r *Router) choose(now time.Time, g *pool, c *call) (*target, request.Reason) {
	if r.options.Policy == RoundRobin {
		return r.chooseRoundRobin(now, g, c)
	}
	filters := [...]filter{
		{healthy: true, tried: c.tried},
		{healthy: true},
		{tried: c.tried},
		{},
	}
	for i := range filters {
		if len(c.tried) == 0 && i%2 == 1 {
			continue // the same as the filter before
		}
		if t := r.chooseOfTwo(now, g, filters[i]); t != nil {
			return t, request.ReasonNone
		}
	}
	return nil, r.noTargetReason(now, g)
}

// filter restricts which targets may be chosen.
type filter struct {
	healthy bool      // exclude ejected targets
	tried   []*target // exclude these targets
	exclude *target   // exclude this target too: the first of two choices
}

func (f *filter) accepts(now time.Time, t *target) bool {
	if !t.isUsable(now) || float64(t.outstanding) >= t.concurrencyLimit || t == f.exclude {
		return false
	}
	if f.healthy && !t.health.allows(now, t.outstanding) {
		return false
	}
	return !slices.Contains(f.tried, t)
}

func (r *Router) chooseOfTwo(now time.Time, g *pool, f filter) *target {
	first := r.pickRandom(now, g, &f)
	if first == nil {
		return nil
	}
	f.exclude = first
	second := r.pickRandom(now, g, &f)
	if second != nil && second.expectedCompletion(now) < first.expectedCompletion(now) {
		return second
	}
	return first
}

// pickRandom returns a random target that the filter accepts, or nil.
func (r *Router) pickRandom(now time.Time, g *pool, f *filter) *target {
	n := len(g.targets)
	if n == 0 {
		return nil
	}
	for range min(randomPicks, n) {
		if t := g.targets[r.random.IntN(n)]; f.accepts(now, t) {
			return t
		}
	}
	start := r.random.IntN(n)
	for i := range n {
		if t := g.targets[(start+i)%n]; f.accepts(now, t) {
			return t
		}
	}
	return nil
}

func (r *Router) chooseRoundRobin(now time.Time, g *pool, c *call) (*target, request.Reason) {
	for _, skip := range [][]*target{c.tried, nil} {
		for range g.targets {
			g.cursor++
			t := g.targets[g.cursor%uint64(len(g.targets))]
			if t.isUsable(now) && !slices.Contains(skip, t) {
				return t, request.ReasonNone
			}
		}
	}
	return nil, r.noTargetReason(now, g)
}

// expectedCompletion estimates in nanoseconds when a new attempt would be
// answered: the tail of the service time for each round of the queue, plus the
// round trip.
func (t *target) expectedCompletion(now time.Time) float64 {
	return t.expectedServiceTime(now)*(1+t.estimatedLoad(now)/slotsOf(t)) + float64(t.RoundTrip)
}

// expectedServiceTime is the tail of the target, blended with that of its
// service as far as the target has no recent samples.
func (t *target) expectedServiceTime(now time.Time) float64 {
	common := defaultServiceTime
	if t.pool.serviceTime.samples > 0 {
		common = t.pool.serviceTime.tail()
	}
	weight := t.serviceTime.weight(now)
	return weight*t.serviceTime.tail() + (1-weight)*common
}

// minLatency is a low estimate of the time that an attempt takes. It decreases
// with the age of the samples, so that a target is never avoided for good.
func (t *target) minLatency(now time.Time) time.Duration {
	rounds := max(t.estimatedLoad(now)+1-slotsOf(t), 0) / slotsOf(t)
	work := t.serviceTime.mean * t.serviceTime.weight(now)
	return time.Duration(work*(1+rounds)) + t.RoundTrip
}

// canMeetDeadline reports whether some target can respond before the deadline.
func (r *Router) canMeetDeadline(now time.Time, g *pool, chosen *target, deadline time.Time) bool {
	left := deadline.Sub(now)
	if r.options.Policy == RoundRobin || chosen.minLatency(now) <= left {
		return true
	}
	f := filter{}
	for _, t := range g.targets {
		if f.accepts(now, t) && t.minLatency(now) <= left {
			return true
		}
	}
	return false
}

// noTargetReason returns why a service has no target for an attempt.
func (r *Router) noTargetReason(now time.Time, g *pool) request.Reason {
	usable, out, unpermitted := 0, 0, 0
	for _, t := range g.targets {
		switch {
		case t.isUsable(now):
			usable++
		case t.zoneOut:
			out++
		case !now.Before(t.permitExpiry):
			unpermitted++
		}
	}
	switch {
	case usable > 0:
		return request.ReasonOverloaded
	case out > 0 && out == len(g.targets):
		return request.ReasonZoneOut
	case unpermitted > 0 && out+unpermitted == len(g.targets):
		return request.ReasonNoQuorum
	}
	return request.ReasonNoTarget
}

// hasReconnecting reports whether a target of the service may accept work again
// soon.
func (g *pool) hasReconnecting(now time.Time) bool {
	for _, t := range g.targets {
		if t.isReconnecting(now) {
			return true
		}
	}
	return false
}

// canWait reports whether one more queued call could be dispatched before its
// deadline, given the calls ahead of it.
func (g *pool) canWait(now, deadline time.Time) bool {
	slots := 0
	for _, t := range g.targets {
		if t.isUsable(now) {
			slots += max(t.Slots, 1)
		}
	}
	if slots == 0 || g.serviceTime.samples == 0 {
		return true
	}
	rounds := float64(len(g.waiting)) / float64(slots)
	return now.Add(time.Duration(rounds * g.serviceTime.mean)).Before(deadline)
}
