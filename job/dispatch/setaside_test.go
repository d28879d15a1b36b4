package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/ibispier/ibispier/job"
)

// playSmallJobs keeps a backlog of small jobs in the queue of the large one while a
// quarter of the tasks ends in each round, and reports whether a task of the large job
// starts within 40 rounds.
func playSmallJobs(t *testing.T, d *Dispatcher, w *fixture, large string) bool {
	for range 40 {
		for range 40 {
			w.submitTo("/a/", 0, 0, tasksOf(20))
			w.submitTo("/b/", 0, 0, tasksOf(20))
		}
		if slices.ContainsFunc(w.commit(d), func(s job.Start) bool { return s.Task.Job == large }) {
			return true
		}
		for _, target := range w.targets {
			w.endOn(d, target.Incarnation, len(w.store.TasksOn(target.Incarnation))/4, "")
		}
		if used := setAsideOf(d); used > setAsideShare*float64(len(w.targets)) {
			t.Fatalf("%g targets are set aside", used)
		}
	}
	return false
}

func setAsideOf(d *Dispatcher) float64 {
	count := 0.0
	for _, ts := range d.targets {
		if ts.setAsideFor != "" {
			count++
		}
	}
	return count
}

// Guards against a gang, and a task that needs most of a target, that find their room
// never free at one time, because the small tasks of their queue and of another take
// each piece of it. Guards also against room that stays set aside once they run.
func TestLargeAgedJobsFindRoom(t *testing.T) {
	steps := map[string]job.Step{
		"gang":             {Count: 4, Need: cores(30), EstimateMillis: 1000, Gang: true},
		"gang in one rack": {Count: 4, Need: cores(30), EstimateMillis: 1000, Gang: true, SameRack: true},
		"large task":       {Count: 1, Need: cores(60), EstimateMillis: 1000},
	}
	for name, step := range steps {
		w := newFixture(8)
		for range 100 { // the room is full when the large job comes
			w.submitTo("/a/", 0, 0, tasksOf(10))
		}
		d := w.withShares(nil)
		w.commit(d)
		large := w.submitTo("/a/", 0, time.Minute, step)
		if !playSmallJobs(t, d, w, large) {
			t.Errorf("%s: not started", name)
		}
		d.Run(w.input())
		if n := setAsideOf(d); n > 0 {
			t.Errorf("%s: %g targets are still set aside", name, n)
		}
	}
}

// Guards against room that is set aside for a job that can never run, or that would need
// more of the room than may stay empty, and so keeps others from it for good.
func TestNoRoomIsSetAsideInVain(t *testing.T) {
	steps := map[string]job.Step{
		"unknown label":    {Count: 2, Need: cores(30), EstimateMillis: 1000, Gang: true, Label: "none"},
		"larger than all":  {Count: 1, Need: cores(65), EstimateMillis: 1000},
		"half of the room": {Count: 8, Need: cores(30), EstimateMillis: 1000, Gang: true},
		"small tasks":      {Count: 40, Need: cores(4), EstimateMillis: 1000},
	}
	for name, step := range steps {
		w := newFixture(8)
		w.submitTo("/a/", 0, 0, job.Step{Count: 8, Need: cores(50), EstimateMillis: 1000})
		d := w.withShares(nil)
		w.commit(d)
		w.submitTo("/a/", 0, time.Minute, step)
		d.Run(w.input())
		if n := setAsideOf(d); n > 0 {
			t.Errorf("%s: %g targets are set aside", name, n)
		}
	}
}

// fullTargets returns a fixture whose eight targets hold two tasks of 25 cores each, an
// aged job of one task of 60 cores, and the target that is set aside for it.
func fullTargets(t *testing.T) (*fixture, *Dispatcher, string, *TargetState) {
	w := newFixture(8)
	w.submitTo("/a/", 0, 0, job.Step{Count: 16, Need: cores(25), EstimateMillis: 1000})
	d := w.withShares(nil)
	w.commit(d)
	large := w.submitTo("/a/", 0, time.Minute, job.Step{Count: 1, Need: cores(60), EstimateMillis: 1000})
	d.Run(w.input())
	for _, ts := range d.targets {
		if ts.setAsideFor == large {
			return w, d, large, ts
		}
	}
	t.Fatal("no target is set aside")
	return nil, nil, "", nil
}

// endOn ends count tasks on the target, but those of the job that is kept.
func (w *fixture) endOn(d *Dispatcher, target job.TargetIncarnation, count int, kept string) {
	for ref, task := range maps.Clone(w.store.TasksOn(target)) {
		if count == 0 {
			break
		}
		if ref.Job != kept {
			count--
			number := w.store.LastEndNumber(target) + 1
			w.store.Apply(&job.Command{Ends: []job.End{{Target: target, Number: number, Task: ref, Run: task.Run, Outcome: job.RunDone}}})
		}
	}
	d.TasksChanged(target)
}

// Guards against an aged job that is passed over on the target set aside for it, because
// a task of the same shape from another queue was tried first and found no room.
func TestSetAsideRoomIsFoundAfterAnEqualTask(t *testing.T) {
	w, d, large, ts := fullTargets(t)
	w.submitTo("/b/", 0, 0, job.Step{Count: 1, Need: cores(60), EstimateMillis: 1000})
	w.endOn(d, ts.Incarnation, 2, large)
	if starts := d.Run(w.input()); len(starts) != 1 || starts[0].Task.Job != large {
		t.Errorf("starts %v, want the aged job", starts)
	}
}

// Guards against tasks that are passed over on a target after it is no longer set aside.
func TestReleasedRoomIsFound(t *testing.T) {
	w, d, large, ts := fullTargets(t)
	small := w.submitTo("/b/", 0, 0, job.Step{Count: 1, Need: cores(20), EstimateMillis: 1000})
	w.endOn(d, ts.Incarnation, 1, large)
	if starts := d.Run(w.input()); len(starts) != 0 {
		t.Fatalf("starts %v on a target that is set aside", starts)
	}
	w.store.Apply(&job.Command{Cancel: []string{large}})
	if starts := d.Run(w.input()); len(starts) != 1 || starts[0].Task.Job != small {
		t.Errorf("starts %v after the aged job was cancelled, want the small one", starts)
	}
}
