// Package admission is the duty that owns the slots of a target and drives the
// pure admission.Controller.
package admission

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/admission"
	"github.com/ibispier/ibispier/daemon/agent/slots"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/wire"
	"github.com/ibispier/ibispier/wire/convert"
)

const (
	eventCapacity    = 4096
	eventPatience    = time.Second
	announceInterval = 200 * time.Millisecond
	maxBatch         = 256
)

type event struct {
	conn     *link.Conn
	up, down bool
	request  *wire.Request
	cancel   *wire.CancelRequest
	state    *admission.State
}

// Duty admits requests to the target of this agent.
type Duty struct {
	Work     *ring.Ring[*admission.Work]
	Results  *ring.Ring[slots.Result]
	events   *ring.Ring[event]
	settings *settings.Settings
	log      *zap.Logger

	controller *admission.Controller
	links      map[*link.Conn]bool
	idle       chan struct{}
}

// New returns the duty.
func New(s *settings.Settings, log *zap.Logger) *Duty {
	return &Duty{
		Work:       ring.New[*admission.Work]("admission.work", s.Agent.Slots),
		Results:    ring.New[slots.Result]("admission.results", s.Agent.Slots),
		events:     ring.New[event]("admission.events", eventCapacity),
		settings:   s,
		log:        log,
		controller: admission.NewController(admission.Options{Slots: s.Agent.Slots, Queue: s.Agent.Queue}),
		links:      map[*link.Conn]bool{},
		idle:       make(chan struct{}),
	}
}

// Run admits requests until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.C():
			d.handle(e)
			for _, e := range d.events.Drain(nil, maxBatch) {
				d.handle(e)
			}
		case r := <-d.Results.C():
			d.finish(r)
		case <-ticker.C:
			d.announceAll()
		}
		d.signalIdle()
	}
}

// Drain refuses new requests and waits until the last one in flight is
// answered.
func (d *Duty) Drain(ctx context.Context) error {
	state := admission.Draining
	if err := d.events.Put(ctx, event{state: &state}); err != nil {
		return err
	}
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Duty) signalIdle() {
	load := d.controller.Load()
	if d.controller.State() != admission.Draining || load.InFlight+load.Queued > 0 {
		return
	}
	select {
	case <-d.idle:
	default:
		close(d.idle)
	}
}

func (d *Duty) handle(e event) {
	switch {
	case e.up:
		d.links[e.conn] = true
		d.announce(e.conn)
	case e.down:
		delete(d.links, e.conn)
	case e.request != nil:
		d.submit(e.conn, e.request)
	case e.cancel != nil:
		d.cancel(e.conn, e.cancel)
	case e.state != nil:
		d.controller.SetState(*e.state)
		d.announceAll()
	}
}

func (d *Duty) submit(conn *link.Conn, m *wire.Request) {
	now := time.Now()
	a, err := convert.AttemptFromWire(m, now)
	if err != nil {
		a = &request.Attempt{Number: m.GetAttempt(), Request: &request.Request{ID: m.GetRequestId()}}
		d.respond(&admission.Work{Attempt: a, Origin: conn}, request.Refused(request.ReasonDamaged))
		return
	}
	w := &admission.Work{Attempt: a, Origin: conn}
	switch decision, reason := d.controller.Submit(now, w); decision {
	case admission.Start:
		d.start(w)
	case admission.Refuse:
		d.respond(w, request.Refused(reason))
	}
}

// start hands work to a free slot. The ring has room for every slot, so it is
// never full.
func (d *Duty) start(w *admission.Work) {
	if err := d.Work.Offer(w); err != nil {
		d.log.Error("slot ring is full", zap.Error(err))
		d.controller.Finished(time.Now())
		d.respond(w, request.Refused(request.ReasonOverloaded))
	}
}

func (d *Duty) finish(r slots.Result) {
	next, expired := d.controller.Finished(time.Now())
	if next != nil {
		d.start(next)
	}
	d.respond(r.Work, r.Response)
	for _, w := range expired {
		d.respond(w, request.Refused(request.ReasonDeadline))
	}
}

func (d *Duty) cancel(conn *link.Conn, m *wire.CancelRequest) {
	if w := d.controller.Cancel(m.GetRequestId(), m.GetAttempt(), conn); w != nil {
		d.respond(w, request.Refused(request.ReasonCancelled))
	}
}

// respond answers on the link that the attempt came through. When the link has
// ended, nobody waits for the answer.
func (d *Duty) respond(w *admission.Work, resp *request.Response) {
	conn := w.Origin.(*link.Conn)
	if err := conn.SendData(convert.ResponseToFrame(w.Attempt, resp, d.controller.Load())); err != nil {
		d.log.Debug("response dropped", zap.Error(err))
	}
}

func (d *Duty) announceAll() {
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
		Slots:       uint32(s.Agent.Slots),
		Connections: uint32(s.Agent.Connections),
		InFlight:    uint32(load.InFlight),
		Queued:      uint32(load.Queued),
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
