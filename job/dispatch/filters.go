package dispatch

import (
	"slices"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/pacing"
)

// Rejection names the filter that keeps a task from starting on a target.
type Rejection string

// The filters, in the order in which they are applied.
const (
	accepted     Rejection = ""
	NotStartable Rejection = "not_startable"
	Suspended    Rejection = "suspended"
	SetAside     Rejection = "set_aside"
	OtherService Rejection = "other_service"
	NoRoom       Rejection = "no_room"
	TaskLimit    Rejection = "task_limit"
	ZoneOut      Rejection = "zone_out"
	LabelMissing Rejection = "label_missing"
	TargetLimit  Rejection = "target_limit"
	NoIdleCPU    Rejection = "no_idle_cpu"
	MemoryKept   Rejection = "memory_kept"
	PaceBelowMin Rejection = "pace_below_min"
)

// rejectedBy returns the first filter that rejects the task on the target, or accepted.
func (p *pass) rejectedBy(ts *TargetState, q *job.Queue, s *job.Step, ref job.Ref) Rejection {
	switch {
	case !ts.startable:
		return NotStartable
	case ts.suspended && !p.probing:
		return Suspended
	case !p.skipFillingFilters && isSetAside(ts, s, ref):
		return SetAside
	case !servesQueue(ts, q):
		return OtherService
	case !fits(ts, s):
		return NoRoom
	case !p.underTaskLimit(ts):
		return TaskLimit
	case p.Store.ZonesOut[ts.Zone]:
		return ZoneOut
	case !hasLabel(ts, s):
		return LabelMissing
	case !underTargetLimit(ts, s, ref):
		return TargetLimit
	case p.skipFillingFilters:
		return accepted
	case !p.hasIdleCPU(ts, s):
		return NoIdleCPU
	case !p.leavesMemory(ts, s):
		return MemoryKept
	case !p.leavesMinPace(ts, s):
		return PaceBelowMin
	default:
		return accepted
	}
}

// passes reports whether the task may start on the target.
func (p *pass) passes(ts *TargetState, q *job.Queue, s *job.Step, ref job.Ref) bool {
	return p.rejectedBy(ts, q, s, ref) == accepted
}

func servesQueue(ts *TargetState, q *job.Queue) bool { return ts.Service == q.Service }

func hasLabel(ts *TargetState, s *job.Step) bool {
	return s.Label == "" || slices.Contains(ts.Labels, s.Label)
}

func underTargetLimit(ts *TargetState, s *job.Step, ref job.Ref) bool {
	return s.MaxPerTarget == 0 || ts.perStep[stepOf(ref)] < s.MaxPerTarget
}

func fits(ts *TargetState, s *job.Step) bool { return s.Reserved().FitsIn(ts.free) }

func (p *pass) underTaskLimit(ts *TargetState) bool { return ts.tasks < p.limits.MaxTasksPerTarget }

// hasIdleCPU keeps filling tasks from competing with each other. A target
// without serving or filling tasks accepts a filling task of any size.
func (p *pass) hasIdleCPU(ts *TargetState, s *job.Step) bool {
	if !s.Filling || len(ts.fillingShare) == 0 && len(ts.serving) == 0 {
		return true
	}
	return float64(ts.idleCPU)*p.limits.FillingCPUShare >= float64(s.Need.CPUMilli)
}

// leavesMemory keeps filling tasks from taking the memory that tasks which reserve the
// unreserved processors need. Filling tasks that request no more than the idle processor
// time leave enough.
func (p *pass) leavesMemory(ts *TargetState, s *job.Step) bool {
	return !s.Filling || p.limits.FillingCPUShare <= 1 || ts.memoryToSpare() >= s.Need.MemoryMiB
}

// memoryToSpare returns the memory that is not needed for the unreserved processors, in MiB.
func (ts *TargetState) memoryToSpare() int64 {
	kept := reservingMemoryShare * float64(ts.Capacity.MemoryMiB) * float64(ts.free.CPUMilli) / float64(max(ts.Capacity.CPUMilli, 1))
	return ts.free.MemoryMiB - int64(kept)
}

// reservingMemoryShare is the memory that tasks which reserve processors need for each of
// them, as a share of the memory that a target has for each. Those of the users' queues
// need half.
const reservingMemoryShare = 0.5

// IsShortOfMemory reports whether tasks that reserve the unreserved processors would find
// too little memory.
func (ts *TargetState) IsShortOfMemory() bool { return ts.memoryToSpare() < 0 }

// leavesMinPace rejects targets on which the serving tasks would keep a filling
// task paused most of the time. A slow task delays the rest of its job.
func (p *pass) leavesMinPace(ts *TargetState, s *job.Step) bool {
	return !s.Filling || !ts.pausedImages[s.Image] && p.expectedPace(ts, s) >= p.limits.MinPace
}

// expectedPace returns the pace, at most 1, at which the filling task is
// expected to run beside the serving tasks of the target.
func (p *pass) expectedPace(ts *TargetState, s *job.Step) float64 {
	pace := 1.0
	for image := range ts.serving {
		headroom, known := ts.Headroom[image]
		if !known {
			headroom = pacing.DefaultHeadroom
		}
		lost := p.cautiousCoefficient(image, s.Image) * ts.cpuShare(s)
		for filling, share := range ts.fillingShare {
			lost += p.cautiousCoefficient(image, filling) * share
		}
		if lost > 0 {
			pace = min(pace, pacing.HeadroomBudget(headroom)/(pacing.EffectMargin*lost))
		}
	}
	return pace
}

// cautiousCoefficient returns the disturbance coefficient of a pair, raised by
// DeviationMargin standard deviations. Little-known pairs are therefore tried
// with few tasks.
func (p *pass) cautiousCoefficient(serving, filling string) float64 {
	e := p.Disturbs(serving, filling)
	return e.Coefficient + p.limits.DeviationMargin*e.Deviation
}
