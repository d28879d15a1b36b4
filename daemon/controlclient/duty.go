package controlclient

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/wire"
)

const (
	eventCapacity = 4096
	namedCapacity = 4
	maxBatch      = 256
	idleWait      = time.Second
	// minTimerWait is the shortest wait that the timer is set to. Without a minimum,
	// a timer that fires early would be reset to zero in a busy loop.
	minTimerWait = time.Millisecond
	// membersInterval is the time between requests for the list of control members,
	// and membersTimeout bounds such a request.
	membersInterval = 5 * time.Second
	membersTimeout  = 2 * time.Second
)

// event is a change of the link to a member, or a response that arrived on it.
type event struct {
	member   string
	conn     *link.Conn
	up, down bool
	response *wire.ControlResponse
}

// duty owns the calls in flight and drives the tracker.
type duty struct {
	calls   *ring.Ring[Call]
	events  *ring.Ring[event]
	members []string
	// linkMember opens a link to a member that the settings do not name. It is nil
	// where the settings name all members.
	linkMember         func(ctx context.Context, id string) error
	memberResults      *ring.Ring[Result]   // results of requests for the list of members
	namedMembers       *ring.Ring[[]string] // members that the settings name since a reload
	membersRequestedAt time.Time

	tracker *tracker
	links   map[string]*link.Conn
}

func newDuty(members []settings.Member) *duty {
	d := &duty{
		calls:         ring.New[Call]("controlclient.calls", callCapacity),
		events:        ring.New[event]("controlclient.events", eventCapacity),
		memberResults: ring.New[Result]("controlclient.found", 4),
		namedMembers:  ring.New[[]string]("controlclient.named", namedCapacity),
	}
	for _, m := range members {
		d.members = append(d.members, m.ID)
	}
	return d
}

// Run sends calls until ctx ends.
func (d *duty) Run(ctx context.Context) error {
	d.tracker = newTracker(slices.Clone(d.members))
	d.links = map[string]*link.Conn{}
	defer d.failPending()
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-d.calls.C():
			d.startCalls(c)
		case e := <-d.events.C():
			d.handleEvents(ctx, e)
		case r := <-d.memberResults.C():
			d.addMembers(ctx, r)
		case ids := <-d.namedMembers.C():
			for _, id := range ids {
				d.addMember(ctx, id)
			}
		case <-timer.C:
			d.tracker.handleTimeouts(time.Now())
		}
		d.requestMembers()
		d.perform()
		d.resetTimer(timer)
	}
}

// requestMembers requests the list of control members every membersInterval.
func (d *duty) requestMembers() {
	now := time.Now()
	if d.linkMember == nil || now.Sub(d.membersRequestedAt) < membersInterval {
		return
	}
	d.membersRequestedAt = now
	d.tracker.start(now, Call{
		Operation: controlapi.OpMembers, Payload: []byte("{}"), Deadline: now.Add(membersTimeout), Reply: d.memberResults,
	})
}

// addMembers links the members of a list that are not linked yet.
func (d *duty) addMembers(ctx context.Context, r Result) {
	var resp controlapi.MembersResponse
	if r.Err != nil || json.Unmarshal(r.Payload, &resp) != nil {
		return // requested again after membersInterval
	}
	for _, m := range resp.Members {
		d.addMember(ctx, m.ID)
	}
}

func (d *duty) addMember(ctx context.Context, id string) {
	if d.linkMember == nil || slices.Contains(d.members, id) || d.linkMember(ctx, id) != nil {
		return
	}
	d.members = append(d.members, id)
	d.tracker.members = append(d.tracker.members, id)
}

func (d *duty) startCalls(first Call) {
	now := time.Now()
	d.tracker.start(now, first)
	for _, c := range d.calls.Drain(nil, maxBatch) {
		d.tracker.start(now, c)
	}
}

func (d *duty) handleEvents(ctx context.Context, first event) {
	d.handleEvent(ctx, first)
	for _, e := range d.events.Drain(nil, maxBatch) {
		d.handleEvent(ctx, e)
	}
}

