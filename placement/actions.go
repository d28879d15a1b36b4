package placement

import (
	"fmt"

	"github.com/ibispier/ibispier/interference"
)

// evacuate proposes to checkpoint the tasks on workers that drain or whose zone
// goes out of service. Neither the mitigator nor the eviction budget limits it,
// since the workers leave at short notice. One that has no effect is proposed again:
// nothing tells that its proposal was lost.
func (s *Scheduler) evacuate() {
	var waiting []*task // for the effect of their evacuation
	for _, t := range s.evacuating {
		if t.worker == nil || t.Kind == Service || t.evicting && t.evacuateAgain.IsZero() {
			continue
		}
		if s.now.Before(t.evacuateAgain) {
			waiting = append(waiting, t)
			continue
		}
		reason := ""
		switch w := t.worker; {
		case w.zone.out:
			reason = "zone " + w.Zone + " is out of service"
		case w.Draining:
			reason = "worker is draining"
		default:
			continue
		}
		t.evicting, t.evacuateAgain = true, s.now.Add(s.options.Mitigation.ConfirmTimeout)
		s.proposeAction(t, Checkpoint, Evacuation, reason)
		waiting = append(waiting, t)
	}
	s.evacuating = waiting
}

func (s *Scheduler) proposeAction(t *task, kind ActionKind, cause Cause, reason string) {
	s.decisions.Actions = append(s.decisions.Actions, Action{
		Kind: kind, Cause: cause, Task: t.ID, Worker: t.worker.ID, Reason: reason,
	})
}

// preempt proposes to evict one batch task in favour of an urgent one, and
// reserves the worker for the urgent task. The reservation also ensures that only
// one victim is evicted for each urgent task.
func (s *Scheduler) preempt(t *task) {
	if s.ownReservation(t) != nil || !s.budget.Allows(s.now) {
		return
	}
	victim := s.smallestVictim(t)
	if victim == nil {
		return
	}
	w := victim.worker
	if !s.mitigator(w.ID).TryStart(interference.Decision{Action: interference.Move, Task: victim.ID}, s.now) {
		return
	}
	s.reserveFor(w, t)
	victim.evicting = true
	s.budget.Spend(s.now)
	s.proposeAction(victim, Checkpoint, Preemption, "urgent task "+t.ID+" needs the room")
}

func (s *Scheduler) smallestVictim(t *task) *task {
	var best *task
	for _, w := range s.cache.workers {
		if w.reservedFor != nil || s.isIneligible(t, w) || s.mitigator(w.ID).IsBusy(s.now) {
			continue
		}
		for _, v := range w.tasks {
			if v.Kind != Batch || v.Urgent || v.evicting || v.proposed || !t.Size.FitsIn(w.free.Add(v.Size)) {
				continue
			}
			if best == nil || v.Size.CPUMilli < best.Size.CPUMilli {
				best = v
			}
		}
	}
	return best
}

// mitigate proposes the actions that the mitigators of the workers choose.
func (s *Scheduler) mitigate() {
	if s.options.DisableMitigation {
		return
	}
	for _, w := range s.cache.workers {
		m := s.mitigators[w.ID]
		if m == nil || !m.IsDue(s.now) {
			continue
		}
		d := m.Next(s.now, s.mitigationCandidates(w), s.budget.Allows(s.now))
		if t := s.cache.tasks[d.Task]; d.Action != interference.None && t != nil {
			s.proposeMitigation(t, d, m)
		}
	}
}

func (s *Scheduler) proposeMitigation(t *task, d interference.Decision, m *interference.Mitigator) {
	reason := fmt.Sprintf("services on %s are slowed down by class %s", t.worker.ID, t.Class)
	switch d.Action {
	case interference.Throttle:
		t.throttled = true
		s.proposeAction(t, Throttle, Disturbance, reason)
		m.Confirm(t.ID, s.now)
	case interference.Restore:
		t.throttled = false
		s.proposeAction(t, Restore, Disturbance, "services on "+t.worker.ID+" have recovered")
		m.Confirm(t.ID, s.now)
	case interference.Move:
		t.evicting = true
		s.budget.Spend(s.now)
		s.proposeAction(t, Checkpoint, Disturbance, reason)
	case interference.Stop:
		if !t.evicting {
			s.budget.Spend(s.now)
		}
		t.evicting = true
		s.proposeAction(t, Stop, Disturbance, reason+"; the checkpoint was not confirmed in time")
	}
}

// mitigationCandidates returns the batch tasks on a worker, with the slowdown that
// each is expected to cause to the services there.
func (s *Scheduler) mitigationCandidates(w *worker) []interference.Candidate {
	var list []interference.Candidate
	for _, t := range w.tasks {
		if t.Kind == Batch && !t.evicting && !t.proposed {
			list = append(list, interference.Candidate{
				Task: t.ID, CausedSlowdown: s.causedSlowdown(t, w), Throttled: t.throttled, Movable: s.isMovable(t, w),
			})
		}
	}
	return list
}

// minMoveGain is the share of the caused slowdown that a move must avoid, so that
// errors of the estimates do not move tasks back and forth.
const minMoveGain = 0.3

// severeDisturbanceFactor is the multiple of the tolerated slowdown above which a
// throttled task is evicted although no other worker suits it: it then does
// less damage in the queue than beside the service.
const severeDisturbanceFactor = 4

// isMovable reports whether the task would cause clearly less slowdown on another
// worker that can run it, or the disturbance is severe. Without estimates every
// task is movable.
func (s *Scheduler) isMovable(t *task, w *worker) bool {
	if s.options.IgnoreInterference {
		return true
	}
	if !t.throttled {
		return false // only throttled tasks are moved
	}
	if w.measuredSlowdown-1 > severeDisturbanceFactor*(s.disturbedAbove()-1) {
		return true
	}
	onCurrent := s.causedSlowdown(t, w)
	for _, other := range s.cache.workers {
		if other != w && s.refusingFilter(t, other) < 0 && s.weightedCausedSlowdown(t, other) < (1-minMoveGain)*onCurrent {
			return true
		}
	}
	return false
}

// weightedCausedSlowdown is the slowdown that the task would cause on a worker,
// multiplied by the measured slowdown of its services if they are disturbed
// already.
func (s *Scheduler) weightedCausedSlowdown(t *task, w *worker) float64 {
	if w.measuredSlowdown > s.disturbedAbove() {
		return s.causedSlowdown(t, w) * w.measuredSlowdown
	}
	return s.causedSlowdown(t, w)
}

// causedSlowdown is the largest slowdown that the task is expected to cause to a
// service on the worker. Without estimates it is the share of the worker that the
// task declares.
func (s *Scheduler) causedSlowdown(t *task, w *worker) float64 {
	if s.options.IgnoreInterference {
		return ratio(t.Size.CPUMilli, w.Capacity.CPUMilli)
	}
	usedCPUMilli := t.usedCPUMilli
	if t.worker == nil {
		usedCPUMilli = t.Size.CPUMilli // not running, so nothing is measured
	}
	largest := 0.0
	for _, v := range w.tasks {
		if v.Kind == Service {
			largest = max(largest, s.coefficient(v.Class, t.Class))
		}
	}
	return largest * ratio(usedCPUMilli, w.Capacity.CPUMilli)
}

// coefficient returns the estimate for a pair of classes. It is called for every
// worker and task, so the result is cached for the step.
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
