package runs

import (
	"errors"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/targetagent/calls"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/runapi"
)

// testRestarted is the test target after a restart under its ID.
var testRestarted = job.TargetIncarnation{ID: testIncarnation.ID, Born: testIncarnation.Born + 500}

// takeWatch removes the pending calls and returns the watch among them.
func (h *harness) takeWatch() calls.Call {
	h.Helper()
	watches := h.takeCalls(calls.Watch)
	if len(watches) != 1 {
		h.Fatalf("%d watches, want 1", len(watches))
	}
	return watches[0]
}

// answerAs answers the call as the incarnation, whose clock reads clockMillis.
func (h *harness) answerAs(c calls.Call, incarnation job.TargetIncarnation, clockMillis int64) {
	h.o.handleResult(h.now, calls.Result{Call: c, SentAt: h.now, Status: runapi.Status{Incarnation: incarnation, ClockMillis: clockMillis}})
	h.o.decide(h.now)
}

// failWatch ends the watch without an answer and returns the next one.
func (h *harness) failWatch(c calls.Call) calls.Call {
	h.o.handleResult(h.now, calls.Result{Call: c, SentAt: h.now, Err: errors.New("connection reset")})
	h.now += watchRetryDelay
	h.o.decide(h.now)
	return h.takeWatch()
}

// grantLease brings the harness to a target with a lease of 4 s and returns the
// watch in progress, which carries the lease.
func (h *harness) grantLease() calls.Call {
	h.Helper()
	h.answerWatch(nil)
	h.nextReport()
	h.answerReport(controlapi.TargetOrders{LeaseMillis: 4000})
	h.takeCalls(calls.Watch)
	h.answerWatch(nil)
	w := h.takeWatch()
	if w.Watch.Lease.UntilMillis == 0 {
		h.Fatal("the watch carries no lease")
	}
	return w
}

// Guards against a lease on the clock of an earlier incarnation: a target that was
// restarted under its ID counts its clock from 0, takes such a deadline as its
// longest lease, and runs its tasks on after control has started them elsewhere.
func TestRestartedTargetGetsNoLeaseOfTheEarlierIncarnation(t *testing.T) {
	h := newHarness(t)
	next := h.failWatch(h.grantLease())
	if next.Watch.Lease.UntilMillis != 0 || next.Watch.Wait != 0 {
		t.Fatalf("watch %+v after a failed one, want neither a lease nor a wait", next.Watch)
	}
	h.answerReport(startOrders(false))
	if started := h.takeCalls(calls.Start); len(started) > 0 {
		t.Fatalf("%d starts with a lease while the clock is unknown", len(started))
	}
	h.answerAs(next, testRestarted, 1)
	h.answerAs(h.takeWatch(), testRestarted, 2)
	if r := h.nextReport(); r.Incarnation != testRestarted || !r.LeaseWanted {
		t.Fatalf("report %+v, want one of the next incarnation that wants a lease", r)
	}
}

// Guards against a watch that fails on a target that was not restarted and costs it
// its lease: the lease is sent again after the next answer.
func TestLeaseIsSentAgainAfterAnAnswer(t *testing.T) {
	h := newHarness(t)
	next := h.failWatch(h.grantLease())
	h.answerAs(next, testIncarnation, h.now.Milliseconds())
	if w := h.takeWatch(); w.Watch.Lease.UntilMillis == 0 {
		t.Fatal("no lease after the answer")
	}
	h.o.handleResult(h.now, calls.Result{Call: next, SentAt: h.now, Err: &runapi.RefusedError{Reason: runapi.ReasonUnhealthy}})
	h.now += watchRetryDelay
	h.o.decide(h.now)
	if w := h.takeWatch(); w.Watch.Lease.UntilMillis == 0 {
		t.Fatal("no lease after a refusal, which only a running target sends")
	}
}

// Guards against starts on a restarted target that has taken a lease meant for the
// earlier incarnation, because its restart went unnoticed, as it does while the agent
// is frozen: the target may run its tasks for longer than control counts.
func TestLongLeaseIsOverBeforeControlGrantsOne(t *testing.T) {
	for name, c := range map[string]struct {
		trouble func(h *harness, w calls.Call)
		long    bool
	}{
		"the watch carried the lease": {func(h *harness, w calls.Call) {
			h.answerAs(w, testRestarted, 700)
		}, true},
		"a start carried the lease": {func(h *harness, w calls.Call) {
			h.answerReport(startOrders(false))
			start := h.takeCalls(calls.Start)[0]
			h.now += 10 * time.Millisecond
			h.o.handleResult(h.now, calls.Result{Call: start, SentAt: h.now})
			h.answerAs(h.failWatch(w), testRestarted, 700)
		}, true},
		"a start answers after the switch": {func(h *harness, w calls.Call) {
			h.answerReport(startOrders(false))
			start := h.takeCalls(calls.Start)[0]
			next := h.failWatch(w)
			h.now += second
			h.answerAs(next, testRestarted, 700)
			h.answerAs(h.takeWatch(), testRestarted, 700)
			h.o.handleResult(h.now, calls.Result{Call: start, SentAt: h.now})
		}, true},
		"the calls ended before the restart": {func(h *harness, w calls.Call) {
			next := h.failWatch(w)
			h.now += second
			h.answerAs(next, testRestarted, 700)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			c.trouble(h, h.grantLease())
			h.answerAs(h.takeWatch(), testRestarted, 700)
			if r := h.nextReport(); r.Incarnation != testRestarted || r.LeaseWanted == c.long {
				t.Fatalf("incarnation %v, lease wanted %t, want %t", r.Incarnation, r.LeaseWanted, !c.long)
			}
			h.now += testMaxLease
			h.answerAs(h.takeWatch(), testRestarted, 700+testMaxLease.Milliseconds())
			if !h.nextReport().LeaseWanted {
				t.Fatal("no lease wanted after the longest lease has ended")
			}
		})
	}
}

