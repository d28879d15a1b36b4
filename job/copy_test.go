package job

import (
	"encoding/json"
	"strings"
	"testing"
)

var copyTargets = []TargetIncarnation{{"a", 1}, {"b", 1}, {"c", 1}}

// copiedStore returns a store with a job of one speculative task, which runs on targets
// a and b as runs 1 and 2, with the number of attempts.
func copiedStore(t *testing.T, attempts int) (*Store, Ref) {
	t.Helper()
	st, ref := NewStore(), Ref{Job: "00000000000000aa"}
	st.Apply(&Command{Submit: []*Submission{{Spec: Spec{ID: ref.Job, Steps: []Step{{Count: 1, Speculative: true}}}, Queue: Queue{Attempts: attempts}}}})
	st.Apply(&Command{Starts: []Start{{Task: ref, Run: 1, Target: copyTargets[0], Host: "ha"}}})
	st.Apply(&Command{Starts: []Start{{Task: ref, Run: 2, Target: copyTargets[1], Host: "hb", Copy: true}}})
	return st, ref
}

func endOf(ref Ref, run int, outcome Outcome) *Command {
	return &Command{Ends: []End{{Target: copyTargets[run-1], Number: 1, Task: ref, Run: run, Outcome: outcome}}}
}

// Guards against a loser that gives its room back before its end is applied, or that
// ends the task a second time.
func TestFirstDoneRunCounts(t *testing.T) {
	for winner := 1; winner <= 2; winner++ {
		loser := 3 - winner
		st, ref := copiedStore(t, 4)
		st.TakeChanged()
		st.Apply(endOf(ref, winner, RunDone))
		if _, told := st.TakeChanged()[copyTargets[loser-1]]; !told {
			t.Errorf("run %d done: the change of the other target is not told", winner)
		}
		if state := st.Jobs[ref.Job].State(); state != Completed {
			t.Errorf("run %d done: job is %s", winner, state)
		}
		_, task := st.Find(ref)
		if run, state := task.RunOn(copyTargets[loser-1]); run != loser || state != Stopping || st.Copies() != 1 {
			t.Errorf("run %d done: run %d in state %d, %d copies; run %d must hold its room", winner, run, state, st.Copies(), loser)
		}
		st.Apply(&Command{Starts: []Start{{Task: ref, Run: 3, Target: copyTargets[2], Copy: true}, {Task: ref, Run: 4, Target: copyTargets[2]}}})
		st.Apply(endOf(ref, loser, RunDone))
		if held := st.OccupiedTargets(); len(held) > 0 || st.Copies() != 0 || st.Jobs[ref.Job].State() != Completed {
			t.Errorf("both ended: %v hold room, %d copies, job %s", held, st.Copies(), st.Jobs[ref.Job].State())
		}
	}
}

// Guards against a copy that could use up the attempts while another run is active: its
// start could be carried out after them. The run that is left when one fails goes on.
func TestCopiesStayWithinTheAttempts(t *testing.T) {
	if st, _ := copiedStore(t, 1); st.Copies() != 0 {
		t.Error("a copy started beside the last attempt")
	}
	for failed := 1; failed <= 2; failed++ {
		st, ref := copiedStore(t, 2)
		st.Apply(endOf(ref, failed, RunFailed))
		_, task := st.Find(ref)
		if task.State != Placed || task.Run != 3-failed || task.Failures != 1 || !st.Jobs[ref.Job].IsLive() {
			t.Fatalf("run %d failed: %+v", failed, task)
		}
		st.Apply(&Command{Starts: []Start{{Task: ref, Run: 3, Target: copyTargets[2], Copy: true}}})
		if st.Copies() != 0 {
			t.Error("a copy started beside the last attempt")
		}
		st.Apply(endOf(ref, 3-failed, RunFailed))
		if state := st.Jobs[ref.Job].State(); state != Failed {
			t.Errorf("both failed: job is %s", state)
		}
	}
}

