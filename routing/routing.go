package routing

import (
	"math/rand/v2"
	"time"

	"github.com/ibispier/ibispier/budget"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/limit"
	"github.com/ibispier/ibispier/request"
)

// Policy names a way to choose among targets.
type Policy string

// Policies. RoundRobin is the baseline for comparisons: it has neither
// estimates nor ejection nor concurrency limits.
const (
	ChoiceOfTwo Policy = "choice_of_two"
	RoundRobin  Policy = "round_robin"
)

// Options configure a Router.
type Options struct {
	Policy         Policy
	ID             string // name of this entry instance
	Incarnation    uint64 // differs for every run of this entry instance
	Seed           uint64
	Hedging        bool
	RetryRatio     float64 // retries as a share of the requests
	HedgeRatio     float64 // hedges as a share of the requests
	MaxWaiting     int     // requests of a service that wait for a target; default 1024
	ClaimsEnabled  bool    // there is a quorum that claims non-idempotent requests
	PermitRequired bool    // a target gets work only while its zone has a permit
}

// Bursts of the budgets: the extra attempts that are saved up. A lost agent
// fails all its requests at once, and 32 of them can be retried from rest.
const (
	retryBurst        = 32
	hedgeBurst        = 8
	defaultMaxWaiting = 1024
)

// overloadWeight is the weight of one outcome in the share of refusals for lack
// of capacity: about the last 50 outcomes count.
const overloadWeight = 0.02

// Stats counts what a Router did.
type Stats struct {
	Submitted    int
	Attempts     int
	Retries      int // paid from the budget
	DrainRetries int // retries after the refusal of a draining target
	Hedges       int
	Replies      int
	Ejections    int
}

// Router routes requests of callers to targets.
//
// Invariants: every submitted request gets exactly one Reply. A non-idempotent
// request has at most one attempt without proof of not run.
type Router struct {
	options        Options
	random         *rand.Rand
	limiter        *limit.Limiter
	configured     bool
	pendingLookups int // under way
	permitExpiry   map[string]time.Time
	zonesOut       map[string]bool
	targets        map[string]*target
	pools          map[string]*pool
	calls          map[*request.Request]*call
	attempts       map[uint64]*attempt
	operations     map[uint64]*call
	orphans        map[uint64]orphan
	timers         timers
	retries        *budget.Budget
	hedges         *budget.Budget
	overloadRatio  float64 // share of attempts refused for lack of capacity
	instances      instanceCount
	lastSequence   uint64
	lastAttempt    uint64
	lastOperation  uint64
	prunedAt       time.Time
	actions        []Action
	stats          Stats
}

// NewRouter returns a Router without configuration and targets.
func NewRouter(o Options) *Router {
	if o.MaxWaiting == 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	return &Router{
		options:    o,
		random:     rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
		limiter:    limit.New(),
		zonesOut:   map[string]bool{},
		targets:    map[string]*target{},
		pools:      map[string]*pool{},
		calls:      map[*request.Request]*call{},
		attempts:   map[uint64]*attempt{},
		operations: map[uint64]*call{},
		orphans:    map[uint64]orphan{},
		// Numbers of an earlier run are never met again, so its late answers and
		// results are dropped.
		lastAttempt:   o.Incarnation,
		lastOperation: o.Incarnation,
		permitExpiry:  map[string]time.Time{},
		retries:       budget.New(o.RetryRatio, retryBurst),
		hedges:        budget.New(o.HedgeRatio, hedgeBurst),
	}
}

// Stats returns the counters.
func (r *Router) Stats() Stats { return r.stats }

// InFlight returns the number of requests without a reply.
func (r *Router) InFlight() int { return len(r.calls) }

// SetConfig takes the accepted configuration.
func (r *Router) SetConfig(now time.Time, c controlapi.Config) []Action {
	r.resetActions()
	r.configured = true
	r.limiter.Configure(now, c)
	r.zonesOut = make(map[string]bool, len(c.ZonesOut))
	for _, zone := range c.ZonesOut {
		r.zonesOut[zone] = true
	}
	for _, t := range r.targets {
		t.zoneOut = r.zonesOut[t.Zone]
	}
	for _, name := range sortedKeys(r.pools) {
		r.dispatchWaiting(now, r.pools[name])
	}
	return r.actions
}

