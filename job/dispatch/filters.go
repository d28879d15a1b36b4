package dispatch

import (
	"slices"

	"github.com/ibispier/ibispier/job"
)

// passes reports whether the task may start on the target now.
func (p *Pass) passes(r *room, q *job.Queue, s *job.Step, ref job.Ref) bool {
	return r.Startable &&
		servesQueue(r, q) &&
		!p.book.ZonesOut[r.Zone] &&
		hasLabel(r, s) &&
		underTargetLimit(r, s, ref) &&
		fits(r, s) &&
		p.hasIdleCPU(r, s)
}

func servesQueue(r *room, q *job.Queue) bool { return r.Service == q.Service }

func hasLabel(r *room, s *job.Step) bool {
	return s.Label == "" || slices.Contains(r.Labels, s.Label)
}

func underTargetLimit(r *room, s *job.Step, ref job.Ref) bool {
	return s.MaxPerTarget == 0 || r.perStep[stepKey{ref.Job, ref.Occurrence, ref.Step}] < s.MaxPerTarget
}

func fits(r *room, s *job.Step) bool { return s.Reserved().FitsIn(r.free) }

// hasIdleCPU keeps filling tasks from crowding each other, and off targets
// whose serving tasks already miss their tail target. An idle target takes at
// least one filling task of any size.
func (p *Pass) hasIdleCPU(r *room, s *job.Step) bool {
	if !s.Filling {
		return true
	}
	if r.Strained {
		return false
	}
	if r.filling == 0 && r.serving == 0 {
		return true
	}
	return float64(r.idleCPU)*p.limits.FillShare >= float64(s.Need.CPUMilli)
}
