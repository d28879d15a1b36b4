package job

import (
	"slices"
	"strconv"

	"github.com/ibispier/ibispier/fairqueue"
)

// TargetIncarnation identifies one incarnation of a target. A target that
// restarts with the same ID is a new incarnation.
type TargetIncarnation struct {
	ID   string
	Born int64 // Unix milliseconds of its start
}

// TaskState is the state of a task.
type TaskState uint8

// States of a task.
const (
	Ready    TaskState = iota // may start once its dependencies are done
	Placed                    // a start on Target is committed
	Stopping                  // its job is finished, but the run still holds capacity
	Done
	Ended // its job is finished and no run is active
)

// Task is the state of one task.
type Task struct {
	State      TaskState         `json:",omitempty"`
	Run        int               `json:",omitempty"` // number of the run on Target; see LatestRun
	Failures   int               `json:",omitempty"`
	Target     TargetIncarnation `json:",omitzero"`
	Host       string            `json:",omitempty"` // instance that the target runs on
	Checkpoint string            `json:",omitempty"`
	// Copy is a second run. Beside a Placed task it competes for the first end; in all
	// other states it is being stopped and still holds capacity.
	Copy *Copy `json:",omitempty"`
	// CopiedRun is the number of the latest start of a copy, 0 if there was none.
	CopiedRun int `json:",omitempty"`
}

// HoldsCapacity reports whether the run on Target holds capacity.
func (t *Task) HoldsCapacity() bool { return t.State == Placed || t.State == Stopping }

// StepState is the state of the tasks of one step in one occurrence.
type StepState struct {
	Tasks   []Task
	Open    int // number of tasks that are not done
	Waiting int // number of tasks that are ready
}

// Job is an accepted submission and its state.
type Job struct {
	Spec        Spec
	Queue       Queue  // settings at the time of submission
	Order       uint64 // position in the order of acceptance
	AtMillis    int64  // Unix time of acceptance
	Started     bool   // a task has been started
	Cancelled   bool   `json:",omitempty"`
	Failed      bool   `json:",omitempty"`
	OpenSteps   int    // number of steps, over all occurrences, that are not done
	Occurrences [][]StepState
}

// IsLive reports whether the job has work left.
func (j *Job) IsLive() bool { return !j.Cancelled && !j.Failed && j.OpenSteps > 0 }

// State returns the state reported to callers.
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

// State is the state of a job as reported to callers.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Task returns the task, or nil if the job has no such task.
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

// StepReady reports whether all dependencies of the step are done.
func (j *Job) StepReady(occurrence, step int) bool {
	for _, dependency := range j.Spec.Steps[step].After {
		if j.Occurrences[occurrence][dependency].Open > 0 {
			return false
		}
	}
	return true
}

// HasReadyTasks reports whether a task of the job may start, apart from its due
// time.
func (j *Job) HasReadyTasks() bool {
	for k := range j.Occurrences {
		for s := range j.Occurrences[k] {
			if j.Occurrences[k][s].Waiting > 0 && j.StepReady(k, s) {
				return true
			}
		}
	}
	return false
}

// Store is the complete state of the state machine.
//
// Invariants: a task is placed on at most one target, and on one more if it has a
// copy; byTarget contains exactly the tasks that are Placed or Stopping, and the copies;
// copies is the number of copies; liveJobs contains exactly the live
// jobs in the order of acceptance; a job that is not live and has no task in
// byTarget has no occurrences; no ID is in two of Jobs, Tombstones and
// Refusals.
type Store struct {
	Config        Config
	ZonesOut      map[string]bool
	Jobs          map[string]*Job
	EndWatermarks map[string]EndWatermark `json:"Noted"` // watermark of applied ends, by watermarkKey
	Orders        uint64                  // order number of the last accepted job
	// Tombstones holds the IDs that were cancelled although no job had them. A
	// submission that was sent before the cancelling may arrive later, and is refused.
	Tombstones map[string]struct{} `json:",omitempty"`
	// Refusals holds the records of submissions that were refused because they could not
	// be done in time.
	Refusals map[string]Refusal `json:",omitempty"`
	// Disturbs holds the learned disturbance by serving image and filling
	// image. It is replicated so that it survives restarts of the processes
	// that learned it.
	Disturbs map[string]map[string]Disturbance

	byTarget map[TargetIncarnation]map[Ref]*Task
	byHost   map[string]map[TargetIncarnation]struct{} // targets in byTarget, by the instance that they run on
	copies   int
	liveJobs []*Job
	queues   map[Route]*Queue               // of the current configuration
	held     map[Route]fairqueue.Holding    // of the tasks in byTarget
	changed  map[TargetIncarnation]struct{} // targets changed since TakeChanged
}

// Disturbance is an estimate of how much headroom a filling image takes from a
// serving image when it uses a whole target. Coefficient is the logarithm of
// the factor by which the tail latency grows.
type Disturbance struct {
	Coefficient float64
	Deviation   float64 // standard deviation of the coefficient
}

// EndWatermark is the number of the last applied end of a target's latest
// incarnation. The target may discard its ends up to Number.
type EndWatermark struct {
	Born   int64
	Number uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	st := &Store{ZonesOut: map[string]bool{}, Jobs: map[string]*Job{}, Tombstones: map[string]struct{}{}, EndWatermarks: map[string]EndWatermark{}, Disturbs: map[string]map[string]Disturbance{}}
	st.RebuildIndexes()
	return st
}

