package faults

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/job"
)

var start = time.Unix(1000, 0)

func target(name string) job.TargetIncarnation { return job.TargetIncarnation{ID: name, Born: 1} }

func task(name string) job.Ref { return job.Ref{Job: name} }

// fail records failures of one task on the targets, one after another.
func fail(t *Tracker, now time.Time, r job.Ref, lasting bool, elsewhere int, targets ...string) {
	for _, name := range targets {
		t.RecordFailure(now, Failure{Task: r, Target: target(name), Lasting: lasting, RunningElsewhere: elsewhere})
	}
}

// Guards against a target that fails all that it starts and stays in use, even if one
// job alone shows it or if the steps that fail there fail on another target too.
func TestFailingTargetIsSuspended(t *testing.T) {
	for name, record := range map[string]func(tr *Tracker){
		"one step": func(tr *Tracker) { fail(tr, start, task("j"), false, 0, "bad", "bad", "bad", "bad") },
		"several steps": func(tr *Tracker) {
			for _, j := range []string{"a", "b", "c", "d"} {
				fail(tr, start, task(j), false, 10, "bad", "other")
				tr.RecordSuccess(task(j), target("other"))
			}
		},
	} {
		tr := NewTracker()
		record(tr)
		if got := tr.SuspendedUntil(target("bad")); got != start.Add(minSuspension) {
			t.Errorf("%s: suspended until %v, want %v", name, got, start.Add(minSuspension))
		}
	}
}

// Guards against targets that are suspended for a step that fails everywhere, also if
// one of them was suspended before its other failures were known.
func TestFailingStepSuspendsNoTarget(t *testing.T) {
	tr := NewTracker()
	fail(tr, start, task("j"), true, 2, "a", "a", "a", "a")
	if !tr.SuspendedUntil(target("a")).After(start) {
		t.Fatal("the first target is not suspended, although nothing tells it from a faulty one")
	}
	fail(tr, start, task("j"), true, 1, "b", "b", "b", "b", "c", "c", "c", "c")
	for _, name := range []string{"a", "b", "c"} {
		if tr.SuspendedUntil(target(name)).After(start) {
			t.Errorf("target %s is suspended", name)
		}
	}
	if got := tr.HeldUntil(task("j")); got != start.Add(minHold) {
		t.Errorf("step held until %v, want %v", got, start.Add(minHold))
	}
}

// Guards against a wide step that counts as faulty because a few of its targets are.
func TestStepThatRunsElsewhereIsNotAtFault(t *testing.T) {
	tr := NewTracker()
	fail(tr, start, task("j"), true, 16, "a", "b")
	if tr.HeldUntil(task("j")).After(start) {
		t.Error("a step with 16 running targets is held back for 2 failures")
	}
}

// Guards against holds that outlast the platform's bound for a lasting task, that end
// a job which can only fail later than necessary, or that never end.
func TestHolds(t *testing.T) {
	tr := NewTracker()
	now, last := start, time.Duration(0)
	for range 12 {
		fail(tr, now, task("j"), true, 0, "a", "b")
		held := tr.HeldUntil(task("j")).Sub(now)
		if held < last || held > maxHold {
			t.Fatalf("held for %s after %s", held, last)
		}
		last = held
		now = now.Add(held + 100*time.Millisecond)
	}
	if last != maxHold {
		t.Errorf("held for %s at last, want %s", last, maxHold)
	}
	tr.RecordSuccess(task("j"), target("a"))
	if tr.HeldUntil(task("j")).After(now) {
		t.Error("held after a success")
	}
	fail(tr, now, task("batch"), false, 0, "a", "b", "a", "b")
	if tr.HeldUntil(task("batch")).After(now) {
		t.Error("a step with bounded attempts is held back")
	}
	now = now.Add(failureWindow + time.Second)
	fail(tr, now, task("j"), true, 0, "a")
	if tr.HeldUntil(task("j")).After(now) {
		t.Error("held for one failure, the others being old")
	}
}

// Guards against a hold of the whole step for one failing task, and against one that ends
// because another task of the step has succeeded.
func TestHoldIsThatOfTheTask(t *testing.T) {
	tr := NewTracker()
	bad, sound := job.Ref{Job: "j", Index: 0}, job.Ref{Job: "j", Index: 1}
	for range 3 {
		fail(tr, start, bad, true, 0, "a", "b")
	}
	held := tr.HeldUntil(bad)
	if !held.After(start) || tr.HeldUntil(sound).After(start) {
		t.Fatalf("failing task held until %v, sound one until %v", held, tr.HeldUntil(sound))
	}
	tr.RecordSuccess(sound, target("a"))
	if tr.HeldUntil(bad) != held || len(tr.FailedTasks(StepOf(bad))) != 1 {
		t.Errorf("held until %v after the success of another task, want %v", tr.HeldUntil(bad), held)
	}
	tr.RecordSuccess(bad, target("a"))
	if len(tr.FailedTasks(StepOf(bad))) != 0 {
		t.Error("the task counts as failed after a success")
	}
}

