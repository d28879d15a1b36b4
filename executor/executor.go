package executor

import (
	"slices"
	"strings"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/workerapi"
)

// Reasons in reports to control for refused starts and for tasks that the
// executor ended.
const (
	ReasonNotAdopted  = "tasks of the worker are not known yet"
	ReasonNoPermit    = "no permit to start tasks in the zone"
	ReasonNoCapacity  = "not enough free capacity"
	ReasonDraining    = "instance is draining"
	ReasonOldEpoch    = "an earlier epoch of the task is still present"
	ReasonLost        = "task is not known to the worker any more"
	ReasonLeaseEnded  = "lease ended"
	ReasonStartFailed = "worker refused the start"
)

// stopMargin is how long before the end of its lease the executor stops a task.
// The worker stops the task at the end of the lease in any case.
const stopMargin = 400 * time.Millisecond

// Executor holds the state of the tasks of one instance.
//
// Invariant: the total size of the tasks that may still run does not exceed the
// capacity, except for tasks that the worker ran without a start from this
// executor.
type Executor struct {
	worker           controlapi.Worker
	adopted          bool
	draining         bool
	permitEnds       time.Duration // end of the zone permit on the instance clock
	tasks            map[string]*task
	usage            []controlapi.Usage
	reportSequence   uint64
	reportedTasks    []controlapi.ReportedTask            // tasks of the last report that listed them
	reportedSequence uint64                               // sequence of that report
	reportAnswered   bool                                 // control has answered that report
	recentReports    map[uint64][]controlapi.ReportedTask // tasks at the latest reports, by sequence
	usageReportedAt  time.Duration                        // when usage was last reported
	calls            []Call
}

// maxRecentReports is the number of latest reports for which an answer can renew
// all leases.
const maxRecentReports = 16

// usageInterval is the time between reports that include usage. Reporting more
// often gains little, because the measurements lag by several times as much.
const usageInterval = 3 * time.Second

type phase uint8

const (
	starting phase = iota
	running
	ended
)

type task struct {
	controlapi.Task
	epoch              uint64
	phase              phase
	finalState         controlapi.ReportedState // set in phase ended
	reason             string
	checkpoint         string
	checkpointSequence uint64
	deadline           time.Duration
	notAfter           time.Duration
	startedAt          time.Duration // time of the start command, then of the first confirmation by the worker
	callOutstanding    bool          // a call for the task is outstanding
	deferredCall       CallKind
	throttlePercent    int
	// endUnconfirmed is set when the lease expired before the worker confirmed
	// that the task has ended. Its size stays committed until the confirmation.
	endUnconfirmed  bool
	startUnanswered bool // a start call got no answer, so its effect is unknown
}

// New returns the executor of a worker. It refuses starts until Adopt is called.
func New(w controlapi.Worker) *Executor {
	return &Executor{worker: w, tasks: map[string]*task{}, recentReports: map[uint64][]controlapi.ReportedTask{}}
}

// SetAgentEpoch sets the epoch that calls to the worker carry.
func (e *Executor) SetAgentEpoch(epoch uint64) { e.worker.Epoch = epoch }

// Drain makes the executor refuse new starts.
func (e *Executor) Drain() { e.draining = true }

// SetPermit updates the permit to start tasks in the zone of the instance.
// remaining counts from sentAt, the time of the permit request. A remaining time
// of 0 is a refusal and takes effect at once.
func (e *Executor) SetPermit(sentAt, remaining time.Duration) {
	if remaining <= 0 {
		e.permitEnds = 0
		return
	}
	e.permitEnds = max(e.permitEnds, sentAt+remaining)
}

// Adopt takes over the tasks that the worker runs when the agent starts.
func (e *Executor) Adopt(now time.Duration, list workerapi.Tasks) {
	e.adopted = true
	for i := range list.Tasks {
		e.adoptTask(now, &list.Tasks[i])
	}
}

func (e *Executor) adoptTask(now time.Duration, w *workerapi.Task) {
	t := &task{
		Task:      controlapi.Task{ID: w.ID, Class: w.Class, Size: w.Size},
		epoch:     w.Epoch,
		phase:     running,
		deadline:  time.Duration(w.Deadline),
		startedAt: now,
	}
	e.tasks[w.ID] = t
	t.update(w)
}

