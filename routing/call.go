package routing

import (
	"slices"
	"time"

	"github.com/ibispier/ibispier/limit"
	"github.com/ibispier/ibispier/request"
)

const (
	maxAttempts   = 4 // of one request, hedges included
	minBackoff    = 2 * time.Millisecond
	maxBackoff    = 100 * time.Millisecond
	minHedgeDelay = time.Millisecond
	// freshAnnouncement is two announcement intervals of a busy target. A link is
	// found silent after three, so within silentRetryDelay it is heard again or lost.
	freshAnnouncement = 400 * time.Millisecond
	silentRetryDelay  = 200 * time.Millisecond
	// maxHedgeOverload is the overloadRatio above which nothing is hedged.
	maxHedgeOverload = 0.05
)

// phase is the step that a call is in.
type phase uint8

const (
	starting phase = iota
	queued         // waits in the queue of its service
	inFlight       // waits for responses to its attempts
	backingOff
	claiming
	queryingClaim
	resolving
	lookingUp
)

// call is a request without a reply.
type call struct {
	request      *request.Request
	grant        limit.Grant
	startedAt    time.Time
	sequence     uint64
	phase        phase
	attempts     []*attempt // without a response
	tried        []*target
	tries        int
	mayHaveRun   bool           // an attempt ended with an unknown outcome
	lastReason   request.Reason // of the last failed attempt
	hedgeAt      time.Time      // zero when no hedge is scheduled
	retryAt      time.Time      // zero when no retry is scheduled
	wakeAt       time.Time
	timerIndex   int // in Router.timers
	waitingIndex int // in pool.waiting
	claim        claim
}

// attempt is the dispatch of a call to one target.
type attempt struct {
	request.Attempt
	target     *target
	call       *call
	sentAt     time.Time
	loadAtSend float64 // estimated load of the target when the attempt was sent
	orphan     bool    // the caller has its reply; the outcome must still be recorded
}

// dispatch finds a target for the next attempt of c, or queues c.
func (r *Router) dispatch(now time.Time, c *call) {
	g := r.pools[c.request.Service]
	if g == nil {
		r.giveUp(now, c, request.ReasonNoTarget)
		return
	}
	if len(g.waiting) > 0 {
		r.enqueue(now, c, g)
		r.dispatchWaiting(now, g)
		return
	}
	if t, reason := r.choose(now, g, c); t != nil {
		r.startAttempt(now, c, t)
	} else {
		r.enqueueOrGiveUp(now, c, g, reason)
	}
}

func (r *Router) enqueueOrGiveUp(now time.Time, c *call, g *pool, reason request.Reason) {
	if reason == request.ReasonOverloaded || g.hasReconnecting(now) {
		r.enqueue(now, c, g)
		return
	}
	r.giveUp(now, c, reason)
}

// enqueue queues c until a target has capacity.
func (r *Router) enqueue(now time.Time, c *call, g *pool) {
	if len(g.waiting) >= r.options.MaxWaiting && !r.displace(now, c, g) {
		r.giveUp(now, c, request.ReasonOverloaded)
		return
	}
	if !g.canWait(now, c.request.Deadline) {
		r.giveUp(now, c, request.ReasonDeadline)
		return
	}
	c.phase = queued
	g.waiting.add(c)
}

// displace makes room for c by refusing a queued call of lower priority.
func (r *Router) displace(now time.Time, c *call, g *pool) bool {
	lowest := c
	for _, other := range g.waiting {
		if other.request.Priority < lowest.request.Priority {
			lowest = other
		}
	}
	if lowest == c {
		return false
	}
	r.giveUp(now, lowest, request.ReasonOverloaded)
	return true
}

// dispatchWaiting dispatches queued calls while targets have capacity.
func (r *Router) dispatchWaiting(now time.Time, g *pool) {
	for len(g.waiting) > 0 {
		c := g.waiting[0]
		t, reason := r.choose(now, g, c)
		if t == nil && (reason == request.ReasonOverloaded || g.hasReconnecting(now)) {
			return
		}
		g.waiting.remove(c)
		c.phase = starting
		if t == nil {
			r.giveUp(now, c, reason)
			continue
		}
		r.startAttempt(now, c, t)
	}
}

// startAttempt starts the next attempt of c at t.
func (r *Router) startAttempt(now time.Time, c *call, t *target) {
	if c.tries == 0 && !r.canMeetDeadline(now, t.pool, t, c.request.Deadline) {
		r.giveUp(now, c, request.ReasonDeadline)
		return
	}
	if !c.request.Idempotent {
		r.startClaim(now, c, t)
		return
	}
	r.send(now, c, t, 0)
}

