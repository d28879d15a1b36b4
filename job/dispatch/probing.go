package dispatch

import (
	"slices"

	"github.com/ibispier/ibispier/job"
)

// mayProbe reports whether a task of the job may start on a target that is suspended
// because its runs fail: the job is idle, it has no start in this pass and none is pending.
func (p *pass) mayProbe(j *job.Job) bool {
	return !p.startedJobs[j.Spec.ID] && p.IdleJobs[j.Spec.ID] && p.anySuspended() && !p.hasPending(j)
}

// suspension tells whether any target is suspended. That stays the same within a pass.
type suspension struct{ known, any bool }

func (p *pass) anySuspended() bool {
	if !p.suspension.known {
		p.suspension = suspension{true, p.hasSuspended()}
	}
	return p.suspension.any
}

func (d *Dispatcher) hasSuspended() bool {
	return slices.ContainsFunc(d.targets, func(ts *TargetState) bool { return ts.suspended })
}

// startOneSuspended starts one task of the part on a suspended target. The failures there
// may be those of other jobs.
func (p *pass) startOneSuspended(part jobPart) {
	p.probing = true
	p.startOne(part)
	p.probing = false
}

// mayUseSuspended reports whether the tasks of a step may start on suspended targets. A
// lasting task may fail as often as it likes. Others have a limit of attempts, so they wait
// for room elsewhere, unless all targets that could run them are suspended.
func (p *pass) mayUseSuspended(r readyStep) bool {
	s := r.spec()
	if s.Lasting {
		return true
	}
	key := p.shapeOf(r.queue, s, r.ref)
	only, known := p.onlySuspended[key]
	if !known {
		only = !slices.ContainsFunc(p.targets, func(ts *TargetState) bool {
			return !ts.suspended && ts.startable && servesQueue(ts, r.queue) && hasLabel(ts, s) && s.Reserved().FitsIn(ts.Capacity) && !p.Store.ZonesOut[ts.Zone]
		})
		p.onlySuspended[key] = only
	}
	return only
}
