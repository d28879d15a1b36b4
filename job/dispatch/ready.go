package dispatch

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/faults"
)

// readyStep is a step of a part in one occurrence.
type readyStep struct {
	jobPart
	queue *job.Queue
	ref   job.Ref // of the step; the index is not used
}

func (r *readyStep) spec() *job.Step { return &r.job.Spec.Steps[r.ref.Step] }

func (r *readyStep) state() *job.StepState { return &r.job.Occurrences[r.ref.Occurrence][r.ref.Step] }

func (r *readyStep) tasks() []job.Task { return r.state().Tasks }

func (p *pass) isDue(j *job.Job, occurrence int) bool {
	return j.Spec.DueMillis(occurrence) <= p.Now.UnixMilli()
}

// hasWaiting reports whether the step has ready tasks whose start is not pending.
func (p *pass) hasWaiting(j *job.Job, occurrence, index int) bool {
	waiting := j.Occurrences[occurrence][index].Waiting - p.pendingSteps[stepKey{j.Spec.ID, occurrence, index}]
	return waiting > 0 && j.StepReady(occurrence, index)
}

// failedOf returns the tasks of the step whose latest run has failed.
func (p *pass) failedOf(j *job.Job, index int) map[job.Ref]*faults.FailedTask {
	if p.FailedTasks == nil || !j.Spec.Steps[index].Lasting {
		return nil
	}
	return p.FailedTasks(faults.Step{Job: j.Spec.ID, Index: index})
}

// failedParts returns the steps of the job with failed tasks that may start.
func (p *pass) failedParts(j *job.Job) []rankedPart {
	var parts []rankedPart
	for s := range j.Spec.Steps {
		failed := p.failedOf(j, s)
		if len(failed) == 0 {
			continue
		}
		earliest := map[int]uint64{} // by occurrence
		for ref, f := range failed {
			if f.IsHeld(p.SteadyNow) || !p.isReady(j, ref) || !p.isDue(j, ref.Occurrence) {
				continue
			}
			earliest[ref.Occurrence] = min(cmp.Or(earliest[ref.Occurrence], math.MaxUint64), f.Number)
		}
		for occurrence, number := range earliest {
			parts = append(parts, rankedPart{
				jobPart: jobPart{job: j, failed: true, occurrence: occurrence, step: s}, failure: number,
			})
		}
	}
	return parts
}

// isReady reports whether the task is ready and its start is not pending.
func (p *pass) isReady(j *job.Job, ref job.Ref) bool {
	t := j.Task(ref)
	return t != nil && t.State == job.Ready && !p.pending[ref]
}

// readyTasks returns the indexes of the tasks of the part in a step that may start:
// the failed ones in the order of their failures, or all others by their indexes.
func (p *pass) readyTasks(r readyStep) iter.Seq[int] {
	failed := p.failedOf(r.job, r.ref.Step)
	if r.failed {
		return slices.Values(p.failedInOrder(r, failed))
	}
	return func(yield func(int) bool) {
		ref, tasks := r.ref, r.tasks()
		for ref.Index = range tasks {
			if tasks[ref.Index].State == job.Ready && !p.pending[ref] && failed[ref] == nil && !yield(ref.Index) {
				return
			}
		}
	}
}

func (p *pass) failedInOrder(r readyStep, failed map[job.Ref]*faults.FailedTask) []int {
	var indexes []int
	number := func(index int) uint64 {
		return failed[job.Ref{Job: r.ref.Job, Occurrence: r.ref.Occurrence, Step: r.ref.Step, Index: index}].Number
	}
	for ref, f := range failed {
		if ref.Occurrence == r.ref.Occurrence && !f.IsHeld(p.SteadyNow) && p.isReady(r.job, ref) {
			indexes = append(indexes, ref.Index)
		}
	}
	slices.SortFunc(indexes, func(x, y int) int { return cmp.Compare(number(x), number(y)) })
	return indexes
}

// isGangReady reports whether a gang starts with the part. A gang with a failed task
// starts with the failed ones, once none of them is held back.
func (p *pass) isGangReady(r readyStep) bool {
	hasFailed := false
	for ref, f := range p.failedOf(r.job, r.ref.Step) {
		if ref.Occurrence != r.ref.Occurrence {
			continue
		}
		if f.IsHeld(p.SteadyNow) {
			return false
		}
		hasFailed = true
	}
	return r.failed == hasFailed
}
