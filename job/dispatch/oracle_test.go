package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/faults"
	"github.com/ibispier/ibispier/resource"
)

// plainRun decides like Dispatcher.Run, without anything kept from earlier
// decisions: each task is tried on all targets.
func plainRun(w *fixture, in Input, kept *Dispatcher) []job.Start {
	d := New(DefaultLimits())
	w.describe(d)
	d.pending, d.pendingSteps = maps.Clone(kept.pending), maps.Clone(kept.pendingSteps)
	for target, tasks := range kept.pendingOn {
		d.pendingOn[target] = maps.Clone(tasks)
	}
	d.refresh(in.Store)
	p := newPass(in, d)
	for _, c := range p.orderedParts() {
		before := len(p.starts)
		p.plainPart(c, p.maxStarts)
		if len(p.starts) == before && p.mayStartUnfiltered(c.job) {
			p.skipFillingFilters = true
			p.plainPart(c, before+1)
			p.skipFillingFilters = false
		}
		p.startedJobs[c.job.Spec.ID] = p.startedJobs[c.job.Spec.ID] || len(p.starts) > before
	}
	return p.starts
}

// plainOrder returns the indexes of the tasks in the order in which a part starts
// them, if they are ready.
func (p *pass) plainOrder(c jobPart, step, count int) []int {
	failed := map[int]*faults.FailedTask{}
	if c.job.Spec.Steps[step].Lasting {
		for ref, f := range p.FailedTasks(faults.Step{Job: c.job.Spec.ID, Index: step}) {
			failed[ref.Index] = f
		}
	}
	var order []int
	for i := range count {
		f := failed[i]
		if !c.failed && f == nil || c.failed && f != nil && !f.IsHeld(p.SteadyNow) {
			order = append(order, i)
		}
	}
	if c.failed {
		slices.SortFunc(order, func(x, y int) int { return cmp.Compare(failed[x].Number, failed[y].Number) })
	}
	return order
}

func (p *pass) plainPart(c jobPart, limit int) {
	j := c.job
	q := p.Store.QueueOf(j)
	for s := range j.Spec.Steps {
		step := &j.Spec.Steps[s]
		state := &j.Occurrences[0][s]
		if !j.StepReady(0, s) || c.failed && s != c.step {
			continue
		}
		ref := job.Ref{Job: j.Spec.ID, Step: s}
		if step.Gang {
			p.plainGang(q, step, state, ref, limit)
			continue
		}
		for _, i := range p.plainOrder(c, s, len(state.Tasks)) {
			ref.Index = i
			if state.Tasks[i].State != job.Ready || p.pending[ref] || len(p.starts) >= limit {
				continue
			}
			if ts := p.selectTarget(p.targets, q, step, ref); ts != nil {
				p.placeTask(ts, ref, step, state.Tasks[i].Run+1)
			}
		}
	}
}

func (p *pass) plainGang(q *job.Queue, step *job.Step, state *job.StepState, ref job.Ref, limit int) {
	if state.Waiting-p.pendingSteps[stepOf(ref)] < len(state.Tasks) || !p.skipFillingFilters && len(p.starts)+len(state.Tasks) > max(limit, len(state.Tasks)) {
		return
	}
	run := 0
	for i := range state.Tasks {
		run = max(run, state.Tasks[i].Run+1)
	}
	if step.SameRack {
		for _, rack := range p.racks {
			if p.startGangOn(p.byRack[rack], q, step, ref, run) {
				return
			}
		}
	}
	p.startGangOn(p.targets, q, step, ref, run)
}

// drawStep returns a step of one of the kinds that the filters and scores tell
// apart. Sizes are powers of two, so that sums of shares are exact.
func drawStep(t *rapid.T) job.Step {
	s := job.Step{Count: rapid.IntRange(1, 6).Draw(t, "count"), EstimateMillis: 1000,
		Need: resource.Vector{CPUMilli: 1000 << rapid.IntRange(0, 5).Draw(t, "cpu"), MemoryMiB: 1000 << rapid.IntRange(0, 6).Draw(t, "memory")}}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		s.Filling, s.Image = true, rapid.SampledFrom([]string{"f", "g"}).Draw(t, "image")
	case 1:
		s.Lasting, s.TailTargetMillis, s.Image = true, 50, rapid.SampledFrom([]string{"s", "u"}).Draw(t, "image")
	case 2:
		s.Gang, s.SameRack = true, rapid.Bool().Draw(t, "rack")
	case 3:
		s.MaxPerTarget = rapid.IntRange(1, 2).Draw(t, "limit")
	case 4:
		s.Label = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "label")
		s.Lasting = rapid.Bool().Draw(t, "lasting")
	default:
		s.DataRack = "r1"
	}
	return s
}