// Reconcile updates the tasks from a list that was requested from the worker at
// requestedAt.
func (e *Executor) Reconcile(now, requestedAt time.Duration, list workerapi.Tasks) {
	e.usage = list.Usage
	present := make(map[string]bool, len(list.Tasks))
	for i := range list.Tasks {
		w := &list.Tasks[i]
		present[w.ID] = true
		switch t := e.tasks[w.ID]; {
		case t == nil:
			e.adoptTask(now, w)
		case t.epoch == w.Epoch:
			t.recordStart(now)
			t.update(w)
		}
	}
	for id, t := range e.tasks {
		if !present[id] && t.startedAt < requestedAt {
			t.handleMissing(requestedAt)
		}
	}
}

// recordStart records when the worker first confirmed the start of a task. Calls
// to the worker run concurrently, so a list that was requested before that time
// may not include the task yet.
func (t *task) recordStart(now time.Duration) {
	if t.phase == starting {
		t.startedAt = now
	}
}

// handleMissing handles a task that is missing on the worker according to a
// request sent at requestedAt.
func (t *task) handleMissing(requestedAt time.Duration) {
	t.endUnconfirmed = false
	switch {
	case t.phase == running:
		t.end(controlapi.ReportedStopped, ReasonLost)
	case t.phase == starting && t.startUnanswered && requestedAt > t.notAfter:
		t.end(controlapi.ReportedRefused, ReasonStartFailed)
	}
}

// update applies the worker's state of a task with the same epoch.
func (t *task) update(w *workerapi.Task) {
	t.checkpoint, t.checkpointSequence = w.Checkpoint, w.CheckpointSequence
	t.endUnconfirmed = t.endUnconfirmed && w.State == workerapi.Running
	if t.phase == ended {
		return
	}
	switch w.State {
	case workerapi.Running:
		t.phase = running
	case workerapi.Completed:
		t.end(controlapi.ReportedCompleted, w.Reason)
	case workerapi.Failed:
		t.end(controlapi.ReportedFailed, w.Reason)
	case workerapi.Checkpointed:
		t.end(controlapi.ReportedCheckpointed, w.Reason)
	case workerapi.Stopped:
		t.end(controlapi.ReportedStopped, w.Reason)
	}
}

func (t *task) end(state controlapi.ReportedState, reason string) {
	t.phase, t.finalState, t.reason = ended, state, reason
}

// Committed returns the total size of the tasks that may still run.
func (e *Executor) Committed() controlapi.Resources {
	var sum controlapi.Resources
	for _, t := range e.tasks {
		if t.phase != ended || t.endUnconfirmed {
			sum = sum.Plus(t.Size)
		}
	}
	return sum
}

// Report returns the next report to control. It omits the tasks if they are the
// same as in the last report that listed them and control has answered that
// report.
func (e *Executor) Report(now time.Duration) controlapi.AgentReport {
	e.reportSequence++
	r := controlapi.AgentReport{Worker: e.worker, Sequence: e.reportSequence, Draining: e.draining}
	if now-e.usageReportedAt >= usageInterval {
		r.Usage, e.usageReportedAt = e.usage, now
	}
	tasks := e.currentTasks()
	e.recentReports[e.reportSequence] = tasks
	delete(e.recentReports, e.reportSequence-maxRecentReports)
	if e.reportAnswered && slices.Equal(tasks, e.reportedTasks) {
		r.SameTasksAs = e.reportedSequence
		return r
	}
	r.Tasks = tasks
	e.reportedTasks, e.reportedSequence, e.reportAnswered = tasks, e.reportSequence, false
	return r
}

// TasksChanged reports whether the tasks differ from those last reported.
func (e *Executor) TasksChanged() bool { return !slices.Equal(e.currentTasks(), e.reportedTasks) }

// currentTasks returns all tasks sorted by id.
func (e *Executor) currentTasks() []controlapi.ReportedTask {
	tasks := make([]controlapi.ReportedTask, 0, len(e.tasks))
	for id, t := range e.tasks {
		tasks = append(tasks, controlapi.ReportedTask{
			Task:               id,
			Epoch:              t.epoch,
			State:              t.reportedState(),
			Reason:             t.reason,
			Checkpoint:         t.checkpoint,
			CheckpointSequence: t.checkpointSequence,
		})
	}
	slices.SortFunc(tasks, func(a, b controlapi.ReportedTask) int { return strings.Compare(a.Task, b.Task) })
	return tasks
}

// IsIdle reports whether the instance has no tasks.
func (e *Executor) IsIdle() bool { return len(e.tasks) == 0 }

func (t *task) reportedState() controlapi.ReportedState {
	switch t.phase {
	case starting:
		return controlapi.ReportedStarting
	case running:
		return controlapi.ReportedRunning
	default:
		return t.finalState
	}
}
