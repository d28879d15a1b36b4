package job

import "slices"

// TargetIncarnation is one incarnation of a target. A target that restarts under its old id
// is another life.
type TargetIncarnation struct {
	ID   string
	Born int64 // Unix milliseconds of its start
}

// TaskState is the state of a task.
type TaskState uint8

// States of a task.
const (
	Ready    TaskState = iota // may start once its turn has come
	Placed                    // a start on Target is committed
	Stopping                  // placed, and its job is over: it still holds capacity
	Done
	Ended // its job is over and nothing of it runs
)

// Task is the state of one task.
type Task struct {
	State      TaskState         `json:",omitempty"`
	Run        int               `json:",omitempty"` // number of the newest start
	Failures   int               `json:",omitempty"`
	Target     TargetIncarnation `json:",omitzero"`
	Host       string            `json:",omitempty"` // instance of the target
	Checkpoint string            `json:",omitempty"`
}

// HoldsCapacity reports whether the task holds capacity on its target.
func (t *Task) HoldsCapacity() bool { return t.State == Placed || t.State == Stopping }

// StepState is the state of the tasks of one step in one occurrence.
type StepState struct {
	Tasks   []Task
	Open    int // tasks that are not done
	Waiting int // tasks that are ready
}

// Job is a submission with its state.
type Job struct {
	Spec        Spec
	Queue       Queue  // as at submission
	Order       uint64 // position among all jobs
	AtMillis    int64  // Unix time of the acceptance
	Started     bool   // a task has started
	Cancelled   bool   `json:",omitempty"`
	Failed      bool   `json:",omitempty"`
	OpenSteps   int    // steps of all occurrences that are not done
	Occurrences [][]StepState
}

// IsLive reports whether the job still has work to do.
func (j *Job) IsLive() bool { return !j.Cancelled && !j.Failed && j.OpenSteps > 0 }

// State returns the state that callers see.
func (j *Job) State() State {
	switch {
	case j.Cancelled:
		return Cancelled
	case j.Failed:
		return Failed
	case j.OpenSteps == 0:
		return Completed
	case j.Started:
		return Running
	default:
		return Queued
	}
}

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Task returns the task, or nil when the job has no such task.
func (j *Job) Task(r Ref) *Task {
	if r.Occurrence >= len(j.Occurrences) || r.Step >= len(j.Spec.Steps) {
		return nil
	}
	tasks := j.Occurrences[r.Occurrence][r.Step].Tasks
	if r.Index >= len(tasks) {
		return nil
	}
	return &tasks[r.Index]
}

// StepReady reports whether all steps that the step depends on are done.
func (j *Job) StepReady(occurrence, step int) bool {
	for _, dependency := range j.Spec.Steps[step].After {
		if j.Occurrences[occurrence][dependency].Open > 0 {
			return false
		}
	}
	return true
}

// Store is the whole state.
//
// Invariants: a task is Placed on at most one target; byTarget holds exactly
// the tasks that are Placed or Stopping; live holds exactly the live jobs in
// the order of their acceptance.
type Store struct {
	Config   Config
	ZonesOut map[string]bool
	Jobs     map[string]*Job
	Noted    map[string]EndWatermark // by target id
	Orders   uint64                  // of the last accepted job
	// Disturbs is what was learned about serving and, below them, filling images.
	// It outlives the processes that have learned it.
	Disturbs map[string]map[string]Disturbance

	byTarget map[TargetIncarnation]map[Ref]*Task
	liveJobs []*Job
}

// Disturbance is how much headroom a filling image takes from a serving image
// when it works on a whole target: the logarithm of what it multiplies the tail by.
type Disturbance struct {
	Coefficient float64
	Deviation   float64 // standard deviation of the coefficient
}

// EndWatermark is how far the ends of a target's newest life are in the log. The
// target forgets ends up to Number.
type EndWatermark struct {
	Born   int64
	Number uint64
}

