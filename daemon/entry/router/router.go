// Package router is the duty that routes requests. It owns the table of targets
// and the requests in flight and drives the pure routing.Router.
package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/routing"
	"github.com/ibispier/ibispier/wire"
	"github.com/ibispier/ibispier/wire/convert"
)

// Error is the class of all errors of this package.
var Error = errs.Class("router")

// Capacities of the rings. Calls holds about 100 ms of requests at 40,000/s;
// events holds the answers of all slots and connections; results holds every
// operation of control in flight.
const (
	callCapacity   = 4096
	permitCapacity = 64 // zones with agents here, renewed every 400 ms
	eventCapacity  = 8192
	resultCapacity = 4096
	maxBatch       = 256
	idleTick       = time.Second
)

// Control starts operations of control without blocking.
type Control interface {
	Send(call controlclient.Call) error
}

// event is a fact about links and attempts.
type event struct {
	conn      *link.Conn
	up, down  bool
	announce  *wire.Announce
	response  *wire.Response
	claim     *wire.ClaimAnswer
	abandoned *request.Request // its caller has gone
}

// Duty routes requests.
type Duty struct {
	calls   *ring.Ring[*Call]
	events  *ring.Ring[event]
	permits *ring.Ring[zonePermit]
	configs *ring.Ring[controlapi.Config]
	results *ring.Ring[controlclient.Result]
	control Control
	log     *zap.Logger
	ready   readiness
	build   func() *routing.Router

	config     *controlapi.Config // the last one, for the next run
	router     *routing.Router
	waits      map[*request.Request]*Call
	links      map[string]*link.Conn // by target
	owned      map[*link.Conn][]string
	operations map[uint64]controlapi.Operation // in flight at control
	trace      tracing
	armed      time.Time // when the timer fires
	callBatch  []*Call
	eventBatch []event
}

// New returns the duty. Each run starts with a fresh Router, which the
// announcements of the targets fill again. control claims non-idempotent
// requests and may be nil when o.Claims is false.
func New(o routing.Options, control Control, log *zap.Logger) *Duty {
	return &Duty{
		calls:   ring.New[*Call]("router.calls", callCapacity),
		events:  ring.New[event]("router.events", eventCapacity),
		permits: ring.New[zonePermit]("router.permits", permitCapacity),
		configs: ring.New[controlapi.Config]("router.configs", 1),
		results: ring.New[controlclient.Result]("router.results", resultCapacity),
		control: control,
		log:     log,
		build: func() *routing.Router {
			o.Incarnation = rand.Uint64()
			return routing.NewRouter(o)
		},
	}
}

// SetConfig hands the accepted configuration to the router. It never blocks; a
// newer configuration replaces one that was not taken yet.
func (d *Duty) SetConfig(c controlapi.Config) { _ = d.configs.PutLatest(c) }

// zonePermit is the end of the permit of a zone.
type zonePermit struct {
	zone  string
	until time.Time
}

// SetPermit hands the end of a zone's permit to the router. It never blocks; a
// permit that is dropped is renewed soon.
func (d *Duty) SetPermit(zone string, until time.Time) {
	_ = d.permits.PutLatest(zonePermit{zone: zone, until: until})
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
		case c := <-d.calls.C():
			d.submitAll(c)
		case e := <-d.events.C():
			d.handleAll(e)
		case r := <-d.results.C():
			d.operated(r)
		case c := <-d.configs.C():
			d.config = &c
			d.perform(d.router.SetConfig(time.Now(), c))
		case p := <-d.permits.C():
			d.perform(d.router.SetPermit(time.Now(), p.zone, p.until))
		case <-timer.C:
			d.armed = time.Time{}
			d.perform(d.router.Tick(time.Now()))
		}
		d.schedule(timer)
	}
}

func (d *Duty) reset() {
	d.router = d.build()
	d.waits = map[*request.Request]*Call{}
	d.links = map[string]*link.Conn{}
	d.owned = map[*link.Conn][]string{}
	d.operations = map[uint64]controlapi.Operation{}
	d.trace.reset()
	d.armed = time.Time{}
	d.ready.restart(time.Now())
	if d.config != nil {
		d.perform(d.router.SetConfig(time.Now(), *d.config))
	}
}