// Compares a dispatcher that keeps its view with a plain pass over random
// histories, with starts that are committed or dropped later. Guards against a view
// that has missed a change, against a shape that is passed over although a target has
// room for it, and against a task that is started twice or room that is given twice
// while a start is pending.
func TestKeptViewDecidesLikeAPlainPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFixture(rapid.IntRange(1, 9).Draw(t, "targets"))
		w.targets[0].Labels = []string{"b"}
		d := New(DefaultLimits())
		numbers := map[job.TargetIncarnation]uint64{}
		var pending [][]job.Start // proposals that are not settled
		tracker, steadyNow := faults.NewTracker(), testNow
		apply := func(c *job.Command) {
			w.store.Apply(c)
			for target := range w.store.TakeChanged() {
				d.TasksChanged(target)
			}
		}
		drawTarget := func(t *rapid.T) int { return rapid.IntRange(0, len(w.targets)-1).Draw(t, "target") }
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				w.submit(rapid.IntRange(0, 2).Draw(t, "priority"), time.Duration(rapid.IntRange(0, 9).Draw(t, "age"))*time.Second, drawStep(t), drawStep(t))
			},
			"cancel": func(t *rapid.T) {
				apply(&job.Command{Cancel: []string{fmt.Sprintf("%016x", rapid.IntRange(1, w.jobs+1).Draw(t, "job"))}})
			},
			"end": func(t *rapid.T) {
				target := w.targets[drawTarget(t)].Incarnation
				for ref, task := range maps.Clone(w.store.TasksOn(target)) {
					numbers[target]++
					apply(&job.Command{Ends: []job.End{{Target: target, Number: numbers[target], Task: ref, Run: task.Run, Outcome: job.RunDone}}})
					break
				}
			},
			"lose": func(t *rapid.T) {
				apply(&job.Command{Lost: []job.TargetIncarnation{w.targets[drawTarget(t)].Incarnation}})
			},
			"fail": func(t *rapid.T) {
				target := w.targets[drawTarget(t)].Incarnation
				for ref, task := range maps.Clone(w.store.TasksOn(target)) {
					lasting := w.store.Jobs[ref.Job].Spec.Steps[ref.Step].Lasting
					tracker.RecordFailure(steadyNow, faults.Failure{Task: ref, Target: target, Lasting: lasting})
					numbers[target]++
					apply(&job.Command{Ends: []job.End{{Target: target, Number: numbers[target], Task: ref, Run: task.Run, Outcome: job.RunFailed}}})
				}
				steadyNow = steadyNow.Add(100 * time.Millisecond)
			},
			"startable": func(t *rapid.T) {
				i := drawTarget(t)
				w.unstartable[i] = !w.unstartable[i]
			},
			"replace": func(t *rapid.T) {
				i := drawTarget(t)
				old := w.targets[i].Incarnation
				d.RemoveTarget(old)
				apply(&job.Command{Lost: []job.TargetIncarnation{old}})
				next := *w.targets[i]
				next.Incarnation.Born++
				next.Rack = rapid.SampledFrom([]string{"r0", "r1", "r2"}).Draw(t, "rack")
				w.targets[i] = &next
			},
			"pause": func(t *rapid.T) {
				i := drawTarget(t)
				next := *w.targets[i]
				next.Paused = map[job.Ref]bool{}
				for ref := range w.store.TasksOn(next.Incarnation) {
					if w.store.Jobs[ref.Job].Spec.Steps[ref.Step].Filling && rapid.Bool().Draw(t, "paused") {
						next.Paused[ref] = true
					}
				}
				next.Headroom = map[string]float64{"s": rapid.SampledFrom([]float64{0.1, 1, 2}).Draw(t, "headroom")}
				w.targets[i] = &next
			},
			"estimates": func(t *rapid.T) {
				w.coefficients[rapid.SampledFrom([]string{"f", "g"}).Draw(t, "image")] = rapid.SampledFrom([]float64{0, 1, 6}).Draw(t, "coefficient")
				d.EstimatesChanged()
			},
			"zone": func(t *rapid.T) {
				out := rapid.Bool().Draw(t, "out")
				apply(&job.Command{Zones: []job.ZoneChange{{Zone: "z", Out: out}}})
				d.ZonesChanged()
			},
			"settle": func(t *rapid.T) {
				if len(pending) == 0 {
					return
				}
				if rapid.Bool().Draw(t, "commits") {
					apply(&job.Command{Starts: pending[0]})
				}
				d.Settle(pending[0])
				pending = pending[1:]
			},
			"": func(t *rapid.T) {
				var idle []string
				for _, j := range w.store.LiveJobs() {
					if rapid.Bool().Draw(t, "idle") {
						idle = append(idle, j.Spec.ID)
					}
				}
				w.describe(d)
				in := w.input(idle...)
				in.FailedTasks, in.SteadyNow = tracker.FailedTasks, steadyNow
				want := plainRun(w, in, d)
				got := d.Run(in)
				if !slices.Equal(got, want) {
					t.Fatalf("starts with a kept view: %v\nof a plain pass: %v", got, want)
				}
				if len(got) > 0 {
					pending = append(pending, got)
				}
			},
		})
	})
}
