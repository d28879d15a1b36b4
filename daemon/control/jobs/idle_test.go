package jobs

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

// Guards against a lasting filling task that waits forever because other tasks of its
// job run: only a job without any placed task was started despite the filters for
// filling tasks.
func TestLastingFillingTaskStartsWhileOthersRun(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.manifest()
	serving := report(0)
	serving.Serving = []controlapi.ServingHeadroom{{Image: "s", Headroom: 0.2}}
	h.request(controlapi.OpTarget, serving)
	h.advance(time.Second)
	submit := func(id string, steps ...job.Step) {
		h.request(controlapi.OpJobSubmit, &controlapi.JobSubmitRequest{Host: "h", Path: "/q/" + id, Spec: job.Spec{ID: id, Steps: steps}})
	}
	running, seen := map[job.Ref]int{}, uint64(0)
	beat := func() {
		r := report(seen)
		r.Serving = serving.Serving
		for ref, run := range running {
			r.Running = append(r.Running, controlapi.RunReport{Task: ref, Run: run})
		}
		a := h.request(controlapi.OpTarget, r)
		h.advance(time.Second)
		for _, got := range a.got {
			if orders, ok := got.Body.(controlapi.TargetOrders); ok && orders.Number > 0 {
				seen = orders.Number
				for _, s := range orders.Starts {
					running[s.Task] = s.Run
				}
			}
		}
	}
	const filling = "00000000000000f0"
	submit("00000000000000a0", job.Step{Count: 1, Need: resource.Vector{CPUMilli: 30000}, Lasting: true, TailTargetMillis: 50, Image: "s"})
	beat()
	submit(filling, job.Step{Count: 2, Need: resource.Vector{CPUMilli: 30000}, Lasting: true, Filling: true, Image: "f"})
	for range 24 {
		beat()
	}
	placed := 0
	for i := range 2 {
		if h.e.store.Jobs[filling].Task(job.Ref{Job: filling, Index: i}).State == job.Placed {
			placed++
		}
	}
	if placed != 2 {
		t.Fatalf("%d of 2 lasting tasks are placed after 24 s, with less than half of the processors reserved", placed)
	}
}
