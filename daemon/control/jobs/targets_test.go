package jobs

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
)

// Guards against a delayed report of an ended incarnation that takes the tasks of the
// running one, and against starts on the ended one: the control client sends a report again
// to a new leader although the agent has a newer incarnation by then. The newer one is born
// earlier, because the clock was set back.
func TestDelayedReportOfAnEndedIncarnationHasNoEffect(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.manifest()
	current := job.TargetIncarnation{ID: testTarget.ID, Born: testTarget.Born - 1}
	delayed := report(0)
	delayed.Agent, delayed.Sequence = 7, 1
	reportCurrent := func(seen uint64, running ...controlapi.RunReport) {
		r := report(seen, running...)
		r.Incarnation, r.Agent, r.Sequence = current, 7, seen+2
		h.request(controlapi.OpTarget, r)
	}
	reportCurrent(0)
	h.advance(time.Second)
	h.request(controlapi.OpJobSubmit, submission())
	reportCurrent(1)
	h.advance(100 * time.Millisecond)
	if len(h.e.store.TasksOn(current)) != 1 {
		t.Fatal("the task is not placed on the current incarnation")
	}
	h.request(controlapi.OpTarget, delayed)
	h.advance(100 * time.Millisecond)
	for seen := uint64(2); seen < 5; seen++ {
		reportCurrent(seen, controlapi.RunReport{Task: job.Ref{Job: testJob}, Run: 1})
		h.advance(time.Second)
	}
	task := h.e.store.Jobs[testJob].Task(job.Ref{Job: testJob})
	if task.Target != current || task.Run != 1 || task.State != job.Placed {
		t.Fatalf("task %+v, want run 1 on %+v, which executes it", *task, current)
	}
}

// Guards against a task that is started elsewhere while the current incarnation of its
// target executes it: an agent that was restarted together with the target does not
// know the earlier incarnation and does not report it as gone.
func TestRunOfALaterIncarnationIsAdoptedWithoutItsReportAsGone(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.placeTask()
	next := job.TargetIncarnation{ID: testTarget.ID, Born: testTarget.Born + 1}
	r := report(0, controlapi.RunReport{Task: job.Ref{Job: testJob}, Run: 1, Adopted: true})
	r.Incarnation, r.Agent = next, 2
	h.request(controlapi.OpTarget, r)
	h.advance(tickInterval)
	task := h.e.store.Jobs[testJob].Task(job.Ref{Job: testJob})
	if task.Run != 1 || task.Target != next {
		t.Fatalf("run %d on %v, want run 1 on %v, which executes it", task.Run, task.Target, next)
	}
}

// Guards against reports in a loop while a target does not answer its agent: the lease
// is not renewed by the answer, so there is no reason to send it at once.
func TestReportWithoutWantedLeaseIsHeld(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.manifest()
	h.request(controlapi.OpTarget, report(0))
	h.advance(time.Second)
	h.now = h.now.Add(testTerms.TTL)
	r := report(1)
	r.LeaseWanted = false
	if a := h.request(controlapi.OpTarget, r); len(a.got) > 0 {
		t.Fatal("the report is answered at once")
	}
}
