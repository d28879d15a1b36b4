package applier

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
)

// SchedulerUpdate carries changes of the state from the applier of the leader to
// the scheduler duty, in the order of the log. The applier offers updates to a ring
// without blocking. If the ring is full, it sends an update with Reset once the
// ring is empty, so that the scheduler need not request what it missed.
type SchedulerUpdate struct {
	// Reset makes the scheduler discard its state; this update holds the whole
	// state. It is set in the first update of a leadership.
	Reset bool
	// Leading is false in the last update of a leadership. The scheduler then offers
	// no decisions until the next Reset.
	Leading bool

	Tasks      []TaskUpdate
	Workers    []WorkerUpdate
	Config     *controlapi.Config // nil if unchanged
	Quarantine []controlapi.Quarantined
	Released   []controlapi.Quarantined // from quarantine into probation
	Usage      []UsageSample
	Failures   []Failure
	Rejected   []Rejection
}

// TaskUpdate is the current state of a task. No update follows after a final
// state.
type TaskUpdate struct {
	ID         string
	Customer   string
	Kind       string
	Class      string
	Urgent     bool
	Size       controlapi.Resources
	Zones      []string // allowed zones; empty for all
	State      controlapi.TaskState
	Epoch      uint64
	Agent      string // set while placed, running or evicting
	Zone       string
	QueuedAt   time.Time // the last time it was queued
	Evictions  int
	Failures   int
	Cancelling bool
}

// WorkerUpdate is the current state of a worker.
type WorkerUpdate struct {
	Worker            controlapi.Worker
	Lost              bool // its agent has sent no report for the length of a lease
	Draining          bool
	Service           string
	TailLatencyMillis float64 // of the latency-critical target on the same instance
}

// UsageSample is a delayed measurement of a task on a worker.
type UsageSample struct {
	Agent      string
	ReceivedAt time.Time
	controlapi.Usage
}

// Failure reports a task that failed on a worker or was refused by it.
type Failure struct {
	Task    string
	Class   string
	Agent   string
	Refused bool // the worker did not start the task
	Reason  string
}

// Rejection reports that a placement was not committed. The task is still queued
// unless a TaskUpdate says otherwise.
type Rejection struct {
	Task   string
	Agent  string
	Reason string
}

// Decision is a decision of the scheduler for the applier. Exactly one field is
// set. The applier proposes it, and it is validated against the committed state.
// Invalid decisions are dropped; an invalid placement is returned as a Rejection.
type Decision struct {
	Place      *Placement
	Action     *TaskAction
	Quarantine *QuarantineDecision
}

// Placement places a queued task. Epoch is the epoch of the task when it was
// queued; the committed placement gets the next one.
type Placement struct {
	Task  string
	Epoch uint64
	Agent string
}

// TaskAction throttles, checkpoints or stops a placed task. A checkpoint or a stop
// is committed and sent to the agent repeatedly until it reports the end of the
// task. A throttle is sent once, without a commit.
type TaskAction struct {
	Task            string
	Epoch           uint64
	Action          controlapi.CommandAction // throttle, checkpoint or stop
	ThrottlePercent int
	Reason          string
}

// QuarantineDecision quarantines or releases a job (kind "job", name is the task
// id) or a worker (kind "worker", name is the agent id).
type QuarantineDecision struct {
	Kind    string
	Name    string
	Reason  string
	Release bool
}
