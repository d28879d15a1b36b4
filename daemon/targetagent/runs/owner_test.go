package runs

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/targetagent/calls"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
	"github.com/ibispier/ibispier/runapi"
)

const second = time.Second

// testMaxLease is the longest lease that the test target takes.
const testMaxLease = 10 * second

var (
	testIncarnation = job.TargetIncarnation{ID: "i-1", Born: 1000}
	testTask        = job.Ref{Job: "00000000000000aa", Index: 3}
)

// harness drives an owner without a target or control.
type harness struct {
	*testing.T
	o   *owner
	now time.Duration
}

func newHarness(t *testing.T) *harness {
	h := &harness{T: t, o: newOwner(1, "host", testMaxLease, zap.NewNop()), now: 100 * second}
	h.announce(testIncarnation, 1, false)
	return h
}

func (h *harness) announce(incarnation job.TargetIncarnation, sequence uint64, draining bool) {
	h.o.handleAnnouncement(h.now, runapi.Announcement{
		Incarnation: incarnation, Sequence: sequence, Service: "s", Zone: "z", Capacity: resource.Vector{CPUMilli: 64000}, Draining: draining,
	})
	h.o.decide(h.now)
}

// takeCalls removes the pending calls and returns those of the kind.
func (h *harness) takeCalls(kind calls.Kind) []calls.Call {
	var found []calls.Call
	for _, c := range h.o.calls {
		if c.Kind == kind {
			found = append(found, c)
		}
	}
	h.o.calls = nil
	return found
}

// answerWatch answers the outstanding watch, 1 ms after it was sent.
func (h *harness) answerWatch(running []runapi.Run, ends ...job.End) {
	sent := h.now
	h.now += time.Millisecond
	h.o.handleResult(h.now, calls.Result{
		Call: calls.Call{Kind: calls.Watch, Incarnation: h.o.incarnation}, SentAt: sent,
		Status: runapi.Status{Incarnation: h.o.incarnation, ClockMillis: h.now.Milliseconds(), Running: running, Ends: ends},
	})
	h.o.decide(h.now)
}

// answerReport answers the newest report with orders that follow the last ones, in
// term 5 unless they name another term.
func (h *harness) answerReport(orders controlapi.TargetOrders) {
	orders.Number = h.o.lastOrderNumber + 1
	if orders.Term == 0 {
		orders.Term = 5
	}
	h.o.handleOrders(h.now, h.o.reportID, orders, nil)
	h.o.decide(h.now)
}

// nextReport makes a report due and returns it.
func (h *harness) nextReport() *controlapi.TargetReport {
	h.Helper()
	h.now += minReportInterval
	h.o.reportNow = true
	h.o.decide(h.now)
	if h.o.outgoingReport == nil {
		h.Fatal("no report")
	}
	return h.o.outgoingReport
}

func countRejections(r *controlapi.TargetReport) int {
	count := 0
	for _, e := range r.Ends {
		if e.Outcome == job.RunRejected {
			count++
		}
	}
	return count
}

// startOrders returns orders that grant a lease of 4 s and start run 1 of the test
// task.
func startOrders(again bool) controlapi.TargetOrders {
	return controlapi.TargetOrders{LeaseMillis: 4000, Starts: []controlapi.StartOrder{{Task: testTask, Run: 1, Again: again}}}
}

// Guards against an agent that has just started and rejects a run before the
// target has answered, although an earlier agent process has started that run.
func TestUnknownAgentDoesNotReject(t *testing.T) {
	h := newHarness(t)
	h.answerReport(startOrders(true))
	if r := h.nextReport(); countRejections(r) > 0 {
		t.Fatalf("rejected %v before the target has answered", r.Ends)
	}
	h.answerWatch([]runapi.Run{{Task: testTask, Run: 1}})
	r := h.nextReport()
	if countRejections(r) > 0 || len(r.Running) != 1 || r.Running[0].Run != 1 {
		t.Fatalf("report %+v, want the run that the target reports", r)
	}
}

// Guards against rejecting a run because its repeated start was refused: the first
// start may still be in transit and be carried out after control has started the
// task on another target.
func TestRepeatedStartIsStoppedBeforeItCountsAsRejected(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	h.answerReport(startOrders(true))
	started := h.takeCalls(calls.Start)
	if len(started) != 1 {
		t.Fatalf("%d starts, want 1", len(started))
	}
	h.o.handleResult(h.now, calls.Result{Call: started[0], SentAt: h.now, Err: &runapi.RefusedError{Reason: runapi.ReasonNoCapacity}})
	if countRejections(h.nextReport()) > 0 {
		t.Fatal("rejected without a stop")
	}
	stops := h.takeCalls(calls.Stop)
	if len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	h.o.handleResult(h.now, calls.Result{Call: stops[0], SentAt: h.now})
	h.now += time.Millisecond
	h.answerWatch(nil)
	if countRejections(h.nextReport()) != 1 {
		t.Fatal("not rejected after the stop")
	}
}

