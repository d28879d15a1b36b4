package dispatch

import (
	"testing"

	"github.com/ibispier/ibispier/job"
)

// Guards against an idle filling job that is not started although its service is empty
// but for tasks that the filters protect, because the targets of another service are
// full.
func TestSpareCapacityIsThatOfTheService(t *testing.T) {
	for _, otherIsFull := range []bool{false, true} {
		if starts := startsOfIdleJobBeside(otherIsFull); len(starts) != 1 {
			t.Errorf("other service is full: %v; starts %v of an idle filling job, want 1: a fifth of its own service is reserved", otherIsFull, starts)
		}
	}
}

func startsOfIdleJobBeside(otherIsFull bool) []job.Start {
	w := newFixture(8)
	for _, target := range w.targets[2:] {
		target.Service = "other"
	}
	if otherIsFull {
		w.store.Apply(&job.Command{Submit: []*job.Submission{{
			Spec:  job.Spec{ID: "00000000000000ff", Steps: []job.Step{{Count: 6, Need: cores(64), EstimateMillis: 1000}}},
			Queue: job.Queue{Host: "h", Prefix: "/other/", Service: "other", Attempts: 2},
		}}})
		w.store.Apply(&job.Command{Starts: w.run()})
	}
	w.submit(0, 0, servingStep(2))
	w.store.Apply(&job.Command{Starts: w.run()}) // 26 of 128 cores of the service are reserved
	w.coefficients["f"] = 6
	id := w.submit(0, 0, fillingStep(1))
	w.targets[0].Headroom, w.targets[1].Headroom = map[string]float64{"s": 0.1}, map[string]float64{"s": 0.1}
	for i := range w.targets {
		if w.store.TasksOn(w.targets[i].Incarnation) == nil && w.targets[i].Service == "s" {
			w.unstartable[i] = true // only targets with serving tasks remain
		}
	}
	var ofJob []job.Start
	for _, s := range w.run(id) {
		if s.Task.Job == id {
			ofJob = append(ofJob, s)
		}
	}
	return ofJob
}

// Guards against several filling tasks of an idle job that start past the filters,
// because the first start is not committed yet: one of them is meant to run.
func TestPendingStartEndsTheIdleTime(t *testing.T) {
	w := newFixture(1)
	w.submit(0, 0, servingStep(2))
	w.store.Apply(&job.Command{Starts: w.run()})
	w.coefficients["f"] = 6
	w.targets[0].Headroom = map[string]float64{"s": 0.1}
	id := w.submit(2, 0, fillingStep(4))
	d := New(DefaultLimits())
	w.describe(d)
	total := 0
	for range 4 { // no start is settled, so the leader passes the job as idle
		total += len(d.Run(w.input(id)))
	}
	if total != 1 {
		t.Errorf("%d starts past the filters, want 1 until it is settled", total)
	}
}

// Guards against starts beyond the capacity of a target whose session was dropped and
// made anew while starts on it are pending: they may still be committed.
func TestPendingStartsCountOnATargetThatReturns(t *testing.T) {
	w := newFixture(1)
	step := job.Step{Count: 1, Need: cores(40), EstimateMillis: 3000}
	w.submit(0, 0, step)
	d := New(DefaultLimits())
	w.describe(d)
	first := d.Run(w.input())
	if len(first) != 1 {
		t.Fatalf("%d starts", len(first))
	}
	d.RemoveTarget(w.targets[0].Incarnation)
	w.describe(d)
	w.submit(0, 0, step)
	if second := d.Run(w.input()); len(second) != 0 {
		w.store.Apply(&job.Command{Starts: first})
		w.store.Apply(&job.Command{Starts: second})
		t.Fatalf("%d tasks of 40 cores are placed on a target of 64", len(w.store.TasksOn(w.targets[0].Incarnation)))
	}
}

// Guards against an idle filling gang that is never started, because other jobs start in
// each pass: the pass without filters is limited to one start.
func TestIdleFillingGangStartsInAPassWithOtherStarts(t *testing.T) {
	w := newFixture(1)
	w.submit(0, 0, servingStep(2))
	w.store.Apply(&job.Command{Starts: w.run()})
	w.coefficients["f"] = 6
	for _, target := range w.targets {
		target.Headroom = map[string]float64{"s": 0.1}
	}
	gang := fillingStep(2)
	gang.Gang = true
	id := w.submit(2, 0, gang)
	if starts := w.run(); len(starts) != 0 {
		t.Fatalf("starts %v, want none while the job does not count as idle", starts)
	}
	alone := w.run(id)
	if len(alone) != 2 {
		t.Fatalf("starts %v of the idle gang alone, want 2", alone)
	}
	w.submit(0, 0, job.Step{Count: 1, Need: cores(1), EstimateMillis: 100})
	if starts := w.run(id); len(starts) != 3 {
		t.Errorf("starts %v, want the gang of 2 and the other job", starts)
	}
}
