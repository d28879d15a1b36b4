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
	worker   controlapi.Worker
	adopted  bool
	draining bool
	permit   time.Duration // instance clock at which the zone permit ends
	tasks    map[string]*task
	usage    []controlapi.Usage
	sequence uint64
	reported []controlapi.ReportedTask            // tasks of the last report that named them
	namedBy  uint64                               // its sequence
	known    bool                                 // the leader has answered it
	history  map[uint64][]controlapi.ReportedTask // tasks of the last reports
	usageAt  time.Duration                        // when usage was reported last
	calls    []Call
}

// historyLength bounds the reports whose answer may still renew leases.
const historyLength = 16

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
	epoch      uint64
	phase      phase
	final      controlapi.ReportedState // set when ended
	reason     string
	checkpoint string
	sequence   uint64
	deadline   time.Duration
	notAfter   time.Duration
	startedAt  time.Duration // of the command, and then of the news that the worker has started it
	busy       bool          // a call for the task is outstanding
	wanted     CallKind
	throttle   int
	// unconfirmed is set when the lease ended before the worker confirmed the
	// end of the task. Its size stays committed until then.
	unconfirmed bool
	uncertain   bool // a start had no answer, so its effect is unknown
}

// New returns the executor of a worker. It refuses starts until Adopt.
func New(w controlapi.Worker) *Executor {
	return &Executor{worker: w, tasks: map[string]*task{}, history: map[uint64][]controlapi.ReportedTask{}}
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
		e.permit = 0
		return
	}
	e.permit = max(e.permit, sentAt+remaining)
}

// Adopt takes over what the worker runs, after a start of this agent.
func (e *Executor) Adopt(now time.Duration, list workerapi.Tasks) {
	e.adopted = true
	for i := range list.Tasks {
		e.adopt(now, &list.Tasks[i])
	}
}

func (e *Executor) adopt(now time.Duration, w *workerapi.Task) {
	t := &task{
		Task:      controlapi.Task{ID: w.ID, Class: w.Class, Size: w.Size},
		epoch:     w.Epoch,
		phase:     running,
		deadline:  time.Duration(w.Deadline),
		startedAt: now,
	}
	e.tasks[w.ID] = t
	t.observe(w)
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
			e.adopt(now, w)
		case t.epoch == w.Epoch:
			t.seen(now)
			t.observe(w)
		}
	}
	for id, t := range e.tasks {
		if !present[id] && t.startedAt < askedAt {
			t.missing(askedAt)
		}
	}
}

// seen notes when the start of a task became known. A list that was asked for
// before can be older than the start, because calls run side by side.
func (t *task) seen(now time.Duration) {
	if t.phase == starting {
		t.startedAt = now
	}
}

// missing handles a task that the worker did not list at askedAt.
func (t *task) missing(askedAt time.Duration) {
	t.unconfirmed = false
	switch {
	case t.phase == running:
		t.end(controlapi.ReportedStopped, ReasonLost)
	case t.phase == starting && t.uncertain && askedAt > t.notAfter:
		t.end(controlapi.ReportedRefused, ReasonStartFailed)
	}
}

// observe takes the worker's view of a task with the same epoch.
func (t *task) observe(w *workerapi.Task) {
	t.checkpoint, t.sequence = w.Checkpoint, w.CheckpointSequence
	t.unconfirmed = t.unconfirmed && w.State == workerapi.Running
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
	t.phase, t.final, t.reason = ended, state, reason
}

// Committed returns the sum of the sizes of the tasks that may still run.
func (e *Executor) Committed() controlapi.Resources {
	var sum controlapi.Resources
	for _, t := range e.tasks {
		if t.phase != ended || t.unconfirmed {
			sum = sum.Plus(t.Size)
		}
	}
	return sum
}

// Report returns the next report to control. It names the tasks only when they
// differ from the last report that control has answered.
func (e *Executor) Report(now time.Duration) controlapi.AgentReport {
	e.sequence++
	r := controlapi.AgentReport{Worker: e.worker, Sequence: e.sequence, Draining: e.draining}
	if now-e.usageAt >= usageInterval {
		r.Usage, e.usageAt = e.usage, now
	}
	tasks := e.list()
	e.history[e.sequence] = tasks
	delete(e.history, e.sequence-historyLength)
	if e.known && slices.Equal(tasks, e.reported) {
		r.SameTasksAs = e.namedBy
		return r
	}
	r.Tasks = tasks
	e.reported, e.namedBy, e.known = tasks, e.sequence, false
	return r
}

// TasksChanged reports whether the tasks differ from those of the last report.
func (e *Executor) TasksChanged() bool { return !slices.Equal(e.list(), e.reported) }

// list returns every task in the order of their ids.
func (e *Executor) list() []controlapi.ReportedTask {
	tasks := make([]controlapi.ReportedTask, 0, len(e.tasks))
	for id, t := range e.tasks {
		tasks = append(tasks, controlapi.ReportedTask{
			Task:               id,
			Epoch:              t.epoch,
			State:              t.reported(),
			Reason:             t.reason,
			Checkpoint:         t.checkpoint,
			CheckpointSequence: t.sequence,
		})
	}
	slices.SortFunc(tasks, func(a, b controlapi.ReportedTask) int { return strings.Compare(a.Task, b.Task) })
	return tasks
}

// Idle reports whether the instance has no tasks.
func (e *Executor) Idle() bool { return len(e.tasks) == 0 }

func (t *task) reported() controlapi.ReportedState {
	switch t.phase {
	case starting:
		return controlapi.ReportedStarting
	case running:
		return controlapi.ReportedRunning
	default:
		return t.final
	}
}