// Guards against rejecting a run whose start was not answered while the target may
// still carry it out.
func TestUnansweredStartIsStopped(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	h.answerReport(startOrders(false))
	h.o.handleResult(h.now, calls.Result{Call: h.takeCalls(calls.Start)[0], SentAt: h.now, Err: errors.New("timeout")})
	h.now += unansweredWait
	h.answerWatch(nil)
	if countRejections(h.nextReport()) > 0 {
		t.Fatal("rejected without a stop")
	}
	stops := h.takeCalls(calls.Stop)
	if len(stops) == 0 {
		t.Fatal("no stop")
	}
	h.answerWatch(nil) // sent before the stop was answered
	if countRejections(h.nextReport()) > 0 {
		t.Fatal("rejected before the stop was answered")
	}
	h.o.handleResult(h.now, calls.Result{Call: stops[0], SentAt: h.now})
	h.now += time.Millisecond
	h.answerWatch(nil)
	if countRejections(h.nextReport()) != 1 {
		t.Fatal("not rejected after the stop")
	}
}

// Guards against a first start that a full target has refused and that is not
// reported as rejected, so that control never places the task on another target.
func TestRefusedFreshStartIsRejectedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	h.answerReport(startOrders(false))
	h.o.handleResult(h.now, calls.Result{Call: h.takeCalls(calls.Start)[0], SentAt: h.now, Err: &runapi.RefusedError{Reason: runapi.ReasonNoCapacity}})
	if countRejections(h.nextReport()) != 1 {
		t.Fatal("not rejected")
	}
}

// Guards against carrying out orders of a leader that has since been replaced.
func TestOrdersOfAnEarlierTermAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	h.answerReport(controlapi.TargetOrders{Term: 7, LeaseMillis: 4000})
	h.nextReport()
	h.answerReport(controlapi.TargetOrders{Term: 6, LeaseMillis: 4000, Starts: []controlapi.StartOrder{{Task: testTask, Run: 1}}})
	if len(h.takeCalls(calls.Start)) > 0 {
		t.Fatal("started for an earlier term")
	}
}

// Guards against a lease that ends later on the target than at control: control
// counts it from when the report was sent, and the target's clock may be 2% slow.
func TestLeaseCountsFromTheReportAndAllowsForDrift(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	h.nextReport()
	sent := h.now
	h.now += 500 * time.Millisecond
	h.answerReport(controlapi.TargetOrders{LeaseMillis: 4000})
	if want := sent + 4*second; h.o.leaseEnd != want {
		t.Fatalf("lease until %s, want %s", h.o.leaseEnd, want)
	}
	// A clock that is 2% slow counts 98 ms in 100 ms.
	end := time.Duration(h.o.targetLease().UntilMillis) * time.Millisecond
	left := (end - time.Duration(h.o.targetClockMillis)*time.Millisecond) * 100 / 98
	if h.o.targetClockReadAt+left > h.o.leaseEnd {
		t.Fatalf("with a slow clock, the target holds the lease until %s, but it ends at %s", h.o.targetClockReadAt+left, h.o.leaseEnd)
	}
}

// Guards against a delayed announcement of an ended incarnation whose clock was
// ahead, so that its Born is later: the running incarnation would be reported as
// gone, and its tasks would be started on other targets.
func TestLateAnnouncementDoesNotEndTheLivingLife(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	ended := job.TargetIncarnation{ID: "i-0", Born: testIncarnation.Born + 2000}
	h.announce(ended, 1, false)
	h.o.handleResult(h.now, calls.Result{Call: calls.Call{Kind: calls.Watch, Incarnation: ended}, SentAt: h.now, Err: runapi.ErrIncarnationChanged})
	if gone := h.nextReport().Gone; len(gone) != 0 {
		t.Fatalf("gone %v", gone)
	}
	h.announce(testIncarnation, 2, false)
	h.answerWatch(nil)
	if r := h.nextReport(); r.Incarnation != testIncarnation || len(r.Gone) != 1 || r.Gone[0] != ended {
		t.Fatalf("incarnation %v, gone %v", r.Incarnation, r.Gone)
	}
}

