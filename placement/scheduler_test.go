package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/ibispier/ibispier/quarantine"
)

// newSmallScheduler returns a scheduler with workers of 8 cores, alternately in
// zones a and b.
func newSmallScheduler(o Options, workers int) *Scheduler {
	s := New(o)
	s.SetDefaultQuota(&Quota{Limit: size(1000, 1000), Tasks: 1000})
	for i := range workers {
		s.SetWorker(Worker{ID: fmt.Sprint("w", i), Zone: string(rune('a' + i%2)), Rack: "r", Capacity: size(8, 64)}, epoch)
	}
	return s
}

func batch(id, class string, cores int) Task {
	return Task{ID: id, Customer: "c", Class: class, Size: size(cores, 1)}
}

// Guards against placements on a quarantined worker, and against a worker that is
// never released from quarantine or released without probation.
func TestQuarantinedWorkerReturnsThroughProbation(t *testing.T) {
	s, now := newSmallScheduler(Options{}, 8), epoch
	for i := range 4 {
		id := fmt.Sprint("failing", i)
		s.RecordPlacement(batch(id, "scan", 1), "w0", now)
		s.RecordEnd(id, true, now)
		s.RecordPlacement(batch(id, "scan", 1), "w1", now)
		s.RecordEnd(id, false, now)
	}
	d := s.Step(now)
	if len(d.Quarantine) != 1 || d.Quarantine[0].Name != "w0" {
		t.Fatalf("quarantine is %+v, want w0", d.Quarantine)
	}
	fill := func() (onFirst int) {
		for i := range 64 {
			s.Submit(batch(fmt.Sprint(now.Unix(), "-", i), "sort", 1), now)
		}
		for _, p := range s.Step(now).Placements {
			if p.Worker == "w0" {
				onFirst++
			}
		}
		return onFirst
	}
	if n := fill(); n != 0 {
		t.Fatalf("%d tasks on a quarantined worker", n)
	}
	now = now.Add(11 * time.Minute)
	if n := fill(); n != 1 {
		t.Fatalf("%d tasks on a worker on probation, want 1", n)
	}
}

// Guards against a job that fails on every worker and is retried indefinitely, and
// against one that stays held after an operator has released it.
func TestQuarantinedJobIsHeldAndReleased(t *testing.T) {
	s, now := newSmallScheduler(Options{}, 8), epoch
	for i := range 8 {
		for j := range 4 {
			s.RecordPlacement(batch(fmt.Sprint("ok", j), "sort", 1), fmt.Sprint("w", i), now)
			s.RecordEnd(fmt.Sprint("ok", j), false, now)
		}
	}
	var held []HeldTask
	attempts := 0
	s.Submit(batch("bad", "scan", 1), now)
	for ; attempts < 50 && len(held) == 0; attempts++ {
		now = now.Add(time.Second)
		d := s.Step(now)
		held = d.Held
		s.RecordEnd("bad", true, now)
	}
	if len(held) != 1 || !strings.HasPrefix(held[0].Reason, "quarantined") || attempts > 10 {
		t.Fatalf("held %+v after %d steps", held, attempts)
	}
	if !s.Release(quarantine.Job, "bad", now) {
		t.Fatal("Release returned false for a quarantined job")
	}
	if d := s.Step(now); len(d.Released) != 1 || len(d.Placements) != 1 {
		t.Fatalf("after the release: %+v, want one released task and its placement", d)
	}
}

// Guards against urgent tasks that wait for batch tasks to end on a full cluster,
// and against more than one victim for one urgent task.
func TestUrgentTaskPreemptsOneBatchTask(t *testing.T) {
	s, now := newSmallScheduler(Options{EvictionsPerHour: 1}, 2), epoch
	for i := range 4 {
		s.RecordPlacement(batch(fmt.Sprint("b", i), "sort", 4), fmt.Sprint("w", i%2), now)
	}
	urgent := batch("urgent", "sort", 4)
	urgent.Urgent = true
	s.Submit(urgent, now)
	d := s.Step(now)
	if len(d.Actions) != 1 || d.Actions[0].Cause != Preemption || d.Actions[0].Kind != Checkpoint {
		t.Fatalf("got %+v, want one preemption", d.Actions)
	}
	if d := s.Step(now.Add(time.Second)); len(d.Actions) != 0 {
		t.Fatalf("a second victim for one urgent task: %+v", d.Actions)
	}
	s.Submit(batch("other", "sort", 4), now)
	s.Requeue(d.Actions[0].Task, now)
	p := s.Step(now.Add(2 * time.Second)).Placements
	if len(p) != 1 || p[0].Task != "urgent" || p[0].Worker != d.Actions[0].Worker {
		t.Fatalf("got %v, want the urgent task in place of the victim", p)
	}
	// The eviction budget is used up for a second urgent task.
	urgent.ID = "urgent2"
	s.Submit(urgent, now)
	if d := s.Step(now.Add(time.Minute)); len(d.Actions) != 0 {
		t.Fatalf("evictions in excess of the budget: %+v", d.Actions)
	}
}

