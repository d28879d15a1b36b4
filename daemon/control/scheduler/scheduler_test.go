package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/ring"
)

type harness struct {
	*testing.T
	updates   *ring.Ring[applier.SchedulerUpdate]
	decisions *ring.Ring[applier.Decision]
	ctx       context.Context
}

func start(t *testing.T) *harness {
	h := &harness{
		T:         t,
		updates:   ring.New[applier.SchedulerUpdate]("changes", 16),
		decisions: ring.New[applier.Decision]("decisions", 2), // small, so that the ring fills up
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	h.ctx = ctx
	done := make(chan error, 1)
	go func() { done <- New(h.updates, h.decisions).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return h
}

func (h *harness) send(u applier.SchedulerUpdate) {
	h.Helper()
	u.Leading = true
	if err := h.updates.Put(h.ctx, u); err != nil {
		h.Fatal(err)
	}
}

func (h *harness) take() applier.Decision {
	h.Helper()
	d, err := h.decisions.Take(h.ctx)
	if err != nil {
		h.Fatalf("no decision: %v", err)
	}
	return d
}

func queued(id string, cores int64) applier.TaskUpdate {
	return applier.TaskUpdate{
		ID: id, Customer: "desk", Kind: controlapi.KindBatch, Class: "scan", State: controlapi.TaskQueued, Epoch: 1,
		Size: controlapi.Resources{CPUMilli: cores * 1000}, QueuedAt: time.Now(),
	}
}

func workers(zones ...string) []applier.WorkerUpdate {
	var list []applier.WorkerUpdate
	for _, zone := range zones {
		list = append(list, applier.WorkerUpdate{Worker: controlapi.Worker{
			Agent: "agent-" + zone, Zone: zone, Rack: "1", Capacity: controlapi.Resources{CPUMilli: 8000},
		}})
	}
	return list
}

// Guards against placing a task twice, losing decisions when the ring to the
// applier is full, and not proposing a rejected task again.
func TestProposesEachTaskOnceAndRejectedOnesAgain(t *testing.T) {
	h := start(t)
	var tasks []applier.TaskUpdate
	for i := range 8 {
		tasks = append(tasks, queued(fmt.Sprint("task-", i), 2))
	}
	h.send(applier.SchedulerUpdate{Reset: true, Config: &controlapi.Config{}, Workers: workers("a", "b"), Tasks: tasks})
	seen := map[string]string{}
	for range tasks {
		p := h.take().Place
		if p == nil || p.Epoch != 1 || seen[p.Task] != "" {
			t.Fatalf("got placement %+v after %v, want one of each task", p, seen)
		}
		seen[p.Task] = p.Agent
	}
	h.send(applier.SchedulerUpdate{Rejected: []applier.Rejection{{Task: "task-3", Agent: seen["task-3"]}}})
	if p := h.take().Place; p == nil || p.Task != "task-3" {
		t.Fatalf("got %+v, want the rejected task proposed again", p)
	}
}

// Guards against tasks that stay, or are placed, in a zone that is out of service,
// and against a missed eviction, after which a task is placed twice or not again.
func TestEvacuatesAZoneAndPlacesElsewhere(t *testing.T) {
	h := start(t)
	h.send(applier.SchedulerUpdate{Reset: true, Config: &controlapi.Config{}, Workers: workers("a"), Tasks: []applier.TaskUpdate{queued("task", 2)}})
	if p := h.take().Place; p == nil || p.Agent != "agent-a" {
		t.Fatalf("got %+v", p)
	}
	placed := queued("task", 2)
	placed.State, placed.Epoch, placed.Agent = controlapi.TaskRunning, 2, "agent-a"
	h.send(applier.SchedulerUpdate{Tasks: []applier.TaskUpdate{placed}})
	h.send(applier.SchedulerUpdate{Config: &controlapi.Config{ZonesOut: []string{"a"}}, Workers: workers("b")})
	if a := h.take().Action; a == nil || a.Action != controlapi.ActionCheckpoint || a.Epoch != 2 {
		t.Fatalf("got %+v, want a checkpoint", a)
	}
	evicted := queued("task", 2)
	evicted.Epoch = 3
	h.send(applier.SchedulerUpdate{Tasks: []applier.TaskUpdate{evicted}})
	if p := h.take().Place; p == nil || p.Agent != "agent-b" || p.Epoch != 3 {
		t.Fatalf("got %+v, want a placement on agent-b", p)
	}
}

// Guards against a task that fits no worker and stays pending without a report, and
// against one that stays quarantined after a large enough worker has joined.
func TestReportsJobsThatNeverRun(t *testing.T) {
	h := start(t)
	h.send(applier.SchedulerUpdate{Reset: true, Config: &controlapi.Config{}, Workers: workers("a"), Tasks: []applier.TaskUpdate{queued("large", 64)}})
	q := h.take().Quarantine
	if q == nil || q.Name != "large" || q.Release || q.Reason == "" {
		t.Fatalf("got %+v, want the large task in quarantine", q)
	}
	task := queued("large", 64)
	task.State = controlapi.TaskQuarantined
	h.send(applier.SchedulerUpdate{
		Tasks:      []applier.TaskUpdate{task},
		Quarantine: []controlapi.Quarantined{{Kind: q.Kind, Name: q.Name, Reason: q.Reason}},
	})
	large := workers("b")
	large[0].Worker.Capacity.CPUMilli = 128_000
	h.send(applier.SchedulerUpdate{Workers: large})
	if q := h.take().Quarantine; q == nil || q.Name != "large" || !q.Release {
		t.Fatalf("got %+v, want the release", q)
	}
}

// Guards against limits of plans that are not applied, and against decisions after
// leadership has ended.
func TestQuotasAndLeadership(t *testing.T) {
	h := start(t)
	config := controlapi.Config{
		Revision:  1,
		Customers: []controlapi.Subscription{{Customer: "desk", Plan: "small"}},
		Plans:     []controlapi.Plan{{Name: "small", CPUMilli: 2000, Tasks: 5}},
	}
	h.send(applier.SchedulerUpdate{Reset: true, Config: &config, Workers: workers("a"), Tasks: []applier.TaskUpdate{queued("1", 2), queued("2", 2)}})
	h.take()
	config.Plans[0].CPUMilli = 4000
	h.send(applier.SchedulerUpdate{Config: &config})
	if p := h.take().Place; p == nil || p.Task != "2" {
		t.Fatalf("got %+v, want the second task once the plan allows it", p)
	}
	if err := h.updates.Put(h.ctx, applier.SchedulerUpdate{Leading: false, Tasks: []applier.TaskUpdate{queued("3", 1)}}); err != nil {
		t.Fatal(err)
	}
	h.send(applier.SchedulerUpdate{Reset: true, Config: &controlapi.Config{}, Workers: workers("a"), Tasks: []applier.TaskUpdate{queued("4", 1)}})
	if p := h.take().Place; p == nil || p.Task != "4" {
		t.Fatalf("got %+v, want only the task of the new leadership", p)
	}
}
