package routing

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ibispier/ibispier/request"
)

// TargetState is the state that a target announced.
type TargetState uint8

// Target states.
const (
	Serving TargetState = iota
	Draining
	Down
)

// Target is what a target announced about itself.
type Target struct {
	ID          string
	Service     string
	Zone        string
	State       TargetState
	Slots       int
	Incarnation uint64 // differs for every run of the agent of the target
	Instances   int    // live entry instances that the agent sees
	Load        request.Load
	RoundTrip   time.Duration // of the link to the agent
}

const (
	// announceTimeout is three announcements of an idle target: a target that
	// misses them gets no new work. It is below the bound of 2 s for a target
	// that leaves; a silent link is noticed earlier.
	announceTimeout = 1500 * time.Millisecond
	// reconnectTimeout is how long requests wait for a target whose link was lost
	// and is being opened again.
	reconnectTimeout = time.Second
	// forgetAfter is when a lost target is forgotten with its estimates.
	forgetAfter = time.Minute
	// loadLife is the time in which a reported load of others loses most of its
	// weight. Announcements come every 200 ms.
	loadLife = 100 * time.Millisecond
)

// Bounds and steps of the adaptive concurrency limit, in multiples of the slots
// of the target.
const (
	startLimit    = 2.0
	maxLimit      = 8.0
	limitDecrease = 0.7
)

// group is the targets of one service.
type group struct {
	service string
	targets []*target
	waiting waiting
	latency percentile // of attempts
	work    estimate   // time at work, over all targets
	cursor  uint64
	scratch []float64
}

type target struct {
	Target
	group       *group
	linked      bool
	announcedAt time.Time
	lostAt      time.Time
	zoneOut     bool
	permit      time.Time // end of the permit of its zone
	outstanding int       // attempts of this process that have no answer yet
	others      float64   // attempts of other entry instances at othersAt
	othersAt    time.Time
	work        estimate // time at work
	limit       float64  // of outstanding
	health      health
}

// instances follows the number of live entry instances that agents report. The
// largest recent number counts, because an agent that lost a link sees fewer.
type instances struct {
	count int
	at    time.Time
}

const instancesLife = time.Second

func (i *instances) report(now time.Time, n int) int {
	if n >= i.count || now.Sub(i.at) > instancesLife {
		i.count, i.at = n, now
	}
	return i.count
}

// Announce adds or updates a target.
func (r *Router) Announce(now time.Time, a Target) []Action {
	r.begin()
	t := r.targets[a.ID]
	if t != nil && t.Service != a.Service {
		r.lose(now, t)
		r.remove(t)
		t = nil
	}
	if t == nil {
		t = r.add(a)
	}
	t.Target = a
	t.linked = true
	t.announcedAt = now
	t.zoneOut = r.zonesOut[a.Zone]
	t.permit = r.permitOf(a.Zone)
	t.limit = min(max(t.limit, 1), maxLimit*slotsOf(t))
	t.observeLoad(now, a.Load)
	r.limiter.SetInstances(now, r.instances.report(now, a.Instances))
	r.pump(now, t.group)
	return r.actions
}

func (r *Router) add(a Target) *target {
	g := r.groups[a.Service]
	if g == nil {
		g = &group{service: a.Service, work: estimate{least: commonWeight}}
		r.groups[a.Service] = g
	}
	t := &target{Target: a, group: g}
	t.limit = startLimit * slotsOf(t)
	g.targets = append(g.targets, t)
	r.targets[a.ID] = t
	return t
}

// LinkLost handles a target whose link has ended. Its attempts without an answer
// are undecided. The target keeps its estimates, because a new link usually
// follows.
func (r *Router) LinkLost(now time.Time, id string) []Action {
	r.begin()
	if t := r.targets[id]; t != nil {
		r.lose(now, t)
		r.pump(now, t.group)
	}
	return r.actions
}

func (r *Router) lose(now time.Time, t *target) {
	t.linked = false
	t.lostAt = now
	for _, number := range sortedKeys(r.attempts) {
		if a := r.attempts[number]; a != nil && a.target == t {
			r.detach(a)
			r.conclude(now, a, request.Indeterminate(request.ReasonLinkLost))
		}
	}
}

// prune forgets targets that were lost long ago.
func (r *Router) prune(now time.Time) {
	if now.Sub(r.pruned) < forgetAfter/4 {
		return
	}
	r.pruned = now
	for _, t := range r.targets {
		if !t.linked && now.Sub(t.lostAt) > forgetAfter {
			r.remove(t)
		}
	}
}