func (d *duty) handleEvent(ctx context.Context, e event) {
	now := time.Now()
	switch {
	case e.up:
		d.links[e.member] = e.conn
		d.tracker.linkUp(now, e.member)
	case e.down:
		if d.links[e.member] == e.conn {
			delete(d.links, e.member)
			d.tracker.linkDown(now, e.member)
		}
	case e.response != nil:
		if leader := e.response.GetLeader(); leader != "" {
			d.addMember(ctx, leader)
		}
		d.tracker.handleResponse(now, e.member, e.response.GetId(), response{
			status:  e.response.GetStatus(),
			reason:  e.response.GetReason(),
			leader:  e.response.GetLeader(),
			payload: e.response.GetPayload(),
		})
	}
}

// perform carries out what the tracker decided. When a send fails, the tracker
// schedules a retry for later and does not add another send, so the loop ends.
func (d *duty) perform() {
	t := d.tracker
	for len(t.sends) > 0 {
		sends := t.sends
		t.sends = nil
		for _, s := range sends {
			if s.call.done || s.call.member != s.member {
				continue
			}
			switch err := d.send(s); {
			case errors.Is(err, wire.ErrFrameTooLarge):
				t.refuse(s.call.id, controlapi.ReasonTooLarge+": "+err.Error())
			case err != nil:
				t.sendFailed(time.Now(), s.call.id)
			}
		}
	}
	for _, f := range t.completions {
		_ = f.call.Reply.Offer(f.result)
	}
	t.completions = t.completions[:0]
}

// errNotLinked is returned for a member without a link.
var errNotLinked = Error.New("member is not linked")

// send sends a call. It uses the data stream: a payload can contain a recorded response
// and must not delay heartbeats.
func (d *duty) send(s send) error {
	conn := d.links[s.member]
	if conn == nil {
		return errNotLinked
	}
	return conn.SendData(&wire.Frame{Body: &wire.Frame_ControlRequest{ControlRequest: &wire.ControlRequest{
		Id:            s.call.id,
		Operation:     string(s.call.Operation),
		Payload:       s.call.Payload,
		TimeoutMillis: time.Until(s.call.Deadline).Milliseconds(),
		TraceParent:   s.call.TraceParent,
	}}})
}

func (d *duty) resetTimer(timer *time.Timer) {
	wait := idleWait
	if next, ok := d.tracker.nextWakeup(); ok {
		wait = time.Until(next)
	}
	timer.Reset(max(wait, minTimerWait))
}

// failPending fails the calls in flight at the end of Run. It also closes the
// links, so that the next Run receives events for new ones.
func (d *duty) failPending() {
	for _, c := range d.tracker.calls {
		_ = c.Reply.Offer(Result{CorrelationID: c.CorrelationID, Err: ErrUnavailable})
	}
	for _, conn := range d.links {
		conn.Close()
	}
}

// memberHandler passes the events of the link to one member to the duty.
type memberHandler struct {
	member string
	duty   *duty
}

// Up implements link.Handler.
func (h *memberHandler) Up(ctx context.Context, c *link.Conn) error {
	return h.put(ctx, event{member: h.member, conn: c, up: true})
}

// Frame implements link.Handler.
func (h *memberHandler) Frame(ctx context.Context, c *link.Conn, f *wire.Frame) error {
	r := f.GetControlResponse()
	if r == nil {
		return link.Error.New("step=control peer=%s: unexpected frame %T", c.Peer().ID, f.GetBody())
	}
	return h.put(ctx, event{member: h.member, conn: c, response: r})
}

// Down implements link.Handler.
func (h *memberHandler) Down(c *link.Conn, _ error) {
	_ = h.put(context.Background(), event{member: h.member, conn: c, down: true})
}

func (h *memberHandler) put(ctx context.Context, e event) error {
	return h.duty.events.PutWithin(ctx, link.EventTimeout, e)
}
