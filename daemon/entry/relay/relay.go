// Package relay implements the duty that connects agents with control:
// it forwards their control requests, holds the zone permits, watches the
// configuration and reports to control which targets this entry instance sees.
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
	// reservedCalls is the part of the result capacity that requests of agents
	// may not use. It is reserved for the relay's own calls: the configuration,
	// one permit for each zone, and the target report.
	reservedCalls = 128
	tickInterval  = 50 * time.Millisecond

	permitInterval       = 400 * time.Millisecond
	targetReportInterval = time.Second
	configWait           = time.Second
	ownCallTimeout       = 2 * time.Second
	// maxRelayTimeout caps the timeout that an agent may request.
	maxRelayTimeout = 5 * time.Second
	// reportHold is how long control may hold the response to an agent's
	// report while it has no commands.
	reportHold = 600 * time.Millisecond
)

// Control starts calls to control without blocking.
type Control interface {
	Send(call controlclient.Call) error
}

// errTooManyCalls reports that a call was refused because too many calls to
// control are pending.
var errTooManyCalls = errs.New("relay: too many calls wait for control")

// Options configure the duty.
type Options struct {
	EntryID  string // id of this entry instance
	Zone     string
	Control  Control
	OnConfig func(controlapi.Config) // called with each configuration to apply; must not block
	// OnPermit is called with the expiry of a zone's permit, which lies in the
	// past after a refusal. It must not block and may be nil.
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

// Duty forwards requests between agents and control. The fields from conns on
// belong to the goroutine of Run.
type Duty struct {
	options  Options
	events   *ring.Ring[event]
	results  *ring.Ring[controlclient.Result]
	revision atomic.Uint64
	ready    atomic.Bool

	conns             map[*link.Conn]bool
	targets           map[string]announcedTarget
	pendingCalls      map[uint64]pendingCall
	permits           map[string]*zonePermit
	config            controlapi.Config
	lastToken         uint64
	configCallPending bool
	reportedAt        time.Duration
}

// pendingCall is a call to control whose result has not arrived.
type pendingCall struct {
	kind      callKind
	conn      *link.Conn // link of the agent, for a forwarded request
	requestID uint64     // id that the agent chose, for a forwarded request
	zone      string     // for a permit call
	sentAt    time.Duration
}

type callKind uint8

const (
	relayedCall callKind = iota
	permitCall
	configCall
	targetReportCall
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

// Ready reports whether the configuration has been read from a quorum of control
// members since the process started.
func (d *Duty) Ready() bool { return d.ready.Load() }

// Run handles events until ctx is done.
func (d *Duty) Run(ctx context.Context) error {
	d.reset()
	defer d.closeLinks()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events.C():
			d.handleEvent(e)
		case r := <-d.results.C():
			d.handleResult(r)
		case <-ticker.C:
			d.onTick()
		}
	}
}

func (d *Duty) reset() {
	d.conns = map[*link.Conn]bool{}
	d.targets = map[string]announcedTarget{}
	d.pendingCalls = map[uint64]pendingCall{}
	d.permits = map[string]*zonePermit{}
	d.configCallPending = false
}

// closeLinks closes the agents' links. The agents reconnect, so that the next
// run registers them.
func (d *Duty) closeLinks() {
	for c := range d.conns {
		c.Close()
	}
}

func (d *Duty) onTick() {
	now := bootclock.Now()
	d.renewPermits(now)
	if !d.configCallPending {
		d.watchConfig(now)
	}
	if now-d.reportedAt >= targetReportInterval {
		d.reportedAt = now
		d.reportTargets(now)
	}
}

func (d *Duty) handleEvent(e event) {
	switch {
	case e.up:
		d.conns[e.conn] = true
		d.sendConfig(e.conn)
	case e.down:
		delete(d.conns, e.conn)
		d.removeTargets(e.conn)
	case e.request != nil:
		d.forwardRequest(e.conn, e.request)
	case e.permit != nil:
		d.answerPermit(e.conn, e.permit)
	case e.announce != nil:
		d.recordTarget(e.conn, e.announce)
	}
}

// forwardRequest forwards an agent's request to control under an id that is
// unique in this process.
func (d *Duty) forwardRequest(conn *link.Conn, m *wire.ControlRequest) {
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
	err := d.startCall(call, pendingCall{kind: relayedCall, conn: conn, requestID: m.GetId()})
	if err != nil {
		d.respond(conn, m.GetId(), controlclient.Result{Err: err})
	}
}

// startCall starts a call to control and registers it as pending. It never
// starts more calls than the result ring has room for, so that no result is
// lost.
func (d *Duty) startCall(call controlclient.Call, p pendingCall) error {
	maxPending := resultCapacity
	if p.kind == relayedCall {
		maxPending -= reservedCalls
	}
	if len(d.pendingCalls) >= maxPending {
		return errTooManyCalls
	}
	d.lastToken++
	call.CorrelationID = d.lastToken
	call.Reply = d.results
	if err := d.options.Control.Send(call); err != nil {
		return err
	}
	d.pendingCalls[call.CorrelationID] = p
	return nil
}

func (d *Duty) handleResult(r controlclient.Result) {
	p, ok := d.pendingCalls[r.CorrelationID]
	if !ok {
		return
	}
	delete(d.pendingCalls, r.CorrelationID)
	switch p.kind {
	case relayedCall:
		d.respond(p.conn, p.requestID, r)
	case permitCall:
		d.handlePermit(p, r)
	case configCall:
		d.configCallPending = false
		d.handleConfig(r)
	case targetReportCall:
		if r.Err != nil {
			d.options.Log.Debug("reporting targets failed", zap.Error(r.Err))
		}
	}
}
