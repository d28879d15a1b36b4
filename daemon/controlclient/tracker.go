package controlclient

import (
	"container/heap"
	"time"

	"github.com/ibispier/ibispier/wire"
)

const (
	// silenceLimit is the time without a response after which a call is sent to
	// another member. It is above a commit across zones and below the time in
	// which a new leader is elected.
	responseTimeout = 500 * time.Millisecond
	// retryDelay is the pause after a member that knows no leader, so that an
	// election is not met with a stream of calls.
	retryDelay = 25 * time.Millisecond
	// maxHops bounds the hints that one call follows without a pause. Two
	// members with old hints can name each other.
	maxRedirects = 2
)

// response is the answer of a member to a call.
type response struct {
	status  wire.ControlStatus
	reason  string
	leader  string
	payload []byte
}

// send asks the driver to send a call to a member.
type send struct {
	member string
	call   *inFlight
}

// finish asks the driver to deliver a result.
type completion struct {
	call   *inFlight
	result Result
}

// inFlight is a call without a result.
type inFlight struct {
	Call
	id        uint64
	member    string // where it was sent last, "" while it waits
	redirects int
	wakeAt    time.Time // next resend or the deadline
	done      bool
	// open is set once a member may have taken the call without an answer.
	maybeTaken bool
}

// mayRefuse reports whether the call has waited for a leader for as long as its
// caller allows, and no member can have taken it.
func (c *inFlight) leaderSearchFailed(now time.Time) bool {
	return !c.LeaderDeadline.IsZero() && !c.LeaderDeadline.After(now) && !c.maybeTaken && c.member == ""
}

// tracker decides where calls are sent and when they are sent again. It has no
// clock and no links.
type tracker struct {
	members     []string
	linked      map[string]bool
	leader      string
	nextMember  int // member that is tried when no leader is known
	lastID      uint64
	calls       map[uint64]*inFlight
	wakeups     wakeupQueue
	sends       []send
	completions []completion
}

func newTracker(members []string) *tracker {
	return &tracker{members: members, linked: map[string]bool{}, calls: map[uint64]*inFlight{}}
}

// start takes a new call.
func (t *tracker) start(now time.Time, call Call) {
	t.lastID++
	c := &inFlight{Call: call, id: t.lastID}
	t.calls[c.id] = c
	t.dispatch(now, c)
}

// linkUp sends the calls that wait for a member.
func (t *tracker) linkUp(now time.Time, member string) {
	t.linked[member] = true
	for _, c := range t.calls {
		if c.member == "" {
			t.dispatch(now, c)
		}
	}
}

// linkDown sends the calls of a lost link again.
func (t *tracker) linkDown(now time.Time, member string) {
	delete(t.linked, member)
	if t.leader == member {
		t.leader = ""
	}
	for _, c := range t.calls {
		if c.member == member {
			c.maybeTaken = true
			t.dispatch(now, c)
		}
	}
}

// answered handles the response of a member. A late refusal by a member that is
// no longer asked is dropped; a late success is a success.
func (t *tracker) handleResponse(now time.Time, member string, id uint64, r response) {
	c := t.calls[id]
	if c == nil {
		return
	}
	switch r.status {
	case wire.ControlStatus_CONTROL_STATUS_OK:
		t.leader = member
		t.complete(c, Result{Payload: r.payload})
	case wire.ControlStatus_CONTROL_STATUS_REFUSED:
		t.complete(c, Result{Err: &RefusedError{Reason: r.reason}})
	default:
		c.maybeTaken = c.maybeTaken || r.status != wire.ControlStatus_CONTROL_STATUS_NOT_LEADER
		if c.member == member {
			t.redirect(now, c, r.leader)
		}
	}
}