// Guards against a run that the next incarnation has started and that nobody stops:
// control does not count it there.
func TestStartAnsweredByTheNextIncarnationIsStopped(t *testing.T) {
	h := newHarness(t)
	w := h.grantLease()
	h.answerReport(startOrders(false))
	h.now += 10 * time.Millisecond
	h.o.handleResult(h.now, calls.Result{Call: h.takeCalls(calls.Start)[0], SentAt: h.now})
	h.answerAs(h.failWatch(w), testRestarted, 700)
	if stops := h.takeCalls(calls.Stop); len(stops) != 1 || stops[0].Incarnation != testRestarted {
		t.Fatalf("stops %v, want one on the next incarnation", stops)
	}
}

// oldEnd is the end that acknowledgeEnd reports.
var oldEnd = job.End{Number: 5, Task: job.Ref{Job: "00000000000000bb"}, Run: 1, Outcome: job.RunDone}

// acknowledgeEnd brings the harness to a target whose oldEnd control has committed
// while a start of the test task is in progress, and returns the start.
func (h *harness) acknowledgeEnd() calls.Call {
	h.Helper()
	h.grantLease()
	h.answerWatch(nil, oldEnd)
	h.nextReport()
	h.takeCalls(calls.Watch)
	h.answerReport(startOrders(false))
	starts := h.takeCalls(calls.Start)
	if len(starts) != 1 {
		h.Fatalf("%d starts, want 1", len(starts))
	}
	h.nextReport()
	h.answerReport(controlapi.TargetOrders{LeaseMillis: 4000, EndWatermark: oldEnd.Number})
	return starts[0]
}

// Guards against a second watch for each acknowledgement: control sends it together
// with the next starts, which are not confirmed yet.
func TestAcknowledgementGoesBeforeTheStartsOfItsOrders(t *testing.T) {
	h := newHarness(t)
	h.grantLease()
	h.answerWatch(nil, oldEnd)
	h.nextReport()
	h.takeCalls(calls.Watch)
	orders := startOrders(false)
	orders.EndWatermark = oldEnd.Number
	h.answerReport(orders)
	sent := h.o.calls
	if len(sent) != 2 || sent[0].Kind != calls.Watch || sent[1].Kind != calls.Start || sent[0].Watch.EndWatermark != oldEnd.Number {
		t.Fatalf("calls %+v, want a watch that discards ends up to %d and a start", sent, oldEnd.Number)
	}
}

// Guards against a restarted target that forgets the end of a run before anybody has
// seen it: the start reached it unnoticed, and the number that the next watch
// acknowledges belongs to the earlier incarnation. The task would run again.
func TestNoEndIsDiscardedWhileAStartIsNotConfirmed(t *testing.T) {
	for name, answered := range map[string]bool{"start answered": true, "start in progress": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			start := h.acknowledgeEnd()
			h.now += confirmWait
			if answered {
				h.o.handleResult(h.now, calls.Result{Call: start, SentAt: h.now})
			}
			h.o.decide(h.now)
			watch := h.takeWatch()
			if watch.Watch.EndWatermark != 0 {
				t.Fatalf("the watch discards ends up to %d while no answer shows the run", watch.Watch.EndWatermark)
			}
			h.answerAs(watch, testRestarted, 700)
			next := h.takeWatch()
			if next.Watch.EndWatermark != 0 {
				t.Fatalf("the first watch of the next incarnation discards ends up to %d", next.Watch.EndWatermark)
			}
			h.o.handleResult(h.now, calls.Result{Call: next, SentAt: h.now, Status: runapi.Status{
				Incarnation: testRestarted, ClockMillis: 701,
				Ends: []job.End{{Number: 1, Task: testTask, Run: 1, Outcome: job.RunDone}},
			}})
			r := h.nextReport()
			if len(r.Ends) != 1 || r.Ends[0].Outcome != job.RunDone || r.Ends[0].Target != testRestarted {
				t.Fatalf("ends %v, want the one of the next incarnation", r.Ends)
			}
		})
	}
}

