package dispatch

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/job"
)

var copiedStep = job.Step{Count: 1, Need: cores(8), EstimateMillis: 500, Speculative: true}

// straggling returns a fixture in which a task of a speculative step runs on its first
// target, twice as long as typical.
func straggling(targets int, step job.Step) (*fixture, Straggler) {
	w := newFixture(targets)
	ref := job.Ref{Job: w.submit(2, 0, step)}
	w.store.Apply(&job.Command{Starts: []job.Start{{Task: ref, Run: 1, Target: w.targets[0].Incarnation, Host: "h0"}}})
	return w, Straggler{Task: ref, Lasted: time.Second, Typical: 500 * time.Millisecond}
}

// copies returns the copies among the starts of a decision about the stragglers, and the
// number of other starts.
func (w *fixture) copies(stragglers ...Straggler) (copies []job.Start, others int) {
	d := New(DefaultLimits())
	w.describe(d)
	in := w.input()
	in.Stragglers = stragglers
	for _, s := range d.Run(in) {
		if s.Copy {
			copies = append(copies, s)
		} else {
			others++
		}
	}
	return copies, others
}

// Guards against a copy beside the run that it replaces, or under a number that is used.
func TestCopyIsOnAnotherTarget(t *testing.T) {
	w, s := straggling(2, copiedStep)
	copies, _ := w.copies(s)
	if len(copies) != 1 || copies[0].Target != w.targets[1].Incarnation || copies[0].Run != 2 {
		t.Errorf("copies %v, want run 2 on the second target", copies)
	}
	w, s = straggling(1, copiedStep)
	if copies, _ = w.copies(s); len(copies) != 0 {
		t.Errorf("copies %v with one target", copies)
	}
}

// Guards against copies that take the room of a first run: the full cluster has no room
// beside it, a waiting task may start as soon as some is free, and a job that arrives
// next must find room. A task that no target can run keeps nothing back.
func TestCopiesDelayNoFirstRun(t *testing.T) {
	for name, c := range map[string]struct {
		priority, need int64
		filling        bool
		lasts          int // starts of the other job
		want           int
	}{
		"enough room":               {2, 8, false, 1, 1},
		"waits for room":            {2, 60, false, 0, 0},
		"waits, less important":     {3, 60, false, 0, 0},
		"can never run":             {2, 70, false, 0, 1},
		"less important filling":    {3, 300, true, 0, 1},
		"equally important filling": {2, 300, true, 0, 0},
	} {
		w, s := straggling(2, copiedStep)
		w.submit(2, 0, job.Step{Count: 2, Need: cores(8), MaxPerTarget: 1}) // on both targets
		w.store.Apply(&job.Command{Starts: w.run()})
		step := job.Step{Count: 1, Need: cores(c.need), Filling: c.filling, Image: "f"}
		if c.filling {
			w.coefficients["f"] = 9
			w.submit(2, 0, job.Step{Count: 2, Need: cores(1), MaxPerTarget: 1, Lasting: true, TailTargetMillis: 50, Image: "s"})
			w.store.Apply(&job.Command{Starts: w.run()})
		}
		w.submit(int(c.priority), 0, step)
		copies, others := w.copies(s)
		if len(copies) != c.want || others != c.lasts {
			t.Errorf("%s: %d copies and %d other starts, want %d and %d", name, len(copies), others, c.want, c.lasts)
		}
	}
	w, s := straggling(2, copiedStep)
	w.submit(2, 0, job.Step{Count: 15, Need: cores(8)})
	if copies, others := w.copies(s); len(copies) != 0 || others != 15 {
		t.Errorf("%d copies beside %d other starts that fill the cluster", len(copies), others)
	}
	w, s = straggling(2, copiedStep)
	w.submit(2, 0, job.Step{Count: 1, Need: cores(55)}, job.Step{Count: 1, Need: cores(55)})
	if copies, others := w.copies(s); len(copies) != 0 || others != 2 {
		t.Errorf("%d copies beside %d other starts that nearly fill the cluster", len(copies), others)
	}
}

// Guards against a copy of a task that is slow only because it reads its data from
// another rack, and against copies that are as slow for that reason.
func TestCopiesAreBesideTheirData(t *testing.T) {
	far := copiedStep
	far.DataRack = "r1" // targets 2 and 3
	w, s := straggling(4, far)
	if copies, _ := w.copies(s); len(copies) != 0 {
		t.Errorf("copies %v of a run that may be slow because of its data", copies)
	}
	s.Lasted *= remoteFactor
	if copies, _ := w.copies(s); len(copies) != 1 || copies[0].Target.ID < "t02" {
		t.Errorf("copies %v, want one beside the data", copies)
	}
	near := copiedStep
	near.DataRack = "r0" // targets 0 and 1
	w, s = straggling(4, near)
	w.unstartable[1] = true
	if copies, _ := w.copies(s); len(copies) != 0 {
		t.Errorf("copies %v far from their data", copies)
	}
}

// Guards against copies without a bound, or whose bound leaves out those in flight.
func TestCopiesAreBounded(t *testing.T) {
	step := copiedStep
	step.Count = 40
	w := newFixture(10)
	id := w.submit(2, 0, step)
	starts := w.run()
	for i := range starts {
		starts[i].Host = starts[i].Target.ID
	}
	w.store.Apply(&job.Command{Starts: starts})
	d := New(DefaultLimits())
	w.describe(d)
	in := w.input()
	for i := range step.Count {
		in.Stragglers = append(in.Stragglers, Straggler{Task: job.Ref{Job: id, Index: i}, Lasted: time.Second, Typical: 500 * time.Millisecond})
	}
	first := d.Run(in)
	if len(first) != 2 {
		t.Fatalf("%d copies beside 40 tasks, want 2", len(first))
	}
	if again := d.Run(in); len(again) != 0 {
		t.Errorf("%d copies beside 2 in flight", len(again))
	}
	w.store.Apply(&job.Command{Starts: first})
	d.Settle(first)
	if again := d.Run(in); len(again) != 0 || w.store.Copies() != 2 {
		t.Errorf("%d copies beside %d", len(again), w.store.Copies())
	}
	if len(d.pendingSteps) != 0 || len(d.pending) != 0 {
		t.Errorf("pending %v of steps %v are left", d.pending, d.pendingSteps)
	}
}