// cause returns why the next attempt is made.
func (c *call) cause() request.Cause {
	switch {
	case c.tries == 0:
		return request.CauseFirst
	case len(c.attempts) > 0:
		return request.CauseHedge
	default:
		return request.CauseRetry
	}
}

func (r *Router) send(now time.Time, c *call, t *target, epoch uint64) {
	r.lastAttempt++
	a := &attempt{
		Attempt:    request.Attempt{Number: r.lastAttempt, Target: t.ID, ClaimEpoch: epoch, Cause: c.cause(), Request: c.request},
		target:     t,
		call:       c,
		sentAt:     now,
		loadAtSend: t.estimatedLoad(now),
	}
	r.attempts[a.Number] = a
	r.stats.Attempts++
	t.outstanding++
	c.phase = inFlight
	c.tries++
	c.attempts = append(c.attempts, a)
	c.tried = append(c.tried, t)
	r.scheduleHedge(now, c, t.pool)
	r.emit(Action{Kind: Send, Attempt: &a.Attempt})
}

// scheduleHedge sets when a second attempt is made.
func (r *Router) scheduleHedge(now time.Time, c *call, g *pool) {
	c.hedgeAt = time.Time{}
	late, known := g.latency.p95()
	if r.options.Hedging && known && c.request.Idempotent && len(c.attempts) == 1 && c.tries < maxAttempts {
		c.hedgeAt = now.Add(max(late, minHedgeDelay))
	}
	r.schedule(c)
}

// hedge makes a second attempt for a late call if the budget allows it and
// another target has a free slot.
func (r *Router) hedge(now time.Time, c *call) {
	if len(c.attempts) != 1 {
		return
	}
	first := c.attempts[0]
	first.target.observeUnanswered(now, first)
	r.ejectIfSlow(now, first.target)
	f := filter{healthy: true, tried: c.tried}
	t := r.chooseOfTwo(now, first.target.pool, f)
	if t == nil || r.overloadRatio > maxHedgeOverload || t.estimatedLoad(now) >= slotsOf(t) || !r.hedges.TryWithdraw() {
		return
	}
	r.stats.Hedges++
	r.send(now, c, t, 0)
}

// ejectIfSlow ejects a target whose late attempts show that it is slow.
func (r *Router) ejectIfSlow(now time.Time, t *target) {
	if t.isSlow() {
		r.updateHealth(now, t, false)
	}
}

// removeAttempt removes an attempt from the router, its target and its call.
func (r *Router) removeAttempt(a *attempt) {
	delete(r.attempts, a.Number)
	a.target.outstanding--
	c := a.call
	if i := slices.Index(c.attempts, a); i >= 0 {
		c.attempts = slices.Delete(c.attempts, i, i+1)
	}
}

// handleOutcome decides what follows the outcome of an attempt.
func (r *Router) handleOutcome(now time.Time, a *attempt, resp *request.Response) {
	c := a.call
	if !c.request.Idempotent {
		r.handleClaimedOutcome(now, a, resp)
		return
	}
	if resp.Outcome == request.Done {
		r.finish(now, c, resp)
		return
	}
	c.lastReason = resp.Reason
	c.mayHaveRun = c.mayHaveRun || resp.Outcome == request.Unknown
	if len(c.attempts) > 0 {
		return // the other attempt may still succeed
	}
	if !retryable(c.request, resp) || !r.retry(now, c, resp.Reason) {
		r.giveUp(now, c, resp.Reason)
	}
}

// retryable reports whether an attempt at another target may succeed.
func retryable(req *request.Request, resp *request.Response) bool {
	switch resp.Reason {
	case request.ReasonDeadline:
		return resp.Outcome == request.NotRun // the queue of this target was too long
	case request.ReasonOverloaded, request.ReasonDraining, request.ReasonNoTarget,
		request.ReasonTargetFailed, request.ReasonLinkLost, request.ReasonDamaged:
		return resp.Outcome == request.NotRun || req.Idempotent
	}
	return false
}

// retry schedules another attempt. It reports false if the budget, the number
// of attempts or the deadline does not allow one.
func (r *Router) retry(now time.Time, c *call, reason request.Reason) bool {
	if c.tries >= maxAttempts && reason != request.ReasonDraining {
		return false
	}
	delay := r.backoff(c.tries, reason)
	if reason == request.ReasonLinkLost && r.mayAllBeSilent(now, c.request.Service) && now.Add(silentRetryDelay).Before(c.request.Deadline) {
		delay = max(delay, silentRetryDelay)
	}
	if !now.Add(delay).Before(c.request.Deadline) {
		return false
	}
	// A draining target refuses at most the attempts that were in transit when
	// it announced its leave. These retries are therefore bounded, and they are
	// free because a planned stop must not fail requests.
	if reason == request.ReasonDraining {
		r.stats.DrainRetries++
	} else if r.retries.TryWithdraw() {
		r.stats.Retries++
	} else {
		return false
	}
	c.phase = backingOff
	c.hedgeAt = time.Time{}
	c.retryAt = now.Add(delay)
	r.schedule(c)
	return true
}

