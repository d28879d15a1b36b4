package dispatch

import (
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

// agedFirst moves the parts of aged jobs to the front of their queues, in the order of
// acceptance. It depends on the log and the wall clock alone, so a new leader decides
// the same.
func (p *pass) agedFirst(parts []jobPart) []jobPart {
	aged := p.agedHoldings()
	if len(aged) == 0 {
		return parts
	}
	isFirst := func(part jobPart) bool {
		held, any := aged[part.job.Queue.Route()]
		return any && !part.failed && p.isAged(part.job) && p.mayHoldMore(part.job, held)
	}
	first := slices.DeleteFunc(slices.Clone(parts), func(part jobPart) bool { return !isFirst(part) })
	slices.SortStableFunc(first, func(x, y jobPart) int { return int(int64(x.job.Order) - int64(y.job.Order)) })
	for _, part := range parts {
		if !isFirst(part) {
			first = append(first, part)
		}
	}
	return first
}

// agedHoldings returns what the aged jobs of each queue hold, for queues with any.
func (p *pass) agedHoldings() map[job.Route]fairqueue.Holding {
	var aged map[job.Route]fairqueue.Holding
	for _, j := range p.Store.LiveJobs() {
		if !p.isAged(j) {
			continue
		}
		if aged == nil {
			aged = map[job.Route]fairqueue.Holding{}
		}
		route := j.Queue.Route()
		aged[route] = aged[route].Add(p.holdingOf(j))
	}
	return aged
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

// mayHoldMore reports whether the aged jobs of the queue of the job hold at most
// agedShare of what the queue holds.
func (p *pass) mayHoldMore(j *job.Job, aged fairqueue.Holding) bool {
	all := p.heldBy(p.Store, j.Queue.Route())
	return agedPart(aged, all) <= agedShare
}

// agedPart returns the dominant part that the aged jobs hold of what the queue holds.
func agedPart(aged, all fairqueue.Holding) float64 {
	part := aged.Reserved.DominantShare(all.Reserved)
	if all.FillingMilli > 0 {
		part = max(part, float64(aged.FillingMilli)/float64(all.FillingMilli))
	}
	return part
}
