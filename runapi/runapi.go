// Package runapi is the interface of a target that runs tasks, as its agent
// uses it. An adapter for a platform implements it.
package runapi

import (
	"context"
	"errors"
	"time"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

// ErrIncarnationChanged is returned when another life of the target has answered.
var ErrIncarnationChanged = errors.New("runapi: another life of the target answers")

// RefusedError tells that the target has refused a call and has done nothing.
type RefusedError struct {
	Reason Reason
}

// Error returns the reason.
func (e *RefusedError) Error() string { return "runapi: refused: " + string(e.Reason) }

// Reason is why a target refuses a call.
type Reason string

// Reasons of refusals.
const (
	ReasonFenced        Reason = "fenced"    // a newer fencing token was seen
	ReasonStaleRun      Reason = "old"       // the run, or a later one, has ended or was stopped there
	ReasonLeaseExpired  Reason = "late"      // the lease in the order has expired
	ReasonNoCapacity    Reason = "no-room"   // the task does not fit
	ReasonInvalidPermit Reason = "ticket"    // the permit for the step is missing or not valid
	ReasonUnhealthy     Reason = "unhealthy" // the target takes no work now
	ReasonInvalid       Reason = "invalid"   // the target cannot read the order
)

// Lease bounds what runs on a target, on the target's own steady clock.
type Lease struct {
	UntilMillis int64 // 0 to leave the lease as it is
	Token       uint64
}

// StartRequest is an order to start a run.
type StartRequest struct {
	Task       job.Ref
	Run        int
	Payload    string
	Checkpoint string
	Lease      Lease
}

// WatchRequest renews the lease and waits for an end of a run.
type WatchRequest struct {
	Lease        Lease
	EndWatermark uint64        // ends up to this number are forgotten
	Wait         time.Duration // 0 to return at once
}

// Run is a run that the target holds.
type Run struct {
	Task       job.Ref
	Run        int
	Checkpoint string
	// Percent of the work is done; 100 for a lasting task that is at work.
	Percent int
	// Level is the tail latency in milliseconds of a serving task, and the
	// processor time in use, in thousandths, of any other.
	Measurement int64
}

// Status is what a target tells about its runs.
type Status struct {
	Incarnation job.TargetIncarnation
	ClockMillis int64 // steady clock of the target
	Running     []Run
	Ends        []job.End
}

// Target runs tasks. Calls name the life that they are meant for.
type Target interface {
	Start(ctx context.Context, life job.TargetIncarnation, s StartRequest) error
	Stop(ctx context.Context, life job.TargetIncarnation, task job.Ref, run int, token uint64) error
	SetPace(ctx context.Context, life job.TargetIncarnation, task job.Ref, run, percent int, token uint64) error
	Watch(ctx context.Context, life job.TargetIncarnation, w WatchRequest) (Status, error)
}

// Announcement is what a target tells about itself.
type Announcement struct {
	Incarnation     job.TargetIncarnation
	Sequence        uint64 // rises with each announcement of a life
	Service         string
	Zone            string
	Rack            string
	Labels          []string
	Capacity        resource.Vector
	Draining        bool
	RemainingMillis int64
	Leaving         bool // the target ends now
}
