package jobs

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/internal/testseed"
	"github.com/ibispier/ibispier/job"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

// Bounds of the platform for a lasting task that waits although there is room for it
// twice over: it waits for waitBound, and restartBound after its last run or startBound
// after its job was accepted have passed.
const (
	waitBound    = 3 * time.Second
	startBound   = 4 * time.Second
	restartBound = 6 * time.Second
)

// starvation watches the lasting tasks of a fleet for one that waits beyond the bounds.
type starvation struct {
	f        *fleet
	jobs     map[string][]job.Step
	endedAt  map[job.Ref]time.Time // when the last run was last seen
	roomFrom map[job.Ref]time.Time // since when a waiting task has had room twice over
}

func newStarvation(f *fleet) *starvation {
	return &starvation{f: f, jobs: map[string][]job.Step{}, endedAt: map[job.Ref]time.Time{}, roomFrom: map[job.Ref]time.Time{}}
}

func (w *starvation) submit(queue string, steps ...job.Step) string {
	id := w.f.submitSteps(queue, steps...)
	w.jobs[id] = steps
	return id
}

// check returns the first task that has waited beyond the bounds, if any.
func (w *starvation) check() (job.Ref, bool) {
	now := w.f.now
	running, free := map[job.Ref]bool{}, map[*fakeAgent]int64{}
	for _, a := range w.f.agents {
		free[a] = 64_000
		for ref := range a.running {
			running[ref] = true
			free[a] -= w.jobs[ref.Job][ref.Step].Need.CPUMilli
		}
	}
	for id, steps := range w.jobs {
		for index := range steps {
			s := &steps[index]
			if !s.Lasting {
				continue
			}
			room := int64(0)
			for a, cpu := range free {
				if s.Label == "" || len(a.labels) > 0 && a.labels[0] == s.Label {
					room += max(cpu, 0) / s.Need.CPUMilli
				}
			}
			for i := range s.Count {
				ref := job.Ref{Job: id, Step: index, Index: i}
				due := w.f.submittedAt[id].Add(startBound)
				if end, ran := w.endedAt[ref]; ran {
					due = end.Add(restartBound)
				}
				switch {
				case running[ref]:
					w.endedAt[ref] = now
					delete(w.roomFrom, ref)
				case room < 2 || now.Before(due):
					delete(w.roomFrom, ref)
				case w.roomFrom[ref].IsZero():
					w.roomFrom[ref] = now
				case now.Sub(w.roomFrom[ref]) > waitBound:
					return ref, true
				}
			}
		}
	}
	return job.Ref{}, false
}

// watch advances virtual time and checks meanwhile.
func (w *starvation) watch(d time.Duration) (job.Ref, bool) {
	for end := w.f.now.Add(d); w.f.now.Before(end); {
		w.f.runFor(20 * time.Millisecond)
		if ref, starved := w.check(); starved {
			return ref, true
		}
	}
	return job.Ref{}, false
}

// lastingTasks returns a step of lasting tasks of which the number fits on a target.
func lastingTasks(count int, perTarget int64, label string) job.Step {
	return job.Step{Count: count, Need: cpu(64_000 / perTarget), Lasting: true, TailTargetMillis: 50, Image: "s", Label: label}
}

// Guards against sound tasks that wait for good behind failing ones of their step, which
// come first by their indexes: the hold of a failing task kept the whole step from free
// room, and then the failing tasks took the room again.
func TestSoundTasksStartBesideFailingOnesOfTheirStep(t *testing.T) {
	f := newFleet(2)
	f.failTask = func(ref job.Ref) bool { return ref.Index < 6 }
	w := newStarvation(f)
	id := w.submit("lasting", lastingTasks(12, 3, "")) // room for 6
	if ref, starved := w.watch(20 * time.Second); starved {
		t.Errorf("%v has no run although there is room for two of it", ref)
	}
	for i := 6; i < 12; i++ {
		if ref := (job.Ref{Job: id, Index: i}); f.lastingRuns[ref] == 0 {
			t.Errorf("%v was never started", ref)
		}
	}
}

