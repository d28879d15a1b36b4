package dispatch

import (
	"cmp"
	"slices"

	"github.com/ibispier/ibispier/job"
)

// lateFactor is the multiple of its objective after which a job earns its
// callers nothing: until then it counts as late.
const lateFactor = 3

// promise tells what a job can still achieve.
type objectiveState uint8

const (
	attainable objectiveState = iota // its objective can still be met
	late                             // it can still be done before its callers give up on it
	missed                           // it is done for completeness
)

// turn is the place of a job in the order of a pass.
type rankedJob struct {
	job       *job.Job
	priority  int
	objective objectiveState
	deadline  int64 // Unix milliseconds
}

// ordered returns the live jobs by priority, then by what they can still
// achieve, then by their deadlines.
//
// Under overload the order of acceptance would finish every job late: work for
// jobs that have missed their objective delays those that have not. Deadlines
// grow with the length of a job, so wide and long jobs are not starved.
func (p *Pass) orderedJobs() []*job.Job {
	ranked := make([]rankedJob, 0, len(p.store.LiveJobs()))
	for _, j := range p.store.LiveJobs() {
		ranked = append(ranked, p.rank(j))
	}
	slices.SortStableFunc(ranked, func(x, y rankedJob) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.objective, y.objective), cmp.Compare(x.deadline, y.deadline))
	})
	jobs := make([]*job.Job, len(ranked))
	for i, r := range ranked {
		jobs[i] = r.job
	}
	return jobs
}

func (p *Pass) rank(j *job.Job) rankedJob {
	q := p.store.QueueOf(j)
	r := rankedJob{job: j, priority: q.Priority}
	if j.Spec.OccurrenceCount > 0 || j.Spec.Steps[0].Lasting {
		r.deadline = j.AtMillis
		return r
	}
	objective := int64(max(q.Stretch, 1)*float64(criticalPathMillis(j, false))) + q.SlackMillis
	r.deadline = j.AtMillis + objective
	earliestEnd := p.now.UnixMilli() + criticalPathMillis(j, true)
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

// chainMillis returns the longest chain of estimated work, of the steps that are
// not done if open is set.
func criticalPathMillis(j *job.Job, openOnly bool) int64 {
	longest := int64(0)
	paths := make([]int64, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		for _, dependency := range j.Spec.Steps[i].After {
			paths[i] = max(paths[i], paths[dependency])
		}
		if !openOnly || j.Occurrences[0][i].Open > 0 {
			paths[i] += j.Spec.Steps[i].EstimateMillis
		}
		longest = max(longest, paths[i])
	}
	return longest
}
