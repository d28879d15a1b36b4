package placement

import (
	"fmt"

	"github.com/ibispier/ibispier/interference"
)

// evacuate proposes to checkpoint the tasks on workers that leave. It is not
// paced by the ladder or the budget, since the workers go at short notice.
func (s *Scheduler) evacuate() {
	for _, t := range s.leaving {
		if t.worker == nil || t.leaving || t.Kind == Service {
			continue
		}
		why := ""
		switch w := t.worker; {
		case w.zone.out:
			why = "zone " + w.Zone + " is out of service"
		case w.Draining:
			why = "worker is draining"
		default:
			continue
		}
		t.leaving = true
		s.act(t, Checkpoint, Evacuation, why)
	}
	s.leaving = s.leaving[:0]
}

func (s *Scheduler) act(t *task, kind ActionKind, cause Cause, why string) {
	s.decisions.Actions = append(s.decisions.Actions, Action{
		Kind: kind, Cause: cause, Task: t.ID, Worker: t.worker.ID, Reason: why,
	})
}

// preempt proposes to move one batch task that makes room for an urgent one,
// and reserves the worker. Only one victim is moved for each urgent task.
func (s *Scheduler) preempt(t *task) {
	if s.ownReservation(t) != nil || !s.budget.Allows(s.now) {
		return
	}
	victim := s.smallestVictim(t)
	if victim == nil {
		return
	}
	w := victim.worker
	if !s.ladder(w.ID).TryStart(interference.Decision{Action: interference.Move, Task: victim.ID}, s.now) {
		return
	}
	s.reserveFor(w, t)
	victim.leaving = true
	s.budget.Spend(s.now)
	s.act(victim, Checkpoint, Preemption, "urgent task "+t.ID+" needs the room")
}

func (s *Scheduler) smallestVictim(t *task) *task {
	var best *task
	for _, w := range s.cache.workers {
		if w.reservedFor != nil || s.refusalButRoom(t, w) || s.ladder(w.ID).IsBusy(s.now) {
			continue
		}
		for _, v := range w.tasks {
			if v.Kind != Batch || v.Urgent || v.leaving || v.proposed || !t.Size.FitsIn(w.free.Add(v.Size)) {
				continue
			}
			if best == nil || v.Size.CPUMilli < best.Size.CPUMilli {
				best = v
			}
		}
	}
	return best
}

// mitigate lets the ladder of every worker propose an action.
func (s *Scheduler) mitigate() {
	if s.options.DisableMitigation {
		return
	}
	for _, w := range s.cache.workers {
		l := s.ladders[w.ID]
		if l == nil || !l.IsDue(s.now) {
			continue
		}
		d := l.Next(s.now, s.suspects(w), s.budget.Allows(s.now))
		if t := s.cache.tasks[d.Task]; d.Action != interference.None && t != nil {
			s.carryOut(t, d, l)
		}
	}
}

func (s *Scheduler) carryOut(t *task, d interference.Decision, l *interference.Mitigator) {
	why := fmt.Sprintf("services on %s are slowed down by class %s", t.worker.ID, t.Class)
	switch d.Action {
	case interference.Throttle:
		t.throttled = true
		s.act(t, Throttle, Disturbance, why)
		l.Confirm(t.ID, s.now)
	case interference.Restore:
		t.throttled = false
		s.act(t, Restore, Disturbance, "services on "+t.worker.ID+" have recovered")
		l.Confirm(t.ID, s.now)
	case interference.Move:
		t.leaving = true
		s.budget.Spend(s.now)
		s.act(t, Checkpoint, Disturbance, why)
	case interference.Stop:
		if !t.leaving {
			s.budget.Spend(s.now)
		}
		t.leaving = true
		s.act(t, Stop, Disturbance, why+"; the checkpoint was not confirmed in time")
	}
}

// suspects lists the batch tasks of a worker with the slowdown that each is
// expected to cause to the services there.
func (s *Scheduler) suspects(w *worker) []interference.Candidate {
	var list []interference.Candidate
	for _, t := range w.tasks {
		if t.Kind == Batch && !t.leaving && !t.proposed {
			list = append(list, interference.Candidate{
				Task: t.ID, CausedSlowdown: s.blame(t, w), Throttled: t.throttled, Movable: s.isMovable(t, w),
			})
		}
	}
	return list
}

// moveGain is the share of the harm that a move must take away, so that errors
// of the estimates do not move tasks back and forth.
const moveGain = 0.3

// severeFactor: at four times the excess that the ladder tolerates a throttled task
// is better off in the queue than beside the service.
const severeFactor = 4

// isMovable reports whether a worker with room suffers clearly less from the
// task, or the disturbance is severe. Without estimates every move counts as
// useful.
func (s *Scheduler) isMovable(t *task, w *worker) bool {
	if s.options.IgnoreInterference {
		return true
	}
	if !t.throttled {
		return false // not asked for
	}
	if w.slowdown-1 > severeFactor*(s.disturbedAbove()-1) {
		return true
	}
	here := s.blame(t, w)
	for _, other := range s.cache.workers {
		if other != w && s.refusal(t, other) < 0 && s.blameOn(t, other) < (1-moveGain)*here {
			return true
		}
	}
	return false
}

// blameOn is the harm that the task would do on a worker: the blame on its
// services, weighed by how far they are slowed down already.
func (s *Scheduler) blameOn(t *task, w *worker) float64 {
	if w.slowdown > s.disturbedAbove() {
		return s.blame(t, w) * w.slowdown
	}
	return s.blame(t, w)
}

// blame is the largest slowdown that a task is expected to cause to a service.
// Without estimates it is the declared share of the worker.
func (s *Scheduler) blame(t *task, w *worker) float64 {
	if s.options.IgnoreInterference {
		return ratio(t.Size.CPUMilli, w.Capacity.CPUMilli)
	}
	use := t.used
	if t.worker == nil {
		use = t.Size.CPUMilli // not running, so nothing is measured
	}
	worst := 0.0
	for _, v := range w.tasks {
		if v.Kind == Service {
			worst = max(worst, s.coefficient(v.Class, t.Class))
		}
	}
	return worst * ratio(use, w.Capacity.CPUMilli)
}

// coefficient is the estimate for a pair of classes. It is asked for every
// worker and task of a step, so it is kept for the step.
func (s *Scheduler) coefficient(victim, aggressor string) float64 {
	if !s.coefficientsAt.Equal(s.now) {
		clear(s.coefficients)
		s.coefficientsAt = s.now
	}
	key := [2]string{victim, aggressor}
	value, known := s.coefficients[key]
	if !known {
		value = s.model.Estimate(victim, aggressor, s.now).Coefficient
		s.coefficients[key] = value
	}
	return value
}
