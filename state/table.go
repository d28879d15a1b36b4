package state

import (
	"crypto/sha256"
	"time"

	"github.com/ibispier/ibispier/controlapi"
)

// Task is a task in a Machine. Callers must not modify it.
type Task struct {
	controlapi.TaskStatus
	Digest     [sha256.Size]byte // of the submitted task
	QueuedAt   time.Time
	PlacedAt   time.Time // of the last placement
	FinishedAt time.Time
	Cancelling bool                     // a cancellation is committed, but not yet confirmed by the agent
	Eviction   controlapi.CommandAction // checkpoint or stop, while State is evicting
}

// IsPlaced reports whether the task is assigned to an agent, which may run it.
func (t *Task) IsPlaced() bool {
	return t.State == controlapi.TaskPlaced || t.State == controlapi.TaskRunning || t.State == controlapi.TaskEvicting
}

// IsFinished reports whether the task is in a final state.
func (t *Task) IsFinished() bool {
	return t.State == controlapi.TaskCompleted || t.State == controlapi.TaskFailed || t.State == controlapi.TaskCancelled
}

// usage is the number and the total size of a set of placed tasks.
type usage struct {
	tasks int
	size  controlapi.Resources
}

func (u *usage) add(r controlapi.Resources) {
	u.tasks++
	u.size = u.size.Plus(r)
}

func (u *usage) remove(r controlapi.Resources) {
	u.tasks--
	u.size = u.size.Minus(r)
}

// fits reports whether the total size stays within limit after r is added.
func (u *usage) fits(r, limit controlapi.Resources) bool { return u.size.Plus(r).Fits(limit) }

// taskTable holds the tasks and the indexes over them.
//
// Invariant: the indexes agree with the tasks. States change only through
// setState, and agents only through assign and unassign.
type taskTable struct {
	byID            map[string]*Task
	countByState    map[controlapi.TaskState]int
	byAgent         map[string]map[string]*Task // placed tasks
	usageByAgent    map[string]*usage
	usageByCustomer map[string]*usage
	queuedWatchers  map[string]*Task // for alarms
	finished        []*Task          // oldest first; those before finishedStart are removed
	finishedStart   int
}

func newTaskTable() *taskTable {
	return &taskTable{
		byID:            map[string]*Task{},
		countByState:    map[controlapi.TaskState]int{},
		byAgent:         map[string]map[string]*Task{},
		usageByAgent:    map[string]*usage{},
		usageByCustomer: map[string]*usage{},
		queuedWatchers:  map[string]*Task{},
	}
}

func (tt *taskTable) liveCount() int { return len(tt.byID) - tt.finishedCount() }

func (tt *taskTable) finishedCount() int { return len(tt.finished) - tt.finishedStart }

func (tt *taskTable) add(t *Task) {
	tt.byID[t.ID] = t
	tt.addToIndexes(t)
}

// addToIndexes adds a task to the indexes that depend on its state.
func (tt *taskTable) addToIndexes(t *Task) {
	tt.countByState[t.State]++
	if t.State == controlapi.TaskQueued && t.Kind == controlapi.KindWatcher {
		tt.queuedWatchers[t.ID] = t
	}
	if t.IsFinished() {
		tt.finished = append(tt.finished, t)
	}
}

func (tt *taskTable) setState(t *Task, s controlapi.TaskState) {
	tt.countByState[t.State]--
	delete(tt.queuedWatchers, t.ID)
	t.State = s
	tt.addToIndexes(t)
}

// assign places a task on an agent and charges it to the agent and the customer.
func (tt *taskTable) assign(t *Task, agent, zone string) {
	t.Agent = agent
	t.Zone = zone
	if tt.byAgent[agent] == nil {
		tt.byAgent[agent] = map[string]*Task{}
	}
	tt.byAgent[agent][t.ID] = t
	ensureUsage(tt.usageByAgent, agent).add(t.Size)
	ensureUsage(tt.usageByCustomer, t.Customer).add(t.Size)
}

// unassign removes a task from its agent, if it has one.
func (tt *taskTable) unassign(t *Task) {
	if t.Agent == "" {
		return
	}
	delete(tt.byAgent[t.Agent], t.ID)
	if len(tt.byAgent[t.Agent]) == 0 {
		delete(tt.byAgent, t.Agent)
	}
	releaseUsage(tt.usageByAgent, t.Agent, t.Size)
	releaseUsage(tt.usageByCustomer, t.Customer, t.Size)
	t.Agent = ""
	t.Zone = ""
}

// ensureUsage returns the usage under a name, and adds an empty one if needed.
func ensureUsage(byName map[string]*usage, name string) *usage {
	u := byName[name]
	if u == nil {
		u = new(usage)
		byName[name] = u
	}
	return u
}

func releaseUsage(byName map[string]*usage, name string, size controlapi.Resources) {
	u := ensureUsage(byName, name)
	u.remove(size)
	if u.tasks == 0 {
		delete(byName, name)
	}
}

// dropOldFinished removes finished tasks, oldest first, that finished before
// oldest or exceed limit.
func (tt *taskTable) dropOldFinished(oldest time.Time, limit int) {
	for tt.finishedStart < len(tt.finished) {
		t := tt.finished[tt.finishedStart]
		if tt.finishedCount() <= limit && !t.FinishedAt.Before(oldest) {
			break
		}
		tt.finished[tt.finishedStart] = nil
		tt.finishedStart++
		tt.countByState[t.State]--
		delete(tt.byID, t.ID)
	}
	// Compacting only when more than half is unused keeps the cost of a removal
	// constant on average.
	if tt.finishedStart > 1024 && tt.finishedStart > len(tt.finished)/2 {
		tt.finished = append([]*Task(nil), tt.finished[tt.finishedStart:]...)
		tt.finishedStart = 0
	}
}

func (tt *taskTable) image() (live, finished []Task) {
	live = make([]Task, 0, tt.liveCount())
	for _, t := range tt.byID {
		if !t.IsFinished() {
			live = append(live, *t)
		}
	}
	finished = make([]Task, 0, tt.finishedCount())
	for _, t := range tt.finished[tt.finishedStart:] {
		finished = append(finished, *t)
	}
	return live, finished
}

func (tt *taskTable) restore(live, finished []Task) {
	tt.byID = make(map[string]*Task, len(live)+len(finished))
	for _, list := range [][]Task{live, finished} {
		for i := range list {
			t := list[i]
			tt.add(&t)
			if t.IsPlaced() {
				tt.assign(&t, t.Agent, t.Zone)
			}
		}
	}
}
