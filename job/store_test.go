package job

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/resource"
)

// oracle is a simple reference model of the store: it tracks only the active
// runs and the tasks that are done.
type oracle struct {
	placed   map[placedRun]Start
	latest   map[Ref]int // highest run number
	done     map[Ref]bool
	failures map[Ref]int
	finished map[string]State
	refused  map[string]bool // IDs that were cancelled before a job had them
}

// placedRun identifies a run that holds capacity.
type placedRun struct {
	task Ref
	run  int
}

// runsOf returns the runs of the task that hold capacity.
func (o *oracle) runsOf(r Ref) (runs []Start) {
	for key, s := range o.placed {
		if key.task == r {
			runs = append(runs, s)
		}
	}
	return runs
}

func testSpec(t *rapid.T, id string) Spec {
	spec := Spec{ID: id, OccurrenceCount: rapid.SampledFrom([]int{0, 0, 2}).Draw(t, "occurrences")}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		s := Step{
			Count: rapid.IntRange(1, 3).Draw(t, "count"), Need: resource.Vector{CPUMilli: 1000},
			Gang: rapid.Bool().Draw(t, "gang"), Lasting: rapid.IntRange(0, 4).Draw(t, "lasting") == 0,
			Filling: rapid.Bool().Draw(t, "filling"),
		}
		s.Gang = s.Gang && !s.Lasting
		s.Speculative = rapid.Bool().Draw(t, "speculative")
		if i > 0 && rapid.Bool().Draw(t, "depends") {
			s.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	return spec
}

// Compares the store with the oracle over random commands. Guards against a
// task that runs twice at a time or again after it is done, steps out of order,
// attempts beyond the limit, a task that is not speculative with two runs or a
// speculative one with three or with two on one target, run numbers that are used
// twice, room that is free before a run has ended, jobs reported completed too early, indexes that
// differ from the state, and a job that is accepted after its cancelling. A snapshot must
// keep the zones out of service, the acknowledged ends, all jobs and the tombstones.
func TestBookAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st := NewStore()
		o := &oracle{placed: map[placedRun]Start{}, latest: map[Ref]int{}, done: map[Ref]bool{}, failures: map[Ref]int{}, finished: map[string]State{}, refused: map[string]bool{}}
		numbers := map[TargetIncarnation]uint64{}
		targets := []TargetIncarnation{{"a", 1}, {"b", 1}, {"b", 2}}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				id := fmt.Sprintf("%016x", rapid.IntRange(1, 4).Draw(t, "id"))
				prefix := rapid.SampledFrom([]string{"/a/", "/b/"}).Draw(t, "queue")
				st.Apply(&Command{Submit: []*Submission{{Spec: testSpec(t, id), Queue: Queue{Prefix: prefix, Attempts: 2}}}})
			},
			"cancel": func(t *rapid.T) {
				id := fmt.Sprintf("%016x", rapid.IntRange(1, 4).Draw(t, "id"))
				if j := st.Jobs[id]; j != nil && j.IsLive() {
					o.finished[id] = Cancelled
				}
				o.refused[id] = st.Jobs[id] == nil
				st.Apply(&Command{Cancel: []string{id}})
			},
			"forget": func(t *rapid.T) {
				id := fmt.Sprintf("%016x", rapid.IntRange(1, 4).Draw(t, "id"))
				if o.refused[id] {
					o.refused[id] = false
					st.Apply(&Command{Forget: []string{id}})
				}
			},
			"start": func(t *rapid.T) {
				for _, j := range st.LiveJobs() {
					o.start(t, st, j, rapid.SampledFrom(targets).Draw(t, "life"))
				}
			},
			"copy": func(t *rapid.T) {
				for _, j := range st.LiveJobs() {
					o.copy(t, st, j, rapid.SampledFrom(targets).Draw(t, "life"))
				}
			},
			"end": func(t *rapid.T) {
				for key, s := range o.placed {
					r := key.task
					if !rapid.Bool().Draw(t, "ends") {
						continue
					}
					outcome := rapid.SampledFrom([]Outcome{RunDone, RunDone, RunFailed, RunStopped, RunLeaseExpired, RunRejected}).Draw(t, "outcome")
					numbers[s.Target]++
					e := End{Target: s.Target, Number: numbers[s.Target], Task: r, Run: s.Run, Outcome: outcome}
					if outcome == RunRejected {
						e.Number = 0
						numbers[s.Target]--
					}
					o.end(t, st, e)
					st.Apply(&Command{Ends: []End{e}})
					st.Apply(&Command{Ends: []End{e}}) // reports may be repeated
				}
			},
			"lose": func(t *rapid.T) {
				target := rapid.SampledFrom(targets).Draw(t, "life")
				for r, s := range o.placed {
					if s.Target == target {
						delete(o.placed, r)
					}
				}
				st.Apply(&Command{Lost: []TargetIncarnation{target}})
			},
			"restore": func(t *rapid.T) {
				data, err := json.Marshal(st)
				if err != nil {
					t.Fatal(err)
				}
				restored := NewStore()
				if err := json.Unmarshal(data, restored); err != nil {
					t.Fatal(err)
				}
				restored.RebuildIndexes()
				if len(restored.LiveJobs()) != len(st.LiveJobs()) || !reflect.DeepEqual(restored.OccupiedTargets() == nil, st.OccupiedTargets() == nil) {
					t.Fatalf("restored %d live jobs, want %d", len(restored.LiveJobs()), len(st.LiveJobs()))
				}
				if !maps.Equal(restored.ZonesOut, st.ZonesOut) || !maps.Equal(restored.EndWatermarks, st.EndWatermarks) || !reflect.DeepEqual(restored.Jobs, st.Jobs) || !maps.Equal(restored.Tombstones, st.Tombstones) {
					t.Fatal("the restored store differs")
				}
				st = restored
			},
			"zone": func(t *rapid.T) {
				st.Apply(&Command{Zones: []ZoneChange{{Zone: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), Out: rapid.Bool().Draw(t, "out")}}})
			},
			"": func(t *rapid.T) {
				o.check(t, st)
				checkHeld(t, st)
			},
		})
	})
}