// Guards against a delayed announcement of a crashed incarnation that replaces the
// newer one, and against not noticing that a target was restarted under the same
// ID.
func TestLivesOfATarget(t *testing.T) {
	h := newHarness(t)
	newer := job.TargetIncarnation{ID: "i-2", Born: 2000}
	h.announce(newer, 1, false)
	h.announce(testIncarnation, 9, false)
	if h.o.incarnation != newer {
		t.Fatalf("incarnation %v, want %v", h.o.incarnation, newer)
	}
	if gone := h.nextReport().Gone; len(gone) != 0 {
		t.Fatalf("gone %v before the new incarnation has answered", gone)
	}
	h.answerWatch(nil)
	if gone := h.nextReport().Gone; len(gone) != 1 || gone[0] != testIncarnation {
		t.Fatalf("gone %v, want %v", gone, testIncarnation)
	}
	restarted := job.TargetIncarnation{ID: "i-2", Born: 3000}
	h.o.handleResult(h.now, calls.Result{
		Call:   calls.Call{Kind: calls.Watch, Incarnation: newer},
		Status: runapi.Status{Incarnation: restarted, ClockMillis: 5},
	})
	if h.o.incarnation != restarted {
		t.Fatalf("incarnation %v, want %v", h.o.incarnation, restarted)
	}
}

// Guards against a restarted agent that never learns what the runs on its target
// are, and that leaves a filling task at the pace that an earlier agent set.
func TestAdoptedRunsAreDescribedAndPaced(t *testing.T) {
	h := newHarness(t)
	found := []runapi.Run{{Task: testTask, Run: 1}}
	h.answerWatch(found)
	if r := h.nextReport(); len(r.Running) != 1 || !r.Running[0].Adopted {
		t.Fatalf("report %+v, want an adopted run", r)
	}
	orders := startOrders(true)
	orders.Starts[0].Filling, orders.Starts[0].Image = true, "f"
	h.takeCalls(calls.Watch)
	h.answerReport(orders)
	if len(h.o.calls) != 1 || h.o.calls[0].Kind != calls.Pace || h.o.calls[0].PacePercent != 100 {
		t.Fatalf("calls %v, want a single call that sets the pace to 100%%", h.o.calls)
	}
	if r := h.nextReport(); r.Running[0].Adopted {
		t.Fatal("still reported as adopted")
	}
}

// Guards against orders for an ended incarnation that the next incarnation with
// the same ID carries out, while control gives them to other targets.
func TestOrdersForAnEarlierLifeAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	h.answerReport(controlapi.TargetOrders{LeaseMillis: 4000})
	h.nextReport()
	token := h.o.reportID
	h.announce(job.TargetIncarnation{ID: testIncarnation.ID, Born: testIncarnation.Born + 500}, 1, false)
	h.answerWatch(nil)
	h.takeCalls(calls.Watch)
	orders := startOrders(false)
	orders.Number, orders.Term = h.o.lastOrderNumber+1, 5
	h.o.handleOrders(h.now, token, orders, nil)
	h.o.decide(h.now)
	if started := h.takeCalls(calls.Start); len(started) > 0 {
		t.Fatalf("%d runs started on the next incarnation", len(started))
	}
}

// Guards against a start that was in transit when the target crashed: the next
// incarnation with the same ID may carry it out after control has placed the task
// on another target.
func TestStartOnItsWayIsSettledBeforeALifeIsGone(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	h.answerReport(startOrders(false))
	if len(h.takeCalls(calls.Start)) != 1 {
		t.Fatal("no start")
	}
	next := job.TargetIncarnation{ID: testIncarnation.ID, Born: testIncarnation.Born + 500}
	h.announce(next, 1, false)
	stops := h.takeCalls(calls.Stop)
	if len(stops) != 1 || stops[0].Incarnation != next || stops[0].Run != 1 {
		t.Fatalf("stops %v, want one of run 1 on the next incarnation", stops)
	}
	h.answerWatch(nil)
	if r := h.nextReport(); len(r.Gone) != 0 || !r.Unsettled {
		t.Fatalf("gone %v, unsettled %t while the start may still be carried out", r.Gone, r.Unsettled)
	}
	h.o.handleResult(h.now, calls.Result{Call: stops[0], SentAt: h.now})
	h.now += time.Millisecond
	h.answerWatch(nil)
	if r := h.nextReport(); len(r.Gone) != 1 || countRejections(r) != 1 {
		t.Fatalf("gone %v, %d rejections after the stop, want one of each", r.Gone, countRejections(r))
	}
}

