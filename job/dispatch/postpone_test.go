package dispatch

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

// runWith decides with limits, and a rate of work for all pools.
func (w *fixture) runWith(l Limits, rate float64) []job.Start {
	d := New(l)
	w.describe(d)
	in := w.input()
	in.WorkRate = func(Pool) float64 { return rate }
	return d.Run(in)
}

func postponingLimits() Limits {
	l := DefaultLimits()
	l.PostponeLarge = true
	return l
}

// submitBurst submits a large job and then small ones, all at once. Each could be in time
// alone; together they have five times the work that a target does in that time.
func submitBurst(w *fixture) (large string, small map[string]bool) {
	large = w.submit(2, time.Second, fillingStep(60))
	small = map[string]bool{}
	for range 4 {
		small[w.submit(2, 0, fillingStep(2))] = true
	}
	return large, small
}

// Guards against a large job that takes the room of a burst of small ones only because it
// came first, so that all of them are late.
func TestLargeJobIsDelayedWhileNotAllCanBeInTime(t *testing.T) {
	const rate = 64_000 // of the one target
	w := newFixture(1)
	large, small := submitBurst(w)
	if starts := w.run(); len(starts) == 0 || starts[0].Task.Job != large {
		t.Fatalf("starts %v, want the large job first by its deadline", starts)
	}
	starts := w.runWith(postponingLimits(), rate)
	if len(starts) < 8 {
		t.Fatalf("%d starts, want the 8 small tasks and what fits beside them", len(starts))
	}
	for i, s := range starts {
		if small[s.Task.Job] != (i < 8) {
			t.Fatalf("start %d is of job %s, want the small jobs first", i, s.Task.Job)
		}
	}
}

// Guards against delays while there is room for all, or while nothing was measured yet.
func TestNobodyIsDelayedWithoutNeed(t *testing.T) {
	w := newFixture(1)
	large, _ := submitBurst(w)
	for name, rate := range map[string]float64{"room for all": 640_000, "unknown rate": 0} {
		if starts := w.runWith(postponingLimits(), rate); starts[0].Task.Job != large {
			t.Errorf("%s: first start is of %s, want the order of deadlines", name, starts[0].Task.Job)
		}
	}
}

// Guards against a job that is passed for ever because new ones keep coming that can be
// in time, and against several such jobs that together make all others late.
func TestOneOverdueJobAtATimeGoesFirst(t *testing.T) {
	w := newFixture(1)
	w.submit(2, 80*time.Second, fillingStep(60)) // 11 times its objective
	oldest := w.submit(2, 90*time.Second, fillingStep(4))
	_, small := submitBurst(w)
	starts := w.runWith(postponingLimits(), 64_000)
	for i, s := range starts {
		if i < 4 && s.Task.Job != oldest || i >= 4 && i < 9 && !small[s.Task.Job] {
			t.Fatalf("start %d is of %s, want the oldest job and then the small ones", i, s.Task.Job)
		}
	}
}

// Guards against a job that no target can run, and that for ever has the place of the
// overdue job.
func TestOverdueJobThatNoTargetCanRunHasNoPlace(t *testing.T) {
	w := newFixture(1)
	unfit := fillingStep(4)
	unfit.Label = "none"
	w.submit(2, 95*time.Second, unfit)
	overdue := w.submit(2, 90*time.Second, fillingStep(4))
	submitBurst(w)
	if starts := w.runWith(postponingLimits(), 64_000); len(starts) == 0 || starts[0].Task.Job != overdue {
		t.Fatalf("starts %v, want the overdue job that can run first", starts)
	}
}

// Guards against a filling task beside a serving image that it disturbs strongly, while
// another target with as much idle processor time serves one that it hardly disturbs.
func TestFillingTaskTakesLittleHeadroom(t *testing.T) {
	l := DefaultLimits()
	l.AvoidDisturbance = true
	w := newFixture(2)
	for i, image := range []string{"sensitive", "robust"} {
		step := servingStep(1)
		step.Image = image
		id := w.submit(0, 0, step)
		w.store.Apply(&job.Command{Starts: []job.Start{{Task: job.Ref{Job: id}, Run: 1, Target: w.targets[i].Incarnation}}})
		w.targets[i].Headroom = map[string]float64{image: 3} // no filter rejects either target
	}
	w.submit(2, 0, fillingStep(2))
	d := New(l)
	w.describe(d)
	in := w.input()
	in.Disturbs = func(serving, _ string) job.Disturbance {
		return job.Disturbance{Coefficient: map[string]float64{"sensitive": 6, "robust": 0.3}[serving]}
	}
	starts := d.Run(in)
	if len(starts) != 2 || starts[0].Target != w.targets[1].Incarnation || starts[1].Target != w.targets[1].Incarnation {
		t.Fatalf("starts %v, want both on %s", starts, w.targets[1].Incarnation.ID)
	}
}

// Guards against filling tasks that take the memory of a target, so that tasks which reserve
// its unreserved processors find no room: on scale-1 of the large deployment 95 of 390 quick
// jobs were late for that.
func TestFillingTasksLeaveMemoryForReservingOnes(t *testing.T) {
	l := DefaultLimits()
	l.FillingCPUShare = 4
	w := newFixture(1)
	filling := fillingStep(40)
	filling.Need.MemoryMiB = 13_000
	w.submit(2, 0, filling)
	w.store.Apply(&job.Command{Starts: w.runWith(l, 0)})
	quick := w.submit(0, 0, job.Step{Count: 32, Need: resource.Vector{CPUMilli: 2000, MemoryMiB: 4000}})
	started := 0
	for _, s := range w.runWith(l, 0) {
		if s.Task.Job == quick {
			started++
		}
	}
	if started != 32 {
		t.Fatalf("%d of 32 tasks that reserve all processors start beside filling ones", started)
	}
}