// start places the ready tasks of every step whose dependencies are done; a
// gang is placed only as a whole.
func (o *oracle) start(t *rapid.T, st *Store, j *Job, target TargetIncarnation) {
	for k := range j.Occurrences {
		for s := range j.Spec.Steps {
			if !j.StepReady(k, s) {
				continue
			}
			o.checkOrder(t, j, k, s)
			gang := j.Spec.Steps[s].Gang
			state := &j.Occurrences[k][s]
			if gang && state.Waiting < len(state.Tasks) {
				continue
			}
			run := 0
			for i := range state.Tasks {
				run = max(run, state.Tasks[i].LatestRun()+1)
			}
			for i := range state.Tasks {
				ref := Ref{j.Spec.ID, k, s, i}
				if state.Tasks[i].State != Ready {
					continue
				}
				if len(o.runsOf(ref)) > 0 || o.done[ref] {
					t.Fatalf("%v is ready and placed or done", ref)
				}
				start := Start{Task: ref, Run: run, Target: target}
				st.Apply(&Command{Starts: []Start{start}})
				st.Apply(&Command{Starts: []Start{{Task: ref, Run: run + 1, Target: TargetIncarnation{"c", 1}}}}) // outdated: must be ignored
				o.place(t, start)
			}
		}
	}
}

// place notes a start that must have been applied.
func (o *oracle) place(t *rapid.T, s Start) {
	if s.Run <= o.latest[s.Task] {
		t.Fatalf("%v: run %d follows run %d", s.Task, s.Run, o.latest[s.Task])
	}
	o.latest[s.Task] = s.Run
	o.placed[placedRun{s.Task, s.Run}] = s
}

// copy starts a copy of every task, which must be ignored where none may start.
func (o *oracle) copy(t *rapid.T, st *Store, j *Job, target TargetIncarnation) {
	j.eachTask(func(r Ref, task *Task) {
		step, runs := &j.Spec.Steps[r.Step], o.runsOf(r)
		start := Start{Task: r, Run: task.LatestRun() + 1, Target: target, Copy: true}
		st.Apply(&Command{Starts: []Start{start}})
		if step.Speculative && !step.Gang && !step.Lasting && !step.Filling && len(runs) == 1 && !o.done[r] && o.failures[r] == 0 && runs[0].Target.ID != target.ID {
			o.place(t, start)
		}
	})
}

func (o *oracle) checkOrder(t *rapid.T, j *Job, k, s int) {
	for _, dependency := range j.Spec.Steps[s].After {
		for i := range j.Spec.Steps[dependency].Count {
			if !o.done[Ref{j.Spec.ID, k, dependency, i}] {
				t.Fatalf("step %d is ready before step %d is done", s, dependency)
			}
		}
	}
}

