package executor

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/testseed"
	"github.com/ibispier/ibispier/workerapi"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

var capacity = controlapi.Resources{CPUMilli: 4000, MemoryMiB: 4000}

// modelWorker is a reference model of a worker: its tasks with lease deadlines.
type modelWorker struct {
	tasks map[string]*workerapi.Task
}

// expire stops the tasks whose deadline passed at least lag ago.
func (w *modelWorker) expire(now, lag time.Duration) {
	for _, t := range w.tasks {
		if t.State == workerapi.Running && int64(now-lag) >= t.Deadline {
			t.State = workerapi.Stopped
		}
	}
}

func (w *modelWorker) running() controlapi.Resources {
	var sum controlapi.Resources
	for _, t := range w.tasks {
		if t.State == workerapi.Running {
			sum = sum.Plus(t.Size)
		}
	}
	return sum
}

func (w *modelWorker) list() workerapi.Tasks {
	var l workerapi.Tasks
	for _, t := range w.tasks {
		l.Tasks = append(l.Tasks, *t)
	}
	return l
}

// perform applies a call to the model and returns its result.
func (w *modelWorker) perform(now time.Duration, c Call) Result {
	r := Result{Call: c}
	t := w.tasks[c.Task]
	switch {
	case c.Kind == Start:
		return w.start(now, c)
	case c.Kind == Renew:
		for _, l := range c.Renew.Leases {
			if t := w.tasks[l.Task]; t != nil && t.Epoch == l.Epoch {
				t.Deadline = max(t.Deadline, l.Deadline)
			}
		}
		return r
	case t == nil:
		r.NotFound = true
		return r
	case t.Epoch != c.Epoch:
		r.Refusal = "epoch"
		return r
	case c.Kind == Forget:
		delete(w.tasks, c.Task)
	case t.State == workerapi.Running && c.Kind == Stop:
		t.State = workerapi.Stopped
	case t.State == workerapi.Running && c.Kind == Checkpoint:
		t.State = workerapi.Checkpointed
	}
	copied := *t
	r.Task = &copied
	return r
}

func (w *modelWorker) start(now time.Duration, c Call) Result {
	t := w.tasks[c.Task]
	switch {
	case t != nil && t.Epoch == c.Epoch:
	case t != nil && (t.Epoch > c.Epoch || t.State == workerapi.Running):
		return Result{Call: c, Refusal: "present"}
	case int64(now) > c.Start.NotAfter:
		return Result{Call: c, Refusal: "late"}
	default:
		t = &workerapi.Task{
			ID: c.Task, Epoch: c.Epoch, State: workerapi.Running,
			Size: c.Start.Task.Size, Deadline: c.Start.Deadline,
		}
		w.tasks[c.Task] = t
	}
	copied := *t
	return Result{Call: c, Task: &copied}
}

// machine runs an executor against the model worker in simulated time. Its
// exported methods are the actions of a rapid state machine.
type machine struct {
	now             time.Duration
	permitEnds      time.Duration // latest end of any permit
	worker          *modelWorker
	executor        *Executor
	calls           []Call
	results         []Result
	epochs          map[string]uint64
	taskList        workerapi.Tasks
	requestedAt     time.Duration
	reportedRefused map[string]bool // by taskKey
}

const (
	lease = 3 * time.Second
	// enforcementLag is how late the worker may stop a task after its lease has
	// ended.
	enforcementLag = 500 * time.Millisecond
)

func (m *machine) enqueue(calls []Call) { m.calls = append(m.calls, calls...) }

func taskKey(id string, epoch uint64) string { return fmt.Sprintf("%s/%d", id, epoch) }

func (m *machine) StartTask(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "task")
	size := rapid.Int64Range(500, 3000).Draw(t, "size")
	m.epochs[id]++
	task := controlapi.Task{ID: id, Size: controlapi.Resources{CPUMilli: size, MemoryMiB: size}}
	m.enqueue(m.executor.HandleCommands(m.now, m.now, controlapi.AgentCommands{
		LeaseMillis: lease.Milliseconds(),
		Commands:    []controlapi.Command{{Action: controlapi.ActionStart, Epoch: m.epochs[id], Task: task}},
	}))
}

func (m *machine) Renew(t *rapid.T) {
	sentAt := m.now - time.Duration(rapid.IntRange(0, 1000).Draw(t, "age"))*time.Millisecond
	var renewed []controlapi.Lease
	for id, epoch := range m.epochs {
		renewed = append(renewed, controlapi.Lease{Task: id, Epoch: epoch})
	}
	m.enqueue(m.executor.HandleCommands(m.now, sentAt, controlapi.AgentCommands{
		LeaseMillis: lease.Milliseconds(), Renewed: renewed,
	}))
}

func (m *machine) Command(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "task")
	action := rapid.SampledFrom([]controlapi.CommandAction{
		controlapi.ActionStop, controlapi.ActionCheckpoint, controlapi.ActionForget,
	}).Draw(t, "action")
	m.enqueue(m.executor.HandleCommands(m.now, m.now, controlapi.AgentCommands{
		Commands: []controlapi.Command{{Action: action, Epoch: m.epochs[id], Task: controlapi.Task{ID: id}}},
	}))
}

func (m *machine) Permit(t *rapid.T) {
	remaining := time.Duration(rapid.IntRange(0, 2000).Draw(t, "remaining")) * time.Millisecond
	m.executor.SetPermit(m.now, remaining)
	m.permitEnds = max(m.permitEnds, m.now+remaining)
}

