package dispatch

import (
	"slices"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/stragglers"
)

const (
	// maxCopyShare bounds the copies, as a share of the tasks on all targets. If three of a
	// hundred tasks get a copy, about 3% of the runs are copies; three times as many leave
	// room for stragglers that come together.
	maxCopyShare = 0.1
	// maxReservedForCopies is the share of the reserved processor time of a service from
	// which no copies start, so that the first runs that arrive next find room.
	maxReservedForCopies = 0.9
	// remoteFactor is how many times as long as beside its data a sound task may take on
	// another rack. Control does not know the platform's factor; the highest known is 3.
	remoteFactor = 3
)

// Straggler is a run that lasts far longer than the other tasks of its step took.
type Straggler = stragglers.Straggler

// startCopies returns the starts of copies for stragglers. They come after all other
// starts of the pass, into room that no waiting task could use, so that they delay none.
func (p *pass) startCopies() []job.Start {
	if len(p.Stragglers) == 0 {
		return nil
	}
	var starts []job.Start
	limit := p.maxCopies() - p.Store.Copies() - p.pendingCopies
	crowded := map[queueClass]bool{}
	for _, s := range p.Stragglers {
		if len(starts) >= limit || len(p.starts)+len(starts) >= p.maxStarts {
			break
		}
		if start, fits := p.copyOf(s, crowded); fits {
			starts = append(starts, start)
		}
	}
	return starts
}

// markCopiesPending marks the copies as pending. Their tasks are not among those that wait.
func (p *pass) markCopiesPending(copies []job.Start) {
	for _, s := range copies {
		p.pending[s.Task] = true
		p.pendingCopies++
		p.setPending(s, p.stepOf(s.Task))
	}
}

// maxCopies returns how many copies may hold room at a time, at least one.
func (p *pass) maxCopies() int {
	tasks := 0
	for _, ts := range p.targets {
		tasks += ts.tasks
	}
	return max(int(maxCopyShare*float64(tasks)), 1)
}

// queueClass is what the room for copies depends on.
type queueClass struct {
	service  string
	priority int
}

// copyOf returns the start of a copy for the straggler, if one may start and fits. It
// keeps in crowded which queues get no copies in this pass.
func (p *pass) copyOf(s Straggler, crowded map[queueClass]bool) (start job.Start, fits bool) {
	ref := s.Task
	j, t := p.Store.Find(ref)
	if t == nil || p.pending[ref] || !j.MayCopy(&j.Spec.Steps[ref.Step], t) {
		return start, false
	}
	q, step := p.Store.QueueOf(j), &j.Spec.Steps[ref.Step]
	if p.isFarFromData(step, t) && s.Excess() < remoteFactor*stragglers.SlowFactor {
		return start, false
	}
	class := queueClass{q.Service, q.Priority}
	full, known := crowded[class]
	if !known {
		full = p.ReservedCPUShare(q.Service) >= maxReservedForCopies || p.taskWaits(class)
		crowded[class] = full
	}
	if full {
		return start, false
	}
	ts := p.targetOfCopy(q, step, ref, t)
	if ts == nil {
		return start, false
	}
	ts.reserve(p.limits, ref, step)
	return job.Start{Task: ref, Run: t.LatestRun() + 1, Target: ts.Incarnation, Host: ts.Host, Copy: true}, true
}

// isFarFromData reports whether the task may be slow because it reads its data from
// another rack.
func (p *pass) isFarFromData(step *job.Step, t *job.Task) bool {
	ts := p.byIncarnation[t.Target]
	return step.DataRack != "" && (ts == nil || ts.Rack != step.DataRack)
}

// targetOfCopy returns the best target for a copy, or nil. It is on another instance than
// the first run, and beside the data of the step: elsewhere the copy may take longer than
// the first run.
func (p *pass) targetOfCopy(q *job.Queue, step *job.Step, ref job.Ref, t *job.Task) *TargetState {
	key := p.shapeOf(q, step, ref)
	var best scored
	fitting := 0
	for _, ts := range p.candidates(key) {
		if !p.passes(ts, q, step, ref) {
			continue
		}
		fitting++
		if ts.Incarnation.ID == t.Target.ID || ts.Host != "" && ts.Host == t.Host || step.DataRack != "" && ts.Rack != step.DataRack {
			continue
		}
		if x := (scored{ts, p.score(ts, step, false)}); best.target == nil || x.better(best) {
			best = x
		}
	}
	if fitting == 0 {
		p.recordMisfit(key)
	}
	return best.target
}

// taskWaits reports whether a first run waits for room that a copy for the queue would
// take. Filling tasks of less important queues do not count: they use what is left.
func (p *pass) taskWaits(copied queueClass) bool {
	for _, j := range p.Store.LiveJobs() {
		q := p.Store.QueueOf(j)
		if q.Service != copied.service || !j.HasReadyTasks() {
			continue
		}
		for k := range j.Occurrences {
			if !p.isDue(j, k) {
				break
			}
			for s := range j.Spec.Steps {
				if step := &j.Spec.Steps[s]; (!step.Filling || q.Priority <= copied.priority) && p.waitsForRoom(j, q, k, s) {
					return true
				}
			}
		}
	}
	return false
}

// waitsForRoom reports whether the step has tasks that are not held back and that some
// target could run if it were empty.
func (p *pass) waitsForRoom(j *job.Job, q *job.Queue, occurrence, index int) bool {
	if !p.hasWaiting(j, occurrence, index) {
		return false
	}
	step := &j.Spec.Steps[index]
	held := 0
	for ref, f := range p.failedOf(j, index) {
		if ref.Occurrence == occurrence && f.IsHeld(p.SteadyNow) && p.isReady(j, ref) {
			held++
		}
	}
	if j.Occurrences[occurrence][index].Waiting-p.pendingSteps[stepKey{j.Spec.ID, occurrence, index}] <= held {
		return false
	}
	return slices.ContainsFunc(p.targets, func(ts *TargetState) bool {
		return servesQueue(ts, q) && hasLabel(ts, step) && step.Reserved().FitsIn(ts.Capacity) && !p.Store.ZonesOut[ts.Zone]
	})
}