func (o *oracle) end(t *rapid.T, st *Store, e End) {
	j := st.Jobs[e.Task.Job]
	step := &j.Spec.Steps[e.Task.Step]
	live := j.IsLive()
	delete(o.placed, placedRun{e.Task, e.Run})
	switch {
	case !live || o.done[e.Task]:
	case e.Outcome == RunDone && !step.Lasting:
		for i := range step.Count {
			ref := Ref{e.Task.Job, e.Task.Occurrence, e.Task.Step, i}
			if step.Gang || i == e.Task.Index {
				o.done[ref] = true
			}
			for _, s := range o.runsOf(ref) {
				if step.Gang {
					delete(o.placed, placedRun{ref, s.Run})
				}
			}
		}
	case e.Outcome == RunFailed && !step.Lasting:
		o.failures[e.Task]++
		if o.failures[e.Task] >= 2 {
			if len(o.runsOf(e.Task)) > 0 {
				t.Fatalf("%v: attempts used up while a run is active", e.Task)
			}
			o.finished[e.Task.Job] = Failed
		}
	}
}

func (o *oracle) check(t *rapid.T, st *Store) {
	held := 0
	for _, target := range st.OccupiedTargets() {
		for r, task := range st.TasksOn(target) {
			held++
			run, state := task.RunOn(target)
			if s, known := o.placed[placedRun{r, run}]; !known || s.Target != target {
				t.Fatalf("run %d of %v is held by %v, the oracle says %v", run, r, target, s)
			}
			if stopping := o.done[r] || !st.Jobs[r.Job].IsLive(); (state == Stopping) != stopping {
				t.Fatalf("run %d of %v is in state %d, to be stopped: %v", run, r, state, stopping)
			}
		}
	}
	if held != len(o.placed) {
		t.Fatalf("%d tasks held, the oracle says %d", held, len(o.placed))
	}
	for id, refused := range o.refused {
		if st.HasTombstone(id) != refused || refused && st.Jobs[id] != nil {
			t.Fatalf("job %s: tombstone %v, want %v; job %v", id, st.HasTombstone(id), refused, st.Jobs[id] != nil)
		}
	}
	for id, j := range st.Jobs {
		if want, over := o.finished[id]; over && j.State() != want {
			t.Fatalf("job %s is %s, want %s", id, j.State(), want)
		}
		all := true
		j.eachTask(func(r Ref, _ *Task) { all = all && o.done[r] })
		if (j.State() == Completed) != (all && o.finished[id] == "") {
			t.Fatalf("job %s is %s, all done: %v", id, j.State(), all)
		}
	}
}

// Guards against a configuration that is replaced by an older version.
func TestConfigNeverReverts(t *testing.T) {
	st := NewStore()
	highest := uint64(0)
	for i, version := range []uint64{3, 2, 3, 7, 5, 7} {
		source := []byte{byte(version), byte(i)}
		if version > highest {
			highest = version
		} else {
			source[0] = 0 // other content under a version that is not higher
		}
		st.Apply(&Command{Config: &Config{Version: version, Source: source}})
		if st.Config.Version != highest || st.Config.Source[0] != byte(highest) {
			t.Fatalf("version %d with content of %d in force, want %d", st.Config.Version, st.Config.Source[0], highest)
		}
	}
}

// Guards against a submission that is routed to the wrong queue.
func TestLongestPrefixMatches(t *testing.T) {
	c := Config{Queues: []Queue{{Name: "all", Host: "h", Prefix: "/"}, {Name: "a", Host: "h", Prefix: "/a/"}, {Name: "other", Host: "i", Prefix: "/a/b/"}}}
	for path, want := range map[string]string{"/a/b/1": "a", "/b": "all"} {
		if q, _ := c.Match("h", path); q == nil || q.Name != want {
			t.Errorf("%s matches %v, want %s", path, q, want)
		}
	}
	if q, _ := c.Match("j", "/a/"); q != nil {
		t.Errorf("unknown host matches %s", q.Name)
	}
}