// Guards against a failing task that is started again without a pause on a suspended
// target, which is used where no other fits.
func TestFailureOnASuspendedTargetIsHeld(t *testing.T) {
	tr := NewTracker()
	for range maxStreak {
		fail(tr, start, task("j"), true, 0, "a")
	}
	if got := tr.HeldUntil(task("j")); got != start.Add(minHold) {
		t.Errorf("held until %v, want %v", got, start.Add(minHold))
	}
}

// Guards against suspensions that do not grow while a target goes on failing, and
// against one that a success does not end.
func TestSuspensionsGrowUntilASuccess(t *testing.T) {
	tr := NewTracker()
	now := start
	for _, want := range []time.Duration{2, 4, 8, 16, 16} {
		fail(tr, now, task("j"), false, 0, "bad", "bad", "bad", "bad")
		got := tr.SuspendedUntil(target("bad")).Sub(now)
		if got != want*time.Second {
			t.Fatalf("suspended for %s, want %s", got, want*time.Second)
		}
		now = now.Add(got)
	}
	tr.RecordSuccess(task("k"), target("bad"))
	if tr.SuspendedUntil(target("bad")).After(now) {
		t.Error("suspended after a success")
	}
}

// Guards against records that stay after their job or target is gone.
func TestForgottenRecords(t *testing.T) {
	tr := NewTracker()
	fail(tr, start, task("gone"), true, 0, "a", "b")
	fail(tr, start, task("live"), true, 9, "a")
	tr.ForgetSteps(func(id string) bool { return id == "gone" })
	tr.ForgetTarget(target("a"))
	tr.ForgetTarget(target("b"))
	if len(tr.steps) != 1 || len(tr.targets) != 0 || len(tr.failedTasks) != 1 {
		t.Errorf("%d steps, %d targets and %d steps with failed tasks left, want 1, 0 and 1", len(tr.steps), len(tr.targets), len(tr.failedTasks))
	}
}

// Guards against holds and suspensions that end after some minutes of failures because
// their doubling overflows: a failing step was then started without any pause, and a
// failing target was in use again.
func TestDoublingStaysAtItsBound(t *testing.T) {
	tr := NewTracker()
	now := start
	for range 100 {
		fail(tr, now, task("j"), true, 0, "a", "b")
		now = tr.HeldUntil(task("j")).Add(100 * time.Millisecond)
	}
	fail(tr, now, task("j"), true, 0, "a", "b")
	if held := tr.HeldUntil(task("j")).Sub(now); held != maxHold {
		t.Errorf("held for %s after 100 holds, want %s", held, maxHold)
	}
	for range 100 {
		fail(tr, now, task("k"), false, 9, "bad", "bad", "bad", "bad")
		if got := tr.SuspendedUntil(target("bad")).Sub(now); got < minSuspension || got > maxSuspension {
			t.Fatalf("suspended for %s", got)
		}
		now = tr.SuspendedUntil(target("bad"))
	}
}

// Guards against a service without targets for starts: jobs of one task that fail in all
// their attempts on one target each suspend one target after another. Stalled runs
// suspend all targets on which they occur.
func TestFailedRunsLeaveHalfOfTheTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	var targets []job.TargetIncarnation
	for i := range 5 {
		targets = append(targets, job.TargetIncarnation{ID: string(rune('a' + i))})
	}
	failing, stalled := NewTracker(), NewTracker()
	for _, target := range targets {
		failed := task("job on " + target.ID)
		for range maxStreak {
			failing.RecordFailure(now, Failure{Task: failed, Target: target})
		}
		stalled.RecordFailure(now, Failure{Task: failed, Target: target, Stalled: true})
	}
	if got := len(failing.Suspended(now, targets)); got != 2 {
		t.Errorf("%d of 5 targets suspended by failed runs, want 2", got)
	}
	if got := len(stalled.Suspended(now, targets)); got != 5 {
		t.Errorf("%d of 5 targets suspended by stalled runs, want 5", got)
	}
}
