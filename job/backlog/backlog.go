// Package backlog decides which submissions surely cannot be done in time, and when their
// callers may return. It measures the work that the targets of a service get done and
// compares it with the accepted work that is started before a new job. Whatever is not
// known counts in favour of the job. The package performs no I/O and reads no clock.
package backlog

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibispier/ibispier/job"
)

// lateFactor is the multiple of its objective after which the result of a job is of no use
// to its caller. Package dispatch orders jobs by the same bound.
const lateFactor = 3

// Part is work of a job that may run at the same time. Times are in milliseconds from now.
type Part struct {
	Offset float64 // earliest start
	Length float64
	Cores  float64
}

// within returns the core-milliseconds that the part can use up to a time.
func (p Part) within(t float64) float64 { return p.Cores * min(p.Length, max(0, t-p.Offset)) }

// Item is the unfinished work of an accepted job in one pool.
type Item struct {
	Priority       int
	DeadlineMillis int64 // Unix time of its objective
	LateMillis     int64 // Unix time after which its result is of no use
	EndMillis      int64 // Unix time of its earliest end by its estimates, from which its rank follows
	ExtraMillis    int64 // by which its measured run times exceed the estimates
	Parts          []Part
}

// Backlog is the unfinished work of the accepted jobs in one pool, in the order in which
// package dispatch starts it: by priority and deadline. Jobs whose result is of no use any
// more come last there and are not part of it.
type Backlog struct {
	items   []Item
	builtAt time.Time
}

func compareItems(x, y Item) int {
	return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.DeadlineMillis, y.DeadlineMillis))
}

// New returns the backlog of the items as they are now.
func New(now time.Time, items []Item) *Backlog {
	slices.SortStableFunc(items, compareItems)
	return &Backlog{items, now}
}

// Insert adds a job that was accepted.
func (b *Backlog) Insert(x Item) {
	at, _ := slices.BinarySearchFunc(b.items, x, compareItems)
	b.items = slices.Insert(b.items, at, x)
}

// Options hold what else the work of a job depends on.
type Options struct {
	NowMillis int64 // Unix time
	Ratios    Ratios
	// Elapsed returns for how long a run has been active, and whether it is known.
	Elapsed func(ref job.Ref, run int) (int64, bool)
	// Fits reports whether some target could run a task of the step. Other tasks never
	// use the room that they wait for.
	Fits func(s *job.Step) bool
}

// ItemOf returns the unfinished work of a job in the pool, counted low, and whether it has
// any that is of use.
func ItemOf(j *job.Job, q *job.Queue, filling bool, o Options) (Item, bool) {
	inPool := func(s job.Step) bool { return s.Filling == filling }
	if !HasObjective(&j.Spec) || !o.Ratios.isReliable() || len(j.Occurrences) == 0 || !slices.ContainsFunc(j.Spec.Steps, inPool) {
		return Item{}, false
	}
	objective := objectiveMillis(&j.Spec, q, 1)
	x := Item{Priority: q.Priority, DeadlineMillis: j.AtMillis + int64(objective), LateMillis: j.AtMillis + int64(lateFactor*objective)}
	ends := make([]float64, len(j.Spec.Steps)) // earliest end of each step
	longest := 0.0
	for i := range j.Spec.Steps {
		ready := 0.0 // earliest start
		for _, dependency := range j.Spec.Steps[i].After {
			ready = max(ready, ends[dependency])
		}
		var parts []Part
		parts, ends[i] = stepParts(j, i, ready, o)
		longest = max(longest, ends[i])
		if s := &j.Spec.Steps[i]; s.Filling == filling && o.Fits(s) {
			x.Parts = append(x.Parts, parts...)
		}
	}
	openPath := openPathMillis(j)
	x.EndMillis, x.ExtraMillis = o.NowMillis+int64(openPath), int64(longest-openPath)
	return x, len(x.Parts) > 0 && x.EndMillis <= x.LateMillis
}

