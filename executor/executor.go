package executor

import (
	"slices"
	"strings"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/workerapi"
)

// Reasons for which a start is refused.
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

// stopMargin is how long before the end of a lease the executor stops a task.
// The worker stops it at the end of the lease even without the executor.
const stopMargin = 400 * time.Millisecond

// Executor is the state of the tasks of one instance.
//
// Invariant: the sizes of the tasks that are not ended never exceed the
// capacity, except for tasks that the worker already ran when it was adopted.
type Executor struct {
	worker           controlapi.Worker
	adopted          bool
	draining         bool
	permitEnds       time.Duration // instance clock at which the zone permit ends
	tasks            map[string]*task
	usage            []controlapi.Usage
	reportSequence   uint64
	reportedTasks    []controlapi.ReportedTask            // tasks of the last report that named them
	reportedSequence uint64                               // its sequence
	reportAnswered   bool                                 // the leader has answered it
	recentReports    map[uint64][]controlapi.ReportedTask // tasks of the last reports
	usageReportedAt  time.Duration                        // when usage was reported last
	calls            []Call
}

// maxRecentReports bounds the reports whose answer may still renew leases.
const maxRecentReports = 16

// usageInterval is the time between reports of usage. It is a fraction of the
// lag of the measurements.
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
	finalState         controlapi.ReportedState // set when ended
	reason             string
	checkpoint         string
	checkpointSequence uint64
	deadline           time.Duration
	notAfter           time.Duration
	startedAt          time.Duration // of the command, and then of the news that the worker has started it
	callOutstanding    bool          // a call for the task is outstanding
	deferredCall       CallKind
	throttlePercent    int
	// unconfirmed is set when the lease ended before the worker confirmed the
	// end of the task. Its size stays committed until then.
	endUnconfirmed  bool
	startUnanswered bool // a start had no answer, so its effect is unknown
}

// New returns the executor of a worker. It refuses starts until Adopt.
func New(w controlapi.Worker) *Executor {
	return &Executor{worker: w, tasks: map[string]*task{}, recentReports: map[uint64][]controlapi.ReportedTask{}}
}

// SetAgentEpoch sets the epoch that this agent has on its worker.
func (e *Executor) SetAgentEpoch(epoch uint64) { e.worker.Epoch = epoch }

// Drain makes the executor refuse new starts.
func (e *Executor) Drain() { e.draining = true }

// SetPermit sets until when tasks may start in the zone of the instance.
// remaining counts from sentAt, when the permit was asked for. A refusal is a
// remaining time of 0 and takes effect at once.
func (e *Executor) SetPermit(sentAt, remaining time.Duration) {
	if remaining <= 0 {
		e.permitEnds = 0
		return
	}
	e.permitEnds = max(e.permitEnds, sentAt+remaining)
}

// Adopt takes over what the worker runs, after a start of this agent.
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

// Reconcile takes a list of the worker that was asked for at askedAt.
func (e *Executor) Reconcile(now, askedAt time.Duration, list workerapi.Tasks) {
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
		if !present[id] && t.startedAt < askedAt {
			t.handleMissing(askedAt)
		}
	}
}

// recordStart notes when the start of a task became known. A list that was asked for
// before can be older than the start, because calls run side by side.
func (t *task) recordStart(now time.Duration) {
	if t.phase == starting {
		t.startedAt = now
	}
}

// handleMissing handles a task that the worker did not list at askedAt.
func (t *task) handleMissing(askedAt time.Duration) {
	t.endUnconfirmed = false
	switch {
	case t.phase == running:
		t.end(controlapi.ReportedStopped, ReasonLost)
	case t.phase == starting && t.startUnanswered && askedAt > t.notAfter:
		t.end(controlapi.ReportedRefused, ReasonStartFailed)
	}
}

// update takes the worker's view of a task with the same epoch.
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

// Committed returns the sum of the sizes of the tasks that may still run.
func (e *Executor) Committed() controlapi.Resources {
	var sum controlapi.Resources
	for _, t := range e.tasks {
		if t.phase != ended || t.endUnconfirmed {
			sum = sum.Plus(t.Size)
		}
	}
	return sum
}

// Report returns the next report to control. It names the tasks only when they
// differ from the last report that control has answered.
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

// TasksChanged reports whether the tasks differ from those of the last report.
func (e *Executor) TasksChanged() bool { return !slices.Equal(e.currentTasks(), e.reportedTasks) }

// currentTasks returns every task in the order of their ids.
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

// Idle reports whether the instance has no tasks.
func (e *Executor) Idle() bool { return len(e.tasks) == 0 }

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
