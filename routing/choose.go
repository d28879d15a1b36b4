package routing

import (
	"slices"
	"time"

	"github.com/ibispier/ibispier/request"
)

// randomProbes is the number of random picks before a scan. A scan alone would
// favour the targets that follow one which takes no work.
const randomProbes = 4

// choose returns the target for the next attempt of c, or the reason why there
// is none. Targets that c has tried are the last resort.
func (r *Router) choose(now time.Time, g *group, c *call) (*target, request.Reason) {
	if r.options.Policy == RoundRobin {
		return r.chooseNext(now, g, c)
	}
	filters := [...]filter{
		{healthy: true, skip: c.tried},
		{healthy: true},
		{skip: c.tried},
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
	return nil, r.absence(now, g)
}

// filter says which targets may be chosen.
type filter struct {
	healthy bool      // leave out ejected targets
	skip    []*target // left out
	only    *target   // left out as well: the first of two choices
}

func (f *filter) accepts(now time.Time, t *target) bool {
	if !t.isUsable(now) || float64(t.outstanding) >= t.limit || t == f.only {
		return false
	}
	if f.healthy && !t.health.allows(now, t.outstanding) {
		return false
	}
	return !slices.Contains(f.skip, t)
}

func (r *Router) chooseOfTwo(now time.Time, g *group, f filter) *target {
	first := r.pick(now, g, &f)
	if first == nil {
		return nil
	}
	f.only = first
	second := r.pick(now, g, &f)
	if second != nil && second.completion(now) < first.completion(now) {
		return second
	}
	return first
}

// pick returns a random target that the filter accepts, or nil.
func (r *Router) pick(now time.Time, g *group, f *filter) *target {
	n := len(g.targets)
	if n == 0 {
		return nil
	}
	for range min(randomProbes, n) {
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

func (r *Router) chooseNext(now time.Time, g *group, c *call) (*target, request.Reason) {
	for _, skip := range [][]*target{c.tried, nil} {
		for range g.targets {
			g.cursor++
			t := g.targets[g.cursor%uint64(len(g.targets))]
			if t.isUsable(now) && !slices.Contains(skip, t) {
				return t, request.ReasonNone
			}
		}
	}
	return nil, r.absence(now, g)
}

// completion estimates in nanoseconds when a new attempt would be answered: the
// tail of the work for each round of the queue, and the way there and back.
func (t *target) completion(now time.Time) float64 {
	return t.expectedWork(now)*(1+t.depth(now)/slotsOf(t)) + float64(t.RoundTrip)
}

// expectedWork is the tail of the target, or of its service as far as the
// target has no fresh samples.
func (t *target) expectedWork(now time.Time) float64 {
	common := defaultWork
	if t.group.work.samples > 0 {
		common = t.group.work.tail()
	}
	weight := t.work.weight(now)
	return weight*t.work.tail() + (1-weight)*common
}

// soonest is a low estimate of the time that an attempt takes. It falls with the
// age of the samples, so that a target is never avoided for good.
func (t *target) soonest(now time.Time) time.Duration {
	rounds := max(t.depth(now)+1-slotsOf(t), 0) / slotsOf(t)
	work := t.work.mean * t.work.weight(now)
	return time.Duration(work*(1+rounds)) + t.RoundTrip
}

// canMeet reports whether some target can answer before the deadline.
func (r *Router) canMeet(now time.Time, g *group, chosen *target, deadline time.Time) bool {
	left := deadline.Sub(now)
	if r.options.Policy == RoundRobin || chosen.soonest(now) <= left {
		return true
	}
	f := filter{}
	for _, t := range g.targets {
		if f.accepts(now, t) && t.soonest(now) <= left {
			return true
		}
	}
	return false
}

// absence tells why a service has no target for an attempt.
func (r *Router) absence(now time.Time, g *group) request.Reason {
	usable, out, unpermitted := 0, 0, 0
	for _, t := range g.targets {
		switch {
		case t.isUsable(now):
			usable++
		case t.zoneOut:
			out++
		case !now.Before(t.permit):
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

// mayReturn reports whether a target of the service may take work soon.
func (g *group) mayReturn(now time.Time) bool {
	for _, t := range g.targets {
		if t.isReturning(now) {
			return true
		}
	}
	return false
}

// canWait reports whether the waiting calls would leave a target to one more
// call before the deadline.
func (g *group) canWait(now, deadline time.Time) bool {
	slots := 0
	for _, t := range g.targets {
		if t.isUsable(now) {
			slots += max(t.Slots, 1)
		}
	}
	if slots == 0 || g.work.samples == 0 {
		return true
	}
	rounds := float64(len(g.waiting)) / float64(slots)
	return now.Add(time.Duration(rounds * g.work.mean)).Before(deadline)
}
