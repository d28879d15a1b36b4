package dispatch

import (
	"slices"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/pacing"
)

// passes reports whether the task may start on the target now.
func (p *Pass) passes(r *room, q *job.Queue, s *job.Step, ref job.Ref) bool {
	return r.Startable &&
		servesQueue(r, q) &&
		!p.book.ZonesOut[r.Zone] &&
		hasLabel(r, s) &&
		underTargetLimit(r, s, ref) &&
		fits(r, s) &&
		(p.forced || p.hasIdleCPU(r, s) && p.keepsTails(r, s))
}

func servesQueue(r *room, q *job.Queue) bool { return r.Service == q.Service }

func hasLabel(r *room, s *job.Step) bool {
	return s.Label == "" || slices.Contains(r.Labels, s.Label)
}

func underTargetLimit(r *room, s *job.Step, ref job.Ref) bool {
	return s.MaxPerTarget == 0 || r.perStep[stepKey{ref.Job, ref.Occurrence, ref.Step}] < s.MaxPerTarget
}

func fits(r *room, s *job.Step) bool { return s.Reserved().FitsIn(r.free) }

// hasIdleCPU keeps filling tasks from crowding each other. A target without
// other work takes at least one filling task of any size.
func (p *Pass) hasIdleCPU(r *room, s *job.Step) bool {
	if !s.Filling || len(r.filling) == 0 && len(r.serving) == 0 {
		return true
	}
	return float64(r.idleCPU)*p.limits.FillingCPUShare >= float64(s.Need.CPUMilli)
}

// keepsTails keeps filling tasks from targets whose serving tasks would leave
// them little more than a pause. A slow task holds up the rest of its job.
func (p *Pass) keepsTails(r *room, s *job.Step) bool {
	return !s.Filling || !r.paused[s.Image] && p.pace(r, s) >= p.limits.MinPace
}

// pace returns the pace that the serving tasks are expected to leave to the
// filling task once it works beside them, at most 1.
func (p *Pass) pace(r *room, s *job.Step) float64 {
	pace := 1.0
	for image := range r.serving {
		headroom, known := r.Headroom[image]
		if !known {
			headroom = pacing.DefaultHeadroom
		}
		lost := p.coefficient(image, s.Image) * r.share(s)
		for filling, share := range r.filling {
			lost += p.coefficient(image, filling) * share
		}
		if lost > 0 {
			pace = min(pace, pacing.HeadroomBudget(headroom)/(pacing.EffectMargin*lost))
		}
	}
	return pace
}

// coefficient returns what a pair is assumed to do. A pair that is not known
// well counts as worse than its mean, so that it is tried with few tasks.
func (p *Pass) coefficient(serving, filling string) float64 {
	e := p.disturbs(serving, filling)
	return e.Coefficient + p.limits.DeviationMargin*e.Deviation
}
