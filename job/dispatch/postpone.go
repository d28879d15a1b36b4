package dispatch

import (
	"slices"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/overload"
)

// overdueFactor is the multiple of its objective after which a job comes before all
// others of its priority. One job at a time does, so that jobs that are late anyway
// finish some day without making the others late as well.
const overdueFactor = 10

// Pool is the room that jobs compete for. Filling tasks use the processor time that
// others leave, so they compete with each other only.
type Pool struct {
	Service string
	Filling bool
}

// poolOf returns the pool of a job by its first step.
func poolOf(j *job.Job, q *job.Queue) Pool {
	return Pool{Service: q.Service, Filling: j.Spec.Steps[0].Filling}
}

// OpenWork returns the processor time that the tasks of a step need in total, in
// millicores times milliseconds, by their estimate.
func OpenWork(s *job.Step, tasks int) int64 {
	return int64(tasks) * s.Need.CPUMilli * s.EstimateMillis
}

func openWork(j *job.Job) int64 {
	work := int64(0)
	for k := range j.Occurrences {
		for s := range j.Occurrences[k] {
			work += OpenWork(&j.Spec.Steps[s], j.Occurrences[k][s].Open)
		}
	}
	return work
}

// mayPostpone reports whether the part belongs to a job with an objective that waits for
// room. One that no target could run even if it were empty takes no room from others.
func (p *pass) mayPostpone(r *rankedPart) bool {
	return !r.failed && r.job.Spec.OccurrenceCount == 0 && !r.job.Spec.Steps[0].Lasting && p.couldRun(r.job)
}

// couldRun reports whether some target could run a waiting task of the job if it were
// empty.
func (p *pass) couldRun(j *job.Job) bool {
	q := p.Store.QueueOf(j)
	for s := range j.Spec.Steps {
		if p.waitsForRoom(j, q, 0, s) {
			return true
		}
	}
	return false
}

// postpone marks the parts that are delayed because not all can be in time, and the
// overdue ones. Parts of one priority and objective state compete; the work of those
// that come before them is done first.
func (p *pass) postpone(ranked []rankedPart) {
	p.markOverdue(ranked)
	slices.SortStableFunc(ranked, compareParts)
	ahead := map[Pool]int64{}
	for first := 0; first < len(ranked); {
		last := first
		for last < len(ranked) && ranked[last].priority == ranked[first].priority && ranked[last].objective == ranked[first].objective {
			last++
		}
		p.postponeGroup(ranked[first:last], ahead)
		first = last
	}
}

// postponeGroup decides on parts of one priority and objective state, and adds their work
// to ahead.
func (p *pass) postponeGroup(group []rankedPart, ahead map[Pool]int64) {
	members := map[Pool][]*rankedPart{}
	for i := range group {
		if r := &group[i]; p.mayPostpone(r) {
			pool := poolOf(r.job, p.Store.QueueOf(r.job))
			members[pool] = append(members[pool], r)
		}
	}
	for pool, parts := range members {
		jobs := make([]overload.Job, len(parts))
		for i, r := range parts {
			jobs[i] = p.overloadJob(r)
		}
		delayed := overload.Postpone(p.Now.UnixMilli(), p.WorkRate(pool), ahead[pool], jobs)
		for i, r := range parts {
			r.postponed = delayed[i] && !r.overdue
			ahead[pool] += jobs[i].Work
			if r.postponed {
				r.work = jobs[i].Work
				p.postponed++
			}
		}
	}
}

// overloadJob describes the job of a part. A job that can no longer be in time is due when
// its result would be worthless.
func (p *pass) overloadJob(r *rankedPart) overload.Job {
	due := r.deadline
	if r.objective != attainable {
		due = r.job.AtMillis + lateFactor*objectiveMillis(r.job, p.Store.QueueOf(r.job))
	}
	return overload.Job{DueMillis: due, PathMillis: criticalPathMillis(r.job, true, p.limits.MinPace), Work: openWork(r.job)}
}

// competitors are the jobs of one priority that compete for the same room.
type competitors struct {
	Pool
	priority int
}

// markOverdue marks, among the jobs that compete, the one that has waited longest, measured
// by its objective, if it has waited for more than overdueFactor times as long.
func (p *pass) markOverdue(ranked []rankedPart) {
	most := map[competitors]float64{}
	oldest := map[competitors]*rankedPart{}
	for i := range ranked {
		r := &ranked[i]
		q := p.Store.QueueOf(r.job)
		if r.objective != missed || !p.mayPostpone(r) {
			continue
		}
		waited := float64(p.Now.UnixMilli()-r.job.AtMillis) / float64(max(objectiveMillis(r.job, q), 1))
		if key := (competitors{poolOf(r.job, q), r.priority}); waited > overdueFactor && waited > most[key] {
			most[key], oldest[key] = waited, r
		}
	}
	for _, r := range oldest {
		r.overdue = true
	}
}

// Postponed returns the number of jobs that the latest decision has delayed in favour of
// others.
func (d *Dispatcher) Postponed() int { return d.postponed }
