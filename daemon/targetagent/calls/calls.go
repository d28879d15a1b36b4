// Package calls contains the duty that calls the target, one call at a time. The
// agent runs several of them for concurrent calls.
package calls

import (
	"context"
	"time"

	"github.com/ibispier/ibispier/bootclock"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/runapi"
)

const (
	// callTimeout bounds a call to the target, which runs on the same instance.
	// The target may still carry out a call that has timed out.
	callTimeout = time.Second
	// callCapacity bounds the calls that are queued for one duty.
	callCapacity = 256
)

// Kind is the operation of a call.
type Kind uint8

// Kinds of calls.
const (
	Start Kind = iota
	Stop
	Pace
	Watch
)

// Call is one call to the target.
type Call struct {
	Kind         Kind
	Incarnation  job.TargetIncarnation
	Task         job.Ref
	Run          int
	PacePercent  int
	Start        runapi.StartRequest
	Watch        runapi.WatchRequest
	FencingToken uint64
	// ValidUntil is the time on the instance's clock (package bootclock) after
	// which a start must not be sent.
	ValidUntil time.Duration
}

// Result is the outcome of a call.
type Result struct {
	Call
	SentAt time.Duration // time on the instance's clock just before the call
	Status runapi.Status
	Err    error
}

// Duty takes calls from its ring and puts their results into the owner's ring.
type Duty struct {
	Calls   *ring.Ring[Call]
	results *ring.Ring[Result]
	target  runapi.Target
}

// New returns a duty that calls the target. The name is that of its ring.
func New(name string, target runapi.Target, results *ring.Ring[Result]) *Duty {
	return &Duty{Calls: ring.New[Call](name, callCapacity), results: results, target: target}
}

// Run carries out calls until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	for {
		call, err := d.Calls.Take(ctx)
		if err != nil {
			return nil
		}
		if err := d.results.Put(ctx, d.perform(ctx, call)); err != nil {
			return nil
		}
	}
}

func (d *Duty) perform(ctx context.Context, c Call) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+c.Watch.Wait)
	defer cancel()
	r := Result{Call: c, SentAt: bootclock.Now()}
	switch c.Kind {
	case Start:
		// The instance may have been suspended while the call was queued.
		if r.SentAt >= c.ValidUntil {
			r.Err = &runapi.RefusedError{Reason: runapi.ReasonLeaseExpired}
			return r
		}
		r.Err = d.target.Start(ctx, c.Incarnation, c.Start)
	case Stop:
		r.Err = d.target.Stop(ctx, c.Incarnation, c.Task, c.Run, c.FencingToken)
	case Pace:
		r.Err = d.target.SetPace(ctx, c.Incarnation, c.Task, c.Run, c.PacePercent, c.FencingToken)
	case Watch:
		r.Status, r.Err = d.target.Watch(ctx, c.Incarnation, c.Watch)
	}
	return r
}
