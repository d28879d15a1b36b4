package placement

import (
	"time"

	"github.com/ibispier/ibispier/quarantine"
	"github.com/ibispier/ibispier/resource"
)

// Kind is the kind of a task.
type Kind uint8

// Kinds of tasks.
const (
	Batch   Kind = iota // may be throttled, moved and stopped
	Watcher             // must stay up; moved only when its worker leaves
	Service             // latency-critical and bound to its worker; never acted on
)

// Task is a task as it was submitted.
type Task struct {
	ID       string
	Customer string
	Kind     Kind
	Class    string // tasks of one class interfere alike
	Urgent   bool
	Size     resource.Vector
	Zones    []string      // allowed zones; empty for all
	RunTime  time.Duration // declared; 0 when unknown
}

// Worker is an instance that runs tasks.
type Worker struct {
	ID       string
	Rack     string
	Zone     string
	Capacity resource.Vector
	Draining bool
}

// Quota is what the tasks of one customer may use at once.
type Quota struct {
	Limit resource.Vector
	Tasks int
}

// Usage is a lagged measurement of one running task.
type Usage struct {
	Task       string
	Used       resource.Vector
	Slowdown   float64 // 1 is undisturbed; 0 when unknown
	MeasuredAt time.Time
}

// Placement proposes to start a task on a worker.
type Placement struct {
	Task   string
	Worker string
}

// ActionKind is what an action does to a running task.
type ActionKind uint8

// Kinds of actions.
const (
	Throttle   ActionKind = iota
	Restore               // end the throttle
	Checkpoint            // checkpoint and stop, to be placed again
	Stop                  // stop without a checkpoint, to be placed again
)

// String returns the name of the kind.
func (k ActionKind) String() string {
	return [...]string{"throttle", "restore", "checkpoint", "stop"}[k]
}

// Cause says why an action is proposed.
type Cause uint8

// Causes of actions.
const (
	Disturbance Cause = iota // a service on the worker is too slow
	Preemption               // an urgent task needs the room
	Evacuation               // the worker or its zone leaves
)

// Action proposes to act on a running task.
type Action struct {
	Kind   ActionKind
	Cause  Cause
	Task   string
	Worker string
	Reason string
}

// IsEviction reports whether the action takes the task off its worker for a
// reason other than an evacuation.
func (a Action) IsEviction() bool {
	return a.Cause != Evacuation && (a.Kind == Checkpoint || a.Kind == Stop)
}

// HeldTask is a pending task that is not offered to workers any more.
type HeldTask struct {
	Task   string
	Reason string
}

// Decisions are the proposals of one step.
type Decisions struct {
	Placements []Placement
	Actions    []Action
	Held       []HeldTask         // newly held
	Released   []string           // tasks that were held and wait for a worker again
	Quarantine []quarantine.Entry // workers whose state has changed
}
