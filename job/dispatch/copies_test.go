package dispatch

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/job"
)

// straggling returns a fixture in which the tasks of a speculative step run, the first on
// the first target, and the stragglers that they are.
func straggling(targets, count int, rack string) (w *fixture, found []Straggler) {
	w = newFixture(targets)
	id := w.submit(2, 0, job.Step{Count: count, Need: cores(8), Speculative: true, DataRack: rack})
	for i := range count {
		ref := job.Ref{Job: id, Index: i}
		w.store.Apply(&job.Command{Starts: []job.Start{{Task: ref, Run: 1, Target: w.targets[i/8].Incarnation}}})
		found = append(found, Straggler{Task: ref, Lasted: time.Second, Typical: 500 * time.Millisecond})
	}
	return w, found
}

// copies returns the copies and the number of other starts that a decision starts.
func (w *fixture) copies(d *Dispatcher, found []Straggler) (copies []job.Start, others int) {
	w.describe(d)
	in := w.input()
	in.Stragglers = found
	starts := d.Run(in)
	for others < len(starts) && !starts[others].Copy {
		others++
	}
	return starts[others:], others
}

// Guards against copies that take the room of a first run: one that waits, one that starts
// in the same pass, and one that arrives next. What can never run, and filling tasks of
// less important queues, keep nothing back.
func TestCopiesDelayNoFirstRun(t *testing.T) {
	for name, c := range map[string]struct {
		step     job.Step
		priority int
		starts   int // first starts
		want     int // copies
	}{
		"enough room":              {job.Step{Count: 1, Need: cores(8)}, 2, 1, 1},
		"fills the cluster":        {job.Step{Count: 13, Need: cores(8)}, 2, 13, 0},
		"nearly fills the cluster": {job.Step{Count: 2, Need: cores(48)}, 2, 2, 0},
		"waits for room":           {job.Step{Count: 1, Need: cores(60)}, 2, 0, 0},
		"waits, less important":    {job.Step{Count: 1, Need: cores(60)}, 3, 0, 0},
		"can never run":            {job.Step{Count: 1, Need: cores(70)}, 2, 0, 1},
		"filling, less important":  {job.Step{Count: 1, Need: cores(300), Filling: true, Image: "f"}, 3, 0, 1},
		"filling, as important":    {job.Step{Count: 1, Need: cores(300), Filling: true, Image: "f"}, 2, 0, 0},
	} {
		w, found := straggling(2, 1, "")
		w.submit(2, 0, job.Step{Count: 2, Need: cores(8), MaxPerTarget: 1, Lasting: true, TailTargetMillis: 50, Image: "s"})
		w.store.Apply(&job.Command{Starts: w.run()})
		w.submit(c.priority, 0, c.step)
		if copies, others := w.copies(New(DefaultLimits()), found); len(copies) != c.want || others != c.starts {
			t.Errorf("%s: %d copies and %d other starts, want %d and %d", name, len(copies), others, c.want, c.starts)
		}
	}
}

// Guards against a copy on the target of the first run, under a number that is used, or
// as slow as the first run because it is far from its data; and against one for a run that
// is slow only for that reason.
func TestTargetOfACopy(t *testing.T) {
	for name, c := range map[string]struct {
		targets int
		rack    string // that holds the data; r0 is that of the first two targets
		factor  time.Duration
		want    string
	}{
		"other target":             {2, "", 1, "t01"},
		"no other target":          {1, "", 1, ""},
		"beside the data":          {4, "r0", 1, "t01"},
		"only far from the data":   {4, "r9", 3, ""},
		"slow because of the data": {4, "r1", 1, ""},
		"slower than that":         {3, "r1", 3, "t02"},
	} {
		w, found := straggling(c.targets, 1, c.rack)
		found[0].Lasted *= c.factor
		copies, _ := w.copies(New(DefaultLimits()), found)
		if len(copies) == 0 && c.want == "" {
			continue
		}
		if len(copies) != 1 || copies[0].Target.ID != c.want || copies[0].Run != 2 {
			t.Errorf("%s: copies %v, want run 2 on %q", name, copies, c.want)
		}
	}
}

// Guards against copies without a bound, or whose bound leaves out those in flight, and
// against pending tasks that are left over.
func TestCopiesAreBounded(t *testing.T) {
	w, found := straggling(10, 40, "")
	d := New(DefaultLimits())
	first, _ := w.copies(d, found)
	again, _ := w.copies(d, found)
	w.store.Apply(&job.Command{Starts: first})
	d.Settle(first)
	settled, _ := w.copies(d, found)
	if len(first) != 4 || len(again)+len(settled) != 0 || w.store.Copies() != 4 || len(d.pending)+len(d.pendingSteps) != 0 {
		t.Errorf("%d copies beside 40 tasks, %d more in flight, %d more later, pending %v", len(first), len(again), len(settled), d.pending)
	}
}
