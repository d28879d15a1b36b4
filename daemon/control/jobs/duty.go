// Package jobs is the duty that owns the job store of a control member. It
// proposes the commands of callers, agents and the dispatcher, applies
// committed entries and answers requests. The leases of targets are kept by the
// leader only and are not replicated.
package jobs

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/bootclock"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/job/dispatch"
	"github.com/ibispier/ibispier/lease"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/telemetry"
)

// Error is the class of all errors of this package.
var Error = errs.Class("jobs")

const (
	requestCapacity = 4096 // one second of requests at twice the peak rate
	maxBatch        = 256  // events handled between two flushes
	// tickInterval bounds the delay after which an expired lease or a due
	// answer is noticed.
	tickInterval = 50 * time.Millisecond
)

// Options configure the duty.
type Options struct {
	Lease     lease.Timing  // of a target
	Retention time.Duration // how long a finished job or a tombstone is kept
	MinVoters int           // number of voters below which a new group accepts no requests
	Bootstrap bool          // whether this member creates the group if none exists
	Copies    bool          // whether stragglers of speculative steps get copies
	Limits    dispatch.Limits
	// RefuseHopeless has submissions refused that surely cannot be done in time.
	RefuseHopeless bool
	Metrics        *telemetry.Metrics // may be nil
	Log            *zap.Logger
	// OnMembers receives the IDs of the control members whenever they change.
	// It may be nil.
	OnMembers func(ctx context.Context, ids []string) error
}

// now reads a clock that keeps running while the instance is suspended and is
// never adjusted, so that a leader that was frozen sees that leases have
// expired.
func now() time.Time { return time.Unix(0, 0).Add(bootclock.Now()) }

// Duty owns the job store: only its Run changes the store.
type Duty struct {
	Requests *ring.Ring[*applier.Request] // refused when full: the caller receives "unavailable"

	options Options
	inputs  *ring.Ring[replica.Input]
	updates *ring.Ring[replica.Update]
}

// New returns a duty that is connected to the replica by its rings.
func New(o Options, inputs *ring.Ring[replica.Input], updates *ring.Ring[replica.Update]) *Duty {
	return &Duty{
		Requests: ring.New[*applier.Request]("jobs.requests", requestCapacity),
		options:  o,
		inputs:   inputs,
		updates:  updates,
	}
}

// Run serves until ctx ends. Each call starts with an empty store, which the
// replica fills again.
func (d *Duty) Run(ctx context.Context) error {
	e := newEngine(d.options, rand.Uint64(), d.inputs.Offer)
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
		case <-ticker.C:
			e.tick(now())
		}
		if err != nil {
			return err
		}
		e.flush(now())
		d.notifyMembers(ctx, e)
	}
}

// notifyMembers passes on the control members after a change.
func (d *Duty) notifyMembers(ctx context.Context, e *engine) {
	if d.options.OnMembers == nil || !e.membersChanged {
		return
	}
	e.membersChanged = false
	if err := d.options.OnMembers(ctx, e.memberIDs()); err != nil {
		d.options.Log.Warn("linking control members failed", zap.Error(err))
		e.membersChanged = true
	}
}

func (d *Duty) handleUpdates(e *engine, first replica.Update) error {
	if err := e.handleUpdate(now(), first); err != nil {
		return err
	}
	for _, u := range d.updates.Drain(nil, maxBatch) {
		if err := e.handleUpdate(now(), u); err != nil {
			return err
		}
	}
	return nil
}

func (d *Duty) handleRequests(e *engine, first *applier.Request) {
	e.handleRequest(now(), first)
	for _, r := range d.Requests.Drain(nil, maxBatch) {
		e.handleRequest(now(), r)
	}
}
