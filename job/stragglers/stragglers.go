// Package stragglers finds the runs that last far longer than the other tasks of their
// step took. It is a part of the leader's state and is not replicated: a new leader
// measures anew.
package stragglers

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibispier/ibispier/job"
)

const (
	// minDoneShare is the share of the tasks of a step that must be done. Before, the
	// step does not wait for single tasks, and the runs measured are the fastest ones.
	minDoneShare = 0.75
	// minMeasured is the least number of measured runs of a step. The median of fewer
	// would be that of chance.
	minMeasured = 3
	// SlowFactor is the multiple of the median after which a run counts as a straggler.
	// Stragglers of the known platforms take seven times as long, so that a copy ends
	// after about three times the median.
	SlowFactor = 2
	// minExcess is how much longer than the median a run must have lasted. It covers
	// what a copy costs until it works: a log entry, an order and the call.
	minExcess = 300 * time.Millisecond
	// maxMeasured bounds the measured runs of a step. The median of the first ones
	// changes little with more.
	maxMeasured = 256
)

// Straggler is a run that lasts far longer than the other tasks of its step took.
type Straggler struct {
	Task    job.Ref
	Lasted  time.Duration
	Typical time.Duration // median of the runs of its step that are done
}

// Excess returns how many times as long as typical the run has lasted.
func (s Straggler) Excess() float64 { return float64(s.Lasted) / float64(max(s.Typical, 1)) }

// stepKey identifies a step of one occurrence.
type stepKey struct {
	job              string
	occurrence, step int
}

func stepOf(r job.Ref) stepKey { return stepKey{r.Job, r.Occurrence, r.Step} }

// runKey identifies a run within a step.
type runKey struct{ index, run int }

// seenRun is a run that this leader has seen.
type seenRun struct {
	since   time.Time
	started bool // since its start; otherwise it has lasted for longer than since
}

// stepRecord holds the runs of a step.
type stepRecord struct {
	seen map[runKey]seenRun
	took []time.Duration // of the runs that are done, in ascending order
}

// Tracker measures the runs of the steps whose tasks may have copies.
type Tracker struct {
	steps map[stepKey]*stepRecord
}

// NewTracker returns a tracker without runs.
func NewTracker() *Tracker { return &Tracker{steps: map[stepKey]*stepRecord{}} }

// RecordStart notes that the start of a run was committed now.
func (t *Tracker) RecordStart(now time.Time, task job.Ref, run int) {
	t.step(stepOf(task)).seen[runKey{task.Index, run}] = seenRun{since: now, started: true}
}

// RecordEnd notes the end of a run.
func (t *Tracker) RecordEnd(now time.Time, task job.Ref, run int, outcome job.Outcome) {
	s := t.steps[stepOf(task)]
	if s == nil {
		return
	}
	key := runKey{task.Index, run}
	seen := s.seen[key]
	delete(s.seen, key)
	if outcome != job.RunDone || !seen.started || len(s.took) >= maxMeasured {
		return
	}
	took := now.Sub(seen.since)
	at, _ := slices.BinarySearch(s.took, took)
	s.took = slices.Insert(s.took, at, took)
}

func (t *Tracker) step(key stepKey) *stepRecord {
	s := t.steps[key]
	if s == nil {
		s = &stepRecord{seen: map[runKey]seenRun{}}
		t.steps[key] = s
	}
	return s
}

// Forget drops the steps of jobs that have ended.
func (t *Tracker) Forget(ended func(id string) bool) {
	for key := range t.steps {
		if ended(key.job) {
			delete(t.steps, key)
		}
	}
}

// Find returns the stragglers without a copy, the slowest in relation to its step first.
func (t *Tracker) Find(now time.Time, st *job.Store) []Straggler {
	var found []Straggler
	for key, s := range t.steps {
		j := st.Jobs[key.job]
		if j == nil || !j.IsLive() || len(s.took) < minMeasured {
			continue
		}
		found = s.find(found, now, j, key)
	}
	slices.SortFunc(found, func(x, y Straggler) int {
		return cmp.Or(cmp.Compare(y.Excess(), x.Excess()), cmp.Compare(x.Task.Job, y.Task.Job), cmp.Compare(x.Task.Occurrence, y.Task.Occurrence),
			cmp.Compare(x.Task.Step, y.Task.Step), cmp.Compare(x.Task.Index, y.Task.Index))
	})
	return found
}

// find appends the stragglers of the step.
func (s *stepRecord) find(found []Straggler, now time.Time, j *job.Job, key stepKey) []Straggler {
	state, step := &j.Occurrences[key.occurrence][key.step], &j.Spec.Steps[key.step]
	if state.Open == 0 || float64(len(state.Tasks)-state.Open) < minDoneShare*float64(len(state.Tasks)) {
		return found
	}
	typical := s.took[len(s.took)/2]
	for i := range state.Tasks {
		if !j.MayCopy(step, &state.Tasks[i]) {
			continue
		}
		lasted := s.lasted(now, runKey{i, state.Tasks[i].Run})
		if lasted >= SlowFactor*typical && lasted >= typical+minExcess {
			task := job.Ref{Job: key.job, Occurrence: key.occurrence, Step: key.step, Index: i}
			found = append(found, Straggler{Task: task, Lasted: lasted, Typical: typical})
		}
	}
	return found
}

// lasted returns how long the run has lasted at least. A run whose start this leader
// has not seen is measured from now on.
func (s *stepRecord) lasted(now time.Time, key runKey) time.Duration {
	seen, known := s.seen[key]
	if !known {
		seen = seenRun{since: now}
		s.seen[key] = seen
	}
	return now.Sub(seen.since)
}