// Guards against ends that a target lists for ever, and against a watch in a loop
// while it returns at once: the watch waits for the answers to the starts, but not for
// long, and ends are discarded as soon as the runs are confirmed.
func TestEndsAreDiscardedOnceTheStartIsConfirmed(t *testing.T) {
	h := newHarness(t)
	start := h.acknowledgeEnd()
	answer := func(w calls.Call, running ...runapi.Run) {
		h.o.handleResult(h.now, calls.Result{Call: w, SentAt: h.now, Status: runapi.Status{
			Incarnation: testIncarnation, ClockMillis: h.now.Milliseconds(), Running: running, Ends: []job.End{oldEnd},
		}})
		h.o.decide(h.now)
	}
	for range 2 {
		if early := h.takeCalls(calls.Watch); len(early) > 0 {
			t.Fatal("a watch that returns at once was sent before the start was answered")
		}
		h.now += confirmWait
		h.o.decide(h.now)
		answer(h.takeWatch())
	}
	h.now += time.Millisecond
	h.o.handleResult(h.now, calls.Result{Call: start, SentAt: h.now})
	h.o.decide(h.now)
	answer(h.takeWatch(), runapi.Run{Task: testTask, Run: 1})
	if w := h.takeWatch(); w.Watch.EndWatermark != oldEnd.Number {
		t.Fatalf("the watch after the confirmation discards ends up to %d, want %d", w.Watch.EndWatermark, oldEnd.Number)
	}
}

// Guards against a new end that is noticed late: once a start is answered, nothing
// delays the next watch, also where the one before did not show the run yet.
func TestAnsweredStartDelaysNoWatch(t *testing.T) {
	h := newHarness(t)
	start := h.acknowledgeEnd()
	h.now += confirmWait
	h.o.decide(h.now)
	watch, sent := h.takeWatch(), h.now
	h.now += time.Millisecond
	h.o.handleResult(h.now, calls.Result{Call: start, SentAt: sent})
	h.o.handleResult(h.now, calls.Result{Call: watch, SentAt: sent, Status: runapi.Status{
		Incarnation: testIncarnation, ClockMillis: h.now.Milliseconds(), Ends: []job.End{oldEnd},
	}})
	h.o.decide(h.now)
	h.takeWatch()
}

// Guards against a late start that runs on a target restarted under its ID: the stop
// that was answered binds only the earlier incarnation.
func TestStoppedStartIsStoppedOnTheNextIncarnationToo(t *testing.T) {
	for name, c := range map[string]struct {
		restartAfter time.Duration
		stops        int
	}{
		"while the start may be carried out": {second, 1},
		"later":                              {lateCallWindow, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.grantLease()
			h.answerReport(startOrders(false))
			start := h.takeCalls(calls.Start)[0]
			h.now += second
			h.o.handleResult(h.now, calls.Result{Call: start, SentAt: h.now - second, Err: errors.New("timeout")})
			h.now += unansweredWait
			h.o.decide(h.now)
			stop := h.takeCalls(calls.Stop)[0]
			h.o.handleResult(h.now, calls.Result{Call: stop, SentAt: h.now})
			h.now += time.Millisecond
			h.answerWatch(nil)
			if n := countRejections(h.nextReport()); n != 1 {
				t.Fatalf("%d rejections, want 1", n)
			}
			h.takeCalls(calls.Stop)
			h.now += c.restartAfter
			h.announce(testRestarted, 1, false)
			if stops := h.takeCalls(calls.Stop); len(stops) != c.stops || c.stops > 0 && stops[0].Incarnation != testRestarted {
				t.Fatalf("stops %v, want %d on the next incarnation", stops, c.stops)
			}
		})
	}
}

// Guards against a target that gets no lease for the longest lease, and loses its
// runs, because a delayed announcement of an earlier incarnation with the same ID had
// displaced its own for a moment: it holds only leases that were meant for it.
func TestDelayedAnnouncementCostsNoLease(t *testing.T) {
	h := newHarness(t)
	w := h.grantLease()
	earlier := job.TargetIncarnation{ID: testIncarnation.ID, Born: testIncarnation.Born + 500} // the clock was set back since
	h.announce(earlier, 1, false)
	h.now += 500 * time.Millisecond
	h.answerAs(w, testIncarnation, h.now.Milliseconds()) // the watch in progress
	h.answerAs(h.takeWatch(), testIncarnation, h.now.Milliseconds())
	h.answerAs(h.takeWatch(), testIncarnation, h.now.Milliseconds())
	if r := h.nextReport(); r.Incarnation != testIncarnation || !r.LeaseWanted {
		t.Fatalf("incarnation %v, lease wanted %t", r.Incarnation, r.LeaseWanted)
	}
}
