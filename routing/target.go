package routing

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ibispier/ibispier/request"
)

// TargetState is the announced state of a target.
type TargetState uint8

// Target states.
const (
	Serving TargetState = iota
	Draining
	Down
)

// Target is the announcement of a target.
type Target struct {
	ID          string
	Service     string
	Zone        string
	State       TargetState
	Slots       int
	Incarnation uint64 // unique for every run of the agent of the target
	Instances   int    // live entry instances that the agent sees
	Load        request.Load
	RoundTrip   time.Duration // of the link to the agent
}

const (
	// announceTimeout is three announcement intervals of an idle target: a
	// target that misses them gets no new work. It is below the limit of 2 s
	// for a target that leaves; a silent link is detected earlier.
	announceTimeout = 1500 * time.Millisecond
	// reconnectTimeout is how long requests wait for a target whose link was
	// lost and is being reconnected.
	reconnectTimeout = time.Second
	// forgetTimeout is when a lost target is removed with its estimates.
	forgetTimeout = time.Minute
	// loadDecayTime is the time constant with which the reported load of other
	// instances decays. Announcements arrive every 200 ms.
	loadDecayTime = 100 * time.Millisecond
)

// Parameters of the adaptive concurrency limit, in multiples of the slots of the
// target. limitDecrease is the factor of one decrease.
const (
	initialLimit  = 2.0
	maxLimit      = 8.0
	limitDecrease = 0.7
)

// pool holds the targets of one service.
type pool struct {
	service     string
	targets     []*target
	waiting     waitQueue
	latency     latencyHistogram // of attempts
	serviceTime estimate         // over all targets
	cursor      uint64           // of round robin
	scratch     []float64        // reused by medianServiceTime
}

type target struct {
	Target
	pool             *pool
	linked           bool
	announcedAt      time.Time
	lostAt           time.Time
	zoneOut          bool
	permitExpiry     time.Time // of the permit of its zone
	outstanding      int       // attempts of this process without a response
	otherLoad        float64   // attempts of other entry instances at otherLoadAt
	otherLoadAt      time.Time
	serviceTime      estimate
	concurrencyLimit float64 // of outstanding
	health           health
}

// instanceCount tracks the number of live entry instances that agents report.
// The largest recent number counts, because an agent that lost a link sees
// fewer.
type instanceCount struct {
	count      int
	reportedAt time.Time
}

const instanceCountTTL = time.Second

func (i *instanceCount) observe(now time.Time, n int) int {
	if n >= i.count || now.Sub(i.reportedAt) > instanceCountTTL {
		i.count, i.reportedAt = n, now
	}
	return i.count
}

