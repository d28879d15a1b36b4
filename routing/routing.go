// Package routing decides which target gets an attempt of a request, and what
// the caller is told. It is pure: time and events come in, actions come out.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/ibispier/ibispier/request"
)

// Policy names a way to choose among targets.
type Policy string

// Policies. RoundRobin is the baseline for comparisons.
const (
	ChoiceOfTwo Policy = "choice_of_two"
	RoundRobin  Policy = "round_robin"
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
	ID      string
	Service string
	Zone    string
	State   TargetState
	Slots   int
	Load    request.Load
}

// Action is a decision of the Router.
type Action struct {
	Kind     ActionKind
	Attempt  *request.Attempt  // set for Send and Cancel
	Request  *request.Request  // set for Reply
	Response *request.Response // set for Reply
}

// ActionKind tells actions apart.
type ActionKind uint8

// Kinds of actions.
const (
	Send   ActionKind = iota // send the attempt to its target
	Reply                    // answer the caller
	Cancel                   // tell the target that the attempt is not needed any more
)

// Options configure a Router.
type Options struct {
	Policy Policy
	Zone   string // zone of this process
	Seed   uint64
}

// Router routes requests of callers to targets.
//
// Invariant: every submitted request gets exactly one Reply.
type Router struct {
	options  Options
	random   *rand.Rand
	targets  map[string]*target
	services map[string][]*target
	attempts map[uint64]*attempt
	pending  deadlines
	next     uint64
	cursor   uint64
	actions  []Action
}

type target struct {
	Target
	outstanding int // attempts of this process that have no answer yet
}

type attempt struct {
	request.Attempt
	target *target
	sent   time.Time
	index  int // position in the deadline heap
}

// NewRouter returns a Router without targets.
func NewRouter(o Options) *Router {
	return &Router{
		options:  o,
		random:   rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
		targets:  map[string]*target{},
		services: map[string][]*target{},
		attempts: map[uint64]*attempt{},
	}
}

// Announce adds or updates a target.
func (r *Router) Announce(t Target) {
	known := r.targets[t.ID]
	if known != nil && known.Service == t.Service {
		known.Target = t
		return
	}
	r.remove(t.ID)
	added := &target{Target: t}
	r.targets[t.ID] = added
	r.services[t.Service] = append(r.services[t.Service], added)
}

// Remove forgets a target. Its attempts without an answer are undecided.
func (r *Router) Remove(now time.Time, id string) []Action {
	r.actions = r.actions[:0]
	for _, a := range r.attempts {
		if a.Target == id {
			r.settle(a, request.Undecided(request.ReasonLinkLost))
		}
	}
	r.remove(id)
	return r.actions
}

func (r *Router) remove(id string) {
	t := r.targets[id]
	if t == nil {
		return
	}
	delete(r.targets, id)
	group := r.services[t.Service]
	for i, other := range group {
		if other == t {
			r.services[t.Service] = append(group[:i:i], group[i+1:]...)
			break
		}
	}
	if len(r.services[t.Service]) == 0 {
		delete(r.services, t.Service)
	}
}

// Submit routes a new request.
func (r *Router) Submit(now time.Time, req *request.Request) []Action {
	r.actions = r.actions[:0]
	switch {
	case !req.Deadline.After(now):
		r.reply(req, request.Refused(request.ReasonDeadline))
	case len(r.services[req.Service]) == 0:
		r.reply(req, request.Refused(request.ReasonUnknownService))
	default:
		r.dispatch(now, req)
	}
	return r.actions
}

func (r *Router) dispatch(now time.Time, req *request.Request) {
	t := r.choose(req.Service)
	if t == nil {
		r.reply(req, request.Refused(request.ReasonNoTarget))
		return
	}
	r.next++
	a := &attempt{
		Attempt: request.Attempt{Number: r.next, Target: t.ID, Request: req},
		target:  t,
		sent:    now,
	}
	r.attempts[a.Number] = a
	r.pending.add(a)
	t.outstanding++
	r.actions = append(r.actions, Action{Kind: Send, Attempt: &a.Attempt})
}

// Answer handles the response to an attempt. A late response to an attempt that
// is settled is dropped.
func (r *Router) Answer(now time.Time, number uint64, requestID string, resp *request.Response, load request.Load) []Action {
	r.actions = r.actions[:0]
	a := r.attempts[number]
	if a == nil || a.Request.ID != requestID {
		return nil
	}
	a.target.Load = load
	r.settle(a, resp)
	return r.actions
}

// SendFailed handles an attempt that could not be queued for its target. No
// byte of it left this process, so it did not run.
func (r *Router) SendFailed(now time.Time, number uint64) []Action {
	r.actions = r.actions[:0]
	if a := r.attempts[number]; a != nil {
		r.settle(a, request.Refused(request.ReasonOverloaded))
	}
	return r.actions
}

// Tick settles the attempts whose deadline has passed.
func (r *Router) Tick(now time.Time) []Action {
	r.actions = r.actions[:0]
	for {
		a := r.pending.first()
		if a == nil || a.Request.Deadline.After(now) {
			return r.actions
		}
		r.actions = append(r.actions, Action{Kind: Cancel, Attempt: &a.Attempt})
		r.settle(a, request.Undecided(request.ReasonDeadline))
	}
}

// NextDeadline returns when Tick has work.
func (r *Router) NextDeadline() (time.Time, bool) {
	a := r.pending.first()
	if a == nil {
		return time.Time{}, false
	}
	return a.Request.Deadline, true
}

// InFlight returns the number of attempts without an answer.
func (r *Router) InFlight() int { return len(r.attempts) }

func (r *Router) settle(a *attempt, resp *request.Response) {
	delete(r.attempts, a.Number)
	r.pending.remove(a)
	a.target.outstanding--
	r.reply(a.Request, resp)
}

func (r *Router) reply(req *request.Request, resp *request.Response) {
	r.actions = append(r.actions, Action{Kind: Reply, Request: req, Response: resp})
}

func (r *Router) choose(service string) *target {
	group := r.services[service]
	if r.options.Policy == RoundRobin {
		return r.chooseNext(group)
	}
	return r.chooseOfTwo(group)
}

func (r *Router) chooseNext(group []*target) *target {
	for range group {
		r.cursor++
		if t := group[r.cursor%uint64(len(group))]; t.State == Serving {
			return t
		}
	}
	return nil
}

func (r *Router) chooseOfTwo(group []*target) *target {
	first, second := r.serving(group), r.serving(group)
	if first == nil || second == nil {
		return first
	}
	if second.outstanding < first.outstanding {
		return second
	}
	return first
}

// serving returns a random target that takes work, or nil.
func (r *Router) serving(group []*target) *target {
	start := r.random.IntN(len(group))
	for i := range group {
		if t := group[(start+i)%len(group)]; t.State == Serving {
			return t
		}
	}
	return nil
}