// Guards against an inconsistent configuration that is accepted.
func TestConfigCheck(t *testing.T) {
	service := []Service{{Name: "s"}}
	for name, c := range map[string]Config{
		"no version":      {Queues: []Queue{{Service: "s", TimeoutMillis: 1}}, Services: service},
		"unknown service": {Version: 1, Queues: []Queue{{Service: "x", TimeoutMillis: 1}}, Services: service},
		"no timeout":      {Version: 1, Queues: []Queue{{Service: "s"}}, Services: service},
		"same place":      {Version: 1, Queues: []Queue{{Host: "h", Prefix: "/", Service: "s", TimeoutMillis: 1}, {Host: "h", Prefix: "/", Service: "s", TimeoutMillis: 1}}, Services: service},
	} {
		if c.Check() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Guards against a job that is removed while one of its runs is still active.
func TestForgetWaitsForRuns(t *testing.T) {
	st := NewStore()
	id := "00000000000000aa"
	st.Apply(&Command{Submit: []*Submission{{Spec: Spec{ID: id, Steps: []Step{{Count: 1}}}}}})
	ref := Ref{Job: id}
	st.Apply(&Command{Starts: []Start{{Task: ref, Run: 1, Target: TargetIncarnation{"a", 1}}}})
	st.Apply(&Command{Cancel: []string{id}, Forget: []string{id}})
	if st.Jobs[id] == nil {
		t.Fatal("removed while a run is being stopped")
	}
	st.Apply(&Command{Ends: []End{{Target: TargetIncarnation{"a", 1}, Number: 1, Task: ref, Run: 1, Outcome: RunStopped}}, Forget: []string{id}})
	if st.Jobs[id] != nil {
		t.Fatal("kept although no run is active")
	}
}

// Guards against work that runs again when its submission is repeated after it has
// finished: the tasks of finished jobs are dropped, also before a snapshot.
func TestRepeatedSubmissionOfAFinishedJob(t *testing.T) {
	const id = "00000000000000aa"
	submit := &Command{Submit: []*Submission{{Spec: Spec{ID: id, Steps: []Step{{Count: 1}}}}}}
	ref, target := Ref{Job: id}, TargetIncarnation{"a", 1}
	for name, finish := range map[string]*Command{
		"done":      {Ends: []End{{Target: target, Number: 1, Task: ref, Run: 1, Outcome: RunDone}}},
		"failed":    {Ends: []End{{Target: target, Number: 1, Task: ref, Run: 1, Outcome: RunFailed}}},
		"cancelled": {Cancel: []string{id}, Lost: []TargetIncarnation{target}},
	} {
		st := NewStore()
		st.Apply(submit)
		st.Apply(&Command{Starts: []Start{{Task: ref, Run: 1, Target: target}}})
		st.Apply(finish)
		data, err := json.Marshal(st)
		if err != nil {
			t.Fatal(err)
		}
		restored := NewStore()
		if err := json.Unmarshal(data, restored); err != nil {
			t.Fatal(err)
		}
		restored.RebuildIndexes()
		for _, s := range []*Store{st, restored} {
			before := s.Jobs[id].State()
			s.Apply(submit)
			s.Apply(&Command{Starts: []Start{{Task: ref, Run: 2, Target: target}}})
			s.Apply(finish) // a repeated report
			if s.Jobs[id].State() != before || len(s.LiveJobs()) > 0 || len(s.TasksOn(target)) > 0 {
				t.Errorf("%s: job is %s, %d live jobs, %d tasks placed after a repeated submission", name, s.Jobs[id].State(), len(s.LiveJobs()), len(s.TasksOn(target)))
			}
		}
	}
}

// Guards against times and estimates so large that sums of them overflow: an
// occurrence would be due at once, and estimates would differ between processors.
func TestTimesOutOfRangeAreRefused(t *testing.T) {
	const largest = 1<<63 - 1
	step := Step{Count: 1}
	late := step
	late.EstimateMillis = largest
	for name, s := range map[string]Spec{
		"start":    {FirstAtMillis: largest, OccurrenceCount: 2, IntervalMillis: 1, Steps: []Step{step}},
		"interval": {FirstAtMillis: 1, OccurrenceCount: 3, IntervalMillis: largest / 2, Steps: []Step{step}},
		"estimate": {Steps: []Step{late}},
	} {
		s.ID = "00000000000000aa"
		if s.Check() == nil {
			t.Errorf("%s: accepted; occurrence 2 is due at %d", name, s.DueMillis(2))
		}
	}
	most := Spec{ID: "00000000000000aa", FirstAtMillis: maxStartMillis, IntervalMillis: maxDurationMillis, OccurrenceCount: MaxTasks, Steps: []Step{step}}
	if err := most.Check(); err != nil || most.DueMillis(MaxTasks) < maxStartMillis {
		t.Errorf("largest times: %v, last occurrence due at %d", err, most.DueMillis(MaxTasks))
	}
}

// Guards against two tasks with the same name, and names that parse to another
// task.
func TestRefNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Ref{
			Job:        fmt.Sprintf("%016x", rapid.Uint64().Draw(t, "job")),
			Occurrence: rapid.IntRange(0, 99).Draw(t, "k"), Step: rapid.IntRange(0, 99).Draw(t, "step"), Index: rapid.IntRange(0, 9999).Draw(t, "index"),
		}
		parsed, err := ParseRef(r.String())
		if err != nil || parsed != r {
			t.Fatalf("%s parsed as %v, %v", r, parsed, err)
		}
	})
}

