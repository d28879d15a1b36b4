package controlclient

import (
	"container/heap"
	"time"

	"github.com/ibispier/ibispier/wire"
)

const (
	// responseTimeout is the time without a response after which a call is sent to
	// another member. It is longer than a commit across zones and shorter than the
	// election of a new leader.
	responseTimeout = 500 * time.Millisecond
	// retryDelay is the pause after a response of a member that knows no leader. It
	// limits the rate of calls during an election.
	retryDelay = 25 * time.Millisecond
	// maxRedirects bounds the redirects to a leader that a call follows without a
	// pause. Two members with outdated information can redirect to each other.
	maxRedirects = 2
)

// response is a member's response to a call.
type response struct {
	status  wire.ControlStatus
	reason  string
	leader  string
	payload []byte
}

// send asks the duty to send a call to a member.
type send struct {
	member string
	call   *inFlight
}

// completion asks the duty to deliver a result.
type completion struct {
	call   *inFlight
	result Result
}

// inFlight is a call without a result.
type inFlight struct {
	Call
	id        uint64
	member    string    // member it was sent to; "" while it waits for a link or a retry
	redirects int       // redirects followed since the last pause
	wakeAt    time.Time // when the tracker must examine the call: for a resend, a retry or a deadline
	done      bool
	// maybeTaken is set once a member may have executed the call without a response.
	maybeTaken bool
}

// leaderSearchFailed reports whether no leader was found before the call's
// LeaderDeadline and no member can have executed the call.
func (c *inFlight) leaderSearchFailed(now time.Time) bool {
	return !c.LeaderDeadline.IsZero() && !c.LeaderDeadline.After(now) && !c.maybeTaken && c.member == ""
}

// tracker decides where calls are sent and when they are sent again. It is a pure
// state machine: the duty passes the time and the events, and carries out sends
// and completions.
type tracker struct {
	members     []string
	linked      map[string]bool
	leader      string // "" while no leader is known
	nextMember  int    // index of the member to try while no leader is known
	lastID      uint64
	calls       map[uint64]*inFlight
	wakeups     wakeupQueue
	sends       []send
	completions []completion
}

func newTracker(members []string) *tracker {
	return &tracker{members: members, linked: map[string]bool{}, calls: map[uint64]*inFlight{}}
}

// start adds a call and sends it.
func (t *tracker) start(now time.Time, call Call) {
	t.lastID++
	c := &inFlight{Call: call, id: t.lastID}
	t.calls[c.id] = c
	t.dispatch(now, c)
}

// linkUp marks the member as linked and sends the calls that are not at a member.
func (t *tracker) linkUp(now time.Time, member string) {
	t.linked[member] = true
	for _, c := range t.calls {
		if c.member == "" {
			t.dispatch(now, c)
		}
	}
}

// linkDown sends the calls of a lost link to another member.
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

// handleResponse processes a member's response. If the call has moved on to another
// member, "not the leader" and "unavailable" are dropped, but a success or a
// refusal still ends the call.
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

// redirect sends the call to the leader that a member has named, or retries it at
// the next member after a pause.
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

// sendFailed retries a call that the link did not take.
func (t *tracker) sendFailed(now time.Time, id uint64) {
	if c := t.calls[id]; c != nil {
		t.advancePast(c.member)
		t.scheduleRetry(now, c)
	}
}

// refuse ends a call that no link can carry.
func (t *tracker) refuse(id uint64, reason string) {
	if c := t.calls[id]; c != nil {
		t.complete(c, Result{Err: &RefusedError{Reason: reason}})
	}
}

// handleTimeouts ends calls whose deadline has passed, and sends calls without a
// response to another member.
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

// nextWakeup returns when handleTimeouts must be called next. It returns false
// while there is nothing to wait for.
func (t *tracker) nextWakeup() (time.Time, bool) {
	for len(t.wakeups) > 0 && (t.wakeups[0].call.done || !t.wakeups[0].call.wakeAt.Equal(t.wakeups[0].at)) {
		heap.Pop(&t.wakeups)
	}
	if len(t.wakeups) == 0 {
		return time.Time{}, false
	}
	return t.wakeups[0].at, true
}

// dispatch sends a call to the presumed leader, or else to the next linked member.
// Without a linked member, the call waits for one.
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

// advancePast makes the member after m the next one to try, and forgets m as the
// leader.
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

// wakeup is a time at which a call must be examined. It is obsolete when the call
// has been given another time or has ended.
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
