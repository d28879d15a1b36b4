// Package faults decides whether failed runs are the fault of their step or of
// their target. A target on which runs of several steps fail in a row gets no new
// starts for a while. A step that fails wherever it is started is not held against
// the targets; if its tasks are restarted however they end, those that have failed are
// held back instead. The package performs no I/O and reads no clock.
package faults

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ibispier/ibispier/job"
)

const (
	// maxStreak is the number of failed runs in a row, without those of steps at
	// fault, after which a target is suspended.
	maxStreak = 4
	// minSuspension is the length of the first suspension of a target. Each further
	// one without a successful run takes twice as long, up to maxSuspension.
	minSuspension = 2 * time.Second
	maxSuspension = 16 * time.Second
	// maxSuspendedShare bounds the share of the targets of a service that failed runs
	// suspend. The platform counts work as lost that waits while half of the capacity is
	// free.
	maxSuspendedShare = 0.5
	// minFailedTargets is the number of targets on which a step must have failed to
	// be at fault: on one target, the step and the target cannot be told apart.
	minFailedTargets = 2
	// failureWindow is the age beyond which a failure of a step no longer counts.
	// It exceeds maxHold, so that a step that fails after each hold stays at fault.
	failureWindow = 10 * time.Second
	// minHold is how long a failed task of a lasting step at fault is first held back.
	// Each further hold takes twice as long, up to maxHold. The platform allows a
	// lasting task to be away for 6 s.
	minHold = 250 * time.Millisecond
	maxHold = 4 * time.Second
)

// Step identifies a step of a job, in all its occurrences.
type Step struct {
	Job   string
	Index int
}

// StepOf returns the step of a task.
func StepOf(r job.Ref) Step { return Step{Job: r.Job, Index: r.Step} }

// Failure is a run that has failed or makes no progress.
type Failure struct {
	Task    job.Ref
	Target  job.TargetIncarnation
	Lasting bool // the task is restarted however its run ends
	Stalled bool // the run makes no progress
	// RunningElsewhere is the number of targets on which other tasks of the step
	// run.
	RunningElsewhere int
}

// stepRecord holds the failures of a step since one of its runs last succeeded.
type stepRecord struct {
	failedOn map[job.TargetIncarnation]time.Time // latest failure
	atFault  bool
}

// FailedTask is a lasting task whose latest run has failed.
type FailedTask struct {
	// Number is the position of the failure among all failures of lasting tasks. The
	// task with the lowest number has waited longest for its next run.
	Number    uint64
	HeldUntil time.Time // no starts until then; the time may have passed
	failedAt  time.Time
	holds     int
}

// IsHeld reports whether the task must not start yet.
func (f *FailedTask) IsHeld(now time.Time) bool { return f.HeldUntil.After(now) }

// targetRecord holds the failures on a target since a run on it last succeeded.
type targetRecord struct {
	failures       map[Step]int // by the step that failed
	suspensions    int
	suspendedUntil time.Time
	stalled        bool // the latest suspension is due to a stalled run
}

// Tracker attributes failures to steps and targets.
type Tracker struct {
	steps       map[Step]*stepRecord
	targets     map[job.TargetIncarnation]*targetRecord
	failedTasks map[Step]map[job.Ref]*FailedTask
	lastNumber  uint64 // of FailedTask
}

// NewTracker returns a tracker without failures.
func NewTracker() *Tracker {
	return &Tracker{steps: map[Step]*stepRecord{}, targets: map[job.TargetIncarnation]*targetRecord{}, failedTasks: map[Step]map[job.Ref]*FailedTask{}}
}

// RecordSuccess notes that a run of the task has succeeded on the target. Other tasks of
// its step that have failed stay held back.
func (t *Tracker) RecordSuccess(task job.Ref, target job.TargetIncarnation) {
	step := StepOf(task)
	delete(t.steps, step)
	delete(t.targets, target)
	if delete(t.failedTasks[step], task); len(t.failedTasks[step]) == 0 {
		delete(t.failedTasks, step)
	}
}

// RecordFailure notes a failure. It reports whether the step is at fault.
func (t *Tracker) RecordFailure(now time.Time, f Failure) bool {
	step := StepOf(f.Task)
	s := t.step(step)
	s.failedOn[f.Target] = now
	s.expire(now)
	if !s.atFault && len(s.failedOn) >= minFailedTargets && len(s.failedOn) > f.RunningElsewhere {
		s.atFault = true
		t.exonerateTargets(step)
	}
	if !s.atFault {
		t.countFailure(now, f)
	}
	if f.Lasting {
		t.recordFailedTask(now, f.Task, s.atFault || t.SuspendedUntil(f.Target).After(now))
	}
	return s.atFault
}

// recordFailedTask notes the failure of a lasting task. It is held back if its step is at
// fault, because the sound tasks of the step need the room in the meantime, or if it has
// failed on a suspended target, which is used only where no other fits.
func (t *Tracker) recordFailedTask(now time.Time, task job.Ref, hold bool) {
	step := StepOf(task)
	if t.failedTasks[step] == nil {
		t.failedTasks[step] = map[job.Ref]*FailedTask{}
	}
	f := t.failedTasks[step][task]
	if f == nil || now.Sub(f.failedAt) > failureWindow {
		f = &FailedTask{}
		t.failedTasks[step][task] = f
	}
	t.lastNumber++
	f.Number, f.failedAt = t.lastNumber, now
	if hold && !f.IsHeld(now) {
		f.HeldUntil = now.Add(doubled(minHold, f.holds, maxHold))
		f.holds++
	}
}