// Guards against tasks that make no progress for as long as their target hangs and
// are not reported as stalled, and against reporting slow or paused tasks as
// stalled.
func TestRunsThatStandStillAreReported(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	orders := startOrders(false)
	orders.Starts[0].Filling = true
	h.answerReport(orders)
	h.o.handleResult(h.now, calls.Result{Call: h.takeCalls(calls.Start)[0], SentAt: h.now})
	shown := func(percent int) {
		h.now += 400 * time.Millisecond
		h.answerWatch([]runapi.Run{{Task: testTask, Run: 1, Percent: percent}})
	}
	for i := range 10 {
		shown(i)
		if h.nextReport().Running[0].Stalled {
			t.Fatalf("reported as stalled while it makes progress, at %d%%", i)
		}
	}
	for range 5 {
		shown(10)
	}
	if !h.nextReport().Running[0].Stalled {
		t.Fatal("not reported as stalled after 2 s without progress")
	}
	h.o.runs[testTask].pacePercent = 0
	if h.nextReport().Running[0].Stalled {
		t.Fatal("reported as stalled although it is paused")
	}
}

// Guards against a stop that is ignored because the agent does not know the run: its
// start may still be carried out, and control would wait for its end forever.
func TestStopOfUnknownRunIsConfirmedByTheTarget(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	h.answerReport(controlapi.TargetOrders{LeaseMillis: 4000, Stops: []controlapi.StopOrder{{Task: testTask, Run: 1, Unreported: true}}})
	stops := h.takeCalls(calls.Stop)
	if len(stops) != 1 || stops[0].Run != 1 {
		t.Fatalf("stops %+v, want one of run 1", stops)
	}
	h.answerWatch(nil)
	if n := countRejections(h.nextReport()); n != 0 {
		t.Fatal("reported as never started before the stop was answered")
	}
	h.o.handleResult(h.now, calls.Result{Call: stops[0], SentAt: h.now})
	h.now += time.Millisecond
	h.answerWatch(nil)
	if n := countRejections(h.nextReport()); n != 1 {
		t.Fatalf("%d runs reported as never started, want 1", n)
	}
}

// Guards against a run that is reported as never started although it was done: a stop
// arrives after the run has left the list of the running ones and before its end is listed.
func TestStopOfARunThatHasEndedRejectsNothing(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	h.answerReport(startOrders(false))
	h.o.handleResult(h.now, calls.Result{Call: h.takeCalls(calls.Start)[0], SentAt: h.now})
	h.now += time.Millisecond
	h.answerWatch([]runapi.Run{{Task: testTask, Run: 1}})
	h.nextReport()
	h.now += time.Millisecond
	h.answerWatch(nil) // the end is beyond the first page of ends
	h.answerReport(controlapi.TargetOrders{LeaseMillis: 4000, Stops: []controlapi.StopOrder{{Task: testTask, Run: 1}}})
	for _, s := range h.takeCalls(calls.Stop) {
		h.o.handleResult(h.now, calls.Result{Call: s, SentAt: h.now})
	}
	h.now += time.Millisecond
	h.answerWatch(nil)
	if n := countRejections(h.nextReport()); n != 0 {
		t.Fatalf("%d runs that have started are reported as never started", n)
	}
}

// Guards against runs that are reported as stalled, and stopped, because the agent itself
// was suspended: it has no status of that time, or one from before it.
func TestRunsAreNotStalledWhileTheAgentIsSuspended(t *testing.T) {
	h := newHarness(t)
	h.answerWatch(nil)
	h.answerReport(startOrders(false))
	h.o.handleResult(h.now, calls.Result{Call: h.takeCalls(calls.Start)[0], SentAt: h.now})
	running := func(percent int) []runapi.Run { return []runapi.Run{{Task: testTask, Run: 1, Percent: percent}} }
	for i := range 5 {
		h.now += 400 * time.Millisecond
		h.answerWatch(running(10 + i))
	}
	const suspension = 1800 * time.Millisecond
	sent := h.now
	h.now += suspension
	if h.nextReport().Running[0].Stalled {
		t.Fatalf("reported as stalled after a suspension of %s, before a status", suspension)
	}
	h.o.handleResult(h.now, calls.Result{
		Call: calls.Call{Kind: calls.Watch, Incarnation: h.o.incarnation, Watch: runapi.WatchRequest{Wait: watchWait}}, SentAt: sent,
		Status: runapi.Status{Incarnation: h.o.incarnation, ClockMillis: sent.Milliseconds(), Running: running(14)},
	})
	if h.nextReport().Running[0].Stalled {
		t.Fatalf("reported as stalled after a suspension of %s, by a status from before it", suspension)
	}
}
