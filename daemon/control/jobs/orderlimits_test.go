package jobs

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
	"github.com/ibispier/ibispier/wire"
)

// escapedPayload is the largest payload, of characters that JSON writes as six bytes.
var escapedPayload = strings.Repeat("<", job.MaxPayloadBytes)

// submitTasks submits a job with one step of the count.
func (h *harness) submitTasks(id uint64, count int, payload string) string {
	s := submission()
	s.Spec.ID = fmt.Sprintf("%016x", id)
	s.Path = "/q/" + s.Spec.ID
	s.Spec.Payload = payload
	s.Spec.Steps = []job.Step{{Count: count, Need: resource.Vector{CPUMilli: 10}}}
	h.request(controlapi.OpJobSubmit, s)
	return s.Spec.ID
}

// ordersOf returns the orders in the answer to a report, and their encoded size.
func (h *harness) ordersOf(r *controlapi.TargetReport) (controlapi.TargetOrders, int) {
	h.Helper()
	a := h.request(controlapi.OpTarget, r)
	h.advance(time.Duration(r.HoldMillis) * time.Millisecond)
	if len(a.got) != 1 {
		h.Fatalf("%d answers to a report", len(a.got))
	}
	orders, ok := a.got[0].Body.(controlapi.TargetOrders)
	if !ok {
		h.Fatalf("answer %+v", a.got[0])
	}
	data, err := json.Marshal(orders)
	if err != nil {
		h.Fatal(err)
	}
	return orders, len(data)
}

// Guards against an answer with the starts of a large job that exceeds a frame: the link
// was closed again and again, and no order and no lease reached the target. The starts
// must be spread over answers, and those that were never sent must go first.
func TestStartsOfLargePayloadsAreSpreadOverAnswers(t *testing.T) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	h.ordersOf(report(0))
	const tasks = 400
	h.submitTasks(1, tasks, escapedPayload)
	h.advance(tickInterval)
	if placed := len(h.e.store.TasksOn(testTarget)); placed != tasks {
		t.Fatalf("%d tasks placed, want %d", placed, tasks)
	}
	received := map[job.Ref]bool{}
	for answers := 0; len(received) < tasks; answers++ {
		if answers > tasks {
			t.Fatalf("%d of %d starts in %d answers", len(received), tasks, answers)
		}
		// The agent has processed no earlier answer, so sent starts become due again.
		orders, size := h.ordersOf(report(0))
		if size > wire.MaxFrameBytes/2 {
			t.Fatalf("an answer of %d bytes with %d starts; a frame has %d at most", size, len(orders.Starts), wire.MaxFrameBytes)
		}
		added := false
		for _, s := range orders.Starts {
			added = added || !received[s.Task]
			received[s.Task] = true
		}
		if !added {
			t.Fatalf("answer %d repeats only starts that were sent before; %d of %d were never sent", answers, tasks-len(received), tasks)
		}
	}
}

// Guards against an answer with the stops of many cancelled tasks that exceeds a frame.
func TestStopsAreSpreadOverAnswers(t *testing.T) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	h.ordersOf(report(0))
	const jobs, tasks = 6, 1000
	running := report(1)
	var ids []string
	for i := range jobs {
		ids = append(ids, h.submitTasks(uint64(i+1), tasks, ""))
		for index := range tasks {
			running.Running = append(running.Running, controlapi.RunReport{Task: job.Ref{Job: ids[i], Index: index}, Run: 1})
		}
	}
	for _, id := range ids {
		h.request(controlapi.OpJobCancel, &controlapi.JobQuery{Host: "h", Path: "/q/" + id})
	}
	stopped := map[job.Ref]bool{}
	for answers := 0; len(stopped) < jobs*tasks; answers++ {
		orders, size := h.ordersOf(running)
		if size > 256<<10 || answers > jobs*tasks {
			t.Fatalf("%d of %d stops, the last %d in %d bytes", len(stopped), jobs*tasks, len(orders.Stops), size)
		}
		for _, o := range orders.Stops {
			stopped[o.Task] = true
		}
	}
}
