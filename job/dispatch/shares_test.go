package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/job"
)

// submitTo submits a job to a queue of its own prefix.
func (w *fixture) submitTo(prefix string, priority int, age time.Duration, steps ...job.Step) string {
	w.jobs++
	id := fmt.Sprintf("%016x", w.jobs)
	w.store.Apply(&job.Command{Submit: []*job.Submission{{
		Spec:     job.Spec{ID: id, Steps: steps},
		Queue:    job.Queue{Host: "h", Prefix: prefix, Service: "s", Priority: priority, Attempts: 2, Stretch: 2, SlackMillis: 1000},
		AtMillis: testNow.Add(-age).UnixMilli(),
	}}})
	return id
}

func (w *fixture) withShares(weights map[string]float64) *Dispatcher {
	l := DefaultLimits()
	l.Shares = &QueueShares{Weights: weights}
	d := New(l)
	w.describe(d)
	return d
}

// commit runs a pass and commits its starts.
func (w *fixture) commit(d *Dispatcher) []job.Start {
	starts := d.Run(w.input())
	w.store.Apply(&job.Command{Starts: starts})
	d.Settle(starts)
	return starts
}

// countByQueue returns the number of starts by prefix.
func (w *fixture) countByQueue(starts []job.Start) map[string]int {
	counts := map[string]int{}
	for _, s := range starts {
		counts[w.store.Jobs[s.Task.Job].Queue.Prefix]++
	}
	return counts
}

func tasksOf(count int) job.Step {
	return job.Step{Count: count, Need: cores(1), EstimateMillis: 1000}
}

// Guards against a burst of one queue that takes the room from another of its priority:
// with room for 128 tasks, the queue that came later gets its share, by weight, and what
// one queue cannot use is lent to the other. Without shares the burst takes all. Guards
// also against filling tasks that escape the shares because they reserve no processor time.
func TestSharesDivideTooLittleRoom(t *testing.T) {
	const quantum = 3 // 1% of 128 cores, and a task
	filling := fillingStep(200)
	for name, test := range map[string]struct {
		weights  map[string]float64
		first    job.Step
		second   job.Step // of the later queue
		priority int      // of the later queue
		want     int      // its starts
		all      int
	}{
		"equal":          {nil, tasksOf(300), tasksOf(300), 0, 64, 128},
		"weight":         {map[string]float64{"/b/": 3}, tasksOf(300), tasksOf(300), 0, 96, 128},
		"with host":      {map[string]float64{"/b/": 3, "h/b/": 1}, tasksOf(300), tasksOf(300), 0, 64, 128},
		"lent":           {nil, tasksOf(300), tasksOf(10), 0, 10, 128},
		"lower priority": {nil, tasksOf(300), tasksOf(300), 2, 0, 128},
		"filling":        {nil, filling, filling, 0, 9, 18},
	} {
		w := newFixture(2)
		w.submitTo("/a/", 0, 500*time.Millisecond, test.first)
		w.submitTo("/b/", test.priority, 0, test.second)
		d := w.withShares(test.weights)
		starts := d.Run(w.input())
		if got := w.countByQueue(starts)["/b/"]; got < test.want-quantum || got > test.want+quantum || len(starts) != test.all {
			t.Errorf("%s: %d starts, %d of the later queue, want %d and %d", name, len(starts), got, test.all, test.want)
		}
		if got := d.deferred[job.Route{Host: "h", Prefix: "/a/"}]; got > 1 || name == "equal" && got != 1 {
			t.Errorf("%s: %d deferred passes of the burst in one pass", name, got)
		}
		if off := w.countByQueue(w.run())["/b/"]; off != 0 {
			t.Errorf("%s: %d starts of the later queue without shares, so the burst shows nothing", name, off)
		}
	}
}

// Guards against shares that forget what is pending, or what a queue holds already: the
// queue that holds the room gets no more until the other has as much.
func TestSharesCountWhatIsHeld(t *testing.T) {
	w := newFixture(2)
	d := w.withShares(nil)
	w.submitTo("/a/", 0, 0, tasksOf(60))
	first := d.Run(w.input())
	w.submitTo("/a/", 0, time.Second, tasksOf(300))
	w.submitTo("/b/", 0, 0, tasksOf(300))
	second := w.countByQueue(d.Run(w.input()))
	if len(first) != 60 || second["/b/"] < 62 || second["/b/"] > 66 {
		t.Errorf("first pass %d starts, second %v, want 60 and 64 for /b/", len(first), second)
	}
	w.store.Apply(&job.Command{Starts: first})
	d.Settle(first)
	if len(d.pendingHeld) != 2 || w.store.Held(job.Route{Host: "h", Prefix: "/a/"}).Reserved.CPUMilli != 60_000 {
		t.Errorf("pending %v, held %v", d.pendingHeld, w.store.HoldingQueues())
	}
}

// Guards against a lasting task that its target has lost and that waits for the burst of
// another queue, because its own queue holds more than its share.
func TestRestartsOfLastingTasksNeedNoShare(t *testing.T) {
	w := newFixture(2)
	d := w.withShares(nil)
	w.submitTo("/lasting/", 0, 0, job.Step{Count: 8, Need: cores(15), Lasting: true, TailTargetMillis: 50, Image: "s"})
	starts := w.commit(d)
	lost := starts[0]
	end := job.End{Target: lost.Target, Number: 1, Task: lost.Task, Run: lost.Run, Outcome: job.RunLeaseExpired}
	w.store.Apply(&job.Command{Ends: []job.End{end}})
	d.TasksChanged(lost.Target)
	w.submitTo("/burst/", 0, time.Second, tasksOf(300))
	w.submitTo("/other/", 0, time.Second, tasksOf(300))
	if counts := w.countByQueue(d.Run(w.input())); len(starts) != 8 || counts["/lasting/"] != 1 {
		t.Errorf("%d starts, then %v, want 8 and the lost task first", len(starts), counts)
	}
}

