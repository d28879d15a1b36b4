package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// filter refuses workers that must not run a task. Its name is shown to operators
// as the reason.
type filter struct {
	name    string
	refuses func(*Scheduler, *task, *worker) bool
}

const (
	filterCount     = 11
	disturbedFilter = 9 // index of isDisturbed in filters
)

// filters are checked in this order; the one that refuses most workers comes
// first. isIneligible relies on lacksCapacity being the first.
var filters = [filterCount]filter{
	{"insufficient free capacity", lacksCapacity},
	{"zone out of service", isZoneOut},
	{"zone not allowed", isZoneForbidden},
	{"start rate of returned zone exceeded", exceedsReturnRate},
	{"worker draining", isDraining},
	{"worker lost", isAbsent},
	{"worker quarantined", isQuarantined},
	{"worker on probation", isProbationBusy},
	{"reserved for another task", isReserved},
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

// isProbationBusy limits a worker on probation to one task at a time, besides its
// service.
func isProbationBusy(_ *Scheduler, _ *task, w *worker) bool {
	if !w.onProbation {
		return false
	}
	return slices.ContainsFunc(w.tasks, func(t *task) bool { return t.Kind != Service })
}

func isReserved(_ *Scheduler, t *task, w *worker) bool {
	return w.reservedFor != nil && w.reservedFor != t
}

// disturbingSlowdown is the slowdown of a service up to which a task does not
// count as disturbing it.
const disturbingSlowdown = 0.02

// isDisturbed keeps tasks that slow services down off workers whose services are
// already, or would then be, slowed down too much. Urgent tasks and tasks beyond
// the aging bound are exempt.
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

// plannedSlowdownShare is the share of the tolerated slowdown that placement may
// use. The rest is a reserve for load peaks, in which services are slowed down
// more than on average.
const plannedSlowdownShare = 0.7

// plannedSlowdown is the expected slowdown of the services on a worker up to which
// placement adds tasks that disturb them.
func (s *Scheduler) plannedSlowdown() float64 { return 1 + plannedSlowdownShare*(s.disturbedAbove()-1) }

// expectedSlowdown returns the slowdown of the services on a worker that the
// estimates predict. The measured slowdown is lower while the load is low. The
// result is cached for the step until the tasks on the worker change.
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

// disturbedAbove is the slowdown of services above which mitigation acts.
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

// pendingReason is why a task is pending: a text, or the number of workers that
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

// refusingFilter returns the index of the first filter that refuses the worker
// for the task, or -1.
func (s *Scheduler) refusingFilter(t *task, w *worker) int {
	for i := range filters {
		if filters[i].refuses(s, t, w) {
			return i
		}
	}
	return -1
}

// isIneligible reports whether the worker could not run the task even if all of
// its capacity were free.
func (s *Scheduler) isIneligible(t *task, w *worker) bool {
	for i := 1; i < len(filters); i++ {
		if filters[i].refuses(s, t, w) {
			return true
		}
	}
	return !t.Size.FitsIn(w.Capacity)
}

// hasStartToken reports whether the zone may start another task. For
// ZoneReturnPeriod after a zone has returned to service, a token bucket limits
// its starts, so that its workers, racks and links do not receive the whole
// backlog at once.
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

// takeStartToken uses up a token if the start rate of the zone is limited.
func (z *zone) takeStartToken() {
	if !z.returnedAt.IsZero() {
		z.tokens--
	}
}
