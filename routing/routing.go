package routing

import (
	"math/rand/v2"
	"time"

	"github.com/ibispier/ibispier/budget"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/limit"
	"github.com/ibispier/ibispier/request"
)

// Policy is a load balancing policy.
type Policy string

// Policies. RoundRobin is the baseline for comparisons: it uses no estimates,
// outlier ejection or concurrency limits.
const (
	ChoiceOfTwo Policy = "choice_of_two"
	RoundRobin  Policy = "round_robin"
)

// Options configure a Router.
type Options struct {
	Policy         Policy
	ID             string // name of this entry instance
	Incarnation    uint64 // unique for every run of this entry instance
	Seed           uint64
	Hedging        bool
	RetryRatio     float64 // maximum ratio of retries to requests
	HedgeRatio     float64 // maximum ratio of hedges to requests
	MaxWaiting     int     // maximum queued requests per service; default 1024
	ClaimsEnabled  bool    // a quorum is available to claim non-idempotent requests
	PermitRequired bool    // targets get work only while their zone has a permit
}

// Burst sizes of the budgets. The loss of an agent fails all its requests at
// once; with a full budget, 32 of them can be retried.
const (
	retryBurst        = 32
	hedgeBurst        = 8
	defaultMaxWaiting = 1024
)

// overloadWeight is the weight of one outcome in overloadRatio: about the last
// 50 outcomes count.
const overloadWeight = 0.02

// Stats counts the events of a Router.
type Stats struct {
	Submitted    int
	Attempts     int
	Retries      int // charged to the retry budget
	DrainRetries int // retries after a refusal by a draining target, not charged to the budget
	Hedges       int
	Replies      int
	Ejections    int
}

// Router routes the requests of callers to targets.
//
// Invariants: every submitted request gets exactly one Reply. At most one
// attempt of a non-idempotent request lacks proof that it did not run.
type Router struct {
	options        Options
	random         *rand.Rand
	limiter        *limit.Limiter
	configured     bool
	pendingLookups int
	permitExpiry   map[string]time.Time // by zone
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
	overloadRatio  float64 // moving average of attempts refused for lack of capacity
	instances      instanceCount
	lastSequence   uint64
	lastAttempt    uint64
	lastOperation  uint64
	prunedAt       time.Time
	actions        []Action
	stats          Stats
}

// NewRouter returns a Router without a configuration and without targets.
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
		// Numbers start at the incarnation, so that late responses and results
		// of an earlier run match nothing and are dropped.
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

// SetConfig applies the accepted configuration.
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
// only with Options.PermitRequired.
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

// neverExpires is the expiry of a permit if none is required.
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

// admit decides whether the request may be routed.
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

// priorityOf ranks idempotent requests above the others of the same plan: a
// late price check is as bad as a lost one, a late settlement is not.
func priorityOf(g limit.Grant, req *request.Request) int {
	priority := 2 * g.Priority
	if req.Idempotent {
		priority++
	}
	return priority
}

// CallerGone handles a caller that has disconnected. A non-idempotent request
// continues, because its outcome must be recorded.
func (r *Router) CallerGone(now time.Time, req *request.Request) []Action {
	r.resetActions()
	c := r.calls[req]
	if c == nil || !req.Idempotent {
		return nil
	}
	r.finish(now, c, request.Indeterminate(request.ReasonCancelled))
	return r.actions
}

// ResponseReceived handles the response to an attempt. A late response to an
// attempt that has already ended is dropped.
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

// SendFailed handles an attempt that could not be queued for its target. It did
// not run, because no byte of it left this process.
func (r *Router) SendFailed(now time.Time, number uint64) []Action {
	r.resetActions()
	if a := r.attempts[number]; a != nil {
		r.removeAttempt(a)
		r.handleOutcome(now, a, request.Refused(request.ReasonOverloaded))
	}
	return r.actions
}

// Tick runs the steps that are due.
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

// NextDeadline returns when Tick must be called next.
func (r *Router) NextDeadline() (time.Time, bool) {
	c := r.timers.first()
	if c == nil {
		return time.Time{}, false
	}
	return c.wakeAt, true
}

func (r *Router) resetActions() {
	clear(r.actions) // releases the requests of earlier actions
	r.actions = r.actions[:0]
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }
