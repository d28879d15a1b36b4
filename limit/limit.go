// Package limit enforces the rate and concurrency limits of customers' plans.
// It does no I/O; callers pass in the time.
//
// The entry instances of a deployment do not coordinate per request. Each one
// enforces its share: the limit divided by the number of live instances, but at
// least one request. The sum over all instances is therefore at most max(limit,
// instances). Until an instance learns that another one has started, it admits
// up to its previous share, so the limit is exceeded by at most one share
// during that time.
package limit

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/request"
)

// Wildcard, as a customer or a service, matches every name that is not listed.
const Wildcard = "*"

// Limiter decides whether requests are within the limits of their customer.
//
// Invariant: the number of requests of a customer in flight never exceeds the
// share of the concurrency limit in effect when the last of them was admitted.
type Limiter struct {
	instances int
	plans     map[string]*plan
	customers map[string]*customer
}

type plan struct {
	controlapi.Plan
	services map[string]bool
}

// Grant is the admission of one request. It is passed to Release when the request
// ends.
type Grant struct {
	Priority int // of the plan
	customer *customer
}

type customer struct {
	name       string
	plan       *plan // nil once the customer is no longer configured
	tokens     float64
	refilledAt time.Time
	inFlight   int
}

// New returns a Limiter without a configuration, which refuses all customers.
func New() *Limiter {
	return &Limiter{instances: 1, plans: map[string]*plan{}, customers: map[string]*customer{}}
}

// Configure replaces the plans and subscriptions and keeps the counts of requests
// in flight.
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

// SetInstances sets the number of live entry instances, including this one.
func (l *Limiter) SetInstances(now time.Time, n int) {
	n = max(n, 1)
	if n == l.instances {
		return
	}
	for _, c := range l.customers {
		if c.plan != nil {
			l.refill(now, c) // up to now at the previous rate
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

// Admit decides whether a request may proceed. If the reason is ReasonNone, it
// may, and the caller must release the grant when the request ends.
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

// Release returns a grant when its request has ended. The zero Grant is ignored.
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

// InFlight returns the number of requests of a customer that were admitted and
// not released.
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

// refill adds the tokens accrued since the last refill.
func (l *Limiter) refill(now time.Time, c *customer) {
	elapsed := now.Sub(c.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	c.refilledAt = now
	c.tokens = min(c.tokens+elapsed*c.plan.RequestsPerSecond/float64(l.instances), l.burstShare(c.plan))
}

// burstShare returns the bucket size of this instance. It is at least one token,
// because a smaller bucket would admit nothing.
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
