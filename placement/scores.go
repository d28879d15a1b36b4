package placement

import (
	"github.com/ibispier/ibispier/interference"
)

// score rates a worker for a task; a higher value is better.
type score struct {
	name   string
	weight float64
	rate   func(*Scheduler, *task, *worker) float64
}

// scores with their weights. Each is about 0 to 1, except the harm, which has
// no upper limit, so that no other score outweighs a known bad neighbour.
var scores = [...]score{
	{"room left", 1, capacityLeft},
	{"measured idle", 1, measuredIdleShare},
	{"interference", -1, interferenceCost},
	{"spread over zones", 0.5, zoneSpread},
	{"spread over racks", 0.25, rackSpread},
}

// capacityLeft is the share of the worker's scarcest resource left by the task.
func capacityLeft(_ *Scheduler, t *task, w *worker) float64 {
	return 1 - w.Capacity.Sub(w.free).Add(t.Size).DominantShare(w.Capacity)
}

// measuredIdleShare is the measured share of idle processors. It is negative when
// tasks use more than they declared.
func measuredIdleShare(_ *Scheduler, _ *task, w *worker) float64 {
	return 1 - ratio(w.measuredCPUMilli, w.Capacity.CPUMilli)
}

func interferenceCost(s *Scheduler, t *task, w *worker) float64 {
	if s.options.IgnoreInterference {
		return 0
	}
	s.classLoads = appendClassLoads(s.classLoads[:0], w)
	return s.model.Cost(t.classLoad(w, t.Size.CPUMilli), s.classLoads, s.now)
}

func zoneSpread(s *Scheduler, t *task, w *worker) float64 {
	return 1 - share(t.spreadGroup.zones[w.Zone], t.spreadGroup.total)
}

func rackSpread(s *Scheduler, t *task, w *worker) float64 {
	return 1 - share(t.spreadGroup.racks[w.rack], t.spreadGroup.total)
}

func share(part, whole int) float64 { return ratio(int64(part), int64(whole)) }

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// serviceWeight makes the slowdown of a service count as much as that of
// several batch tasks, since a late answer is as bad as a lost one.
const serviceWeight = 8

// classLoad describes the task as a neighbour. A batch task weighs its share of
// the worker, so that many small tasks of one class count like one large task.
func (t *task) classLoad(w *worker, use int64) interference.ClassLoad {
	intensity := ratio(use, w.Capacity.CPUMilli)
	weight := intensity
	if t.Kind == Service {
		weight = serviceWeight
	}
	return interference.ClassLoad{Class: t.Class, Intensity: intensity, Weight: weight}
}

// appendClassLoads lists the classes on a worker.
func appendClassLoads(list []interference.ClassLoad, w *worker) []interference.ClassLoad {
next:
	for _, t := range w.tasks {
		r := t.classLoad(w, t.usedCPUMilli)
		for i := range list {
			if list[i].Class == r.Class {
				list[i].Intensity += r.Intensity
				list[i].Weight += r.Weight
				continue next
			}
		}
		list = append(list, r)
	}
	return list
}
