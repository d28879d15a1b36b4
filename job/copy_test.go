package job

import (
	"encoding/json"
	"strings"
	"testing"
)

var copyTargets = []TargetIncarnation{{"a", 1}, {"b", 1}, {"c", 1}}

// copiedTask returns a store with a speculative task that runs on targets a and b as runs
// 1 and 2.
func copiedTask() (*Store, Ref, *Task) {
	st, ref := NewStore(), Ref{Job: "00000000000000aa"}
	st.Apply(&Command{Submit: []*Submission{{Spec: Spec{ID: ref.Job, Steps: []Step{{Count: 1, Speculative: true}}}, Queue: Queue{Attempts: 4}}}})
	st.Apply(&Command{Starts: []Start{{Task: ref, Run: 1, Target: copyTargets[0], Host: "a"}, {Task: ref, Run: 2, Target: copyTargets[1], Host: "b", Copy: true}}})
	_, task := st.Find(ref)
	return st, ref, task
}

// Guards against a loser that is not told to stop, or whose job is dropped before its room
// is free: after the first end as done, and after a cancel.
func TestLoserHoldsItsRoom(t *testing.T) {
	for name, end := range map[string]*Command{
		"done":      {Ends: []End{{Target: copyTargets[1], Number: 1, Run: 2, Outcome: RunDone}}},
		"cancelled": {Cancel: []string{"00000000000000aa"}},
	} {
		st, ref, task := copiedTask()
		for i := range end.Ends {
			end.Ends[i].Task = ref
		}
		st.TakeChanged()
		st.Apply(end)
		if run, state := task.RunOn(copyTargets[0]); run != 1 || state != Stopping || len(st.TakeChanged()) != 2 {
			t.Errorf("%s: run %d is in state %d, or its target is not told", name, run, state)
		}
		st.Apply(&Command{Forget: []string{ref.Job}, Lost: copyTargets[1:]})
		st.Apply(&Command{Ends: []End{{Target: copyTargets[0], Number: 1, Task: ref, Run: 1, Outcome: RunStopped}}})
		if len(st.OccupiedTargets()) != 0 || st.Copies() != 0 || st.Jobs[ref.Job].State() == Running {
			t.Errorf("%s: room is held on %v, %d copies", name, st.OccupiedTargets(), st.Copies())
		}
	}
}

// Guards against a target that stays in the index of its instance after its run of two
// was lost, and against a task that starts again although either run is reported as done
// after both targets were lost.
func TestLossOfBothTargets(t *testing.T) {
	for lost := range 2 {
		st, ref, task := copiedTask()
		st.Apply(&Command{Lost: []TargetIncarnation{copyTargets[lost]}})
		if left := st.SupersededTargets(copyTargets[lost].ID, TargetIncarnation{"x", 9}); task.State != Placed || len(left) != 0 {
			t.Errorf("run %d lost: %+v, %v left on its instance", lost+1, task, left)
		}
		st.Apply(&Command{Lost: []TargetIncarnation{copyTargets[1-lost]}})
		st.Apply(&Command{Ends: []End{{Target: copyTargets[lost], Number: 1, Task: ref, Run: lost + 1, Outcome: RunDone}}})
		if state := st.Jobs[ref.Job].State(); state != Completed {
			t.Errorf("run %d reported as done after both targets were lost: job is %s", lost+1, state)
		}
	}
}

// Guards against a run of two that is given up when the next incarnation of its target
// executes it, and against two runs on one target.
func TestAdoptionOfOneOfTwoRuns(t *testing.T) {
	for i := range 2 {
		st, ref, task := copiedTask()
		next := TargetIncarnation{ID: copyTargets[i].ID, Born: 2}
		st.Apply(&Command{Adopted: []Adoption{{ref, i + 1, copyTargets[1-i]}, {ref, i + 1, next}}, Lost: []TargetIncarnation{copyTargets[i]}})
		if run, state := task.RunOn(next); run != i+1 || state != Placed || len(st.OccupiedTargets()) != 2 {
			t.Errorf("run %d: %d in state %d on the next incarnation, room is held on %v", i+1, run, state, st.OccupiedTargets())
		}
	}
}

// Guards against entries and snapshots without copies that members of an earlier version
// cannot read.
func TestEncodingWithoutCopies(t *testing.T) {
	st, ref, _ := copiedTask()
	st.Apply(&Command{Forget: []string{ref.Job}, Cancel: []string{ref.Job}, Lost: copyTargets})
	data, err := json.Marshal([]any{st, Start{Task: ref, Run: 1}, Task{State: Placed, Run: 1}})
	if err != nil || strings.Contains(string(data), "Cop") {
		t.Errorf("%s, %v", data, err)
	}
}
