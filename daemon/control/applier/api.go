package applier

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
)

// SchedulerUpdate is what the applier of the leader tells the scheduler duty. Changes
// are in the order of the log. The applier offers them to a ring without
// blocking; when the ring was full it sends a SchedulerUpdate with Reset once there is
// room again, so the scheduler never has to ask for what it missed.
type SchedulerUpdate struct {
	// Reset starts over: the scheduler forgets everything, and this SchedulerUpdate
	// holds the whole state. The first one of a leadership has it.
	Reset bool
	// Leading is false in the last one of a leadership. The scheduler
	// offers no decisions until the next Reset.
	Leading bool

	Tasks      []TaskUpdate
	Workers    []WorkerUpdate
	Config     *controlapi.Config // set when it has changed
	Quarantine []controlapi.Quarantined
	Released   []controlapi.Quarantined // into probation
	Usage      []UsageSample
	Failures   []Failure
	Rejected   []Rejection
}

// TaskUpdate is the present state of a task. A task in a final state is not
// mentioned again.
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
	QueuedAt   time.Time // when it was queued last
	Evictions  int
	Failures   int
	Cancelling bool
}

// WorkerUpdate is the present state of a worker.
type WorkerUpdate struct {
	Worker            controlapi.Worker
	Lost              bool // no report for the length of a lease
	Draining          bool
	Service           string
	TailLatencyMillis float64 // of the latency-critical target beside the worker
}

// UsageSample is a lagged measurement of a task on a worker.
type UsageSample struct {
	Agent      string
	ReceivedAt time.Time
	controlapi.Usage
}

// Failure tells that a task failed on, or was refused by, a worker.
type Failure struct {
	Task    string
	Class   string
	Agent   string
	Refused bool // not started
	Reason  string
}

// Rejection tells that a placement was not committed. The task is queued still
// unless a TaskUpdate says otherwise.
type Rejection struct {
	Task   string
	Agent  string
	Reason string
}

// Decision is what the scheduler offers to the ring of the applier. Exactly one
// field is set. The applier validates it against the committed state and
// proposes it; a decision that no longer fits is dropped, and a placement that
// does not fit comes back as a Rejection.
type Decision struct {
	Place      *Placement
	Action     *TaskAction
	Quarantine *QuarantineDecision
}

// Placement places a queued task. Epoch is the epoch of the task when it was
// queued; the committed placement has the next one.
type Placement struct {
	Task  string
	Epoch uint64
	Agent string
}

// TaskAction throttles, checkpoints or stops a placed task. A checkpoint or a stop
// is committed and repeated to the agent until it reports the end; a throttle
// is sent to the agent without a commit.
type TaskAction struct {
	Task            string
	Epoch           uint64
	Action          controlapi.CommandAction // throttle, checkpoint or stop
	ThrottlePercent int
	Reason          string
}

// QuarantineDecision puts a job (kind "job", name is the task id) or a worker
// (kind "worker", name is the agent id) into quarantine, or releases it.
type QuarantineDecision struct {
	Kind    string
	Name    string
	Reason  string
	Release bool
}