func (m *machine) Advance(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "millis")) * time.Millisecond
	m.worker.expire(m.now, enforcementLag)
	m.enqueue(m.executor.Tick(m.now))
}

// WorkerTick makes the worker enforce the deadlines without delay.
func (m *machine) WorkerTick(*rapid.T) { m.worker.expire(m.now, 0) }

// PerformCall performs any one of the outstanding calls, or loses the call or
// its result.
func (m *machine) PerformCall(t *rapid.T) {
	if len(m.calls) == 0 {
		t.Skip("no call")
	}
	i := rapid.IntRange(0, len(m.calls)-1).Draw(t, "call")
	c := m.calls[i]
	m.calls = append(m.calls[:i:i], m.calls[i+1:]...)
	lost := rapid.IntRange(0, 9).Draw(t, "loss")
	r := Result{Call: c, NoAnswer: true}
	if lost > 0 {
		before := m.worker.running()
		r = m.worker.perform(m.now, c)
		if c.Kind == Start && m.worker.running() != before && m.now > m.permitEnds {
			t.Fatalf("task %s started at %s, permit ended at %s", c.Task, m.now, m.permitEnds)
		}
	}
	if lost == 1 {
		r = Result{Call: c, NoAnswer: true} // performed, but the result is lost
	}
	m.results = append(m.results, r)
}

func (m *machine) DeliverResult(t *rapid.T) {
	if len(m.results) == 0 {
		t.Skip("no result")
	}
	r := m.results[0]
	m.results = m.results[1:]
	m.enqueue(m.executor.HandleResult(m.now, r))
}

// AskList records a task list that DeliverList passes to the executor later.
func (m *machine) AskList(*rapid.T) {
	m.taskList, m.requestedAt = m.worker.list(), m.now
}

func (m *machine) DeliverList(*rapid.T) {
	m.executor.Reconcile(m.now, m.requestedAt, m.taskList)
}

// Restart replaces the agent. Calls in flight of the old one are fenced and have
// no effect.
func (m *machine) Restart(t *rapid.T) {
	m.calls, m.results, m.taskList, m.requestedAt = nil, nil, workerapi.Tasks{}, 0
	m.executor = New(controlapi.Worker{Capacity: capacity})
	m.executor.Adopt(m.now, m.worker.list())
}

// Check runs after each action: the worker must not exceed its capacity, and no
// task may be present that was reported as refused.
func (m *machine) Check(t *rapid.T) {
	if used := m.worker.running(); !used.Fits(capacity) {
		t.Fatalf("worker runs %+v of %+v", used, capacity)
	}
	for _, r := range m.executor.currentTasks() {
		if r.State == controlapi.ReportedRefused {
			m.reportedRefused[taskKey(r.Task, r.Epoch)] = true
		}
	}
	for _, w := range m.worker.tasks {
		if m.reportedRefused[taskKey(w.ID, w.Epoch)] {
			t.Fatalf("task %s epoch %d was reported as refused but started", w.ID, w.Epoch)
		}
	}
}

// Guards against overcommitting an instance, starting a task without a permit, and
// running a task whose start was reported as refused.
func TestExecutorAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			now:             time.Minute,
			worker:          &modelWorker{tasks: map[string]*workerapi.Task{}},
			executor:        New(controlapi.Worker{Capacity: capacity}),
			epochs:          map[string]uint64{},
			reportedRefused: map[string]bool{},
		}
		m.executor.Adopt(m.now, m.worker.list())
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// Guards against starting tasks before the agent knows which tasks its worker
// already runs.
func TestStartIsRefusedBeforeAdoption(t *testing.T) {
	e := New(controlapi.Worker{Capacity: capacity})
	e.SetPermit(0, time.Hour)
	calls := e.HandleCommands(0, 0, controlapi.AgentCommands{
		LeaseMillis: 3000,
		Commands:    []controlapi.Command{{Action: controlapi.ActionStart, Epoch: 1, Task: controlapi.Task{ID: "a"}}},
	})
	if len(calls) != 0 {
		t.Fatalf("unexpected calls %+v", calls)
	}
	if r := e.Report(0).Tasks[0]; r.State != controlapi.ReportedRefused || r.Reason != ReasonNotAdopted {
		t.Fatalf("unexpected report %+v", r)
	}
}

// Guards against releasing the capacity of a task when its lease ends: the worker
// may stop the task later, so the capacity would be overcommitted.
func TestCapacityIsHeldUntilTheEndIsConfirmed(t *testing.T) {
	e := New(controlapi.Worker{Capacity: capacity})
	held := workerapi.Task{ID: "a", Epoch: 1, State: workerapi.Running, Size: capacity, Deadline: int64(time.Second)}
	e.Adopt(0, workerapi.Tasks{Tasks: []workerapi.Task{held}})
	e.Tick(2 * time.Second)
	if e.Committed() != capacity {
		t.Fatalf("committed %+v after the lease ended, want %+v", e.Committed(), capacity)
	}
	held.State = workerapi.Stopped
	e.Reconcile(2*time.Second, 2*time.Second, workerapi.Tasks{Tasks: []workerapi.Task{held}})
	if e.Committed() != (controlapi.Resources{}) {
		t.Fatalf("committed %+v after the end was confirmed", e.Committed())
	}
}