// Guards against work that is repeated because another incarnation of the
// target did it: a start in flight while a target crashes may reach its next
// incarnation.
func TestRunOfAnotherLifeCounts(t *testing.T) {
	const id = "00000000000000aa"
	placed := func() *Store {
		st := NewStore()
		st.Apply(&Command{Submit: []*Submission{{Spec: Spec{ID: id, Steps: []Step{{Count: 1}}}}}})
		st.Apply(&Command{Starts: []Start{{Task: Ref{Job: id}, Run: 1, Target: TargetIncarnation{"a", 1}}}})
		return st
	}
	end := End{Target: TargetIncarnation{"a", 2}, Number: 1, Task: Ref{Job: id}, Run: 1, Outcome: RunDone}
	st := placed()
	st.Apply(&Command{Ends: []End{end}, Lost: []TargetIncarnation{{"a", 1}}})
	if state := st.Jobs[id].State(); state != Completed {
		t.Errorf("job is %s after the next incarnation has done its task", state)
	}
	st = placed()
	st.Apply(&Command{Adopted: []Adoption{{Task: Ref{Job: id}, Run: 1, Target: TargetIncarnation{"a", 2}}}, Lost: []TargetIncarnation{{"a", 1}}})
	if len(st.TasksOn(TargetIncarnation{"a", 2})) != 1 || len(st.TasksOn(TargetIncarnation{"a", 1})) != 0 {
		t.Errorf("the next incarnation holds %d tasks, the previous one %d", len(st.TasksOn(TargetIncarnation{"a", 2})), len(st.TasksOn(TargetIncarnation{"a", 1})))
	}
}

// Guards against ends of a target that are never acknowledged because its clock was set
// back before it started again, so that its Born is lower than that of the incarnation
// before.
func TestEndsOfAnIncarnationWithALowerBornAreAcknowledged(t *testing.T) {
	st := NewStore()
	earlier, later := TargetIncarnation{ID: "t", Born: 5000}, TargetIncarnation{ID: "t", Born: 2000}
	end := func(target TargetIncarnation, number, previous uint64) {
		st.Apply(&Command{Ends: []End{{Target: target, Number: number, Previous: previous, Task: Ref{Job: "x"}, Run: 1, Outcome: RunDone}}})
	}
	end(earlier, 1, 0)
	end(earlier, 2, 1)
	end(later, 1, 0)
	end(later, 2, 1)
	end(later, 3, 2)
	if a, b := st.LastEndNumber(earlier), st.LastEndNumber(later); a != 2 || b != 3 {
		t.Errorf("watermarks %d and %d, want 2 and 3", a, b)
	}
	end(later, 5, 4)
	if n := st.LastEndNumber(later); n != 3 {
		t.Errorf("watermark %d covers end 4, which was not applied", n)
	}
}

// Guards against a start that was decided before the task ran and ended: its run number
// was used already, and the target would refuse it or, after a restart, run it again.
func TestOutdatedStartIsIgnored(t *testing.T) {
	st := NewStore()
	target := TargetIncarnation{ID: "t", Born: 1}
	ref := Ref{Job: "00000000000000aa"}
	st.Apply(&Command{Submit: []*Submission{{Spec: Spec{ID: ref.Job, Steps: []Step{{Count: 1}}}, Queue: Queue{Attempts: 9}}}})
	start := func(run int) {
		st.Apply(&Command{Starts: []Start{{Task: ref, Run: run, Target: target}}})
	}
	start(1)
	st.Apply(&Command{Ends: []End{{Target: target, Number: 1, Task: ref, Run: 1, Outcome: RunFailed}}})
	start(1)
	if _, task := st.Find(ref); task.State != Ready {
		t.Fatalf("run %d was started again", task.Run)
	}
	start(2)
	if _, task := st.Find(ref); task.State != Placed || task.Run != 2 {
		t.Fatalf("task %+v, want run 2", task)
	}
}
