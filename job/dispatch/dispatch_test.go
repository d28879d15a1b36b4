package dispatch

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/ibispier/ibispier/internal/testseed"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/pacing"
	"github.com/ibispier/ibispier/resource"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

var testNow = time.Unix(1_800_000_000, 0)

// fixture is a store with jobs for one service and a set of targets.
type fixture struct {
	store        *job.Store
	targets      []*Target
	unstartable  map[int]bool       // by index in targets
	coefficients map[string]float64 // disturbance coefficients by filling image
	jobs         int
}

func newFixture(targets int) *fixture {
	w := &fixture{store: job.NewStore(), unstartable: map[int]bool{}, coefficients: map[string]float64{}}
	for i := range targets {
		w.targets = append(w.targets, &Target{
			Incarnation: job.TargetIncarnation{ID: fmt.Sprintf("t%02d", i), Born: 1}, Service: "s", Zone: "z", Rack: fmt.Sprintf("r%d", i/2),
			Labels: []string{"a"}, Capacity: resource.Vector{CPUMilli: 64_000, MemoryMiB: 256_000},
		})
	}
	return w
}

func (w *fixture) submit(priority int, age time.Duration, steps ...job.Step) string {
	w.jobs++
	id := fmt.Sprintf("%016x", w.jobs)
	w.store.Apply(&job.Command{Submit: []*job.Submission{{
		Spec:     job.Spec{ID: id, Steps: steps},
		Queue:    job.Queue{Host: "h", Prefix: fmt.Sprintf("/%d/", priority), Service: "s", Priority: priority, Attempts: 2, Stretch: 2, SlackMillis: 1000},
		AtMillis: testNow.Add(-age).UnixMilli(),
	}}})
	return id
}

func (w *fixture) run(idle ...string) []job.Start {
	d := New(DefaultLimits())
	w.describe(d)
	return d.Run(w.input(idle...))
}

func (w *fixture) input(idle ...string) Input {
	in := Input{Store: w.store, Disturbs: w.disturbs, Now: testNow, IdleJobs: map[string]bool{}}
	for _, id := range idle {
		in.IdleJobs[id] = true
	}
	return in
}

// describe tells the dispatcher of all targets.
func (w *fixture) describe(d *Dispatcher) {
	for i, t := range w.targets {
		d.SetTarget(*t).SetStartable(!w.unstartable[i])
	}
}

func (w *fixture) disturbs(_, filling string) job.Disturbance {
	if coefficient, known := w.coefficients[filling]; known {
		return job.Disturbance{Coefficient: coefficient}
	}
	return pacing.PriorDisturbance
}

func cores(n int64) resource.Vector { return resource.Vector{CPUMilli: n * 1000, MemoryMiB: 1000} }

func fillingStep(count int) job.Step {
	return job.Step{Count: count, Need: cores(7), EstimateMillis: 3000, Filling: true, Image: "f"}
}

func servingStep(count int) job.Step {
	return job.Step{Count: count, Need: cores(13), Lasting: true, Image: "s", TailTargetMillis: 50}
}

// Guards against starts that exceed the capacity of a target.
func TestNeverBeyondCapacity(t *testing.T) {
	w := newFixture(2)
	w.submit(0, 0, job.Step{Count: 20, Need: cores(10)})
	used := map[job.TargetIncarnation]int{}
	for _, s := range w.run() {
		used[s.Target]++
	}
	for target, n := range used {
		if n > 6 {
			t.Errorf("%d tasks of 10 cores on %s with 64", n, target.ID)
		}
	}
	if len(used) != 2 {
		t.Errorf("%d targets used, want 2", len(used))
	}
}

// Guards against starts on targets that are draining, in a zone out of service,
// of another service or without the label, and beyond MaxPerTarget.
func TestFilters(t *testing.T) {
	w := newFixture(6)
	w.unstartable[0] = true
	w.targets[1].Zone = "out"
	w.targets[2].Service = "other"
	w.targets[3].Labels = []string{"b"}
	w.store.Apply(&job.Command{Zones: []job.ZoneChange{{Zone: "out", Out: true}}})
	w.submit(0, 0, job.Step{Count: 10, Need: cores(1), Label: "a", MaxPerTarget: 2})
	starts := w.run()
	if len(starts) != 4 {
		t.Fatalf("%d starts, want 2 on each of 2 targets", len(starts))
	}
	for _, s := range starts {
		if s.Target.ID != "t04" && s.Target.ID != "t05" {
			t.Errorf("start on %s", s.Target.ID)
		}
	}
}

// Guards against a target with so many tasks that reserve nothing that the reports about
// it exceed a message.
func TestTasksPerTargetAreBounded(t *testing.T) {
	w := newFixture(2)
	limits := DefaultLimits()
	limits.MaxTasksPerTarget = 3
	d := New(limits)
	w.describe(d)
	w.submit(0, 0, job.Step{Count: 10})
	on := map[job.TargetIncarnation]int{}
	for range 2 {
		for _, s := range d.Run(w.input()) {
			on[s.Target]++
		}
	}
	for target, tasks := range on {
		if tasks != limits.MaxTasksPerTarget {
			t.Errorf("%d tasks on %s, want %d", tasks, target.ID, limits.MaxTasksPerTarget)
		}
	}
	if len(on) != 2 {
		t.Errorf("%d targets used, want 2", len(on))
	}
}

