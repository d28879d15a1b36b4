package jobs

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

// sequencedReport returns a report with its number among those of its agent.
func sequencedReport(sequence, seen uint64, running ...controlapi.RunReport) *controlapi.TargetReport {
	r := report(seen, running...)
	r.Sequence = sequence
	return r
}

// Guards against tasks that wait for good on a target whose agent reports but receives no
// answer: each lost answer renewed the lease that control counts, so the target was never
// lost, and new tasks were placed on it.
func TestLeaseOfALostAnswerDoesNotCount(t *testing.T) {
	const checkInterval = 500 * time.Millisecond
	h := newHarness(t)
	h.lead(2, 3)
	h.manifest()
	h.request(controlapi.OpTarget, sequencedReport(1, 0))
	h.advance(time.Second)
	h.request(controlapi.OpJobSubmit, submission())
	h.advance(tickInterval)
	if len(h.e.store.TasksOn(testTarget)) != 1 {
		t.Fatal("the task is not placed")
	}
	other := job.TargetIncarnation{ID: "i-2", Born: 1}
	placedAt, seen := h.now, uint64(0)
	for sequence := uint64(2); ; sequence++ {
		h.request(controlapi.OpTarget, sequencedReport(sequence, 1)) // answered, but Seen does not advance
		healthy := report(seen)
		healthy.Incarnation, healthy.Host, healthy.Agent, healthy.Sequence = other, "other", 2, sequence
		healthy.Capacity = resource.Vector{CPUMilli: 64000}
		a := h.request(controlapi.OpTarget, healthy)
		h.advance(checkInterval)
		for _, r := range a.got {
			if o, ok := r.Body.(controlapi.TargetOrders); ok {
				seen = max(seen, o.Number)
			}
		}
		task := h.e.store.Jobs[testJob].Task(job.Ref{Job: testJob})
		switch waited := h.now.Sub(placedAt); {
		case task.Target == other && waited < testTerms.TTL:
			t.Fatalf("the task was moved after %s, while the target may still have its lease", waited)
		case task.Target == other:
			return
		case waited > testTerms.SafeExpiry()+2*time.Second:
			t.Fatalf("the task is still placed after %s on the target that gets no answers", waited)
		}
	}
}

// Guards against a lease that is taken back although its answer may still arrive: the
// control client sends the same report again, and takes the answer to either copy.
func TestLeaseOfAResentReportCounts(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.manifest()
	h.request(controlapi.OpTarget, sequencedReport(1, 0))
	h.advance(time.Second)
	s := h.e.leader.sessions[testTarget]
	h.request(controlapi.OpTarget, sequencedReport(2, 1))
	h.advance(time.Second)
	granted := s.leaseExpiry
	h.request(controlapi.OpTarget, sequencedReport(2, 1))
	if s.leaseExpiry != granted {
		t.Errorf("lease until %v after the same report, want %v", s.leaseExpiry, granted)
	}
	r := sequencedReport(1, 0)
	r.Agent = 2 // the agent before it may have processed the answer
	h.request(controlapi.OpTarget, r)
	if s.leaseExpiry.Before(granted) {
		t.Errorf("lease until %v after the report of another agent process, want %v", s.leaseExpiry, granted)
	}
}