// remove forgets a target. Its service stays known while calls may wait for it.
func (r *Router) remove(t *target) {
	delete(r.targets, t.ID)
	g := t.group
	g.targets = slices.DeleteFunc(g.targets, func(other *target) bool { return other == t })
	if len(g.targets) == 0 && len(g.waiting) == 0 {
		delete(r.groups, g.service)
	}
}

// isUsable reports whether t takes work as far as it has announced.
func (t *target) isUsable(now time.Time) bool {
	return t.linked && t.State == Serving && !t.zoneOut && now.Before(t.permit) && now.Sub(t.announcedAt) < announceTimeout
}

// isReturning reports whether t may take work again soon.
func (t *target) isReturning(now time.Time) bool {
	if t.zoneOut {
		return false
	}
	return !t.linked && now.Sub(t.lostAt) < reconnectTimeout
}

func slotsOf(t *target) float64 { return float64(max(t.Slots, 1)) }

// observeLoad takes a reported load and derives the part of other instances.
func (t *target) observeLoad(now time.Time, l request.Load) {
	t.Load = l
	t.others = max(float64(l.InFlight+l.Queued-t.outstanding), 0)
	t.othersAt = now
}

// depth estimates the attempts at the target.
func (t *target) depth(now time.Time) float64 {
	if t.others == 0 {
		return float64(t.outstanding)
	}
	age := float64(now.Sub(t.othersAt)) / float64(loadLife)
	return float64(t.outstanding) + t.others*math.Exp(-age)
}

// observe learns from the answer to an attempt.
func (r *Router) observe(now time.Time, a *attempt, resp *request.Response, load request.Load) {
	t := a.target
	t.observeLoad(now, load)
	overloaded := isOverload(resp)
	r.observeOverload(overloaded)
	t.adapt(overloaded)
	if resp.Outcome == request.NotRun {
		t.observeRefusal(resp.Reason)
		if resp.Reason == request.ReasonNoTarget {
			r.judge(now, t, true)
		}
		return
	}
	if load.Service > 0 {
		t.work.add(now, float64(load.Service))
		t.group.work.add(now, float64(load.Service))
	}
	if resp.Outcome == request.Done {
		t.group.latency.add(float64(now.Sub(a.sent)))
	}
	failed := resp.Outcome == request.Unknown && resp.Reason != request.ReasonDeadline
	r.judge(now, t, failed || resp.Status >= 500)
}

// isOverload reports whether a target refused for lack of capacity: its queue
// was full or longer than the deadline allows.
func isOverload(resp *request.Response) bool {
	return resp.Outcome == request.NotRun &&
		(resp.Reason == request.ReasonOverloaded || resp.Reason == request.ReasonDeadline)
}

func (r *Router) observeOverload(overloaded bool) {
	r.overload -= overloadWeight * r.overload
	if overloaded {
		r.overload += overloadWeight
	}
}

// observeRefusal takes the state from a refusal, which comes before the next
// announcement.
func (t *target) observeRefusal(reason request.Reason) {
	switch reason {
	case request.ReasonDraining:
		t.State = Draining
	case request.ReasonNoTarget:
		t.State = Down
	}
}

// observeLate learns from an attempt that has no answer yet: its work took at
// least the time since it was sent, without the queue it met.
func (t *target) observeLate(now time.Time, a *attempt) {
	elapsed := float64(now.Sub(a.sent)) / (1 + a.depth/slotsOf(t))
	if t.work.samples > 0 && elapsed > t.work.mean {
		t.work.add(now, elapsed)
	}
}

// adapt moves the concurrency limit: up by one for each full round of answers
// while the target has no queue and the limit is in use, down by a factor when
// the target refuses for lack of capacity or its queue is longer than one round.
func (t *target) adapt(overloaded bool) {
	slots := slotsOf(t)
	switch {
	case overloaded:
		t.limit *= limitDecrease
	case float64(t.Load.Queued) > 2*slots:
		t.limit -= 1 / t.limit
	case float64(t.Load.Queued) < slots && float64(t.outstanding+1) >= t.limit/2:
		t.limit += 1 / t.limit
	}
	t.limit = min(max(t.limit, 1), maxLimit*slots)
}

func sortedKeys[K interface{ ~string | ~uint64 }, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