// Guards against a step that starts before its dependencies are done.
func TestStepsInOrder(t *testing.T) {
	w := newFixture(1)
	w.submit(0, 0, job.Step{Count: 1, Need: cores(1)}, job.Step{Count: 1, Need: cores(1), After: []int{0}})
	starts := w.run()
	if len(starts) != 1 || starts[0].Task.Step != 0 {
		t.Fatalf("starts %v, want the first step only", starts)
	}
}

// Guards against a gang that is placed in part.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	w := newFixture(1)
	w.submit(0, 0, job.Step{Count: 7, Need: cores(10), Gang: true})
	w.submit(0, 0, job.Step{Count: 6, Need: cores(10), Gang: true})
	starts := w.run()
	if len(starts) != 6 {
		t.Fatalf("%d starts, want the 6 of the gang that fits", len(starts))
	}
	for _, s := range starts {
		if s.Run != starts[0].Run {
			t.Errorf("run %d, want %d as for the rest of the gang", s.Run, starts[0].Run)
		}
	}
}

// Guards against an overload in which jobs that have missed their objective
// delay those that can still meet it, so that all of them are late.
func TestJobsThatCanBeInTimeGoFirst(t *testing.T) {
	w := newFixture(1)
	w.submit(2, time.Minute, fillingStep(9)) // objective 7 s, missed
	fresh := w.submit(2, time.Second, fillingStep(9))
	for _, s := range w.run() {
		if s.Task.Job != fresh {
			return // remaining capacity may go to the other job
		}
	}
	if starts := w.run(); len(starts) == 0 || starts[0].Task.Job != fresh {
		t.Fatalf("first start %v, want the job that can still meet its objective", starts)
	}
}

// Guards against a job that takes the capacity of others although it can meet its
// objective only at full pace, which filling tasks rarely reach: in an overload it ends
// late all the same, and those that it delays do too.
func TestJobsAtFullPaceOnlyComeLater(t *testing.T) {
	w := newFixture(1)
	w.submit(2, 3500*time.Millisecond, fillingStep(9)) // 3.5 s left of an objective of 7 s, and 3 s of work
	fresh := w.submit(2, 0, fillingStep(9))
	if starts := w.run(); len(starts) == 0 || starts[0].Task.Job != fresh {
		t.Fatalf("first start %v, want the job that can meet its objective at the usual pace", starts)
	}
}

// Guards against filling tasks that push a serving task over its tail target,
// and against a filling job that never starts although most capacity is free.
func TestFillingTasksKeepOffDisturbedTargets(t *testing.T) {
	w := newFixture(1)
	w.submit(0, 0, servingStep(2))
	w.store.Apply(&job.Command{Starts: w.run()})
	w.coefficients["f"] = 30 // a single task multiplies the tail latency by 27
	id := w.submit(2, 0, fillingStep(4))
	if starts := w.run(); len(starts) != 0 {
		t.Fatalf("%d filling tasks beside a serving task that they disturb", len(starts))
	}
	if starts := w.run(id); len(starts) != 1 {
		t.Fatalf("%d starts for an idle job with spare capacity, want 1", len(starts))
	}
}

// Guards against serving images that share targets although there is room to
// separate them: hardly any filling image then suits a target.
func TestServingImagesStayApart(t *testing.T) {
	w := newFixture(10)
	for _, image := range []string{"a", "b", "a", "b"} {
		step := servingStep(4)
		step.Image, step.Need = image, cores(8)
		w.submit(0, 0, step)
		w.store.Apply(&job.Command{Starts: w.run()})
	}
	images := map[string]map[string]bool{}
	for _, target := range w.targets {
		images[target.Incarnation.ID] = map[string]bool{}
		for ref := range w.store.TasksOn(target.Incarnation) {
			images[target.Incarnation.ID][w.store.Jobs[ref.Job].Spec.Steps[0].Image] = true
		}
	}
	used := 0
	for id, served := range images {
		if len(served) > 1 {
			t.Errorf("%s serves %d images", id, len(served))
		}
		used += len(served)
	}
	if used > 2 {
		t.Errorf("%d targets serve 16 tasks that fit on 2", used)
	}
}

// Guards against serving tasks that occupy the last targets on which filling
// tasks disturb nothing, and against serving tasks that are not started
// although only such targets have room.
func TestSomeTargetsStayQuiet(t *testing.T) {
	w := newFixture(10)
	for i := range 9 {
		step := servingStep(4)
		step.Image = fmt.Sprintf("image-%d", i)
		step.Need = cores(8)
		w.submit(0, 0, step)
	}
	w.store.Apply(&job.Command{Starts: w.run()})
	nonServing := 0
	for _, target := range w.targets {
		if len(w.store.TasksOn(target.Incarnation)) == 0 {
			nonServing++
		}
	}
	if nonServing != 2 {
		t.Errorf("%d targets without serving tasks, want a fifth of 10", nonServing)
	}
	w.submit(0, 0, servingStep(20))
	if starts := w.run(); len(starts) != 20 {
		t.Errorf("%d of 20 serving tasks start", len(starts))
	}
}

// Guards against filling tasks that accumulate, without running, on a target
// where tasks of their image are paused.
func TestNoFurtherTasksWhereTheImageIsPaused(t *testing.T) {
	w := newFixture(1)
	w.submit(2, 0, fillingStep(1))
	starts := w.run()
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	w.store.Apply(&job.Command{Starts: starts})
	w.targets[0].Paused = map[job.Ref]bool{starts[0].Task: true}
	w.submit(2, 0, fillingStep(3))
	if starts := w.run(); len(starts) != 0 {
		t.Errorf("%d tasks of a paused image start there", len(starts))
	}
}
