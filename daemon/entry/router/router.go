// Package router implements the duty that routes requests to targets. It owns
// the links to the targets and the requests in flight, and performs the actions
// that routing.Router decides. routing.Router itself does no I/O.
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

// Error is the class of this package's errors.
var Error = errs.Class("router")

// Capacities of the rings. The call ring holds about 100 ms of requests at
// 40,000 requests/s, the event ring the responses of all slots and connections,
// and the result ring every control operation in flight.
const (
	callCapacity     = 4096
	permitCapacity   = 64 // zones with connected agents, each renewed every 400 ms
	eventCapacity    = 8192
	resultCapacity   = 4096
	maxBatch         = 256
	idleTickInterval = time.Second
)

// Control starts operations of control without blocking.
type Control interface {
	Send(call controlclient.Call) error
}

// event is a change of a link, a frame from an agent, or a caller that has
// disconnected. One of the fields after conn is set.
type event struct {
	conn      *link.Conn
	up, down  bool
	announce  *wire.Announce
	response  *wire.Response
	claim     *wire.ClaimAnswer
	abandoned *request.Request // request whose caller has disconnected
}

// Duty routes requests. The fields from config on belong to the goroutine of
// Run.
type Duty struct {
	calls     *ring.Ring[*Call]
	events    *ring.Ring[event]
	permits   *ring.Ring[zonePermit]
	configs   *ring.Ring[controlapi.Config]
	results   *ring.Ring[controlclient.Result]
	control   Control
	log       *zap.Logger
	readiness readiness
	newRouter func() *routing.Router

	config        *controlapi.Config // newest configuration, kept across runs
	router        *routing.Router
	waitingCalls  map[*request.Request]*Call
	linkByTarget  map[string]*link.Conn           // by target id
	targetsByLink map[*link.Conn][]string         // target ids of each open link
	operations    map[uint64]controlapi.Operation // in flight, by token
	trace         tracing
	timerDue      time.Time // when the timer fires; zero when it is not set
	callBatch     []*Call
	eventBatch    []event
}

// New returns the duty. Each run starts with an empty routing.Router, which
// learns the targets from their announcements. control is used to claim
// non-idempotent requests and may be nil if o.ClaimsEnabled is false.
func New(o routing.Options, control Control, log *zap.Logger) *Duty {
	return &Duty{
		calls:   ring.New[*Call]("router.calls", callCapacity),
		events:  ring.New[event]("router.events", eventCapacity),
		permits: ring.New[zonePermit]("router.permits", permitCapacity),
		configs: ring.New[controlapi.Config]("router.configs", 1),
		results: ring.New[controlclient.Result]("router.results", resultCapacity),
		control: control,
		log:     log,
		newRouter: func() *routing.Router {
			o.Incarnation = rand.Uint64()
			return routing.NewRouter(o)
		},
	}
}

// SetConfig passes an accepted configuration to the router. It never blocks: a
// newer configuration replaces one that has not been read yet.
func (d *Duty) SetConfig(c controlapi.Config) { _ = d.configs.PutLatest(c) }

// zonePermit is the expiry of a zone's permit.
type zonePermit struct {
	zone  string
	until time.Time
}

// SetPermit passes the expiry of a zone's permit to the router. It never blocks.
// If an update is dropped, the next renewal replaces it.
func (d *Duty) SetPermit(zone string, until time.Time) {
	_ = d.permits.PutLatest(zonePermit{zone: zone, until: until})
}

// Run routes requests until ctx is done.
func (d *Duty) Run(ctx context.Context) error {
	d.reset()
	defer d.abortCalls()
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-d.calls.C():
			d.submitBatch(c)
		case e := <-d.events.C():
			d.handleBatch(e)
		case r := <-d.results.C():
			d.handleOperationResult(r)
		case c := <-d.configs.C():
			d.config = &c
			d.perform(d.router.SetConfig(time.Now(), c))
		case p := <-d.permits.C():
			d.perform(d.router.SetPermit(time.Now(), p.zone, p.until))
		case <-timer.C:
			d.timerDue = time.Time{}
			d.perform(d.router.Tick(time.Now()))
		}
		d.scheduleTimer(timer)
	}
}

