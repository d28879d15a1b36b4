// Package admission decides which attempts the agent of a target accepts and
// when they start. It does no I/O: a driver passes in the time and events, and
// carries out the decisions.
package admission

import (
	"container/heap"
	"time"

	"github.com/ibispier/ibispier/request"
)

// Options limit the work of one target.
type Options struct {
	Slots          int   // attempts that run at the same time
	MaxQueued      int   // accepted attempts that wait for a slot
	MaxRecords     int   // non-idempotent requests whose outcome the quorum has not recorded yet; default 65536
	MaxRecordBytes int64 // response bodies kept for these records; default 64 MiB
}

// Decision is the result of submitting an attempt.
type Decision uint8

// Decisions.
const (
	Start Decision = iota
	Enqueue
	Refuse
)

// State states whether a target accepts new work.
type State uint8

// States of a target.
const (
	Serving State = iota
	Draining
	Down
)

// Work is an attempt at the agent, with the origin to which its response is
// sent.
type Work struct {
	Attempt *request.Attempt
	Origin  any
	Started time.Time // set when the attempt starts

	sequence uint64
}

const (
	// serviceTimeWeight is the weight of a new sample in the mean service time.
	serviceTimeWeight = 0.1
	// minSamples is the number of samples before deadlines are compared with
	// the estimated queueing time.
	minSamples = 8
)

// Controller admits attempts to one target.
//
// Invariants: at most Slots attempts have started and not finished. A refused
// attempt never starts.
type Controller struct {
	options         Options
	state           State
	running         int
	waiting         queue
	sequence        uint64
	meanServiceTime float64 // in nanoseconds
	samples         int
	records         *records
}

// NewController returns a controller without work.
func NewController(o Options) *Controller {
	return &Controller{options: o, records: newRecords(o)}
}

// SetState sets whether the target accepts new work.
func (c *Controller) SetState(s State) { c.state = s }

// State returns whether the target accepts new work.
func (c *Controller) State() State { return c.state }

// Load returns the numbers of running and queued attempts.
func (c *Controller) Load() request.Load {
	return request.Load{InFlight: c.running, Queued: len(c.waiting)}
}

// Submit decides on a new attempt. The reason is set if the attempt is refused.
// A displaced attempt was removed from the full queue in favour of one of
// higher priority; it did not run.
func (c *Controller) Submit(now time.Time, w *Work) (d Decision, reason request.Reason, displaced *Work) {
	if reason := c.refusalReason(now, w.Attempt); reason != request.ReasonNone {
		return Refuse, reason, nil
	}
	free := c.running < c.options.Slots
	if !free && len(c.waiting) >= c.options.MaxQueued {
		if displaced = c.displace(now, w); displaced == nil {
			return Refuse, request.ReasonOverloaded, nil
		}
	}
	if !w.Attempt.Request.Idempotent && !c.records.accept(now, w.Attempt) {
		return Refuse, request.ReasonOverloaded, displaced
	}
	if free {
		c.start(now, w)
		return Start, request.ReasonNone, nil
	}
	c.sequence++
	w.sequence = c.sequence
	heap.Push(&c.waiting, w)
	return Enqueue, request.ReasonNone, displaced
}

func (c *Controller) refusalReason(now time.Time, a *request.Attempt) request.Reason {
	switch {
	case c.state == Draining:
		return request.ReasonDraining
	case c.state == Down:
		return request.ReasonNoTarget
	case !a.Request.Deadline.After(now) || !c.canMeetDeadline(now, a.Request):
		return request.ReasonDeadline
	case !a.Request.Idempotent && !c.records.allowsEpoch(a):
		return request.ReasonDuplicateExpired
	}
	return request.ReasonNone
}