// Guards against a placement whose confirmation is lost and that occupies capacity
// indefinitely, and against a moved task that returns to the worker it disturbed.
func TestUnconfirmedPlacementExpiresAndMovedTaskStaysAway(t *testing.T) {
	s, now := newSmallScheduler(Options{}, 2), epoch
	s.Submit(batch("t", "sort", 8), now)
	first := s.Step(now).Placements[0].Worker
	if p := s.Step(now.Add(6 * time.Second)).Placements; len(p) != 1 {
		t.Fatalf("got %v, want the task proposed again", p)
	}
	s.Remove("t", now)
	s.RecordPlacement(batch("moved", "sort", 8), first, now)
	s.cache.tasks["moved"].evicting = true
	s.Requeue("moved", now)
	if p := s.Step(now.Add(7 * time.Second)).Placements; len(p) != 1 || p[0].Worker == first {
		t.Fatalf("got %v, want the other worker than %s", p, first)
	}
}

// Guards against scores that have no effect: a task must be placed in the zone
// without another task of its class, and away from the service that its class
// slows down.
func TestScoresSpreadAndAvoidHarm(t *testing.T) {
	s, now := newSmallScheduler(Options{}, 2), epoch
	s.RecordPlacement(batch("like", "scan", 1), "w0", now)
	other := batch("other", "sort", 2)
	other.Customer = "d"
	s.RecordPlacement(other, "w1", now)
	s.Submit(batch("t", "scan", 1), now)
	if p := s.Step(now).Placements; len(p) != 1 || p[0].Worker != "w1" {
		t.Fatalf("got %v, want the zone without a task of the class", p)
	}

	s = newSmallScheduler(Options{}, 2)
	s.RecordPlacement(Task{ID: "s0", Kind: Service, Class: "sensitive"}, "w0", now)
	s.RecordPlacement(Task{ID: "s1", Kind: Service, Class: "robust"}, "w1", now)
	s.RecordPlacement(batch("filler", "sort", 3), "w1", now)
	for i, slowdown := range []float64{3, 1} {
		for range 20 {
			s.RecordPlacement(batch("probe", "scan", 4), fmt.Sprint("w", i), now)
			now = now.Add(time.Second)
			service := fmt.Sprint("s", i)
			s.Observe(fmt.Sprint("w", i), []Usage{{Task: service, Slowdown: slowdown, MeasuredAt: now}}, now)
			s.Remove("probe", now)
		}
	}
	s.cache.byID["w0"].measuredSlowdown = 1
	task := batch("t", "scan", 1)
	task.Urgent = true // urgent tasks pass the filter isDisturbed, so that the score decides
	s.Submit(task, now)
	if p := s.Step(now).Placements; len(p) != 1 || p[0].Worker != "w1" {
		t.Fatalf("got %v, want the worker with the robust service", p)
	}
}

// Guards against the placement of a task beside a disturbed service that it would
// slow down further.
func TestDisturbingTaskWaits(t *testing.T) {
	s, now := newSmallScheduler(Options{}, 1), epoch
	s.RecordPlacement(Task{ID: "s", Kind: Service, Class: "service"}, "w0", now)
	s.Observe("w0", []Usage{{Task: "s", Slowdown: 2, MeasuredAt: now}}, now)
	s.Submit(batch("t", "scan", 2), now)
	if p := s.Step(now.Add(time.Second)).Placements; len(p) != 0 || !strings.Contains(s.PendingReason("t"), "slowed down") {
		t.Fatalf("placed %v, reason %q", p, s.PendingReason("t"))
	}
}

// Guards against a large task that is starved by a stream of small ones, because
// the capacity that it needs is never free at one time.
func TestAgedLargeTaskIsNotPassedForEver(t *testing.T) {
	s, now := newSmallScheduler(Options{}, 1), epoch
	for i := range 8 {
		s.RecordPlacement(batch(fmt.Sprint("first", i), "sort", 1), "w0", now)
	}
	s.Submit(batch("large", "sort", 8), now)
	now = now.Add(6 * time.Minute)
	running := slices.Sorted(maps.Keys(s.cache.tasks))
	for i := range 20 {
		s.Submit(batch(fmt.Sprint("small", i), "sort", 1), now)
		for _, p := range s.Step(now).Placements {
			if p.Task == "large" {
				return
			}
			running = append(running, p.Task)
		}
		if len(running) > 0 {
			s.RecordEnd(running[0], false, now)
			running = running[1:]
		}
		now = now.Add(time.Second)
	}
	t.Fatal("the large task was not placed although each step ended one task")
}
