// Package runapi defines how an agent calls a target that runs tasks. A platform
// adapter implements the interface.
package runapi

import (
	"context"
	"errors"
	"time"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

// ErrIncarnationChanged reports that the target has restarted: it answered as
// another incarnation than the one that the call was meant for.
var ErrIncarnationChanged = errors.New("runapi: target answered as another incarnation")

// RefusedError reports that the target refused a call. The call had no effect.
type RefusedError struct {
	Reason Reason
}

// Error implements error.
func (e *RefusedError) Error() string { return "runapi: refused: " + string(e.Reason) }

// Reason is why a target refuses a call.
type Reason string

// Reasons for refusing a call.
const (
	ReasonFenced        Reason = "fenced"    // the target has seen a newer fencing token
	ReasonStaleRun      Reason = "old"       // this run or a later run of the task has already ended or was stopped
	ReasonLeaseExpired  Reason = "late"      // the lease in the request has expired
	ReasonNoCapacity    Reason = "no-room"   // the free capacity is too small for the task
	ReasonInvalidPermit Reason = "ticket"    // the permit for the step is missing or invalid
	ReasonUnhealthy     Reason = "unhealthy" // the target accepts no work at present
	ReasonInvalid       Reason = "invalid"   // the target cannot decode the request
)

// Lease bounds how long runs may continue on a target without contact to its
// agent.
type Lease struct {
	UntilMillis int64  // on the target's monotonic clock; 0 leaves the lease unchanged
	Token       uint64 // fencing token of the sender
}

// StartRequest starts a run of a task.
type StartRequest struct {
	Task       job.Ref
	Run        int
	Payload    string
	Checkpoint string
	Lease      Lease
}

// WatchRequest renews the lease and waits until a run ends.
type WatchRequest struct {
	Lease        Lease
	EndWatermark uint64        // the target may discard ends up to this number
	Wait         time.Duration // maximum time to wait; 0 returns at once
}

// Run is a run of a task that is present on the target.
type Run struct {
	Task       job.Ref
	Run        int
	Checkpoint string
	// Percent is the progress; 100 for a long-running task that is working.
	Percent int
	// Measurement is the tail latency of a serving task in milliseconds, and the
	// processor use of any other task in thousandths of a core.
	Measurement int64
}

// Status is the state of the runs on a target.
type Status struct {
	Incarnation job.TargetIncarnation
	ClockMillis int64 // monotonic clock of the target
	Running     []Run
	Ends        []job.End
	// UnreadableRows is the number of entries of the two lists that could not be
	// decoded and are missing from them.
	UnreadableRows int
}

// Target runs tasks. Each call names the incarnation of the target that it is
// meant for; any other incarnation must not carry it out.
type Target interface {
	Start(ctx context.Context, incarnation job.TargetIncarnation, s StartRequest) error
	Stop(ctx context.Context, incarnation job.TargetIncarnation, task job.Ref, run int, token uint64) error
	SetPace(ctx context.Context, incarnation job.TargetIncarnation, task job.Ref, run, percent int, token uint64) error
	Watch(ctx context.Context, incarnation job.TargetIncarnation, w WatchRequest) (Status, error)
}

// Announcement is a target's periodic description of itself.
type Announcement struct {
	Incarnation     job.TargetIncarnation
	Sequence        uint64 // increases with each announcement of an incarnation
	Service         string
	Zone            string
	Rack            string
	Labels          []string
	Capacity        resource.Vector
	Draining        bool
	RemainingMillis int64
	Leaving         bool // the target is exiting
}