// Guards against a task that starts again, or is given up, when one of the two targets
// is lost, and against a run number that is used again afterwards.
func TestLossOfOneOfTwoTargets(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		st, ref := copiedStore(t, 4)
		st.Apply(&Command{Lost: []TargetIncarnation{copyTargets[lost-1]}})
		_, task := st.Find(ref)
		if task.State != Placed || task.Run != 3-lost || len(st.OccupiedTargets()) != 1 || len(st.SupersededTargets([]string{"ha", "hb"}[lost-1], TargetIncarnation{"x", 9})) != 0 {
			t.Fatalf("target of run %d lost: %+v, held by %v", lost, task, st.OccupiedTargets())
		}
		st.Apply(&Command{Starts: []Start{{Task: ref, Run: 2, Target: copyTargets[2], Copy: true}}})
		if st.Copies() != 0 {
			t.Errorf("target of run %d lost: run 2 was started again", lost)
		}
		st.Apply(&Command{Lost: []TargetIncarnation{copyTargets[2-lost]}})
		if task.State != Ready || task.LatestRun() != 2 {
			t.Errorf("both lost: %+v", task)
		}
		st.Apply(endOf(ref, lost, RunDone))
		if state := st.Jobs[ref.Job].State(); state != Completed {
			t.Errorf("run %d reported as done after both targets were lost: job is %s", lost, state)
		}
	}
}

// Guards against a cancelled job that is dropped, or whose room is free, while one of
// two runs is being stopped.
func TestCancelWithTwoRuns(t *testing.T) {
	for first := 1; first <= 2; first++ {
		st, ref := copiedStore(t, 4)
		st.TakeChanged()
		st.Apply(&Command{Cancel: []string{ref.Job}, Forget: []string{ref.Job}})
		if changed := st.TakeChanged(); len(changed) != 2 {
			t.Errorf("changes of %v are told, want two targets", changed)
		}
		st.Apply(endOf(ref, first, RunStopped))
		_, task := st.Find(ref)
		if run, state := task.RunOn(copyTargets[2-first]); run != 3-first || state != Stopping {
			t.Fatalf("run %d stopped: the other is run %d in state %d", first, run, state)
		}
		st.Apply(endOf(ref, 3-first, RunStopped))
		st.Apply(&Command{Forget: []string{ref.Job}})
		if st.Jobs[ref.Job] != nil || len(st.OccupiedTargets()) > 0 {
			t.Errorf("the job is kept, or room is held by %v", st.OccupiedTargets())
		}
	}
}

// Guards against a run of two that is given up when the next incarnation of its target
// executes it, and against two runs on one target.
func TestAdoptionOfOneOfTwoRuns(t *testing.T) {
	for run := 1; run <= 2; run++ {
		st, ref := copiedStore(t, 4)
		earlier := copyTargets[run-1]
		next := TargetIncarnation{ID: earlier.ID, Born: 2}
		st.Apply(&Command{Adopted: []Adoption{{Task: ref, Run: run, Target: copyTargets[2-run]}, {Task: ref, Run: run, Target: next}}, Lost: []TargetIncarnation{earlier}})
		_, task := st.Find(ref)
		if number, state := task.RunOn(next); number != run || state != Placed || st.Copies() != 1 {
			t.Errorf("run %d: %d in state %d on the next incarnation, %d copies", run, number, state, st.Copies())
		}
	}
}

// Guards against entries and snapshots of stores without copies that change, which
// members of an earlier version could not read.
func TestEncodingWithoutCopies(t *testing.T) {
	st, ref := NewStore(), Ref{Job: "00000000000000aa"}
	start := Start{Task: ref, Run: 1, Target: copyTargets[0]}
	st.Apply(&Command{Submit: []*Submission{{Spec: Spec{ID: ref.Job, Steps: []Step{{Count: 1, Speculative: true}}}}}, Starts: []Start{start}})
	for _, value := range []any{st, start} {
		data, err := json.Marshal(value)
		if err != nil || strings.Contains(string(data), "Cop") {
			t.Errorf("%s, %v", data, err)
		}
	}
}
