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
type promise uint8

const (
	inTime promise = iota // its objective can still be met
	late                  // it can still be done before its callers give up on it
	missed                // it is done for completeness
)

// turn is the place of a job in the order of a pass.
type turn struct {
	job      *job.Job
	priority int
	promise  promise
	deadline int64 // Unix milliseconds
}

// ordered returns the live jobs by priority, then by what they can still
// achieve, then by their deadlines.
//
// Under overload the order of acceptance would finish every job late: work for
// jobs that have missed their objective delays those that have not. Deadlines
// grow with the length of a job, so wide and long jobs are not starved.
func (p *Pass) ordered() []*job.Job {
	turns := make([]turn, 0, len(p.book.LiveJobs()))
	for _, j := range p.book.LiveJobs() {
		turns = append(turns, p.turn(j))
	}
	slices.SortStableFunc(turns, func(x, y turn) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.promise, y.promise), cmp.Compare(x.deadline, y.deadline))
	})
	jobs := make([]*job.Job, len(turns))
	for i, t := range turns {
		jobs[i] = t.job
	}
	return jobs
}

func (p *Pass) turn(j *job.Job) turn {
	q := p.book.QueueOf(j)
	t := turn{job: j, priority: q.Priority}
	if j.Spec.OccurrenceCount > 0 || j.Spec.Steps[0].Lasting {
		t.deadline = j.AtMillis
		return t
	}
	objective := int64(max(q.Stretch, 1)*float64(chainMillis(j, false))) + q.SlackMillis
	t.deadline = j.AtMillis + objective
	left := p.now.UnixMilli() + chainMillis(j, true)
	switch {
	case left <= t.deadline:
		t.promise = inTime
	case left <= j.AtMillis+lateFactor*objective:
		t.promise = late
	default:
		t.promise = missed
	}
	return t
}

// chainMillis returns the longest chain of estimated work, of the steps that are
// not done if open is set.
func chainMillis(j *job.Job, open bool) int64 {
	longest := int64(0)
	chains := make([]int64, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		for _, before := range j.Spec.Steps[i].After {
			chains[i] = max(chains[i], chains[before])
		}
		if !open || j.Occurrences[0][i].Open > 0 {
			chains[i] += j.Spec.Steps[i].EstimateMillis
		}
		longest = max(longest, chains[i])
	}
	return longest
}