// redirect follows a hint to the leader, or waits before the next member.
func (t *tracker) redirect(now time.Time, c *inFlight, hint string) {
	from := c.member
	if t.leader == from {
		t.leader = ""
	}
	if hint != "" && hint != from && t.linked[hint] && c.redirects < maxRedirects {
		c.redirects++
		t.leader = hint
		t.dispatch(now, c)
		return
	}
	t.advancePast(from)
	t.scheduleRetry(now, c)
}

// sendFailed handles a call that the link did not take.
func (t *tracker) sendFailed(now time.Time, id uint64) {
	if c := t.calls[id]; c != nil {
		t.advancePast(c.member)
		t.scheduleRetry(now, c)
	}
}

// tick ends calls at their deadline and sends silent calls to another member.
func (t *tracker) handleTimeouts(now time.Time) {
	for len(t.wakeups) > 0 && !t.wakeups[0].at.After(now) {
		w := heap.Pop(&t.wakeups).(wakeup)
		c := w.call
		if c.done || !c.wakeAt.Equal(w.at) {
			continue
		}
		if !c.Deadline.After(now) {
			t.complete(c, Result{Err: ErrUnavailable})
			continue
		}
		if c.leaderSearchFailed(now) {
			t.complete(c, Result{Err: ErrNoLeader})
			continue
		}
		if c.member != "" {
			c.maybeTaken = true
			t.advancePast(c.member)
		}
		t.dispatch(now, c)
	}
}

// nextWake returns when tick has something to do.
func (t *tracker) nextWakeup() (time.Time, bool) {
	for len(t.wakeups) > 0 && (t.wakeups[0].call.done || !t.wakeups[0].call.wakeAt.Equal(t.wakeups[0].at)) {
		heap.Pop(&t.wakeups)
	}
	if len(t.wakeups) == 0 {
		return time.Time{}, false
	}
	return t.wakeups[0].at, true
}

// dispatch sends a call to the believed leader, or to the next linked member.
func (t *tracker) dispatch(now time.Time, c *inFlight) {
	c.member = t.chooseMember()
	if c.member == "" {
		if c.LeaderDeadline.After(now) {
			t.scheduleWakeup(c, c.LeaderDeadline)
		} else {
			t.scheduleWakeup(c, c.Deadline)
		}
		return
	}
	t.sends = append(t.sends, send{member: c.member, call: c})
	t.scheduleWakeup(c, now.Add(responseTimeout+c.MaxHold))
}

func (t *tracker) chooseMember() string {
	if t.leader != "" && t.linked[t.leader] {
		return t.leader
	}
	for i := range t.members {
		if m := t.members[(t.nextMember+i)%len(t.members)]; t.linked[m] {
			return m
		}
	}
	return ""
}

// skip makes the member after m the next one to try.
func (t *tracker) advancePast(m string) {
	if t.leader == m {
		t.leader = ""
	}
	for i, other := range t.members {
		if other == m {
			t.nextMember = i + 1
		}
	}
}

func (t *tracker) scheduleRetry(now time.Time, c *inFlight) {
	c.member = ""
	c.redirects = 0
	t.scheduleWakeup(c, now.Add(retryDelay))
}

func (t *tracker) scheduleWakeup(c *inFlight, at time.Time) {
	if c.Deadline.Before(at) {
		at = c.Deadline
	}
	c.wakeAt = at
	heap.Push(&t.wakeups, wakeup{at: at, call: c})
}

func (t *tracker) complete(c *inFlight, r Result) {
	c.done = true
	delete(t.calls, c.id)
	r.CorrelationID = c.CorrelationID
	t.completions = append(t.completions, completion{call: c, result: r})
}

// wake is a scheduled look at a call. It is void when the call has a later one.
type wakeup struct {
	at   time.Time
	call *inFlight
}

type wakeupQueue []wakeup

func (q wakeupQueue) Len() int           { return len(q) }
func (q wakeupQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q wakeupQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *wakeupQueue) Push(x any)        { *q = append(*q, x.(wakeup)) }
func (q *wakeupQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = wakeup{}
	*q = old[:len(old)-1]
	return last
}
