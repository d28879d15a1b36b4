package state

import (
	"crypto/sha256"
	"time"

	"github.com/ibispier/ibispier/controlapi"
)

// Task is a task as the Machine keeps it. Others must not change it.
type Task struct {
	controlapi.TaskStatus
	Digest     [sha256.Size]byte // of the submitted body
	QueuedAt   time.Time
	PlacedAt   time.Time // of the last placement
	FinishedAt time.Time
	Cancelling bool                     // a cancellation was committed, and the agent has not confirmed it
	Eviction   controlapi.CommandAction // checkpoint or stop, while State is evicting
}

// IsPlaced reports whether an agent may run the task.
func (t *Task) IsPlaced() bool {
	return t.State == controlapi.TaskPlaced || t.State == controlapi.TaskRunning || t.State == controlapi.TaskEvicting
}

// IsFinished reports whether the task is in a final state.
func (t *Task) IsFinished() bool {
	return t.State == controlapi.TaskCompleted || t.State == controlapi.TaskFailed || t.State == controlapi.TaskCancelled
}

// usage is what a set of placed tasks takes.
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

// fits reports whether r more fits into limit.
func (u *usage) fits(r, limit controlapi.Resources) bool { return u.size.Plus(r).Fits(limit) }

// taskTable holds the tasks and the indexes over them.
//
// Invariant: the indexes agree with the states of the tasks; setState,
// assign and unassign keep them.
type taskTable struct {
	byID       map[string]*Task
	counts     map[controlapi.TaskState]int
	byAgent    map[string]map[string]*Task // placed tasks
	agents     map[string]*usage
	customers  map[string]*usage
	watchers   map[string]*Task // queued watchers, for alarms
	finished   []*Task          // oldest first, from finishedAt
	finishedAt int
}

func newTaskTable() *taskTable {
	return &taskTable{
		byID:      map[string]*Task{},
		counts:    map[controlapi.TaskState]int{},
		byAgent:   map[string]map[string]*Task{},
		agents:    map[string]*usage{},
		customers: map[string]*usage{},
		watchers:  map[string]*Task{},
	}
}

func (tt *taskTable) live() int { return len(tt.byID) - tt.finishedCount() }

func (tt *taskTable) finishedCount() int { return len(tt.finished) - tt.finishedAt }

func (tt *taskTable) add(t *Task) {
	tt.byID[t.ID] = t
	tt.enter(t)
}

func (tt *taskTable) enter(t *Task) {
	tt.counts[t.State]++
	if t.State == controlapi.TaskQueued && t.Kind == controlapi.KindWatcher {
		tt.watchers[t.ID] = t
	}
	if t.IsFinished() {
		tt.finished = append(tt.finished, t)
	}
}

func (tt *taskTable) setState(t *Task, s controlapi.TaskState) {
	tt.counts[t.State]--
	delete(tt.watchers, t.ID)
	t.State = s
	tt.enter(t)
}

// assign gives a task to an agent.
func (tt *taskTable) assign(t *Task, agent, zone string) {
	t.Agent = agent
	t.Zone = zone
	if tt.byAgent[agent] == nil {
		tt.byAgent[agent] = map[string]*Task{}
	}
	tt.byAgent[agent][t.ID] = t
	usageOf(tt.agents, agent).add(t.Size)
	usageOf(tt.customers, t.Customer).add(t.Size)
}

// unassign takes a task from its agent.
func (tt *taskTable) unassign(t *Task) {
	if t.Agent == "" {
		return
	}
	delete(tt.byAgent[t.Agent], t.ID)
	if len(tt.byAgent[t.Agent]) == 0 {
		delete(tt.byAgent, t.Agent)
	}
	release(tt.agents, t.Agent, t.Size)
	release(tt.customers, t.Customer, t.Size)
	t.Agent = ""
	t.Zone = ""
}

func usageOf(m map[string]*usage, name string) *usage {
	u := m[name]
	if u == nil {
		u = new(usage)
		m[name] = u
	}
	return u
}

func release(m map[string]*usage, name string, size controlapi.Resources) {
	u := usageOf(m, name)
	u.remove(size)
	if u.tasks == 0 {
		delete(m, name)
	}
}

// forgetFinished drops the oldest finished tasks beyond the window or the count.
func (tt *taskTable) forgetFinished(oldest time.Time, limit int) {
	for tt.finishedAt < len(tt.finished) {
		t := tt.finished[tt.finishedAt]
		if tt.finishedCount() <= limit && !t.FinishedAt.Before(oldest) {
			break
		}
		tt.finished[tt.finishedAt] = nil
		tt.finishedAt++
		tt.counts[t.State]--
		delete(tt.byID, t.ID)
	}
	if tt.finishedAt > 1024 && tt.finishedAt > len(tt.finished)/2 {
		tt.finished = append([]*Task(nil), tt.finished[tt.finishedAt:]...)
		tt.finishedAt = 0
	}
}

func (tt *taskTable) image() (live, finished []Task) {
	live = make([]Task, 0, tt.live())
	for _, t := range tt.byID {
		if !t.IsFinished() {
			live = append(live, *t)
		}
	}
	finished = make([]Task, 0, tt.finishedCount())
	for _, t := range tt.finished[tt.finishedAt:] {
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
