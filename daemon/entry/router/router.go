// Package router is the duty that routes requests. It owns the table of targets
// and the requests in flight and drives the pure routing.Router.
package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/routing"
	"github.com/ibispier/ibispier/wire"
	"github.com/ibispier/ibispier/wire/convert"
)

// Capacities of the rings. Calls holds about 100 ms of requests at 40,000/s;
// events holds the answers of all slots and connections.
const (
	callCapacity  = 4096
	eventCapacity = 8192
	maxBatch      = 256
	idleTick      = time.Second
)

// Call is a request of a caller that waits for its response.
type Call struct {
	Request *request.Request
	reply   *ring.Ring[*request.Response]
}

// NewCall returns a call for req.
func NewCall(req *request.Request) *Call {
	return &Call{Request: req, reply: ring.New[*request.Response]("reply", 1)}
}

// Wait returns the response. The router answers every call it took, so Wait
// ends early only when ctx does.
func (c *Call) Wait(ctx context.Context) (*request.Response, error) {
	return c.reply.Take(ctx)
}

// event is a fact about links and attempts.
type event struct {
	conn     *link.Conn
	up, down bool
	announce *wire.Announce
	response *wire.Response
}

// Duty routes requests.
type Duty struct {
	Calls  *ring.Ring[*Call]
	events *ring.Ring[event]
	log    *zap.Logger
	build  func() *routing.Router

	router *routing.Router
	waits  map[*request.Request]*Call
	links  map[string]*link.Conn // by target
	owned  map[*link.Conn][]string
}

// New returns the duty. Each run starts with a fresh Router, which the
// announcements of the targets fill again.
func New(o routing.Options, log *zap.Logger) *Duty {
	return &Duty{
		Calls:  ring.New[*Call]("router.calls", callCapacity),
		events: ring.New[event]("router.events", eventCapacity),
		log:    log,
		build:  func() *routing.Router { return routing.NewRouter(o) },
	}
}

// Run routes until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	d.reset()
	defer d.abandon()
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-d.Calls.C():
			d.submit(c)
			d.drainCalls()
		case e := <-d.events.C():
			d.handle(e)
			d.drainEvents()
		case now := <-timer.C:
			d.perform(d.router.Tick(now))
		}
		d.schedule(timer)
	}
}

func (d *Duty) reset() {
	d.router = d.build()
	d.waits = map[*request.Request]*Call{}
	d.links = map[string]*link.Conn{}
	d.owned = map[*link.Conn][]string{}
}

// abandon answers the calls that a stopping or failing run leaves.
func (d *Duty) abandon() {
	for req, c := range d.waits {
		_ = c.reply.Offer(request.Undecided(request.ReasonLinkLost))
		delete(d.waits, req)
	}
	for conn := range d.owned {
		conn.Close()
	}
}

func (d *Duty) schedule(timer *time.Timer) {
	wait := idleTick
	if next, ok := d.router.NextDeadline(); ok {
		wait = time.Until(next)
	}
	timer.Reset(max(wait, 0))
}

func (d *Duty) drainCalls() {
	for _, c := range d.Calls.Drain(nil, maxBatch) {
		d.submit(c)
	}
}

func (d *Duty) drainEvents() {
	for _, e := range d.events.Drain(nil, maxBatch) {
		d.handle(e)
	}
}

func (d *Duty) submit(c *Call) {
	d.waits[c.Request] = c
	d.perform(d.router.Submit(time.Now(), c.Request))
}

func (d *Duty) handle(e event) {
	switch {
	case e.up:
		d.owned[e.conn] = nil
	case e.down:
		d.linkDown(e.conn)
	case e.announce != nil:
		d.announce(e.conn, e.announce)
	case e.response != nil:
		d.answer(e.response)
	}
}

func (d *Duty) announce(conn *link.Conn, a *wire.Announce) {
	id := a.GetTarget()
	if d.links[id] != conn {
		d.adopt(conn, id)
		d.log.Info("target announced", zap.String("target", id), zap.String("service", a.GetService()),
			zap.String("zone", a.GetZone()), zap.String("peer", conn.Peer().ID))
	}
	d.router.Announce(routing.Target{
		ID:      id,
		Service: a.GetService(),
		Zone:    a.GetZone(),
		State:   targetState(a.GetState()),
		Slots:   int(a.GetSlots()),
		Load:    request.Load{InFlight: int(a.GetInFlight()), Queued: int(a.GetQueued())},
	})
}

// adopt makes conn the link of a target. Attempts on an earlier link of the
// target are undecided.
func (d *Duty) adopt(conn *link.Conn, id string) {
	if d.links[id] != nil {
		d.perform(d.router.Remove(time.Now(), id))
	}
	d.links[id] = conn
	d.owned[conn] = append(d.owned[conn], id)
}

func (d *Duty) linkDown(conn *link.Conn) {
	for _, id := range d.owned[conn] {
		if d.links[id] != conn {
			continue
		}
		delete(d.links, id)
		d.log.Warn("target lost", zap.String("target", id), zap.String("peer", conn.Peer().ID))
		d.perform(d.router.Remove(time.Now(), id))
	}
	delete(d.owned, conn)
}

func (d *Duty) answer(m *wire.Response) {
	resp, load, err := convert.ResponseFromWire(m)
	if err != nil {
		resp = request.Undecided(request.ReasonDamaged)
	}
	d.perform(d.router.Answer(time.Now(), m.GetAttempt(), m.GetRequestId(), resp, load))
}

// perform carries out actions. A failed send is reported to the router after
// the actions, whose storage the router reuses.
func (d *Duty) perform(actions []routing.Action) {
	var failed []uint64
	for _, a := range actions {
		switch a.Kind {
		case routing.Send:
			if !d.send(a.Attempt) {
				failed = append(failed, a.Attempt.Number)
			}
		case routing.Cancel:
			d.cancel(a.Attempt)
		case routing.Reply:
			d.reply(a.Request, a.Response)
		}
	}
	for _, number := range failed {
		d.perform(d.router.SendFailed(time.Now(), number))
	}
}

func (d *Duty) send(a *request.Attempt) bool {
	conn := d.links[a.Target]
	return conn != nil && conn.SendData(convert.AttemptToFrame(a, time.Now())) == nil
}

func (d *Duty) cancel(a *request.Attempt) {
	if conn := d.links[a.Target]; conn != nil {
		_ = conn.SendData(&wire.Frame{Body: &wire.Frame_CancelRequest{CancelRequest: &wire.CancelRequest{
			RequestId: a.Request.ID, Attempt: a.Number,
		}}})
	}
}

func (d *Duty) reply(req *request.Request, resp *request.Response) {
	c := d.waits[req]
	if c == nil {
		return
	}
	delete(d.waits, req)
	_ = c.reply.Offer(resp)
}

func targetState(s wire.TargetState) routing.TargetState {
	switch s {
	case wire.TargetState_TARGET_STATE_SERVING:
		return routing.Serving
	case wire.TargetState_TARGET_STATE_DRAINING:
		return routing.Draining
	default:
		return routing.Down
	}
}
