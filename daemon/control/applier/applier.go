// Package applier is the duty that owns the replicated state of control. It
// proposes commands for clients, agents and the scheduler, applies committed log
// entries, and responds to requests. On the leader it also keeps the leases and
// permits, which are not replicated.
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

// Options configures the duty.
type Options struct {
	State     state.Options
	Lease     lease.Timing
	Permit    permit.Timing
	Addresses map[string]string // of the control members, by id
	NewOrigin func() uint64     // draws the random Origin of command ids
	Log       *zap.Logger
}

// DefaultOptions returns the options for a deployment, except for Addresses.
func DefaultOptions(log *zap.Logger) Options {
	return Options{
		State:     state.DefaultOptions(),
		Lease:     lease.DefaultTiming(),
		Permit:    permit.DefaultTiming(),
		NewOrigin: rand.Uint64,
		Log:       log,
	}
}

// Duty owns the replicated state of control. Producers offer to its rings without
// blocking.
type Duty struct {
	Requests         *ring.Ring[*Request]        // when full: the client gets "unavailable"
	Decisions        *ring.Ring[Decision]        // when full: the scheduler decides again
	SchedulerUpdates *ring.Ring[SchedulerUpdate] // when full: the scheduler gets a reset later

	options   Options
	inputs    *ring.Ring[replica.Input]
	updates   *ring.Ring[replica.Update]
	snapshots *ring.Ring[snapshot]
}

// New returns a duty that sends to the inputs of the replica and receives its
// updates.
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

// Run processes requests, decisions and updates until ctx ends. It starts with
// empty state; the replica sends the snapshot and the log entries again.
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

// offerSnapshot passes an image of the state to the snapshotter if a snapshot is
// wanted. While the snapshotter is busy, the request stays pending.
func (d *Duty) offerSnapshot(e *engine) {
	if !e.snapshotWanted || d.snapshots.Depth() > 0 {
		return
	}
	if d.snapshots.Offer(snapshot{index: e.applied, image: e.machine.Image()}) == nil {
		e.snapshotWanted = false
	}
}