// RebuildIndexes rebuilds the derived indexes after the stored state was
// decoded.
func (st *Store) RebuildIndexes() {
	st.byTarget = map[TargetIncarnation]map[Ref]*Task{}
	st.byHost = map[string]map[TargetIncarnation]struct{}{}
	st.changed = map[TargetIncarnation]struct{}{}
	st.held = map[Route]fairqueue.Holding{}
	st.liveJobs, st.copies = nil, 0
	st.indexQueues()
	for _, j := range st.Jobs {
		j.eachTask(func(r Ref, t *Task) {
			if t.HoldsCapacity() {
				st.addPlaced(r, t, t.Target, t.Host)
			}
			if t.Copy != nil {
				st.addCopy(r, t)
			}
		})
		if j.IsLive() {
			st.liveJobs = append(st.liveJobs, j)
		}
		st.dropEndedTasks(j)
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

func (st *Store) addPlaced(r Ref, t *Task, target TargetIncarnation, host string) {
	tasks := st.byTarget[target]
	if tasks == nil {
		tasks = map[Ref]*Task{}
		st.byTarget[target] = tasks
		if st.byHost[host] == nil {
			st.byHost[host] = map[TargetIncarnation]struct{}{}
		}
		st.byHost[host][target] = struct{}{}
	}
	if tasks[r] == nil {
		st.addHeld(r)
	}
	tasks[r] = t
	st.markChanged(target)
}

func (st *Store) removePlaced(r Ref, target TargetIncarnation, host string) {
	if st.byTarget[target][r] != nil {
		st.removeHeld(r)
	}
	delete(st.byTarget[target], r)
	if len(st.byTarget[target]) == 0 {
		st.removeTarget(target, host)
	}
	st.markChanged(target)
}

// removeTarget removes a target from the indexes. All its tasks are on one host.
func (st *Store) removeTarget(t TargetIncarnation, host string) {
	delete(st.byTarget, t)
	delete(st.byHost[host], t)
	if len(st.byHost[host]) == 0 {
		delete(st.byHost, host)
	}
}

func (st *Store) markChanged(t TargetIncarnation) { st.changed[t] = struct{}{} }

// TakeChanged returns the targets whose tasks or acknowledged ends have changed
// since the last call.
func (st *Store) TakeChanged() map[TargetIncarnation]struct{} {
	changed := st.changed
	st.changed = map[TargetIncarnation]struct{}{}
	return changed
}

// LiveJobs returns the live jobs in the order of acceptance.
func (st *Store) LiveJobs() []*Job { return st.liveJobs }

// TasksOn returns the tasks of which a run holds capacity on the target; see
// Task.RunOn.
func (st *Store) TasksOn(target TargetIncarnation) map[Ref]*Task { return st.byTarget[target] }

// SupersededTargets returns the incarnations on the host that started before by
// and still hold tasks. An instance runs one target at a time, so they have
// ended.
func (st *Store) SupersededTargets(host string, by TargetIncarnation) []TargetIncarnation {
	var targets []TargetIncarnation
	for target := range st.byHost[host] {
		if target.Born < by.Born {
			targets = append(targets, target)
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

// Find returns the task and its job, or nil for each that does not exist.
func (st *Store) Find(r Ref) (*Job, *Task) {
	j := st.Jobs[r.Job]
	if j == nil {
		return nil, nil
	}
	return j, j.Task(r)
}

// HasTombstone reports whether the ID was cancelled before a job had it.
func (st *Store) HasTombstone(id string) bool {
	_, cancelled := st.Tombstones[id]
	return cancelled
}

// QueueOf returns the current settings of the job's queue.
// If the queue was removed, they are those at the time of submission.
func (st *Store) QueueOf(j *Job) *Queue {
	if q := st.queues[j.Queue.Route()]; q != nil {
		return q
	}
	return &j.Queue
}

func (st *Store) indexQueues() {
	st.queues = make(map[Route]*Queue, len(st.Config.Queues))
	for i := range st.Config.Queues {
		q := &st.Config.Queues[i]
		st.queues[q.Route()] = q
	}
}

// QueuedCount returns the number of live jobs of the queue that have not
// started.
func (st *Store) QueuedCount(q *Queue) int {
	waiting := 0
	for _, j := range st.liveJobs {
		if !j.Started && j.Queue.Host == q.Host && j.Queue.Prefix == q.Prefix {
			waiting++
		}
	}
	return waiting
}

// LastEndNumber returns the number of the last applied end of the target, or 0
// if the incarnation is not the latest one.
func (st *Store) LastEndNumber(target TargetIncarnation) uint64 {
	if n := st.EndWatermarks[st.watermarkKey(target)]; n.Born == target.Born {
		return n.Number
	}
	return 0
}

// watermarkKey returns the key of the target's watermark. The latest incarnation has
// that of the ID. An incarnation may be born before the one that it follows, if the
// clock was set back; it has a key of its own.
func (st *Store) watermarkKey(target TargetIncarnation) string {
	if target.Born >= st.EndWatermarks[target.ID].Born {
		return target.ID
	}
	return target.ID + "@" + strconv.FormatInt(target.Born, 10)
}
