// Package workerapi defines the HTTP API of a worker, the platform's process on
// an instance that runs tasks under leases. Bodies are JSON.
//
//	PUT  /v1/fence                 FenceRequest -> 204, 409 when a higher epoch is set
//	GET  /v1/tasks                 -            -> Tasks
//	POST /v1/tasks                 StartRequest -> Task, 409 when refused
//	POST /v1/leases                RenewRequest -> 204
//	POST /v1/tasks/{id}/stop       TaskRequest  -> Task
//	POST /v1/tasks/{id}/checkpoint TaskRequest  -> Task, checkpointed and stopped
//	POST /v1/tasks/{id}/throttle   TaskRequest  -> Task
//	POST /v1/tasks/{id}/forget     TaskRequest  -> 204
//
// Every request except GET carries the epoch of the calling agent. The worker
// refuses requests with an epoch lower than the highest it has seen, so that of
// two agents on one instance only the newer one can change anything.
package workerapi

import "github.com/ibispier/ibispier/controlapi"

// FenceRequest sets the epoch of the agent. Requests with a lower epoch are
// refused from then on.
type FenceRequest struct {
	AgentEpoch uint64 `json:"agent_epoch"`
}

// StartRequest starts a task. NotAfter and Deadline are readings of the instance
// clock (package bootclock) in nanoseconds: the worker must not start the task
// after NotAfter, and stops it at Deadline unless the lease is renewed.
type StartRequest struct {
	AgentEpoch         uint64          `json:"agent_epoch"`
	Epoch              uint64          `json:"epoch"`
	Task               controlapi.Task `json:"task"`
	Checkpoint         string          `json:"checkpoint,omitempty"`
	CheckpointSequence uint64          `json:"checkpoint_sequence,omitempty"`
	NotAfter           int64           `json:"not_after"`
	Deadline           int64           `json:"deadline"`
}

// RenewRequest extends the leases of running tasks.
type RenewRequest struct {
	AgentEpoch uint64      `json:"agent_epoch"`
	Leases     []TaskLease `json:"leases"`
}

// TaskLease is the new deadline of one task's lease, on the instance clock in
// nanoseconds.
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

// Task is a task on a worker. A task that has ended stays listed until a forget
// request removes it.
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

// Tasks is the state of a worker. Usage is measured periodically and may be
// older than the rest.
type Tasks struct {
	AgentEpoch uint64               `json:"agent_epoch"`
	Capacity   controlapi.Resources `json:"capacity"`
	Tasks      []Task               `json:"tasks"`
	Usage      []controlapi.Usage   `json:"usage,omitempty"`
}