// NewStore returns an empty book.
func NewStore() *Store {
	st := &Store{ZonesOut: map[string]bool{}, Jobs: map[string]*Job{}, Noted: map[string]EndWatermark{}, Disturbs: map[string]map[string]Disturbance{}}
	st.RebuildIndexes()
	return st
}

// RebuildIndexes rebuilds what is derived from the stored state.
func (st *Store) RebuildIndexes() {
	st.byTarget = map[TargetIncarnation]map[Ref]*Task{}
	st.liveJobs = nil
	for _, j := range st.Jobs {
		j.eachTask(func(r Ref, t *Task) {
			if t.HoldsCapacity() {
				st.addPlaced(r, t)
			}
		})
		if j.IsLive() {
			st.liveJobs = append(st.liveJobs, j)
		}
	}
	slices.SortFunc(st.liveJobs, func(x, y *Job) int { return int(int64(x.Order) - int64(y.Order)) })
}

func (j *Job) eachTask(visit func(Ref, *Task)) {
	for k := range j.Occurrences {
		for s := range j.Occurrences[k] {
			tasks := j.Occurrences[k][s].Tasks
			for i := range tasks {
				visit(Ref{Job: j.Spec.ID, Occurrence: k, Step: s, Index: i}, &tasks[i])
			}
		}
	}
}

func (st *Store) addPlaced(r Ref, t *Task) {
	tasks := st.byTarget[t.Target]
	if tasks == nil {
		tasks = map[Ref]*Task{}
		st.byTarget[t.Target] = tasks
	}
	tasks[r] = t
}

func (st *Store) removePlaced(r Ref, t *Task) {
	delete(st.byTarget[t.Target], r)
	if len(st.byTarget[t.Target]) == 0 {
		delete(st.byTarget, t.Target)
	}
}

// LiveJobs returns the live jobs in the order of their acceptance.
func (st *Store) LiveJobs() []*Job { return st.liveJobs }

// TasksOn returns the tasks that hold capacity on the target.
func (st *Store) TasksOn(target TargetIncarnation) map[Ref]*Task { return st.byTarget[target] }

// SupersededTargets returns the earlier lives of the target on the host that tasks are
// placed on. An instance has one target, so they have ended.
func (st *Store) SupersededTargets(host string, by TargetIncarnation) []TargetIncarnation {
	var targets []TargetIncarnation
	for target, tasks := range st.byTarget {
		if target.Born >= by.Born {
			continue
		}
		for _, t := range tasks {
			if t.Host == host {
				targets = append(targets, target)
			}
			break // all tasks of a life are on one host
		}
	}
	return targets
}

// OccupiedTargets returns the targets that tasks are placed on.
func (st *Store) OccupiedTargets() []TargetIncarnation {
	targets := make([]TargetIncarnation, 0, len(st.byTarget))
	for target := range st.byTarget {
		targets = append(targets, target)
	}
	return targets
}

// Find returns the task and its job.
func (st *Store) Find(r Ref) (*Job, *Task) {
	j := st.Jobs[r.Job]
	if j == nil {
		return nil, nil
	}
	return j, j.Task(r)
}

// QueueOf returns the queue whose settings apply to the job now.
func (st *Store) QueueOf(j *Job) *Queue { return st.Config.currentQueue(&j.Queue) }

// QueuedCount returns the number of jobs of the queue of which no task has started.
func (st *Store) QueuedCount(q *Queue) int {
	waiting := 0
	for _, j := range st.liveJobs {
		if !j.Started && j.Queue.Host == q.Host && j.Queue.Prefix == q.Prefix {
			waiting++
		}
	}
	return waiting
}

// LastEndNumber returns the number up to which the ends of the life are noted.
func (st *Store) LastEndNumber(target TargetIncarnation) uint64 {
	if n := st.Noted[target.ID]; n.Born == target.Born {
		return n.Number
	}
	return 0
}
