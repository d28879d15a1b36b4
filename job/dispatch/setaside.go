package dispatch

import (
	"slices"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

const (
	// setAsideShare bounds the part of the room of a service that is set aside for one
	// aged job. The room may stay empty until the job fits.
	setAsideShare = 0.25
	// largeTaskShare is the part of a target beyond which a task counts as large. Small
	// tasks take each piece of room as it becomes free, so a large one would find its
	// room never free at one time, although it goes first.
	largeTaskShare = 0.5
)

// setRoomAside sets targets aside for the oldest aged job of each service with a gang or
// a large task that waits. Only this job and lasting tasks start there, so its room
// becomes free as the tasks on them end. The choice follows from the log and the targets;
// nothing of it is kept but the marks of the targets.
func (p *pass) setRoomAside(aged agedJobs) {
	chosen := map[*TargetState]string{}
	done := map[string]bool{} // services
	tried := map[shape]bool{} // steps that no room can be set aside for
	for _, j := range aged.jobs {
		q := p.Store.QueueOf(j)
		if done[q.Service] || !aged.mayHoldMore(j.Queue.Route()) {
			continue
		}
		for _, ts := range p.roomFor(j, q, tried) {
			chosen[ts] = j.Spec.ID
			done[q.Service] = true
		}
	}
	p.markSetAside(chosen)
}

// markSetAside replaces the marks of the targets. Those that are not set aside any more
// may fit other jobs again.
func (d *Dispatcher) markSetAside(chosen map[*TargetState]string) {
	for _, ts := range d.setAside {
		if chosen[ts] != ts.setAsideFor {
			ts.setAsideFor = ""
			d.recordChange(ts)
		}
	}
	d.setAside = d.setAside[:0]
	for ts, id := range chosen {
		if ts.setAsideFor != id {
			ts.setAsideFor = id
			d.recordChange(ts)
		}
		d.setAside = append(d.setAside, ts)
	}
}

// isSetAside reports whether the target is set aside for another job.
func isSetAside(ts *TargetState, s *job.Step, ref job.Ref) bool {
	return ts.setAsideFor != "" && ts.setAsideFor != ref.Job && !s.Lasting
}

// roomFor returns the targets to set aside for a gang or a large task of the job that
// waits, or none.
func (p *pass) roomFor(j *job.Job, q *job.Queue, tried map[shape]bool) []*TargetState {
	for s := range j.Spec.Steps {
		step := &j.Spec.Steps[s]
		waiting := j.Occurrences[0][s].Waiting - p.pendingSteps[stepKey{j.Spec.ID, 0, s}]
		if step.Filling || waiting <= 0 || step.Gang && waiting < step.Count || !j.StepReady(0, s) {
			continue
		}
		key := p.shapeOf(q, step, job.Ref{Job: j.Spec.ID, Step: s})
		if tried[key] {
			continue
		}
		if targets := p.roomForStep(j, q, step); len(targets) > 0 {
			return targets
		}
		tried[key] = true
	}
	return nil
}

// roomForStep returns targets that hold the step, or one task of it, once all but the
// lasting tasks on them have ended. The search starts at a place that the job's number
// gives, so that the choice stays the same from one decision to the next.
func (p *pass) roomForStep(j *job.Job, q *job.Queue, s *job.Step) []*TargetState {
	room := p.pool(p.pools, q.Service).Capacity
	if s.Gang && s.SameRack {
		for i := range p.racks {
			rack := p.racks[(int(j.Order%uint64(len(p.racks)))+i)%len(p.racks)]
			if targets := p.roomOn(p.byRack[rack], j, q, s, room); len(targets) > 0 {
				return targets
			}
		}
	}
	return p.roomOn(p.targets, j, q, s, room)
}

func (p *pass) roomOn(targets []*TargetState, j *job.Job, q *job.Queue, s *job.Step, room resource.Vector) []*TargetState {
	need, isLarge := 1, false
	if s.Gang {
		need, isLarge = s.Count, true
	}
	var chosen []*TargetState
	var taken resource.Vector
	for i := range targets {
		ts := targets[(int(j.Order%uint64(len(targets)))+i)%len(targets)]
		fitting := p.tasksOnceFree(ts, q, s)
		if fitting == 0 {
			continue
		}
		isLarge = isLarge || s.Reserved().DominantShare(ts.Capacity) > largeTaskShare
		chosen, taken = append(chosen, ts), taken.Add(ts.Capacity)
		if !isLarge || taken.DominantShare(room) > setAsideShare {
			return nil
		}
		if need -= fitting; need <= 0 {
			return chosen
		}
	}
	return nil
}

// tasksOnceFree returns how many tasks of the step the target holds once all but the
// lasting tasks on it have ended.
func (p *pass) tasksOnceFree(ts *TargetState, q *job.Queue, s *job.Step) int {
	if !ts.startable || ts.suspended || !servesQueue(ts, q) || !hasLabel(ts, s) || p.Store.ZonesOut[ts.Zone] {
		return 0
	}
	fitting := s.Count
	if s.MaxPerTarget > 0 {
		fitting = min(fitting, s.MaxPerTarget)
	}
	left := ts.Capacity.Sub(ts.lasting)
	count := 0
	for count < fitting && s.Reserved().FitsIn(left) {
		left = left.Sub(s.Reserved())
		count++
	}
	return count
}

// hasSetAside reports whether targets are set aside for the job.
func (d *Dispatcher) hasSetAside(id string) bool {
	return slices.ContainsFunc(d.setAside, func(ts *TargetState) bool { return ts.setAsideFor == id })
}