// SetPermit sets until when the quorum permits work in a zone. It has an effect
// only with Options.NeedPermit.
func (r *Router) SetPermit(now time.Time, zone string, until time.Time) []Action {
	r.resetActions()
	r.permitExpiry[zone] = until
	for _, t := range r.targets {
		if t.Zone == zone {
			t.permitExpiry = r.permitExpiryOf(zone)
		}
	}
	for _, name := range sortedKeys(r.pools) {
		r.dispatchWaiting(now, r.pools[name])
	}
	return r.actions
}

// neverExpires is the end of the permit when none is needed.
var neverExpires = time.Unix(1<<40, 0)

func (r *Router) permitExpiryOf(zone string) time.Time {
	if !r.options.PermitRequired {
		return neverExpires
	}
	return r.permitExpiry[zone]
}

// Submit routes a new request.
func (r *Router) Submit(now time.Time, req *request.Request) []Action {
	r.resetActions()
	r.stats.Submitted++
	r.lastSequence++
	c := &call{request: req, startedAt: now, sequence: r.lastSequence, timerIndex: unscheduled}
	r.calls[req] = c
	if reason := r.admit(now, c); reason != request.ReasonNone {
		r.finish(now, c, request.Refused(reason))
		return r.actions
	}
	health := (1 - r.overloadRatio) * (1 - r.overloadRatio)
	r.retries.Deposit(health)
	r.hedges.Deposit(health)
	r.schedule(c)
	r.dispatch(now, c)
	return r.actions
}

// admit decides whether the request may be routed at all.
func (r *Router) admit(now time.Time, c *call) request.Reason {
	req := c.request
	if !r.configured {
		return request.ReasonNoQuorum
	}
	if !req.Deadline.After(now) {
		return request.ReasonDeadline
	}
	grant, reason := r.limiter.Admit(now, req.Customer, req.Service)
	if reason != request.ReasonNone {
		return reason
	}
	c.grant = grant
	req.Priority = priorityOf(grant, req)
	if r.pools[req.Service] == nil {
		return request.ReasonUnknownService
	}
	if !req.Idempotent && !r.options.ClaimsEnabled {
		return request.ReasonNoQuorum
	}
	return request.ReasonNone
}

// priorityOf puts idempotent requests before the others of the same plan: a
// late price check is as bad as a lost one, a late settlement is not.
func priorityOf(g limit.Grant, req *request.Request) int {
	priority := 2 * g.Priority
	if req.Idempotent {
		priority++
	}
	return priority
}

// CallerGone handles a caller that has gone. A non-idempotent request runs on,
// because its outcome must be recorded.
func (r *Router) CallerGone(now time.Time, req *request.Request) []Action {
	r.resetActions()
	c := r.calls[req]
	if c == nil || !req.Idempotent {
		return nil
	}
	r.finish(now, c, request.Indeterminate(request.ReasonCancelled))
	return r.actions
}

// ResponseReceived handles the response to an attempt. A late response to an attempt that
// is settled is dropped.
func (r *Router) ResponseReceived(now time.Time, number uint64, requestID string, resp *request.Response, load request.Load) []Action {
	r.resetActions()
	a := r.attempts[number]
	if a == nil || a.Request.ID != requestID {
		return nil
	}
	r.removeAttempt(a)
	r.observeResponse(now, a, resp, load)
	r.handleOutcome(now, a, resp)
	r.dispatchWaiting(now, a.target.pool)
	return r.actions
}

// SendFailed handles an attempt that could not be queued for its target. No
// byte of it left this process, so it did not run.
func (r *Router) SendFailed(now time.Time, number uint64) []Action {
	r.resetActions()
	if a := r.attempts[number]; a != nil {
		r.removeAttempt(a)
		r.handleOutcome(now, a, request.Refused(request.ReasonOverloaded))
	}
	return r.actions
}

// Tick does the work that is due.
func (r *Router) Tick(now time.Time) []Action {
	r.resetActions()
	for {
		c := r.timers.first()
		if c == nil || c.wakeAt.After(now) {
			break
		}
		r.runDue(now, c)
	}
	r.prune(now)
	return r.actions
}

// NextDeadline returns when Tick has work.
func (r *Router) NextDeadline() (time.Time, bool) {
	c := r.timers.first()
	if c == nil {
		return time.Time{}, false
	}
	return c.wakeAt, true
}

func (r *Router) resetActions() {
	clear(r.actions) // lets go of the requests of earlier actions
	r.actions = r.actions[:0]
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }
