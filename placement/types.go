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
	Batch   Kind = iota // may be throttled, moved or stopped
	Watcher             // long-running; moved only if its worker drains or its zone goes out of service
	Service             // latency-critical and bound to its worker; no action is taken on it
)

// Task is a submitted task.
type Task struct {
	ID       string
	Customer string
	Kind     Kind
	Class    string // tasks of one class are assumed to interfere alike
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

// Quota bounds the resources and the number of placed tasks of one customer.
type Quota struct {
	Limit resource.Vector
	Tasks int
}

// Usage is a measurement of one running task. It arrives with a delay.
type Usage struct {
	Task       string
	Used       resource.Vector
	Slowdown   float64 // 1 is undisturbed; 0 when unknown
	MeasuredAt time.Time
}

// Placement is a proposal to start a task on a worker.
type Placement struct {
	Task   string
	Worker string
}

// ActionKind is the kind of an action on a running task.
type ActionKind uint8

// Kinds of actions.
const (
	Throttle   ActionKind = iota
	Restore               // end the throttle
	Checkpoint            // checkpoint and stop; the task is then placed again
	Stop                  // stop without a checkpoint; the task is then placed again
)

// String returns the name of the kind.
func (k ActionKind) String() string {
	return [...]string{"throttle", "restore", "checkpoint", "stop"}[k]
}

// Cause is why an action is proposed.
type Cause uint8

// Causes of actions.
const (
	Disturbance Cause = iota // a service on the worker is slowed down too much
	Preemption               // an urgent task needs the capacity
	Evacuation               // the worker is draining or its zone is out of service
)

// Action is a proposal to act on a running task.
type Action struct {
	Kind   ActionKind
	Cause  Cause
	Task   string
	Worker string
	Reason string
}

// IsEviction reports whether the action removes the task from its worker for a
// cause other than an evacuation. Evictions are bounded by the eviction budget.
func (a Action) IsEviction() bool {
	return a.Cause != Evacuation && (a.Kind == Checkpoint || a.Kind == Stop)
}

// HeldTask is a task that was taken out of the queue, because it is quarantined or
// no worker can run it.
type HeldTask struct {
	Task   string
	Reason string
}

// Decisions are the results of one step.
type Decisions struct {
	Placements []Placement
	Actions    []Action
	Held       []HeldTask         // held since the last step
	Released   []string           // tasks that were held and are pending again
	Quarantine []quarantine.Entry // workers whose state has changed
}
