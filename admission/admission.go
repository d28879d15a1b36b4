// Package admission decides which attempts the agent of a target accepts and
// when they start. It is pure: time and events come in, actions come out.
package admission

import (
	"time"

	"github.com/ibispier/ibispier/request"
)

// Options bound the work of one target.
type Options struct {
	Slots int // attempts at work in the target
	Queue int // accepted attempts that wait for a slot
}

// Decision is what happens to an attempt.
type Decision uint8

// Decisions.
const (
	Start Decision = iota
	Enqueue
	Refuse
)

// Controller admits attempts to one target.
//
// Invariant: at most Slots attempts are started and not finished.
type Controller struct {
	options  Options
	state    State
	running  int
	waiting  []*Work
	accepted map[string]struct{} // idempotency keys that were accepted
}

// State is whether the target takes new work.
type State uint8

// States of a target.
const (
	Serving State = iota
	Draining
	Down
)

// Work is an attempt together with what its driver needs to answer it.
type Work struct {
	Attempt *request.Attempt
	Origin  any
}

// NewController returns a controller without work.
func NewController(o Options) *Controller {
	return &Controller{options: o, accepted: map[string]struct{}{}}
}

// SetState sets whether the target takes new work.
func (c *Controller) SetState(s State) { c.state = s }

// State returns whether the target takes new work.
func (c *Controller) State() State { return c.state }

// Submit decides on a new attempt. The reason is set when it is refused.
func (c *Controller) Submit(now time.Time, w *Work) (Decision, request.Reason) {
	if reason := c.refusal(now, w.Attempt.Request); reason != request.ReasonNone {
		return Refuse, reason
	}
	if !w.Attempt.Request.Idempotent {
		c.accepted[keyOf(w.Attempt.Request)] = struct{}{}
	}
	if c.running < c.options.Slots {
		c.running++
		return Start, request.ReasonNone
	}
	c.waiting = append(c.waiting, w)
	return Enqueue, request.ReasonNone
}

func (c *Controller) refusal(now time.Time, r *request.Request) request.Reason {
	_, seen := c.accepted[keyOf(r)]
	switch {
	case c.state == Draining:
		return request.ReasonDraining
	case c.state == Down:
		return request.ReasonNoTarget
	case !r.Deadline.After(now):
		return request.ReasonDeadline
	case !r.Idempotent && seen:
		return request.ReasonDuplicateExpired
	case c.running >= c.options.Slots && len(c.waiting) >= c.options.Queue:
		return request.ReasonOverloaded
	}
	return request.ReasonNone
}

// Finished frees a slot. It returns the next attempt to start, or nil, and the
// waiting attempts whose deadline has passed, which did not run.
func (c *Controller) Finished(now time.Time) (next *Work, expired []*Work) {
	c.running--
	for len(c.waiting) > 0 {
		w := c.waiting[0]
		c.waiting[0] = nil
		c.waiting = c.waiting[1:]
		if w.Attempt.Request.Deadline.After(now) {
			c.running++
			return w, expired
		}
		expired = append(expired, w)
	}
	return nil, expired
}

// Cancel removes a waiting attempt. It returns nil when the attempt has started
// or is unknown.
func (c *Controller) Cancel(requestID string, number uint64, origin any) *Work {
	for i, w := range c.waiting {
		if w.Attempt.Number == number && w.Attempt.Request.ID == requestID && w.Origin == origin {
			c.waiting = append(c.waiting[:i:i], c.waiting[i+1:]...)
			return w
		}
	}
	return nil
}

// Load returns the attempts at work and waiting.
func (c *Controller) Load() request.Load {
	return request.Load{InFlight: c.running, Queued: len(c.waiting)}
}

func keyOf(r *request.Request) string {
	return r.Customer + "\x00" + r.Service + "\x00" + r.Key
}