// FailedTasks returns the lasting tasks of the step whose latest run has failed. Callers
// must not change them.
func (t *Tracker) FailedTasks(step Step) map[job.Ref]*FailedTask { return t.failedTasks[step] }

func (t *Tracker) step(step Step) *stepRecord {
	s := t.steps[step]
	if s == nil {
		s = &stepRecord{failedOn: map[job.TargetIncarnation]time.Time{}}
		t.steps[step] = s
	}
	return s
}

// expire forgets failures that are too old, and with them the fault of the step.
func (s *stepRecord) expire(now time.Time) {
	for target, at := range s.failedOn {
		if now.Sub(at) > failureWindow {
			delete(s.failedOn, target)
		}
	}
	if len(s.failedOn) < minFailedTargets {
		s.atFault = false
	}
}

// exonerateTargets takes back what failures of the step have counted against
// targets, and ends the suspensions that the others do not justify.
func (t *Tracker) exonerateTargets(step Step) {
	for _, target := range t.targets {
		if target.failures[step] == 0 {
			continue
		}
		delete(target.failures, step)
		if target.streak() < maxStreak && !target.suspendedUntil.IsZero() {
			target.suspendedUntil = time.Time{}
			target.suspensions = max(target.suspensions-1, 0)
		}
	}
}

// countFailure counts a failure against the target, and suspends it after maxStreak
// failures or for a stalled run.
func (t *Tracker) countFailure(now time.Time, f Failure) {
	target := t.targets[f.Target]
	if target == nil {
		target = &targetRecord{failures: map[Step]int{}}
		t.targets[f.Target] = target
	}
	if target.suspendedUntil.After(now) {
		return // runs that were started before the suspension
	}
	if !target.suspendedUntil.IsZero() {
		clear(target.failures)
		target.suspendedUntil = time.Time{}
	}
	target.failures[StepOf(f.Task)]++
	switch {
	case f.Stalled:
		target.stalled = true
		target.suspendedUntil = now.Add(minSuspension)
	case target.streak() >= maxStreak:
		target.stalled = false
		target.suspendedUntil = now.Add(doubled(minSuspension, target.suspensions, maxSuspension))
		target.suspensions++
	}
}

// doubled returns d, doubled as often as times says, up to the bound.
func doubled(d time.Duration, times int, bound time.Duration) time.Duration {
	for ; times > 0 && d < bound; times-- {
		d *= 2
	}
	return min(d, bound)
}

func (r *targetRecord) streak() int {
	n := 0
	for _, failures := range r.failures {
		n += failures
	}
	return n
}

// Suspension tells why a target gets no starts.
type Suspension uint8

// Reasons of a suspension.
const (
	NotSuspended Suspension = iota
	FailedRuns
	StalledRun
)

// Suspended returns which of the targets of a service get no starts. Failed runs suspend
// at most maxSuspendedShare of them, those with the longest suspensions: jobs that fail
// in all their attempts on one target cannot be told from a target that fails, and must
// not leave a service without targets.
func (t *Tracker) Suspended(now time.Time, of []job.TargetIncarnation) map[job.TargetIncarnation]Suspension {
	suspended := map[job.TargetIncarnation]Suspension{}
	var failing []job.TargetIncarnation
	for _, target := range of {
		switch {
		case !t.SuspendedUntil(target).After(now):
		case t.targets[target].stalled:
			suspended[target] = StalledRun
		default:
			failing = append(failing, target)
		}
	}
	slices.SortFunc(failing, func(x, y job.TargetIncarnation) int {
		return cmp.Or(t.SuspendedUntil(y).Compare(t.SuspendedUntil(x)), cmp.Compare(x.ID, y.ID))
	})
	for _, target := range failing[:min(len(failing), int(maxSuspendedShare*float64(len(of))))] {
		suspended[target] = FailedRuns
	}
	return suspended
}

// AnySuspended reports whether any target is suspended.
func (t *Tracker) AnySuspended(now time.Time) bool {
	for _, target := range t.targets {
		if target.suspendedUntil.After(now) {
			return true
		}
	}
	return false
}

// SuspendedUntil returns until when starts on the target are suspended. The time may
// have passed.
func (t *Tracker) SuspendedUntil(target job.TargetIncarnation) time.Time {
	if r := t.targets[target]; r != nil {
		return r.suspendedUntil
	}
	return time.Time{}
}

// HeldUntil returns until when the task is held back. The time may have passed.
func (t *Tracker) HeldUntil(task job.Ref) time.Time {
	if f := t.failedTasks[StepOf(task)][task]; f != nil {
		return f.HeldUntil
	}
	return time.Time{}
}

// ForgetTarget drops the failures on a target that is gone.
func (t *Tracker) ForgetTarget(target job.TargetIncarnation) { delete(t.targets, target) }

// ForgetSteps drops the failures of the steps for which ended returns true.
func (t *Tracker) ForgetSteps(ended func(jobID string) bool) {
	maps.DeleteFunc(t.steps, func(step Step, _ *stepRecord) bool { return ended(step.Job) })
	maps.DeleteFunc(t.failedTasks, func(step Step, _ map[job.Ref]*FailedTask) bool { return ended(step.Job) })
}
