// Package limit holds customers to the limits of their plans. It is pure: time
// and events come in, verdicts come out.
//
// A deployment has several entry instances and they do not coordinate for each
// request. Each one enforces its share, which is the limit divided by the
// number of live instances, and at least one request. The sum over all
// instances is therefore at most max(limit, instances). While an instance has
// not yet noticed that another one started, it may admit up to its old share,
// so the overshoot during that time is at most one share.
package limit

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/request"
)

// Wildcard as a customer or service stands for all that are not named.
const Wildcard = "*"

// Limiter admits requests of customers.
//
// Invariant: the requests of a customer that were admitted and not released
// never exceed the share of the concurrency limit that held when the last of
// them was admitted.
type Limiter struct {
	instances int
	plans     map[string]*plan
	customers map[string]*customer
}

type plan struct {
	controlapi.Plan
	services map[string]bool
}

// Grant is an admitted request.
type Grant struct {
	Priority int // of the plan
	customer *customer
}

type customer struct {
	name       string
	plan       *plan // nil when the customer has no plan any more
	tokens     float64
	refilledAt time.Time
	inFlight   int
}

// New returns a Limiter without a configuration. It refuses all customers.
func New() *Limiter {
	return &Limiter{instances: 1, plans: map[string]*plan{}, customers: map[string]*customer{}}
}

// Configure replaces the plans and subscriptions. Counts of requests in flight
// are kept.
func (l *Limiter) Configure(now time.Time, c controlapi.Config) {
	l.plans = make(map[string]*plan, len(c.Plans))
	for _, p := range c.Plans {
		services := make(map[string]bool, len(p.Services))
		for _, s := range p.Services {
			services[s] = true
		}
		l.plans[p.Name] = &plan{Plan: p, services: services}
	}
	for _, known := range l.customers {
		known.plan = nil
	}
	for _, s := range c.Customers {
		l.subscribe(now, s)
	}
	for name, known := range l.customers {
		if known.plan == nil && known.inFlight == 0 {
			delete(l.customers, name)
		}
	}
}

func (l *Limiter) subscribe(now time.Time, s controlapi.Subscription) {
	p := l.plans[s.Plan]
	if p == nil {
		return
	}
	known := l.customers[s.Customer]
	if known == nil {
		known = &customer{name: s.Customer, refilledAt: now, tokens: l.burstShare(p)}
		l.customers[s.Customer] = known
	}
	known.plan = p
	known.tokens = min(known.tokens, l.burstShare(p))
}

// SetInstances sets the number of live entry instances, this one included.
func (l *Limiter) SetInstances(now time.Time, n int) {
	n = max(n, 1)
	if n == l.instances {
		return
	}
	for _, c := range l.customers {
		if c.plan != nil {
			l.refill(now, c) // at the old rate up to now
		}
	}
	l.instances = n
	for _, c := range l.customers {
		if c.plan != nil {
			c.tokens = min(c.tokens, l.burstShare(c.plan))
		}
	}
}

// Instances returns the number of live entry instances.
func (l *Limiter) Instances() int { return l.instances }

// Admit decides on a request. ReasonNone admits it, and the caller must release
// the grant when the request ends.
func (l *Limiter) Admit(now time.Time, name, service string) (Grant, request.Reason) {
	c := l.lookup(name)
	if c == nil || c.plan == nil {
		return Grant{}, request.ReasonUnknownCustomer
	}
	p := c.plan
	if !p.services[service] && !p.services[Wildcard] {
		return Grant{}, request.ReasonNotPermitted
	}
	l.refill(now, c)
	if c.inFlight >= l.concurrencyShare(p) || c.tokens < 1 {
		return Grant{}, request.ReasonOverLimit
	}
	c.tokens--
	c.inFlight++
	return Grant{Priority: p.Priority, customer: c}, request.ReasonNone
}

// Release ends an admitted request. The zero Grant is ignored.
func (l *Limiter) Release(g Grant) {
	c := g.customer
	if c == nil {
		return
	}
	c.inFlight--
	if c.inFlight == 0 && c.plan == nil && l.customers[c.name] == c {
		delete(l.customers, c.name)
	}
}

// InFlight returns the requests of a customer that were admitted and not released.
func (l *Limiter) InFlight(name string) int {
	if c := l.lookup(name); c != nil {
		return c.inFlight
	}
	return 0
}

func (l *Limiter) lookup(name string) *customer {
	if c := l.customers[name]; c != nil {
		return c
	}
	return l.customers[Wildcard]
}

func (l *Limiter) refill(now time.Time, c *customer) {
	elapsed := now.Sub(c.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	c.refilledAt = now
	c.tokens = min(c.tokens+elapsed*c.plan.RequestsPerSecond/float64(l.instances), l.burstShare(c.plan))
}

// burstShare is the share of the burst. At least one request fits, because a bucket
// that holds less than one token would admit nothing.
func (l *Limiter) burstShare(p *plan) float64 {
	if p.RequestsPerSecond <= 0 {
		return 0
	}
	return max(float64(p.Burst)/float64(l.instances), 1)
}

func (l *Limiter) concurrencyShare(p *plan) int {
	if p.Concurrency <= 0 {
		return 0
	}
	return max(p.Concurrency/l.instances, 1)
}
