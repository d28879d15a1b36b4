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
	for _, before := range j.Spec.Steps[step].After {
		if j.Occurrences[occurrence][before].Open > 0 {
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
	live     []*Job
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
	b := &Store{ZonesOut: map[string]bool{}, Jobs: map[string]*Job{}, Noted: map[string]EndWatermark{}, Disturbs: map[string]map[string]Disturbance{}}
	b.RebuildIndexes()
	return b
}

// RebuildIndexes rebuilds what is derived from the stored state.
func (b *Store) RebuildIndexes() {
	b.byTarget = map[TargetIncarnation]map[Ref]*Task{}
	b.live = nil
	for _, j := range b.Jobs {
		j.each(func(r Ref, t *Task) {
			if t.HoldsCapacity() {
				b.index(r, t)
			}
		})
		if j.IsLive() {
			b.live = append(b.live, j)
		}
	}
	slices.SortFunc(b.live, func(x, y *Job) int { return int(int64(x.Order) - int64(y.Order)) })
}

func (j *Job) each(visit func(Ref, *Task)) {
	for k := range j.Occurrences {
		for s := range j.Occurrences[k] {
			tasks := j.Occurrences[k][s].Tasks
			for i := range tasks {
				visit(Ref{Job: j.Spec.ID, Occurrence: k, Step: s, Index: i}, &tasks[i])
			}
		}
	}
}

func (b *Store) index(r Ref, t *Task) {
	tasks := b.byTarget[t.Target]
	if tasks == nil {
		tasks = map[Ref]*Task{}
		b.byTarget[t.Target] = tasks
	}
	tasks[r] = t
}

func (b *Store) unindex(r Ref, t *Task) {
	delete(b.byTarget[t.Target], r)
	if len(b.byTarget[t.Target]) == 0 {
		delete(b.byTarget, t.Target)
	}
}

// LiveJobs returns the live jobs in the order of their acceptance.
func (b *Store) LiveJobs() []*Job { return b.live }

// TasksOn returns the tasks that hold capacity on the target.
func (b *Store) TasksOn(l TargetIncarnation) map[Ref]*Task { return b.byTarget[l] }

// SupersededTargets returns the earlier lives of the target on the host that tasks are
// placed on. An instance has one target, so they have ended.
func (b *Store) SupersededTargets(host string, by TargetIncarnation) []TargetIncarnation {
	var lives []TargetIncarnation
	for l, tasks := range b.byTarget {
		if l.Born >= by.Born {
			continue
		}
		for _, t := range tasks {
			if t.Host == host {
				lives = append(lives, l)
			}
			break // all tasks of a life are on one host
		}
	}
	return lives
}

// OccupiedTargets returns the targets that tasks are placed on.
func (b *Store) OccupiedTargets() []TargetIncarnation {
	lives := make([]TargetIncarnation, 0, len(b.byTarget))
	for l := range b.byTarget {
		lives = append(lives, l)
	}
	return lives
}

// Find returns the task and its job.
func (b *Store) Find(r Ref) (*Job, *Task) {
	j := b.Jobs[r.Job]
	if j == nil {
		return nil, nil
	}
	return j, j.Task(r)
}

// QueueOf returns the queue whose settings apply to the job now.
func (b *Store) QueueOf(j *Job) *Queue { return b.Config.current(&j.Queue) }

// QueuedCount returns the number of jobs of the queue of which no task has started.
func (b *Store) QueuedCount(q *Queue) int {
	waiting := 0
	for _, j := range b.live {
		if !j.Started && j.Queue.Host == q.Host && j.Queue.Prefix == q.Prefix {
			waiting++
		}
	}
	return waiting
}

// LastEndNumber returns the number up to which the ends of the life are noted.
func (b *Store) LastEndNumber(l TargetIncarnation) uint64 {
	if n := b.Noted[l.ID]; n.Born == l.Born {
		return n.Number
	}
	return 0
}