func (d *Duty) reset() {
	d.router = d.newRouter()
	d.waitingCalls = map[*request.Request]*Call{}
	d.linkByTarget = map[string]*link.Conn{}
	d.targetsByLink = map[*link.Conn][]string{}
	d.operations = map[uint64]controlapi.Operation{}
	d.trace.reset()
	d.timerDue = time.Time{}
	d.readiness.reset(time.Now())
	if d.config != nil {
		d.perform(d.router.SetConfig(time.Now(), *d.config))
	}
}

// abortCalls answers the calls that are unfinished when a run stops or fails,
// and closes the links so that the agents reconnect to the next run.
func (d *Duty) abortCalls() {
	for req, c := range d.waitingCalls {
		_ = c.reply.Offer(request.Indeterminate(request.ReasonLinkLost))
		delete(d.waitingCalls, req)
	}
	for conn := range d.targetsByLink {
		conn.Close()
	}
}

// scheduleTimer sets the timer for the router's next deadline. A timer that is
// due earlier is left as it is, because most deadlines are cancelled before they
// expire.
func (d *Duty) scheduleTimer(timer *time.Timer) {
	now := time.Now()
	idle := idleTickInterval
	if !d.readiness.update(now, d.config != nil) {
		idle = warmUpTickInterval
	}
	next, ok := d.router.NextDeadline()
	if !ok || next.Sub(now) > idle {
		next = now.Add(idle)
	}
	if !d.timerDue.IsZero() && !next.Before(d.timerDue) {
		return
	}
	d.timerDue = next
	timer.Reset(max(next.Sub(now), 0))
}

func (d *Duty) submitBatch(first *Call) {
	d.callBatch = d.calls.Drain(append(d.callBatch[:0], first), maxBatch)
	for i, c := range d.callBatch {
		d.waitingCalls[c.Request] = c
		d.perform(d.router.Submit(time.Now(), c.Request))
		d.callBatch[i] = nil
	}
}

func (d *Duty) handleBatch(first event) {
	d.eventBatch = d.events.Drain(append(d.eventBatch[:0], first), maxBatch)
	for i, e := range d.eventBatch {
		d.handleEvent(e)
		d.eventBatch[i] = event{}
	}
}

func (d *Duty) handleEvent(e event) {
	switch {
	case e.up:
		d.targetsByLink[e.conn] = nil
	case e.down:
		d.handleLinkDown(e.conn)
	case e.announce != nil:
		d.handleAnnounce(e.conn, e.announce)
	case e.response != nil:
		d.handleResponse(e.response)
	case e.claim != nil:
		d.handleClaimAnswer(e.claim)
	case e.abandoned != nil:
		d.perform(d.router.CallerGone(time.Now(), e.abandoned))
	}
}

func (d *Duty) handleAnnounce(conn *link.Conn, a *wire.Announce) {
	if _, up := d.targetsByLink[conn]; !up {
		return // the link has closed
	}
	id := a.GetTarget()
	if d.linkByTarget[id] != conn {
		d.setLink(conn, id)
		d.readiness.lastTargetAt = time.Now()
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

// setLink makes conn the link of a target. Attempts that were sent on an earlier
// link are reported as lost with it; a late response to one is recognized by its
// attempt number and dropped.
func (d *Duty) setLink(conn *link.Conn, id string) {
	if d.linkByTarget[id] != nil {
		d.trace.linkLost(id)
		d.perform(d.router.LinkLost(time.Now(), id))
	}
	d.linkByTarget[id] = conn
	d.targetsByLink[conn] = append(d.targetsByLink[conn], id)
}

func (d *Duty) handleLinkDown(conn *link.Conn) {
	for _, id := range d.targetsByLink[conn] {
		if d.linkByTarget[id] != conn {
			continue
		}
		delete(d.linkByTarget, id)
		d.log.Warn("target lost", zap.String("target", id), zap.String("peer", conn.Peer().ID))
		d.trace.linkLost(id)
		d.perform(d.router.LinkLost(time.Now(), id))
	}
	delete(d.targetsByLink, conn)
}

func (d *Duty) handleResponse(m *wire.Response) {
	resp, load, err := convert.ResponseFromWire(m)
	if err != nil {
		resp = request.Indeterminate(request.ReasonDamaged)
	}
	d.trace.attemptEnded(m.GetAttempt(), resp.Reason)
	d.perform(d.router.ResponseReceived(time.Now(), m.GetAttempt(), m.GetRequestId(), resp, load))
}

func (d *Duty) handleClaimAnswer(m *wire.ClaimAnswer) {
	state, resp, err := convert.ClaimAnswerFromWire(m)
	if err != nil {
		return // the router repeats the query
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
