package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// filter refuses workers that must not run a task. The name is the reason that
// operators read.
type filter struct {
	name    string
	refuses func(*Scheduler, *task, *worker) bool
}

const (
	filterCount     = 11
	disturbedFilter = 9
)

// filters are checked in this order, the one that refuses most first.
var filters = [filterCount]filter{
	{"too little room", lacksCapacity},
	{"zone out of service", isZoneOut},
	{"zone not allowed", isZoneForbidden},
	{"zone returning", exceedsReturnRate},
	{"worker draining", isDraining},
	{"worker gone", isAbsent},
	{"worker quarantined", isQuarantined},
	{"worker on probation", isProbationBusy},
	{"reserved for a task that waited longer", isReserved},
	{"services on the worker are slowed down", isDisturbed},
	{"task failed on or was moved from the worker", isExcluded},
}

func lacksCapacity(_ *Scheduler, t *task, w *worker) bool { return !t.Size.FitsIn(w.free) }

func isZoneOut(_ *Scheduler, _ *task, w *worker) bool { return w.zone.out }

func isZoneForbidden(_ *Scheduler, t *task, w *worker) bool { return !t.allows(w.Zone) }

func exceedsReturnRate(s *Scheduler, _ *task, w *worker) bool {
	return !w.zone.hasStartToken(s.now, s.options)
}

func isDraining(_ *Scheduler, _ *task, w *worker) bool { return w.Draining }

func isAbsent(_ *Scheduler, _ *task, w *worker) bool { return w.absent }

func isQuarantined(_ *Scheduler, _ *task, w *worker) bool { return w.quarantineReason != "" }

// isProbationBusy lets a worker on probation run one task at a time, beside
// those that survived from before.
func isProbationBusy(_ *Scheduler, _ *task, w *worker) bool {
	if !w.onProbation {
		return false
	}
	return slices.ContainsFunc(w.tasks, func(t *task) bool { return t.Kind != Service })
}

func isReserved(_ *Scheduler, t *task, w *worker) bool {
	return w.reservedFor != nil && w.reservedFor != t
}

// disturbingSlowdown is the slowdown of a service that a task may cause on a worker
// whose services are too slow already.
const disturbingSlowdown = 0.02

// isDisturbed keeps tasks that slow services down off workers whose services
// are too slow already. Urgent tasks and tasks beyond the aging bound pass.
func isDisturbed(s *Scheduler, t *task, w *worker) bool {
	if s.options.IgnoreInterference || t.Urgent || s.now.Sub(t.waitingSince) > s.options.Queue.AgingBound {
		return false
	}
	caused := s.causedSlowdown(t, w)
	if caused <= disturbingSlowdown {
		return false
	}
	return w.measuredSlowdown > s.disturbedAbove() || s.expectedSlowdown(w)+caused > s.plannedSlowdown()
}

// plannedSlowdownShare of the tolerated slowdown is planned for. The rest is reserve
// for waves, in which services are slowed down more than on average.
const plannedSlowdownShare = 0.7

// plannedSlowdown is the expected slowdown of services up to which placement
// adds tasks that disturb them.
func (s *Scheduler) plannedSlowdown() float64 { return 1 + plannedSlowdownShare*(s.disturbedAbove()-1) }

// expectedSlowdown is the slowdown of the services on a worker that the
// estimates predict. The measured one is lower while few requests come in.
// It is computed once for a set of tasks and a step.
func (s *Scheduler) expectedSlowdown(w *worker) float64 {
	if w.expectedAt.Equal(s.now) {
		return w.expectedSlowdown
	}
	sum := 1.0
	for _, t := range w.tasks {
		if t.Kind != Service {
			sum += s.causedSlowdown(t, w)
		}
	}
	w.expectedSlowdown, w.expectedAt = sum, s.now
	return sum
}

// disturbedAbove is the slowdown of services above which the ladder acts.
func (s *Scheduler) disturbedAbove() float64 { return s.options.Mitigation.DisturbedAbove }

func isExcluded(s *Scheduler, t *task, w *worker) bool {
	for _, e := range t.exclusions {
		if e.worker == w.ID && s.now.Before(e.until) {
			return true
		}
	}
	return false
}

func (t *Task) allows(zone string) bool {
	return len(t.Zones) == 0 || slices.Contains(t.Zones, zone)
}

// pendingReason tells why a task is pending: a text, or the number of workers that
// each filter refused.
type pendingReason struct {
	text    string
	refused [filterCount]int32
}

func (r *pendingReason) String() string {
	if r.text != "" {
		return r.text
	}
	var parts []string
	for i, n := range r.refused {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, filters[i].name))
		}
	}
	if len(parts) == 0 {
		return "not considered yet"
	}
	return "no worker: " + strings.Join(parts, ", ")
}

// refusingFilter returns the index of the first filter that refuses the worker, or -1.
func (s *Scheduler) refusingFilter(t *task, w *worker) int {
	for i := range filters {
		if filters[i].refuses(s, t, w) {
			return i
		}
	}
	return -1
}

// isIneligible is refusal without regard to the room that is free now.
func (s *Scheduler) isIneligible(t *task, w *worker) bool {
	for i := 1; i < len(filters); i++ {
		if filters[i].refuses(s, t, w) {
			return true
		}
	}
	return !t.Size.FitsIn(w.Capacity)
}

// hasStartToken reports whether the zone may start another task. A zone that has
// returned starts tasks at a bounded rate for a while, so that its workers,
// racks and links do not take the whole backlog at once.
func (z *zone) hasStartToken(now time.Time, o Options) bool {
	if z.returnedAt.IsZero() {
		return true
	}
	if now.Sub(z.returnedAt) >= o.ZoneReturnPeriod {
		z.returnedAt = time.Time{}
		return true
	}
	rate := o.ZoneReturnStartRate * float64(z.workers)
	z.tokens = min(z.tokens+rate*now.Sub(z.tokensAt).Seconds(), max(rate, 1))
	z.tokensAt = now
	return z.tokens >= 1
}

func (z *zone) takeStartToken() {
	if !z.returnedAt.IsZero() {
		z.tokens--
	}
}