// Announce adds or updates a target.
func (r *Router) Announce(now time.Time, a Target) []Action {
	r.resetActions()
	t := r.targets[a.ID]
	if t != nil && t.Service != a.Service {
		r.markLost(now, t)
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
	t.permitExpiry = r.permitExpiryOf(a.Zone)
	t.concurrencyLimit = min(max(t.concurrencyLimit, 1), maxLimit*slotsOf(t))
	t.observeLoad(now, a.Load)
	r.limiter.SetInstances(now, r.instances.observe(now, a.Instances))
	r.dispatchWaiting(now, t.pool)
	return r.actions
}

func (r *Router) add(a Target) *target {
	g := r.pools[a.Service]
	if g == nil {
		g = &pool{service: a.Service, serviceTime: estimate{minWeight: serviceSampleWeight}}
		r.pools[a.Service] = g
	}
	t := &target{Target: a, pool: g}
	t.concurrencyLimit = initialLimit * slotsOf(t)
	g.targets = append(g.targets, t)
	r.targets[a.ID] = t
	return t
}

// LinkLost handles a target whose link has closed. Its unanswered attempts end
// with an unknown outcome. The target keeps its estimates, because it usually
// reconnects.
func (r *Router) LinkLost(now time.Time, id string) []Action {
	r.resetActions()
	if t := r.targets[id]; t != nil {
		r.markLost(now, t)
		r.dispatchWaiting(now, t.pool)
	}
	return r.actions
}

func (r *Router) markLost(now time.Time, t *target) {
	t.linked = false
	t.lostAt = now
	for _, number := range sortedKeys(r.attempts) {
		if a := r.attempts[number]; a != nil && a.target == t {
			r.removeAttempt(a)
			r.handleOutcome(now, a, request.Indeterminate(request.ReasonLinkLost))
		}
	}
}

// prune removes targets that were lost long ago.
func (r *Router) prune(now time.Time) {
	if now.Sub(r.prunedAt) < forgetTimeout/4 {
		return
	}
	r.prunedAt = now
	for _, t := range r.targets {
		if !t.linked && now.Sub(t.lostAt) > forgetTimeout {
			r.remove(t)
		}
	}
}

// remove removes a target. Its service stays known while calls wait for it.
func (r *Router) remove(t *target) {
	delete(r.targets, t.ID)
	g := t.pool
	g.targets = slices.DeleteFunc(g.targets, func(other *target) bool { return other == t })
	if len(g.targets) == 0 && len(g.waiting) == 0 {
		delete(r.pools, g.service)
	}
}

// isUsable reports whether t accepts work, as far as is known from its
// announcements.
func (t *target) isUsable(now time.Time) bool {
	return t.linked && t.State == Serving && !t.zoneOut && now.Before(t.permitExpiry) && now.Sub(t.announcedAt) < announceTimeout
}

// isReconnecting reports whether t may accept work again soon.
func (t *target) isReconnecting(now time.Time) bool {
	if t.zoneOut {
		return false
	}
	return !t.linked && now.Sub(t.lostAt) < reconnectTimeout
}

func slotsOf(t *target) float64 { return float64(max(t.Slots, 1)) }

// observeLoad stores a reported load and derives the part of other instances.
func (t *target) observeLoad(now time.Time, l request.Load) {
	t.Load = l
	t.otherLoad = max(float64(l.InFlight+l.Queued-t.outstanding), 0)
	t.otherLoadAt = now
}

// estimatedLoad estimates the number of attempts at the target.
func (t *target) estimatedLoad(now time.Time) float64 {
	if t.otherLoad == 0 {
		return float64(t.outstanding)
	}
	age := float64(now.Sub(t.otherLoadAt)) / float64(loadDecayTime)
	return float64(t.outstanding) + t.otherLoad*math.Exp(-age)
}

// observeResponse updates the estimates and the health of a target from the
// response to an attempt.
func (r *Router) observeResponse(now time.Time, a *attempt, resp *request.Response, load request.Load) {
	t := a.target
	t.observeLoad(now, load)
	overloaded := isOverload(resp)
	r.observeOverload(overloaded)
	t.adaptLimit(overloaded)
	if resp.Outcome == request.NotRun {
		t.observeRefusal(resp.Reason)
		if resp.Reason == request.ReasonNoTarget {
			r.updateHealth(now, t, true)
		}
		return
	}
	if load.Service > 0 {
		t.serviceTime.add(now, float64(load.Service))
		t.pool.serviceTime.add(now, float64(load.Service))
	}
	if resp.Outcome == request.Done {
		t.pool.latency.add(float64(now.Sub(a.sentAt)))
	}
	failed := resp.Outcome == request.Unknown && resp.Reason != request.ReasonDeadline
	r.updateHealth(now, t, failed || resp.Status >= 500)
}

// isOverload reports whether a target refused for lack of capacity: its queue
// was full or too long for the deadline.
func isOverload(resp *request.Response) bool {
	return resp.Outcome == request.NotRun &&
		(resp.Reason == request.ReasonOverloaded || resp.Reason == request.ReasonDeadline)
}

func (r *Router) observeOverload(overloaded bool) {
	r.overloadRatio -= overloadWeight * r.overloadRatio
	if overloaded {
		r.overloadRatio += overloadWeight
	}
}

// observeRefusal derives the state from a refusal, which arrives before the
// next announcement.
func (t *target) observeRefusal(reason request.Reason) {
	switch reason {
	case request.ReasonDraining:
		t.State = Draining
	case request.ReasonNoTarget:
		t.State = Down
	}
}

// observeUnanswered updates the estimate from an attempt without a response:
// its service time is at least the time since it was sent, less the queueing
// ahead of it.
func (t *target) observeUnanswered(now time.Time, a *attempt) {
	elapsed := float64(now.Sub(a.sentAt)) / (1 + a.loadAtSend/slotsOf(t))
	if t.serviceTime.samples > 0 && elapsed > t.serviceTime.mean {
		t.serviceTime.add(now, elapsed)
	}
}

// adaptLimit adapts the concurrency limit. It increases by one for each full
// round of responses while the queue of the target is shorter than one round
// and the limit is in use. It decreases by a factor when the target refuses for
// lack of capacity, and by one for each full round while the queue is longer
// than two rounds.
func (t *target) adaptLimit(overloaded bool) {
	slots := slotsOf(t)
	switch {
	case overloaded:
		t.concurrencyLimit *= limitDecrease
	case float64(t.Load.Queued) > 2*slots:
		t.concurrencyLimit -= 1 / t.concurrencyLimit
	case float64(t.Load.Queued) < slots && float64(t.outstanding+1) >= t.concurrencyLimit/2:
		t.concurrencyLimit += 1 / t.concurrencyLimit
	}
	t.concurrencyLimit = min(max(t.concurrencyLimit, 1), maxLimit*slots)
}

func sortedKeys[K interface{ ~string | ~uint64 }, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
