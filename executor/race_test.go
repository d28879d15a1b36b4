package executor

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/workerapi"
)

// startingTask returns an executor with one outstanding start call, and the call.
func startingTask(t *testing.T) (*Executor, Call) {
	t.Helper()
	e := New(controlapi.Worker{Agent: "a", Epoch: 1, Capacity: controlapi.Resources{CPUMilli: 1000}})
	e.Adopt(0, workerapi.Tasks{})
	e.SetPermit(0, 2*time.Second)
	calls := e.HandleCommands(0, 0, controlapi.AgentCommands{LeaseMillis: 3000, Commands: []controlapi.Command{
		{Action: controlapi.ActionStart, Epoch: 1, Task: controlapi.Task{ID: "t"}}}})
	if len(calls) != 1 || calls[0].Kind != Start {
		t.Fatalf("calls %+v", calls)
	}
	return e, calls[0]
}

func reportedState(e *Executor, now time.Duration) controlapi.ReportedState {
	return e.Report(now).Tasks[0].State
}

// Guards against reporting a running task as lost, so that control places it a
// second time. A list that was requested before the start does not include the
// task, but its response can arrive after that of the start.
func TestListOlderThanTheStartProvesNothing(t *testing.T) {
	e, call := startingTask(t)
	requestedAt := 10 * time.Millisecond
	e.HandleResult(30*time.Millisecond, Result{Call: call, Task: &workerapi.Task{ID: "t", Epoch: 1, State: workerapi.Running}})
	e.Reconcile(40*time.Millisecond, requestedAt, workerapi.Tasks{})
	if got := reportedState(e, 50*time.Millisecond); got != controlapi.ReportedRunning {
		t.Fatalf("reported %s", got)
	}
	e.Reconcile(70*time.Millisecond, 60*time.Millisecond, workerapi.Tasks{})
	if got := reportedState(e, 80*time.Millisecond); got != controlapi.ReportedStopped {
		t.Fatalf("reported %s after a later list without the task", got)
	}
}

// Guards against reporting a running task as refused. If the answer to a start is
// lost, the task may run although the repeated start is refused.
func TestRefusalAfterALostAnswerProvesNothing(t *testing.T) {
	e, call := startingTask(t)
	e.HandleResult(time.Second, Result{Call: call, NoAnswer: true})
	again := e.Tick(1100 * time.Millisecond)
	if len(again) != 1 {
		t.Fatalf("calls %+v", again)
	}
	e.HandleResult(2100*time.Millisecond, Result{Call: again[0], Refusal: "start is too late"})
	if got := reportedState(e, 2200*time.Millisecond); got != controlapi.ReportedStarting {
		t.Fatalf("reported %s", got)
	}
	e.Reconcile(2400*time.Millisecond, 2300*time.Millisecond, workerapi.Tasks{})
	if got := reportedState(e, 2500*time.Millisecond); got != controlapi.ReportedRefused {
		t.Fatalf("reported %s after a list without the task that is later than the start could be", got)
	}
}
