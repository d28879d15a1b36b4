// Package workerapi defines the interface of a worker, the platform's side of
// an instance that runs tasks under leases. It is HTTP with JSON bodies.
//
//	PUT  /v1/fence               Fence          -> 204, 409 when a higher epoch is set
//	GET  /v1/tasks               -              -> Tasks
//	POST /v1/tasks               Start          -> Task, 409 when refused
//	POST /v1/leases              Renew          -> 204
//	POST /v1/tasks/{id}/stop     Control        -> Task
//	POST /v1/tasks/{id}/checkpoint Control      -> Task, checkpointed and stopped
//	POST /v1/tasks/{id}/throttle Control        -> Task
//	POST /v1/tasks/{id}/forget   Control        -> 204
//
// Every call carries the epoch of the calling agent. The worker refuses calls
// with an epoch lower than the highest it has seen, so that of two agents of
// one instance only the newer one has any effect.
package workerapi

import "github.com/ibispier/ibispier/controlapi"

// FenceRequest sets the epoch of the agent.
type FenceRequest struct {
	AgentEpoch uint64 `json:"agent_epoch"`
}

// StartRequest starts a task. NotAfter and Deadline are readings of the instance clock
// of package bootclock in nanoseconds: the task does not start after NotAfter,
// and the worker stops it at Deadline unless the lease is renewed.
type StartRequest struct {
	AgentEpoch         uint64          `json:"agent_epoch"`
	Epoch              uint64          `json:"epoch"`
	Task               controlapi.Task `json:"task"`
	Checkpoint         string          `json:"checkpoint,omitempty"`
	CheckpointSequence uint64          `json:"checkpoint_sequence,omitempty"`
	NotAfter           int64           `json:"not_after"`
	Deadline           int64           `json:"deadline"`
}

// RenewRequest extends the leases of running tasks to Deadline.
type RenewRequest struct {
	AgentEpoch uint64      `json:"agent_epoch"`
	Leases     []TaskLease `json:"leases"`
}

// TaskLease is the deadline of one task.
type TaskLease struct {
	Task     string `json:"task"`
	Epoch    uint64 `json:"epoch"`
	Deadline int64  `json:"deadline"`
}

// TaskRequest stops, checkpoints, throttles or forgets a task.
type TaskRequest struct {
	AgentEpoch      uint64 `json:"agent_epoch"`
	Epoch           uint64 `json:"epoch"`
	ThrottlePercent int    `json:"throttle_percent,omitempty"`
}

// State is the state of a task on a worker.
type State string

// States of a task on a worker.
const (
	Running      State = "running"
	Completed    State = "completed"
	Failed       State = "failed"
	Stopped      State = "stopped"
	Checkpointed State = "checkpointed"
)

// Task is a task on a worker. A task that ended stays listed until it is
// forgotten.
type Task struct {
	ID                 string               `json:"id"`
	Epoch              uint64               `json:"epoch"`
	State              State                `json:"state"`
	Reason             string               `json:"reason,omitempty"`
	Class              string               `json:"class"`
	Size               controlapi.Resources `json:"size"`
	Checkpoint         string               `json:"checkpoint,omitempty"`
	CheckpointSequence uint64               `json:"checkpoint_sequence,omitempty"`
	Deadline           int64                `json:"deadline"`
}

// Tasks is the state of a worker. Usage lags behind.
type Tasks struct {
	AgentEpoch uint64               `json:"agent_epoch"`
	Capacity   controlapi.Resources `json:"capacity"`
	Tasks      []Task               `json:"tasks"`
	Usage      []controlapi.Usage   `json:"usage,omitempty"`
}
