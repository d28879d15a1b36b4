package dispatch

import (
	"cmp"
	"slices"

	"github.com/ibispier/ibispier/job"
)

// lateFactor is the multiple of its objective after which the result of a job
// is worthless to its callers. Until then it counts as late.
const lateFactor = 3

// objectiveState classifies jobs by whether they can still meet their
// objective.
type objectiveState uint8

const (
	attainable objectiveState = iota // can still finish within its objective
	late                             // can still finish within lateFactor times its objective
	missed                           // finishes too late to be useful; run for completeness
)

// jobPart is the ready tasks of a job that are placed together: those of one step whose
// latest runs have failed, or all others.
type jobPart struct {
	job              *job.Job
	failed           bool
	occurrence, step int // of the failed tasks
}

// rankedPart holds the sort keys of a part.
type rankedPart struct {
	jobPart
	priority  int
	objective objectiveState
	deadline  int64  // Unix milliseconds
	failure   uint64 // number of the earliest failure of the failed tasks
}

// orderedParts returns the parts of the live jobs with ready tasks, sorted by priority,
// objective state and deadline. Lasting tasks whose latest run has failed follow by themselves, as if they
// were submitted now: those that fail again and again would otherwise keep the room from
// others, which may be sound. Of them, the tasks that failed first come first.
//
// In order of acceptance, an overloaded system would finish every job late,
// because work for jobs that have missed their objective delays those that can
// still meet it. Deadlines grow with the length of a job, so wide and long jobs
// do not starve.
func (p *pass) orderedParts() []jobPart {
	var ranked []rankedPart
	for _, j := range p.Store.LiveJobs() {
		if !j.HasReadyTasks() {
			continue
		}
		r := p.rankJob(j)
		ranked = append(ranked, r)
		for _, f := range p.failedParts(j) {
			f.priority, f.objective, f.deadline = r.priority, r.objective, p.Now.UnixMilli()
			ranked = append(ranked, f)
		}
	}
	slices.SortStableFunc(ranked, func(x, y rankedPart) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.objective, y.objective), cmp.Compare(x.deadline, y.deadline), cmp.Compare(x.failure, y.failure))
	})
	parts := make([]jobPart, len(ranked))
	for i, r := range ranked {
		parts[i] = r.jobPart
	}
	return parts
}

func (p *pass) rankJob(j *job.Job) rankedPart {
	q := p.Store.QueueOf(j)
	r := rankedPart{jobPart: jobPart{job: j}, priority: q.Priority}
	if j.Spec.OccurrenceCount > 0 || j.Spec.Steps[0].Lasting {
		r.deadline = j.AtMillis
		return r
	}
	objective := int64(max(q.Stretch, 1)*float64(criticalPathMillis(j, false, 1))) + q.SlackMillis
	r.deadline = j.AtMillis + objective
	earliestEnd := p.Now.UnixMilli() + criticalPathMillis(j, true, p.limits.MinPace)
	switch {
	case earliestEnd <= r.deadline:
		r.objective = attainable
	case earliestEnd <= j.AtMillis+lateFactor*objective:
		r.objective = late
	default:
		r.objective = missed
	}
	return r
}

// criticalPathMillis returns the estimated run time of the longest dependency
// chain. With openOnly, it counts only steps that are not done. Filling tasks are
// expected to run at the pace.
func criticalPathMillis(j *job.Job, openOnly bool, fillingPace float64) int64 {
	longest := int64(0)
	paths := make([]int64, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		for _, dependency := range j.Spec.Steps[i].After {
			paths[i] = max(paths[i], paths[dependency])
		}
		if !openOnly || j.Occurrences[0][i].Open > 0 {
			paths[i] += expectedMillis(&j.Spec.Steps[i], fillingPace)
		}
		longest = max(longest, paths[i])
	}
	return longest
}

func expectedMillis(s *job.Step, fillingPace float64) int64 {
	if !s.Filling {
		return s.EstimateMillis
	}
	return int64(float64(s.EstimateMillis) / fillingPace)
}