// mayAllBeSilent reports whether no target of the service has announced itself for
// freshAnnouncement. A fault that has silenced one link has then probably silenced the
// others too, and they are about to be found lost.
func (r *Router) mayAllBeSilent(now time.Time, service string) bool {
	g := r.pools[service]
	if g == nil {
		return false
	}
	for _, t := range g.targets {
		if t.isUsable(now) && now.Sub(t.announcedAt) < freshAnnouncement {
			return false
		}
	}
	return true
}

// backoff returns an exponential delay with full jitter. No delay is needed
// after the loss of a target, because the next attempt goes elsewhere.
func (r *Router) backoff(tries int, reason request.Reason) time.Duration {
	if tries == 1 && (reason == request.ReasonDraining || reason == request.ReasonLinkLost) {
		return 0
	}
	ceiling := min(minBackoff<<min(tries, 10), maxBackoff)
	return time.Duration(r.random.Int64N(int64(ceiling)))
}

// runDue runs the step of c that is due.
func (r *Router) runDue(now time.Time, c *call) {
	switch {
	case !c.request.Deadline.After(now):
		r.expire(now, c)
	case !c.retryAt.IsZero() && !c.retryAt.After(now):
		c.retryAt = time.Time{}
		r.schedule(c)
		r.resume(now, c)
	case !c.hedgeAt.IsZero() && !c.hedgeAt.After(now):
		c.hedgeAt = time.Time{}
		r.schedule(c)
		r.hedge(now, c)
	default:
		r.schedule(c)
	}
}

func (r *Router) resume(now time.Time, c *call) {
	switch c.phase {
	case backingOff:
		r.dispatch(now, c)
	case queryingClaim:
		r.retryClaim(now, c)
	}
}

// expire ends a call at its deadline.
func (r *Router) expire(now time.Time, c *call) {
	switch {
	case c.claim.final != nil:
		r.finish(now, c, c.claim.final)
	case len(c.attempts) > 0:
		for _, a := range c.attempts {
			a.target.observeUnanswered(now, a)
		}
		r.finish(now, c, request.Indeterminate(request.ReasonDeadline))
	case c.phase == claiming && !c.mayHaveRun:
		r.finish(now, c, request.Refused(request.ReasonNoQuorum))
	default:
		r.giveUp(now, c, request.ReasonDeadline)
	}
}

// giveUp ends a call without a response from a target.
func (r *Router) giveUp(now time.Time, c *call, reason request.Reason) {
	if c.mayHaveRun {
		r.finish(now, c, request.Indeterminate(c.lastReason))
		return
	}
	r.finish(now, c, request.Refused(reason))
}

// finish ends the call and replies to the caller. If a refusal depends on the
// state of the key, it looks that up first.
func (r *Router) finish(now time.Time, c *call, resp *request.Response) {
	r.cancelAttempts(now, c)
	if c.phase == queued {
		r.pools[c.request.Service].waiting.remove(c)
	}
	r.orphanOperation(c)
	r.unschedule(c)
	r.limiter.Release(c.grant)
	if r.needsLookup(c, resp) {
		r.lookUp(now, c, resp)
		return
	}
	r.reply(c, resp)
}

// reply sends the reply to the caller. It is the only place that emits a Reply.
func (r *Router) reply(c *call, resp *request.Response) {
	delete(r.calls, c.request)
	r.stats.Replies++
	r.emit(Action{Kind: Reply, Request: c.request, Response: resp})
}

// cancelAttempts cancels the attempts that are no longer needed. Those of a
// claimed request become orphans, because their outcome must be recorded.
func (r *Router) cancelAttempts(now time.Time, c *call) {
	for len(c.attempts) > 0 {
		a := c.attempts[0]
		r.emit(Action{Kind: Cancel, Attempt: &a.Attempt})
		if !c.request.Idempotent && len(r.orphans) < maxOrphans {
			a.orphan = true
			c.attempts = c.attempts[1:]
			continue
		}
		a.target.observeUnanswered(now, a)
		r.removeAttempt(a)
	}
}
