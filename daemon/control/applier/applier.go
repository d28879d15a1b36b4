// Package applier is the duty that owns the state of control. It proposes the
// commands of clients, agents and the scheduler, applies what is committed, and
// answers. Leases and permits live with the leader.
package applier

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/lease"
	"github.com/ibispier/ibispier/permit"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/state"
)

// Error is the class of all errors of this package.
var Error = errs.Class("applier")

const (
	requestCapacity         = 4096 // 100 ms of requests at 40,000/s
	decisionCapacity        = 4096
	schedulerUpdateCapacity = 1024
	maxDrainBatch           = 256
	tickInterval            = 20 * time.Millisecond
)

// Options configure the duty.
type Options struct {
	State     state.Options
	Lease     lease.Timing
	Permit    permit.Timing
	Addresses map[string]string // of the control members, by id
	NewOrigin func() uint64     // random number for the ids of commands
	Log       *zap.Logger
}

// DefaultOptions returns the options of a deployment.
func DefaultOptions(log *zap.Logger) Options {
	return Options{
		State:     state.DefaultOptions(),
		Lease:     lease.DefaultTiming(),
		Permit:    permit.DefaultTiming(),
		NewOrigin: rand.Uint64,
		Log:       log,
	}
}

// Duty owns the state of control.
type Duty struct {
	Requests         *ring.Ring[*Request]        // refuse when full: the client is told "unavailable"
	Decisions        *ring.Ring[Decision]        // refuse when full: the scheduler decides again
	SchedulerUpdates *ring.Ring[SchedulerUpdate] // refuse when full: the scheduler starts over

	options   Options
	inputs    *ring.Ring[replica.Input]
	updates   *ring.Ring[replica.Update]
	snapshots *ring.Ring[snapshot]
}

// New returns the duty between the rings of the replica.
func New(o Options, inputs *ring.Ring[replica.Input], updates *ring.Ring[replica.Update]) *Duty {
	return &Duty{
		Requests:         ring.New[*Request]("applier.requests", requestCapacity),
		Decisions:        ring.New[Decision]("applier.decisions", decisionCapacity),
		SchedulerUpdates: ring.New[SchedulerUpdate]("scheduler.in", schedulerUpdateCapacity),
		options:          o,
		inputs:           inputs,
		updates:          updates,
		snapshots:        ring.New[snapshot]("applier.snapshots", 1),
	}
}

// Run applies until ctx ends. Each run starts without state, which the replica
// sends again.
func (d *Duty) Run(ctx context.Context) error {
	e := newEngine(d.options, d.inputs.Offer)
	e.feed.out = d.SchedulerUpdates
	defer e.failPending()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case u := <-d.updates.C():
			err = d.handleUpdates(e, u)
		case r := <-d.Requests.C():
			d.handleRequests(e, r)
		case x := <-d.Decisions.C():
			d.handleDecisions(e, x)
		case now := <-ticker.C:
			e.tick(now)
		}
		if err != nil {
			return err
		}
		e.flush(time.Now())
		d.offerSnapshot(e)
	}
}

func (d *Duty) handleUpdates(e *engine, first replica.Update) error {
	now := time.Now()
	if err := e.handleUpdate(now, first); err != nil {
		return err
	}
	for _, u := range d.updates.Drain(nil, maxDrainBatch) {
		if err := e.handleUpdate(now, u); err != nil {
			return err
		}
	}
	return nil
}

func (d *Duty) handleRequests(e *engine, first *Request) {
	now := time.Now()
	e.handleRequest(now, first)
	for _, r := range d.Requests.Drain(nil, maxDrainBatch) {
		e.handleRequest(now, r)
	}
}

func (d *Duty) handleDecisions(e *engine, first Decision) {
	now := time.Now()
	e.handleDecision(now, first)
	for _, x := range d.Decisions.Drain(nil, maxDrainBatch) {
		e.handleDecision(now, x)
	}
}

// offerSnapshot hands an image of the state to the duty that encodes it. While
// that is busy, the wish stays.
func (d *Duty) offerSnapshot(e *engine) {
	if !e.snapshotWanted || d.snapshots.Depth() > 0 {
		return
	}
	if d.snapshots.Offer(snapshot{index: e.applied, image: e.machine.Image()}) == nil {
		e.snapshotWanted = false
	}
}