// Guards against sound tasks that wait for good behind failing ones of an earlier step or
// an earlier job on the only target that fits: the step cannot be told from the target,
// and after each suspension the failing tasks took the room again.
func TestSoundTasksStartBesideFailingOnesOfOtherSteps(t *testing.T) {
	for name, submit := range map[string]func(w *starvation) job.Ref{
		"earlier step": func(w *starvation) job.Ref {
			return job.Ref{Job: w.submit("lasting", lastingTasks(2, 2, ""), lastingTasks(2, 2, "")), Step: 1}
		},
		"earlier job": func(w *starvation) job.Ref {
			w.submit("lasting", lastingTasks(2, 2, ""), lastingTasks(2, 2, ""))
			return job.Ref{Job: w.submit("lasting", lastingTasks(2, 2, ""))}
		},
	} {
		f := newFleet(1)
		w := newStarvation(f)
		sound := job.Ref{}
		f.failTask = func(ref job.Ref) bool { return ref.Job != sound.Job || ref.Step != sound.Step }
		sound = submit(w)
		f.runFor(startBound)
		for i := range 2 {
			sound.Index = i
			if f.lastingRuns[sound] == 0 {
				t.Errorf("%s: %v was not started in %s", name, sound, startBound)
			}
		}
	}
}

// Guards against lasting tasks that wait beside the empty target that alone fits them,
// because one job that can never be done has failed there and suspended it.
func TestOnlyFittingTargetIsUsedThoughSuspended(t *testing.T) {
	f := newFleet(4)
	f.agents[0].labels = []string{"b"}
	f.agents[0].report()
	f.failAfter = map[string]time.Duration{"bad": 50 * time.Millisecond}
	f.runFor(time.Second)
	f.submitSteps("quick", job.Step{Count: 6, Need: cpu(500), EstimateMillis: 200, Image: "bad", Label: "b"})
	f.runFor(5 * time.Second)
	if !f.e.leader.faults.SuspendedUntil(f.agents[0].target).After(f.now) {
		t.Fatal("the target is not suspended")
	}
	w := newStarvation(f)
	id := w.submit("lasting", lastingTasks(2, 4, "b"))
	batch := f.submitSteps("quick", job.Step{Count: 1, Need: cpu(500), EstimateMillis: 200, Label: "b"})
	f.runFor(waitBound)
	for i := range 2 {
		if ref := (job.Ref{Job: id, Index: i}); f.lastingRuns[ref] == 0 {
			t.Errorf("%v was not started in %s", ref, waitBound)
		}
	}
	if _, started := f.firstStart[batch]; !started {
		t.Errorf("the batch job was not started in %s", waitBound)
	}
}

// Draws targets, labels, lasting jobs and which of their tasks fail soon after each start,
// beside jobs that can never be done. Guards against a task that waits for good although
// there is room for it twice over: behind failing tasks of its step, of other steps or of
// other jobs, and for targets that failed runs have suspended.
func TestNoTaskWaitsBesideRoomForTwo(t *testing.T) {
	played := 25 * time.Second // beyond the longest suspension of a target
	if testing.Short() {
		played = 10 * time.Second
	}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 4).Draw(t, "targets"))
		f.failAfter = map[string]time.Duration{"bad": 50 * time.Millisecond}
		for _, a := range f.agents[:rapid.IntRange(1, len(f.agents)).Draw(t, "labelled")] {
			a.labels = []string{"b"}
			a.report()
		}
		failing := map[job.Ref]bool{}
		f.failTask = func(ref job.Ref) bool { return failing[ref] }
		w := newStarvation(f)
		perTarget := rapid.Int64Range(1, 4).Draw(t, "per target")
		drawLabel := func() string { return rapid.SampledFrom([]string{"", "b"}).Draw(t, "label") }
		for range rapid.IntRange(1, 4).Draw(t, "jobs") {
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				w.submit("quick", job.Step{Count: 6, Need: cpu(500), EstimateMillis: 200, Image: "bad", Label: drawLabel()})
			} else {
				var steps []job.Step
				for range rapid.IntRange(1, 2).Draw(t, "steps") {
					steps = append(steps, lastingTasks(rapid.IntRange(1, 8).Draw(t, "tasks"), perTarget, drawLabel()))
				}
				id := w.submit("lasting", steps...)
				for s := range steps {
					for i := range steps[s].Count {
						failing[job.Ref{Job: id, Step: s, Index: i}] = rapid.Bool().Draw(t, "fails")
					}
				}
			}
			ref, starved := w.watch(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			if !starved {
				continue
			}
			t.Fatalf("%v (fails: %v) has no run although there is room for two of it", ref, failing[ref])
		}
		if ref, starved := w.watch(played); starved {
			t.Fatalf("%v (fails: %v) has no run after %s although there is room for two of it", ref, failing[ref], f.now.Sub(f.submittedAt[ref.Job]))
		}
	})
}
