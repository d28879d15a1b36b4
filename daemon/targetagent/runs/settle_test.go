package runs

import (
	"errors"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/targetagent/calls"
	"github.com/ibispier/ibispier/runapi"
)

// Guards against an earlier run of a task that stays on the target for good: control
// has ordered a later run there, so it never orders a stop of the earlier one.
func TestEarlierRunBesideTheOrderedOneIsStopped(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	orders := startOrders(false)
	orders.Starts[0].Run = 4
	h.answerReport(orders)
	h.o.handleResult(h.now, calls.Result{Call: h.takeCalls(calls.Start)[0], SentAt: h.now})
	h.now += time.Millisecond
	h.answerWatch([]runapi.Run{{Task: testTask, Run: 2}, {Task: testTask, Run: 4}})
	stops := h.takeCalls(calls.Stop)
	if len(stops) != 1 || stops[0].Run != 2 {
		t.Fatalf("stops %v, want one of run 2", stops)
	}
}

// Guards against a run that counts as running because the target shows an earlier run
// of the task: the start that was not answered is neither stopped nor repeated.
func TestEarlierRunDoesNotConfirmTheOrderedOne(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	orders := startOrders(false)
	orders.Starts[0].Run = 4
	h.answerReport(orders)
	h.o.handleResult(h.now, calls.Result{Call: h.takeCalls(calls.Start)[0], SentAt: h.now, Err: errors.New("no response")})
	h.answerWatch([]runapi.Run{{Task: testTask, Run: 2}})
	h.now += unansweredWait
	h.answerWatch([]runapi.Run{{Task: testTask, Run: 2}})
	for _, c := range h.takeCalls(calls.Stop) {
		if c.Run == 4 {
			return
		}
	}
	t.Fatalf("run 4 is not stopped after its start was not answered: %+v", h.o.runs[testTask])
}

// Guards against a run that nobody stops: the orders that stop it also start a later
// run of the task on the same target, which takes its place at the agent.
func TestStopBesideAStartOfTheSameTaskIsCarriedOut(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	h.answerReport(startOrders(false))
	h.o.handleResult(h.now, calls.Result{Call: h.takeCalls(calls.Start)[0], SentAt: h.now})
	h.answerWatch([]runapi.Run{{Task: testTask, Run: 1}})
	h.nextReport()
	orders := startOrders(false)
	orders.Starts[0].Run = 2
	orders.Stops = []controlapi.StopOrder{{Task: testTask, Run: 1}}
	h.answerReport(orders)
	stops := h.takeCalls(calls.Stop)
	h.answerWatch([]runapi.Run{{Task: testTask, Run: 1}, {Task: testTask, Run: 2}})
	if stops = append(stops, h.takeCalls(calls.Stop)...); len(stops) == 0 || stops[0].Run != 1 {
		t.Fatalf("stops %v, want one of run 1", stops)
	}
}

// Guards against a run that starts after it was reported as rejected: a copy of that
// report may reach control later, which then starts the task elsewhere while the run
// is running.
func TestRejectedRunIsNotStartedAgain(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	h.answerReport(startOrders(false))
	h.o.handleResult(h.now, calls.Result{Call: h.takeCalls(calls.Start)[0], SentAt: h.now, Err: &runapi.RefusedError{Reason: runapi.ReasonNoCapacity}})
	if countRejections(h.nextReport()) != 1 {
		t.Fatal("not rejected")
	}
	h.answerReport(startOrders(true))
	if started := h.takeCalls(calls.Start); len(started) > 0 {
		t.Fatal("the rejected run is started")
	}
	if countRejections(h.nextReport()) != 1 {
		t.Fatal("the rejection is not reported again")
	}
}

// Guards against reports in a loop while control orders a start that the agent cannot
// carry out yet: each of them costs control a round of confirmations by its quorum.
func TestStartWithoutLeaseCausesNoLoopOfReports(t *testing.T) {
	h := newHarness(t) // the target has not answered yet, so it gets no lease
	reports := 0
	for end := h.now + second; h.now < end; h.now += time.Millisecond {
		h.o.decide(h.now)
		if h.o.outgoingReport != nil {
			h.o.outgoingReport = nil
			reports++
			orders := startOrders(true)
			orders.LeaseMillis, orders.Number, orders.Term = 0, h.o.lastOrderNumber+1, 5
			h.o.handleOrders(h.now, h.o.reportID, orders, nil)
		}
	}
	if reports > 25 {
		t.Fatalf("%d reports within a second", reports)
	}
}

// Guards against an agent that never reports again after the answer to its report was
// lost between the duties of its process.
func TestReportIsRepeatedWithoutAnAnswer(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	h.nextReport()
	h.o.outgoingReport = nil
	for range 60 {
		h.now += 100 * time.Millisecond
		h.o.watching = true
		h.answerWatch(nil)
	}
	if h.o.outgoingReport == nil {
		t.Fatalf("no report for 6 s; reports time out after %s", reportTimeout)
	}
}

// Guards against a start that is sent seconds after its job was cancelled, because it has
// waited behind calls that the target does not answer.
func TestStartIsNotSentLongAfterItsOrder(t *testing.T) {
	const cancelBound = 3 * second // the platform's, from the acknowledged cancel to the last start
	h := newHarness(t)
	h.answerWatch(nil)
	h.answerReport(startOrders(false))
	started := h.takeCalls(calls.Start)[0]
	if delay := started.ValidUntil - h.now; delay >= cancelBound {
		t.Fatalf("the start may be sent %s after its order", delay)
	}
	h.o.handleResult(h.now, calls.Result{Call: started, SentAt: started.ValidUntil, Err: &runapi.RefusedError{Reason: runapi.ReasonLeaseExpired}})
	if countRejections(h.nextReport()) != 1 {
		t.Fatal("a start that was not sent is not reported as rejected")
	}
}