// ItemOfSubmission returns the work of a submission that was accepted and is not in the store
// yet.
func ItemOfSubmission(s *job.Submission, filling bool, o Options) (Item, bool) {
	steps := make([]job.StepState, len(s.Spec.Steps))
	for i := range steps {
		steps[i].Open, steps[i].Waiting = s.Spec.Steps[i].Count, s.Spec.Steps[i].Count
	}
	j := &job.Job{Spec: s.Spec, AtMillis: s.AtMillis, Occurrences: [][]job.StepState{steps}}
	return ItemOf(j, &s.Queue, filling, o)
}

// stepParts returns the unfinished work of a step and its earliest end.
func stepParts(j *job.Job, index int, ready float64, o Options) ([]Part, float64) {
	s, state := &j.Spec.Steps[index], &j.Occurrences[0][index]
	if state.Open == 0 {
		return nil, 0
	}
	length := float64(s.EstimateMillis) * o.Ratios.lowMean()
	var parts []Part
	end := ready
	if state.Waiting > 0 {
		parts = append(parts, Part{ready, length, float64(state.Waiting) * cores(s)})
		end = ready + length
	}
	rest, running := 0.0, 0
	for i := range state.Tasks {
		if t := &state.Tasks[i]; t.State == job.Placed {
			running++
			rest += restMillis(job.Ref{Job: j.Spec.ID, Step: index, Index: i}, t.Run, length, o)
		}
	}
	if running > 0 {
		rest /= float64(running)
		parts = append(parts, Part{0, rest, float64(running) * cores(s)})
		end = max(end, rest)
	}
	return parts, end
}

// restMillis returns the shortest remaining time of a run; 0 if its start is not known.
func restMillis(ref job.Ref, run int, length float64, o Options) float64 {
	elapsed, known := o.Elapsed(ref, run)
	if !known {
		return 0
	}
	return max(0, length-float64(elapsed))
}

func cores(s *job.Step) float64 { return float64(s.Need.CPUMilli) / 1000 }

// HasObjective reports whether the job has to be done within a time from its submission.
// Lasting jobs and those with a schedule do not.
func HasObjective(s *job.Spec) bool {
	return s.OccurrenceCount == 0 && !slices.ContainsFunc(s.Steps, func(x job.Step) bool { return x.Lasting })
}

// pathMillis returns the length of the longest dependency chain, for run times of ratio
// times their estimates.
func pathMillis(s *job.Spec, ratio float64) float64 {
	paths := make([]float64, len(s.Steps))
	longest := 0.0
	for i := range s.Steps {
		for _, dependency := range s.Steps[i].After {
			paths[i] = max(paths[i], paths[dependency])
		}
		paths[i] += float64(s.Steps[i].EstimateMillis) * ratio
		longest = max(longest, paths[i])
	}
	return longest
}

// openPathMillis returns the length of the longest dependency chain of the steps that are
// not done, by their estimates.
func openPathMillis(j *job.Job) float64 {
	open := job.Spec{Steps: slices.Clone(j.Spec.Steps)}
	for i := range open.Steps {
		if j.Occurrences[0][i].Open == 0 {
			open.Steps[i].EstimateMillis = 0
		}
	}
	return pathMillis(&open, 1)
}

// objectiveMillis returns the time from the submission within which the job is to be done.
func objectiveMillis(s *job.Spec, q *job.Queue, ratio float64) float64 {
	return max(q.Stretch, 1)*pathMillis(s, ratio) + float64(q.SlackMillis)
}

// WorkMillis returns the core-milliseconds of the job in the pool, by its estimates.
func WorkMillis(s *job.Spec, filling bool) float64 {
	work := 0.0
	for i := range s.Steps {
		if x := &s.Steps[i]; x.Filling == filling {
			work += float64(x.Count) * cores(x) * float64(x.EstimateMillis)
		}
	}
	return work
}
