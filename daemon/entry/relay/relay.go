// Package relay is the duty that connects agents with control: it forwards
// their control requests, holds the zone permits, follows the configuration,
// and tells control which targets this entry instance sees.
package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/bootclock"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/wire"
)

const (
	eventCapacity  = 8192
	resultCapacity = 4096
	// ownCalls is the part of the results kept for calls of the relay itself:
	// the configuration, one permit for each zone, and the announced targets.
	ownCalls = 128
	tick     = 50 * time.Millisecond

	permitInterval    = 400 * time.Millisecond
	announcedInterval = time.Second
	configWait        = time.Second
	ownCallTimeout    = 2 * time.Second
	// maxRelayTimeout bounds what an agent may ask for.
	maxRelayTimeout = 5 * time.Second
	// reportHold is how long control may hold the answer to a report.
	reportHold = 600 * time.Millisecond
)

// Control starts calls to control without blocking.
type Control interface {
	Send(call controlclient.Call) error
}

// errBusy is the cause of a refused call while too many wait for control.
var errBusy = errs.New("relay: too many calls wait for control")

// Options configure the duty.
type Options struct {
	Entry    string // id of this entry instance
	Zone     string
	Control  Control
	OnConfig func(controlapi.Config) // gets every accepted configuration; must not block
	// OnPermit gets the end of the permit of a zone, the zero time after a
	// refusal; must not block. It may be nil.
	OnPermit func(zone string, until time.Time)
	Log      *zap.Logger
}

type event struct {
	conn     *link.Conn
	up, down bool
	request  *wire.ControlRequest
	permit   *wire.PermitRequest
	announce *wire.Announce
}

// Duty connects agents with control.
type Duty struct {
	options  Options
	events   *ring.Ring[event]
	results  *ring.Ring[controlclient.Result]
	revision atomic.Uint64
	ready    atomic.Bool

	conns      map[*link.Conn]bool
	targets    map[string]announced
	pending    map[uint64]pending
	permits    map[string]*zonePermit
	config     controlapi.Config
	token      uint64
	watching   bool
	reportedAt time.Duration
}

// pending is a call to control that has no result yet.
type pending struct {
	kind   callKind
	conn   *link.Conn // of a relayed call
	id     uint64     // the agent's id of a relayed call
	zone   string     // of a permit call
	sentAt time.Duration
}

type callKind uint8

const (
	relayed callKind = iota
	permitCall
	configCall
	announcedCall
)

// New returns the duty.
func New(o Options) *Duty {
	return &Duty{
		options: o,
		events:  ring.New[event]("relay.events", eventCapacity),
		results: ring.New[controlclient.Result]("relay.results", resultCapacity),
	}
}

// Revision returns the configuration revision in force in this process.
func (d *Duty) Revision() uint64 { return d.revision.Load() }

// Ready reports whether a configuration was read from the quorum since the
// process started.
func (d *Duty) Ready() bool { return d.ready.Load() }

// Run relays until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	d.reset()
	defer d.closeLinks()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.C():
			d.handle(e)
		case r := <-d.results.C():
			d.finished(r)
		case <-ticker.C:
			d.onTick()
		}
	}
}

func (d *Duty) reset() {
	d.conns = map[*link.Conn]bool{}
	d.targets = map[string]announced{}
	d.pending = map[uint64]pending{}
	d.permits = map[string]*zonePermit{}
	d.watching = false
}

// closeLinks makes the agents connect again, so that a new run learns of them.
func (d *Duty) closeLinks() {
	for c := range d.conns {
		c.Close()
	}
}

func (d *Duty) onTick() {
	now := bootclock.Now()
	d.askPermits(now)
	if !d.watching {
		d.watchConfig(now)
	}
	if now-d.reportedAt >= announcedInterval {
		d.reportedAt = now
		d.reportTargets(now)
	}
}

func (d *Duty) handle(e event) {
	switch {
	case e.up:
		d.conns[e.conn] = true
		d.sendConfig(e.conn)
	case e.down:
		delete(d.conns, e.conn)
		d.forgetTargets(e.conn)
	case e.request != nil:
		d.relay(e.conn, e.request)
	case e.permit != nil:
		d.answerPermit(e.conn, e.permit)
	case e.announce != nil:
		d.noteTarget(e.conn, e.announce)
	}
}

// relay forwards a request under an id of this process.
func (d *Duty) relay(conn *link.Conn, m *wire.ControlRequest) {
	timeout := min(time.Duration(m.GetTimeoutMillis())*time.Millisecond, maxRelayTimeout)
	call := controlclient.Call{
		Operation:   controlapi.Operation(m.GetOperation()),
		Payload:     m.GetPayload(),
		Deadline:    time.Now().Add(timeout),
		TraceParent: m.GetTraceParent(),
	}
	if call.Operation == controlapi.OpReport {
		call.MaxHold = reportHold
	}
	err := d.start(call, pending{kind: relayed, conn: conn, id: m.GetId()})
	if err != nil {
		d.respond(conn, m.GetId(), controlclient.Result{Err: err})
	}
}

// start starts a call and remembers who waits for its result. It starts no
// more calls than the ring of the results has room for, so that no result is
// lost.
func (d *Duty) start(call controlclient.Call, p pending) error {
	room := resultCapacity
	if p.kind == relayed {
		room -= ownCalls
	}
	if len(d.pending) >= room {
		return errBusy
	}
	d.token++
	call.CorrelationID = d.token
	call.Reply = d.results
	if err := d.options.Control.Send(call); err != nil {
		return err
	}
	d.pending[call.CorrelationID] = p
	return nil
}

func (d *Duty) finished(r controlclient.Result) {
	p, ok := d.pending[r.CorrelationID]
	if !ok {
		return
	}
	delete(d.pending, r.CorrelationID)
	switch p.kind {
	case relayed:
		d.respond(p.conn, p.id, r)
	case permitCall:
		d.permitted(p, r)
	case configCall:
		d.watching = false
		d.configured(r)
	case announcedCall:
		if r.Err != nil {
			d.options.Log.Debug("targets not reported", zap.Error(r.Err))
		}
	}
}
