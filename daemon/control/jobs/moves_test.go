package jobs

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/telemetry"
)

// stopsOfASlowedTask places a filling task, reports it as slowed for a second, with or
// without a second target, and returns the stops that its agent receives.
func stopsOfASlowedTask(t *testing.T, checkpoints, otherTarget bool) int {
	h := newHarness(t)
	h.e.options.Limits.MoveSlowed = true
	h.lead(2, 3)
	h.manifest()
	h.request(controlapi.OpTarget, report(0))
	h.advance(time.Second) // the first answer grants the lease
	h.request(controlapi.OpTarget, report(1))
	s := submission()
	s.Spec.Steps[0].Filling, s.Spec.Steps[0].Image, s.Spec.Steps[0].Checkpoints = true, "f", checkpoints
	h.request(controlapi.OpJobSubmit, s)
	h.advance(50 * time.Millisecond)
	other := report(0)
	other.Incarnation, other.Host = job.TargetIncarnation{ID: "i-2", Born: 1}, "host-2"
	slowed := controlapi.RunReport{Task: job.Ref{Job: testJob}, Run: 1, Slowed: true}
	stops := 0
	for seen := uint64(2); seen < 12; seen++ {
		if otherTarget {
			h.request(controlapi.OpTarget, other)
			other.Seen++
		}
		a := h.request(controlapi.OpTarget, report(seen, slowed))
		for range 3 {
			h.advance(50 * time.Millisecond)
		}
		for _, answer := range a.got {
			if orders, ok := answer.Body.(controlapi.TargetOrders); ok {
				stops += len(orders.Stops)
			}
		}
	}
	return stops
}

// Guards against a task that runs at a tenth of its pace although another target has room,
// and against one that is stopped only to wait, or to begin again without a checkpoint.
func TestSlowedTaskMovesOnlyIfItGains(t *testing.T) {
	if n := stopsOfASlowedTask(t, true, true); n == 0 {
		t.Error("not moved although another target has room")
	}
	if n := stopsOfASlowedTask(t, true, false); n != 0 {
		t.Errorf("%d stops without room elsewhere", n)
	}
	if n := stopsOfASlowedTask(t, false, true); n != 0 {
		t.Errorf("%d stops of a task without checkpoints", n)
	}
}

// Guards against jobs whose outcome operators cannot see: each finished one is counted by
// its queue and by whether it met its objective.
func TestFinishedJobsAreCounted(t *testing.T) {
	h := newHarness(t)
	m := telemetry.NewMetrics()
	h.e.options.Metrics = m
	h.lead(2, 3)
	h.placeTask()
	end := report(2)
	end.Ends = []job.End{{Target: testTarget, Number: 1, Task: job.Ref{Job: testJob}, Run: 1, Outcome: job.RunDone}}
	h.request(controlapi.OpTarget, end)
	finished := int64(0)
	for _, result := range []string{"in_time", "late", "missed"} {
		finished += m.Counter("ibispier_jobs_finished_total", "queue", "", "result", result).Count()
	}
	if finished != 1 {
		t.Fatalf("%d jobs counted, want 1", finished)
	}
}