// abandon answers the calls that a stopping or failing run leaves.
func (d *Duty) abandon() {
	for req, c := range d.waits {
		_ = c.reply.Offer(request.Indeterminate(request.ReasonLinkLost))
		delete(d.waits, req)
	}
	for conn := range d.owned {
		conn.Close()
	}
}

// schedule arms the timer for the next step. A timer that fires too early is
// left alone, because most steps are cancelled before they are due.
func (d *Duty) schedule(timer *time.Timer) {
	now := time.Now()
	idle := idleTick
	if !d.ready.check(now, d.config != nil) {
		idle = warmUpTick
	}
	next, ok := d.router.NextDeadline()
	if !ok || next.Sub(now) > idle {
		next = now.Add(idle)
	}
	if !d.armed.IsZero() && !next.Before(d.armed) {
		return
	}
	d.armed = next
	timer.Reset(max(next.Sub(now), 0))
}

func (d *Duty) submitAll(first *Call) {
	d.callBatch = d.calls.Drain(append(d.callBatch[:0], first), maxBatch)
	for i, c := range d.callBatch {
		d.waits[c.Request] = c
		d.perform(d.router.Submit(time.Now(), c.Request))
		d.callBatch[i] = nil
	}
}

func (d *Duty) handleAll(first event) {
	d.eventBatch = d.events.Drain(append(d.eventBatch[:0], first), maxBatch)
	for i, e := range d.eventBatch {
		d.handle(e)
		d.eventBatch[i] = event{}
	}
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
	case e.claim != nil:
		d.claimAnswer(e.claim)
	case e.abandoned != nil:
		d.perform(d.router.CallerGone(time.Now(), e.abandoned))
	}
}

func (d *Duty) announce(conn *link.Conn, a *wire.Announce) {
	if _, up := d.owned[conn]; !up {
		return // the link has ended
	}
	id := a.GetTarget()
	if d.links[id] != conn {
		d.adopt(conn, id)
		d.ready.targetAt = time.Now()
		d.log.Info("target announced", zap.String("target", id), zap.String("service", a.GetService()),
			zap.String("zone", a.GetZone()), zap.String("peer", conn.Peer().ID))
	}
	d.perform(d.router.Announce(time.Now(), routing.Target{
		ID:          id,
		Service:     a.GetService(),
		Zone:        a.GetZone(),
		State:       targetState(a.GetState()),
		Slots:       int(a.GetSlots()),
		Incarnation: a.GetEpoch(),
		Instances:   int(a.GetEntries()),
		Load:        request.Load{InFlight: int(a.GetInFlight()), Queued: int(a.GetQueued())},
		RoundTrip:   conn.RoundTrip(),
	}))
}

// adopt makes conn the link of a target. Attempts on an earlier link of the
// target are undecided, and their late answers are dropped by attempt id.
func (d *Duty) adopt(conn *link.Conn, id string) {
	if d.links[id] != nil {
		d.trace.lost(id)
		d.perform(d.router.LinkLost(time.Now(), id))
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
		d.trace.lost(id)
		d.perform(d.router.LinkLost(time.Now(), id))
	}
	delete(d.owned, conn)
}

func (d *Duty) answer(m *wire.Response) {
	resp, load, err := convert.ResponseFromWire(m)
	if err != nil {
		resp = request.Indeterminate(request.ReasonDamaged)
	}
	d.trace.ended(m.GetAttempt(), resp.Reason)
	d.perform(d.router.ResponseReceived(time.Now(), m.GetAttempt(), m.GetRequestId(), resp, load))
}

func (d *Duty) claimAnswer(m *wire.ClaimAnswer) {
	state, resp, err := convert.ClaimAnswerFromWire(m)
	if err != nil {
		return // the router asks again
	}
	d.perform(d.router.ClaimQueried(time.Now(), m.GetId(), routing.ClaimAnswer{State: state, Response: resp}))
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
