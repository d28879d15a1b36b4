// Package admission implements the duty that admits requests to the target. It
// assigns admitted requests to slots and announces the load to the entry
// instances. The decisions are made by admission.Controller, which does no I/O.
package admission

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/admission"
	"github.com/ibispier/ibispier/daemon/agent/probe"
	"github.com/ibispier/ibispier/daemon/agent/slots"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/wire"
	"github.com/ibispier/ibispier/wire/convert"
)

// Error is the class of this package's errors.
var Error = errs.Class("admission")

const (
	eventCapacity    = 4096
	announceInterval = 200 * time.Millisecond
	// idleAnnounceInterval is the interval of announcements while there is no
	// load: a third of the time after which an entry instance stops using a
	// target that is no longer announced.
	idleAnnounceInterval = 500 * time.Millisecond
	maxBatch             = 256
)

type event struct {
	conn         *link.Conn
	up, down     bool
	request      *wire.Request
	cancel       *wire.CancelRequest
	query        *wire.ClaimQuery
	forget       *wire.ClaimForget
	announcement *targetAnnouncement
	targetDrain  *ring.Ring[struct{}] // the target drains; signalled when no work is left
	agentDrain   *ring.Ring[struct{}] // the agent drains; signalled when no work is left
}

type targetAnnouncement struct {
	endpoint *slots.Endpoint
	ttl      time.Duration
}

// Duty admits requests to the target of this agent. The fields from controller
// on belong to the goroutine of Run.
type Duty struct {
	Jobs               *ring.Ring[slots.Job]
	Results            *ring.Ring[slots.Result]
	Probe              *probe.Duty
	events             *ring.Ring[event]
	settings           *settings.Settings
	configuredEndpoint *slots.Endpoint // from the settings; nil when the target announces itself
	log                *zap.Logger

	controller  *admission.Controller
	incarnation uint64
	links       map[*link.Conn]bool
	announcedAt time.Time
	target      target
	batch       []event
	trace       tracing
}

// New returns the duty.
func New(s *settings.Settings, log *zap.Logger) (*Duty, error) {
	d := &Duty{
		Jobs:     ring.New[slots.Job]("admission.jobs", s.Agent.Slots),
		Results:  ring.New[slots.Result]("admission.results", s.Agent.Slots),
		Probe:    probe.New(s.Agent.ProbeInterval),
		events:   ring.New[event]("admission.events", eventCapacity),
		settings: s,
		log:      log,
	}
	if s.Agent.TargetURL == "" {
		return d, nil
	}
	endpoint, err := slots.ParseEndpoint(s.Agent.TargetURL)
	d.configuredEndpoint = endpoint
	return d, err
}

// SlotOptions returns the options of the slots that perform the duty's jobs.
func SlotOptions(s *settings.Settings) slots.Options {
	return slots.Options{Slots: s.Agent.Slots, Connections: s.Agent.Connections, MaxBody: s.Entry.MaxBodyBytes}
}

// Run admits requests until ctx is done. Each run has a new incarnation number,
// because it does not know which requests an earlier run accepted.
func (d *Duty) Run(ctx context.Context) error {
	d.reset()
	defer d.closeLinks()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.C():
			d.handleBatch(e)
		case r := <-d.Results.C():
			d.handleResult(r)
		case r := <-d.Probe.Results.C():
			d.handleProbe(r)
		case <-ticker.C:
			d.onTick()
		}
		d.signalIdle()
	}
}

func (d *Duty) reset() {
	d.controller = admission.NewController(admission.Options{
		Slots:     SlotOptions(d.settings).SlotCount(),
		MaxQueued: d.settings.Agent.QueueCapacity,
	})
	d.trace.reset()
	d.incarnation = rand.Uint64()
	d.links = map[*link.Conn]bool{}
	d.target = target{}
	d.controller.SetState(admission.Down)
	// Jobs and results left in the rings belong to an earlier run.
	d.Jobs.Drain(nil, d.settings.Agent.Slots)
	d.Results.Drain(nil, d.settings.Agent.Slots)
	if d.configuredEndpoint != nil {
		d.handleTargetAnnouncement(&targetAnnouncement{endpoint: d.configuredEndpoint})
	}
}

// closeLinks closes the links, so that the entry instances notice the end of this
// run.
func (d *Duty) closeLinks() {
	for conn := range d.links {
		conn.Close()
	}
}

func (d *Duty) handleBatch(first event) {
	d.batch = d.events.Drain(append(d.batch[:0], first), maxBatch)
	for i, e := range d.batch {
		d.handleEvent(e)
		d.batch[i] = event{}
	}
}

func (d *Duty) handleEvent(e event) {
	switch {
	case e.up:
		d.links[e.conn] = true
		d.announceAll()
	case e.down:
		delete(d.links, e.conn)
	case e.request != nil:
		d.submit(e.conn, e.request)
	case e.cancel != nil:
		d.cancel(e.conn, e.cancel)
	case e.query != nil:
		d.handleClaimQuery(e.conn, e.query)
	case e.forget != nil:
		d.controller.ForgetClaim(time.Now(), convert.KeyFromWire(e.forget.GetKey()), e.forget.GetEpoch())
	case e.announcement != nil:
		d.handleTargetAnnouncement(e.announcement)
	case e.targetDrain != nil:
		d.target.drainRequested = true
		d.addIdleWaiter(e.targetDrain)
	case e.agentDrain != nil:
		d.target.agentStopping = true
		d.addIdleWaiter(e.agentDrain)
	}
}

