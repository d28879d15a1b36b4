package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/faults"
)

// failures records failed runs for a fixture.
type failures struct {
	tracker *faults.Tracker
	now     time.Time
}

func newFailures() *failures { return &failures{faults.NewTracker(), testNow} }

// add records failures of the task on two targets, so that its step is at fault.
func (f *failures) add(ref job.Ref) {
	for _, target := range []string{"x", "y"} {
		f.tracker.RecordFailure(f.now, faults.Failure{Task: ref, Target: job.TargetIncarnation{ID: target}, Lasting: true})
	}
}

// startedWith returns the tasks that start, in their order.
func (w *fixture) startedWith(f *failures) []job.Ref {
	d := New(DefaultLimits())
	w.describe(d)
	in := w.input()
	in.FailedTasks, in.SteadyNow = f.tracker.FailedTasks, f.now
	var refs []job.Ref
	for _, s := range d.Run(in) {
		refs = append(refs, s.Task)
	}
	return refs
}

// Guards against failed tasks that take the room from others: of their step, of a later
// step, or of a job that was accepted later. Of the failed tasks, those that failed first
// must come first.
func TestFailedTasksComeLast(t *testing.T) {
	lasting := func(count int) job.Step { return job.Step{Count: count, Need: cores(32), Lasting: true} }
	afterHolds := func(f *failures) { f.now = f.now.Add(time.Minute) }
	t.Run("one step", func(t *testing.T) {
		w, f := newFixture(1), newFailures()
		id := w.submit(0, 0, lasting(4))
		for _, i := range []int{1, 0} {
			f.add(job.Ref{Job: id, Index: i})
		}
		afterHolds(f)
		if got, want := w.startedWith(f), []job.Ref{{Job: id, Index: 2}, {Job: id, Index: 3}}; !slices.Equal(got, want) {
			t.Errorf("started %v, want %v", got, want)
		}
		f.add(job.Ref{Job: id, Index: 2})
		f.add(job.Ref{Job: id, Index: 3})
		afterHolds(f)
		if got, want := w.startedWith(f), []job.Ref{{Job: id, Index: 1}, {Job: id, Index: 0}}; !slices.Equal(got, want) {
			t.Errorf("started %v, want %v, which failed first", got, want)
		}
	})
	t.Run("two steps", func(t *testing.T) {
		w, f := newFixture(1), newFailures()
		id := w.submit(0, 0, lasting(2), lasting(2))
		f.add(job.Ref{Job: id, Index: 0})
		f.add(job.Ref{Job: id, Index: 1})
		afterHolds(f)
		if got, want := w.startedWith(f), []job.Ref{{Job: id, Step: 1, Index: 0}, {Job: id, Step: 1, Index: 1}}; !slices.Equal(got, want) {
			t.Errorf("started %v, want %v", got, want)
		}
	})
	t.Run("two jobs", func(t *testing.T) {
		w, f := newFixture(1), newFailures()
		older := w.submit(0, time.Hour, lasting(2))
		newer := w.submit(0, 0, lasting(2))
		f.add(job.Ref{Job: older, Index: 0})
		f.add(job.Ref{Job: older, Index: 1})
		afterHolds(f)
		if got, want := w.startedWith(f), []job.Ref{{Job: newer, Index: 0}, {Job: newer, Index: 1}}; !slices.Equal(got, want) {
			t.Errorf("started %v, want %v", got, want)
		}
	})
	t.Run("higher priority", func(t *testing.T) {
		w, f := newFixture(1), newFailures()
		urgent := w.submit(0, 0, lasting(2))
		w.submit(2, time.Hour, lasting(2))
		f.add(job.Ref{Job: urgent, Index: 0})
		f.add(job.Ref{Job: urgent, Index: 1})
		afterHolds(f)
		if got, want := w.startedWith(f), []job.Ref{{Job: urgent, Index: 0}, {Job: urgent, Index: 1}}; !slices.Equal(got, want) {
			t.Errorf("started %v, want %v", got, want)
		}
	})
}

// Guards against a hold that keeps the sound tasks of a step from free room, and against a
// start of the held ones.
func TestHoldIsThatOfTheFailedTask(t *testing.T) {
	w, f := newFixture(2), newFailures()
	id := w.submit(0, 0, job.Step{Count: 3, Need: cores(32), Lasting: true})
	f.add(job.Ref{Job: id, Index: 1})
	if got, want := w.startedWith(f), []job.Ref{{Job: id, Index: 0}, {Job: id, Index: 2}}; !slices.Equal(got, want) {
		t.Errorf("started %v, want %v", got, want)
	}
}

// Guards against a gang of which some members start while another is held back, and
// against one that never starts again after a failure.
func TestFailedGangStartsAsAWhole(t *testing.T) {
	w, f := newFixture(2), newFailures()
	id := w.submit(0, 0, job.Step{Count: 2, Need: cores(32), Lasting: true, Gang: true})
	f.add(job.Ref{Job: id, Index: 1})
	if got := w.startedWith(f); len(got) != 0 {
		t.Errorf("started %v while a member is held back", got)
	}
	f.now = f.now.Add(time.Minute)
	if got := w.startedWith(f); len(got) != 2 {
		t.Errorf("started %v, want both members", got)
	}
}

// Guards against tasks with a limited number of attempts that are spent on a suspended
// target, while another only lacks room.
func TestBatchTasksWaitForRoomBesideASuspendedTarget(t *testing.T) {
	w := newFixture(2)
	w.submit(0, time.Hour, job.Step{Count: 1, Need: cores(64), Lasting: true})
	d := New(DefaultLimits())
	w.describe(d)
	d.byIncarnation[w.targets[1].Incarnation].SetSuspended(true)
	if starts := d.Run(w.input()); len(starts) != 1 || starts[0].Target != w.targets[0].Incarnation {
		t.Fatalf("starts %v, want one on the target that is not suspended", starts)
	}
	batch := w.submit(0, 0, job.Step{Count: 1, Need: cores(1), EstimateMillis: 1000})
	lasting := w.submit(0, 0, job.Step{Count: 1, Need: cores(1), Lasting: true})
	starts := d.Run(w.input(batch, lasting))
	if len(starts) != 1 || starts[0].Task.Job != lasting || starts[0].Target != w.targets[1].Incarnation {
		t.Errorf("starts %v, want that of the lasting job on the suspended target", starts)
	}
}