// canMeetDeadline compares the estimated queueing time with the deadline. An
// attempt that finds a free slot always starts, which keeps the estimate up to
// date.
func (c *Controller) canMeetDeadline(now time.Time, r *request.Request) bool {
	if c.running < c.options.Slots || c.samples < minSamples {
		return true
	}
	ahead := 0
	for _, w := range c.waiting {
		if w.Attempt.Request.Priority >= r.Priority {
			ahead++
		}
	}
	rounds := float64(ahead+1)/float64(c.options.Slots) + 1
	return now.Add(time.Duration(rounds * c.meanServiceTime)).Before(r.Deadline)
}

// displace removes and returns the queued attempt of lowest priority, if its
// priority is below that of w.
func (c *Controller) displace(now time.Time, w *Work) *Work {
	if len(c.waiting) == 0 {
		return nil
	}
	lowest := c.waiting[0]
	for _, other := range c.waiting {
		if other.before(lowest) {
			continue
		}
		lowest = other
	}
	if lowest.Attempt.Request.Priority >= w.Attempt.Request.Priority {
		return nil
	}
	c.drop(now, lowest)
	return lowest
}

// drop removes a queued attempt, which has not run and will not run.
func (c *Controller) drop(now time.Time, w *Work) {
	for i, other := range c.waiting {
		if other == w {
			heap.Remove(&c.waiting, i)
			break
		}
	}
	c.records.finish(now, w.Attempt, request.Refused(request.ReasonCancelled))
}

func (c *Controller) start(now time.Time, w *Work) {
	c.running++
	w.Started = now
}

// Finished frees the slot of w. It returns the next attempt to start, or nil,
// and the queued attempts whose deadline has passed, which did not run.
func (c *Controller) Finished(now time.Time, w *Work, resp *request.Response) (next *Work, expired []*Work) {
	c.running--
	if resp.Outcome != request.NotRun {
		c.observeServiceTime(now.Sub(w.Started))
	}
	c.records.finish(now, w.Attempt, resp)
	for len(c.waiting) > 0 && c.running < c.options.Slots {
		first := heap.Pop(&c.waiting).(*Work)
		if first.Attempt.Request.Deadline.After(now) {
			c.start(now, first)
			return first, expired
		}
		c.records.finish(now, first.Attempt, request.Refused(request.ReasonDeadline))
		expired = append(expired, first)
	}
	return nil, expired
}

func (c *Controller) observeServiceTime(d time.Duration) {
	c.samples++
	weight := max(serviceTimeWeight, 1/float64(c.samples))
	c.meanServiceTime += weight * (float64(d) - c.meanServiceTime)
}

// Expire removes and returns the queued attempts whose deadline has passed.
func (c *Controller) Expire(now time.Time) []*Work {
	c.records.prune(now)
	var expired []*Work
	for _, w := range c.waiting {
		if !w.Attempt.Request.Deadline.After(now) {
			expired = append(expired, w)
		}
	}
	for _, w := range expired {
		c.drop(now, w)
	}
	return expired
}

// Cancel removes and returns a queued attempt. It returns nil if the attempt
// has started or is unknown.
func (c *Controller) Cancel(now time.Time, requestID string, number uint64, origin any) *Work {
	for _, w := range c.waiting {
		if w.Attempt.Number == number && w.Attempt.Request.ID == requestID && w.Origin == origin {
			c.drop(now, w)
			return w
		}
	}
	return nil
}

// QueryClaim returns the state of a claim. If its epoch was never accepted, the
// epoch is refused from then on, so ClaimNotRun is a proof.
func (c *Controller) QueryClaim(now time.Time, key request.Key, epoch uint64) (request.ClaimState, *request.Response) {
	return c.records.query(now, key, epoch)
}

// ForgetClaim drops the response of a claim whose outcome the quorum has
// recorded.
func (c *Controller) ForgetClaim(now time.Time, key request.Key, epoch uint64) {
	c.records.forget(now, key, epoch)
}

// queue is a heap of waiting attempts, ordered by priority and then by arrival.
type queue []*Work

func (w *Work) before(other *Work) bool {
	a, b := w.Attempt.Request.Priority, other.Attempt.Request.Priority
	if a != b {
		return a > b
	}
	return w.sequence < other.sequence
}

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*Work)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return w
}