// Guards against a large job that its queue passes over for ever: beyond a multiple of its
// objective it goes before the small ones. The bound of a quarter guards against a queue
// that serves only jobs whose results are worthless.
func TestAgedJobsGoFirst(t *testing.T) {
	const old = time.Minute
	w := newFixture(1) // room for 64 tasks
	large := w.submitTo("/a/", 0, old, tasksOf(40))
	for range 10 {
		w.submitTo("/a/", 0, 0, tasksOf(10))
	}
	if first := w.run(); slices.ContainsFunc(first, func(s job.Start) bool { return s.Task.Job == large }) {
		t.Fatal("the missed job goes first without shares, so this test shows nothing")
	}
	d := w.withShares(nil)
	starts := w.commit(d)
	if waiting := w.store.Jobs[large].Occurrences[0][0].Waiting; waiting > 0 {
		t.Errorf("%d of 40 tasks of the aged job wait", waiting)
	}
	again := w.submitTo("/a/", 0, old, tasksOf(40))
	w.endOn(d, starts[0].Target, 64, large) // the small jobs end
	for range 10 {
		w.submitTo("/a/", 0, 0, tasksOf(10))
	}
	second := d.Run(w.input())
	if slices.ContainsFunc(second, func(s job.Start) bool { return s.Task.Job == again }) || len(second) != 24 {
		t.Errorf("%d starts, or a second aged job started while the first holds most of the queue's room", len(second))
	}
}

// fitsSomewhere reports whether a waiting task that starts alone passes the filters on
// any target.
func (w *fixture) fitsSomewhere(d *Dispatcher, in Input) (job.Ref, bool) {
	p := newPass(in, d)
	for _, j := range w.store.LiveJobs() {
		for s := range j.Spec.Steps {
			step := &j.Spec.Steps[s]
			if step.Gang || !p.hasWaiting(j, 0, s) {
				continue
			}
			ref := job.Ref{Job: j.Spec.ID, Step: s}
			if p.selectTarget(d.targets, w.store.QueueOf(j), step, ref) != nil {
				return ref, true
			}
		}
	}
	return job.Ref{}, false
}

// Plays random histories. Guards against room that stays empty beside work that fits, a
// task that is started twice, an account of the pending starts that drifts, and a new
// leader that, with the same entries applied, decides otherwise than the old one.
func TestSharesLeaveNoRoomEmptyAndFollowTheLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFixture(rapid.IntRange(1, 6).Draw(t, "targets"))
		weights := map[string]float64{"/q0/": rapid.SampledFrom([]float64{0.2, 1, 4}).Draw(t, "weight")}
		d := w.withShares(weights)
		numbers := map[job.TargetIncarnation]uint64{}
		runs := map[job.Ref]int{}
		apply := func(c *job.Command) {
			w.store.Apply(c)
			for target := range w.store.TakeChanged() {
				d.TasksChanged(target)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				prefix := fmt.Sprintf("/q%d/", rapid.IntRange(0, 3).Draw(t, "queue"))
				age := time.Duration(rapid.SampledFrom([]int{0, 1, 9, 90}).Draw(t, "age")) * time.Second
				w.submitTo(prefix, 2*int(prefix[2]-'0')/3, age, drawStep(t), drawStep(t))
			},
			"cancel": func(t *rapid.T) {
				apply(&job.Command{Cancel: []string{fmt.Sprintf("%016x", rapid.IntRange(1, w.jobs+1).Draw(t, "job"))}})
			},
			"end": func(t *rapid.T) {
				target := w.targets[rapid.IntRange(0, len(w.targets)-1).Draw(t, "target")].Incarnation
				for ref, task := range maps.Clone(w.store.TasksOn(target)) {
					numbers[target]++
					apply(&job.Command{Ends: []job.End{{Target: target, Number: numbers[target], Task: ref, Run: task.Run, Outcome: job.RunDone}}})
				}
			},
			"lose": func(t *rapid.T) {
				apply(&job.Command{Lost: []job.TargetIncarnation{w.targets[rapid.IntRange(0, len(w.targets)-1).Draw(t, "target")].Incarnation}})
			},
			"": func(t *rapid.T) {
				w.describe(d)
				next := w.withShares(weights)
				in := w.input()
				starts := d.Run(in)
				if taken := next.Run(in); !slices.Equal(taken, starts) {
					t.Fatalf("starts of a new leader: %v\nof the old one: %v", taken, starts)
				}
				for _, s := range starts {
					if s.Run <= runs[s.Task] {
						t.Fatalf("run %d of %v is started twice", s.Run, s.Task)
					}
					runs[s.Task] = s.Run
				}
				if ref, fits := w.fitsSomewhere(d, in); fits {
					t.Fatalf("%v waits beside room that fits it", ref)
				}
				apply(&job.Command{Starts: starts})
				d.Settle(starts)
				if len(d.pendingHeld)+len(d.pendingRoutes) > 0 {
					t.Fatalf("nothing is pending, but %v is counted", d.pendingHeld)
				}
			},
		})
	})
}
