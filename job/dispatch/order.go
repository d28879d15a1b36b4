package dispatch

import (
	"cmp"
	"slices"
	"time"

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
	overdue   bool // comes first, so that it is not passed for good
	objective objectiveState
	postponed bool   // delayed in favour of others with the same priority and objective
	work      int64  // of a postponed job; the least comes first
	deadline  int64  // Unix milliseconds
	failure   uint64 // number of the earliest failure of the failed tasks
}

// compareParts orders parts by their sort keys.
func compareParts(x, y rankedPart) int {
	return cmp.Or(cmp.Compare(x.priority, y.priority), compareBool(y.overdue, x.overdue), cmp.Compare(x.objective, y.objective),
		compareBool(x.postponed, y.postponed), cmp.Compare(x.work, y.work), cmp.Compare(x.deadline, y.deadline), cmp.Compare(x.failure, y.failure))
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
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
	if p.limits.PostponeLarge {
		p.postpone(ranked)
	}
	slices.SortStableFunc(ranked, compareParts)
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
	objective := objectiveMillis(j, q)
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

// objectiveMillis returns the time after its acceptance within which a job that neither
// lasts nor has a schedule should be done.
func objectiveMillis(j *job.Job, q *job.Queue) int64 {
	return int64(max(q.Stretch, 1)*float64(criticalPathMillis(j, false, 1))) + q.SlackMillis
}

// Objective returns the time after its acceptance within which the job should be done. Jobs
// that last or have a schedule have none.
func Objective(st *job.Store, j *job.Job) (time.Duration, bool) {
	if j.Spec.OccurrenceCount > 0 || j.Spec.Steps[0].Lasting {
		return 0, false
	}
	return time.Duration(objectiveMillis(j, st.QueueOf(j))) * time.Millisecond, true
}

// ResultOf tells whether a finished job with an objective has met it.
func ResultOf(j *job.Job, took, objective time.Duration) string {
	switch {
	case j.State() != job.Completed:
		return string(j.State())
	case took <= objective:
		return "in_time"
	case took <= lateFactor*objective:
		return "late"
	default:
		return "missed"
	}
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
