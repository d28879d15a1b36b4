package dispatch

import (
	"cmp"
	"slices"

	"github.com/ibispier/ibispier/fairqueue"
	"github.com/ibispier/ibispier/job"
)

const (
	// agedFactor is the multiple of its objective after which a job goes first in its
	// queue. It lies well beyond lateFactor, so that jobs whose results still count are
	// not delayed by those that are merely missed.
	agedFactor = 2 * lateFactor
	// agedShare bounds the part of what its queue holds that the aged jobs hold when one
	// of them goes first. Under lasting overload, all jobs are aged at some time; without
	// the bound, the queue would serve in order of acceptance, and every job late.
	agedShare = 0.25
)

// agedJobs are the live jobs that have waited too long.
type agedJobs struct {
	jobs []*job.Job                      // in the order of acceptance
	held map[job.Route]fairqueue.Holding // what those of each queue hold, for queues with any
	all  map[job.Route]fairqueue.Holding // what these queues hold
}

// agedJobs returns the aged jobs. They follow from the log and the wall clock alone, so a
// new leader decides the same.
func (p *pass) agedJobs() agedJobs {
	var aged agedJobs
	for _, j := range p.Store.LiveJobs() {
		if !p.isAged(j) {
			continue
		}
		if aged.jobs == nil {
			aged.held, aged.all = map[job.Route]fairqueue.Holding{}, map[job.Route]fairqueue.Holding{}
		}
		aged.jobs = append(aged.jobs, j)
		route := j.Queue.Route()
		aged.held[route] = aged.held[route].Add(p.holdingOf(j))
		aged.all[route] = p.heldBy(p.Store, route)
	}
	return aged
}

// mayHoldMore reports whether the aged jobs of the queue hold at most agedShare of what
// the queue holds.
func (a *agedJobs) mayHoldMore(r job.Route) bool {
	held, all := a.held[r], a.all[r]
	part := held.Reserved.DominantShare(all.Reserved)
	if all.FillingMilli > 0 {
		part = max(part, float64(held.FillingMilli)/float64(all.FillingMilli))
	}
	return part <= agedShare
}

// agedFirst moves the parts of aged jobs to the front of their queues, in the order of
// acceptance.
func (p *pass) agedFirst(parts []jobPart, aged agedJobs) []jobPart {
	if len(aged.jobs) == 0 {
		return parts
	}
	isAged := map[*job.Job]bool{}
	for _, j := range aged.jobs {
		isAged[j] = aged.mayHoldMore(j.Queue.Route())
	}
	var first, others []jobPart
	for _, part := range parts {
		if isAged[part.job] && !part.failed {
			first = append(first, part)
		} else {
			others = append(others, part)
		}
	}
	slices.SortStableFunc(first, func(x, y jobPart) int { return cmp.Compare(x.job.Order, y.job.Order) })
	return append(first, others...)
}

// isAged reports whether the job has waited beyond agedFactor times its objective. Jobs
// that last or have a schedule have no objective; their deadlines put them first.
func (p *pass) isAged(j *job.Job) bool {
	age := p.Now.UnixMilli() - j.AtMillis
	if age <= agedFactor*j.Spec.Steps[0].EstimateMillis { // spares a closer look at most jobs
		return false
	}
	if j.Spec.OccurrenceCount > 0 || hasLasting(j) {
		return false
	}
	q := p.Store.QueueOf(j)
	return age > agedFactor*(int64(max(q.Stretch, 1)*float64(criticalPathMillis(j, false, 1)))+q.SlackMillis)
}

func hasLasting(j *job.Job) bool {
	return slices.ContainsFunc(j.Spec.Steps, func(s job.Step) bool { return s.Lasting })
}

// holdingOf returns what the placed and pending tasks of the job hold.
func (p *pass) holdingOf(j *job.Job) fairqueue.Holding {
	var held fairqueue.Holding
	for s := range j.Spec.Steps {
		step := &j.Spec.Steps[s]
		state := &j.Occurrences[0][s]
		placed := int64(state.Open - state.Waiting + p.pendingSteps[stepKey{j.Spec.ID, 0, s}])
		one := step.Holding()
		held = held.Add(fairqueue.Holding{
			Reserved:     one.Reserved.Times(placed),
			FillingMilli: one.FillingMilli * placed,
		})
	}
	return held
}