// addIdleWaiter registers a ring to signal once no work is left, and applies the
// new state of the target.
func (d *Duty) addIdleWaiter(idle *ring.Ring[struct{}]) {
	d.target.idleWaiters = append(d.target.idleWaiters, idle)
	d.updateState()
}

func (d *Duty) onTick() {
	d.updateState()
	for _, w := range d.controller.Expire(time.Now()) {
		d.respond(w, request.Refused(request.ReasonDeadline), 0)
	}
	if load := d.controller.Load(); load.InFlight+load.Queued > 0 || time.Since(d.announcedAt) >= idleAnnounceInterval {
		d.announceAll()
	}
}

func (d *Duty) submit(conn *link.Conn, m *wire.Request) {
	now := time.Now()
	a, err := convert.AttemptFromWire(m, now)
	if err != nil {
		a = &request.Attempt{Number: m.GetAttempt(), Request: &request.Request{ID: m.GetRequestId()}}
		d.respond(&admission.Work{Attempt: a, Origin: conn}, request.Refused(request.ReasonDamaged), 0)
		return
	}
	w := &admission.Work{Attempt: a, Origin: conn}
	d.trace.requestStarted(w)
	decision, reason, displaced := d.controller.Submit(now, w)
	if displaced != nil {
		d.respond(displaced, request.Refused(request.ReasonOverloaded), 0)
	}
	switch decision {
	case admission.Start:
		d.startWork(w)
	case admission.Refuse:
		d.respond(w, request.Refused(reason), 0)
	}
}

// startWork passes work to a free slot. The ring has room for one job for each
// slot, so it is never full.
func (d *Duty) startWork(w *admission.Work) {
	if err := d.Jobs.Offer(slots.Job{Work: w, Endpoint: d.target.endpoint}); err != nil {
		d.log.Error("job ring of the slots is full", zap.Error(err))
		d.handleResult(slots.Result{Work: w, Response: request.Refused(request.ReasonOverloaded)})
	}
}

func (d *Duty) handleResult(r slots.Result) {
	now := time.Now()
	next, expired := d.controller.Finished(now, r.Work, r.Response)
	if next != nil {
		d.startWork(next)
	}
	var service time.Duration
	if r.Response.Outcome != request.NotRun {
		service = now.Sub(r.Work.Started)
	}
	if r.Response.Outcome == request.Done {
		d.target.lastAnswerAt = now
	}
	d.respond(r.Work, r.Response, service)
	for _, w := range expired {
		d.respond(w, request.Refused(request.ReasonDeadline), 0)
	}
}

func (d *Duty) cancel(conn *link.Conn, m *wire.CancelRequest) {
	if w := d.controller.Cancel(time.Now(), m.GetRequestId(), m.GetAttempt(), conn); w != nil {
		d.respond(w, request.Refused(request.ReasonCancelled), 0)
	}
}

// handleClaimQuery answers a query for the state of a claim. A claim that was made
// at another incarnation of this agent is unknown.
func (d *Duty) handleClaimQuery(conn *link.Conn, m *wire.ClaimQuery) {
	state, resp := request.ClaimUnknown, (*request.Response)(nil)
	if m.GetIncarnation() == d.incarnation {
		state, resp = d.controller.QueryClaim(time.Now(), convert.KeyFromWire(m.GetKey()), m.GetEpoch())
	}
	_ = conn.SendData(convert.ClaimAnswerToFrame(m.GetId(), state, resp))
}

// respond sends the response on the link that delivered the attempt. If the link
// has closed, nobody waits for the response any more.
func (d *Duty) respond(w *admission.Work, resp *request.Response, service time.Duration) {
	d.trace.requestEnded(w, resp)
	conn := w.Origin.(*link.Conn)
	load := d.controller.Load()
	load.Service = service
	if err := conn.SendData(convert.ResponseToFrame(w.Attempt, resp, load)); err != nil {
		d.log.Debug("response dropped", zap.Error(err))
	}
}

func (d *Duty) announceAll() {
	d.announcedAt = time.Now()
	for conn := range d.links {
		d.announce(conn)
	}
}

func (d *Duty) announce(conn *link.Conn) {
	load := d.controller.Load()
	s := d.settings
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_Announce{Announce: &wire.Announce{
		Target:      s.Daemon.ID,
		Service:     s.Agent.Service,
		Zone:        s.Daemon.Zone,
		State:       stateToWire(d.controller.State()),
		Slots:       uint32(SlotOptions(s).SlotCount()),
		Connections: uint32(s.Agent.Connections),
		InFlight:    uint32(load.InFlight),
		Queued:      uint32(load.Queued),
		Epoch:       d.incarnation,
		Entries:     uint32(len(d.links)),
		Worker: &wire.Worker{
			Id:   s.Daemon.ID,
			Rack: s.Agent.Rack,
			Zone: s.Daemon.Zone,
			Capacity: &wire.Resources{
				CpuMilli: s.Agent.CPUMilli, MemoryMib: s.Agent.MemoryMiB, Accelerators: s.Agent.Accelerators,
			},
		},
	}}})
}

func stateToWire(s admission.State) wire.TargetState {
	switch s {
	case admission.Serving:
		return wire.TargetState_TARGET_STATE_SERVING
	case admission.Draining:
		return wire.TargetState_TARGET_STATE_DRAINING
	default:
		return wire.TargetState_TARGET_STATE_DOWN
	}
}
