package placement

import (
	"github.com/ibispier/ibispier/interference"
)

// score rates a worker for a task. The weighted sum of all scores is maximised.
type score struct {
	name   string
	weight float64
	rate   func(*Scheduler, *task, *worker) float64
}

// scores are the rating functions with their weights. Each is about 0 to 1, except
// for the interference, which is unbounded so that no other score outweighs a
// neighbour that is known to interfere heavily.
var scores = [...]score{
	{"free capacity", 1, capacityLeft},
	{"idle processors", 1, measuredIdleShare},
	{"interference", -1, interferenceCost},
	{"spread over zones", 0.5, zoneSpread},
	{"spread over racks", 0.25, rackSpread},
}

// capacityLeft returns the share of the worker's scarcest resource that remains
// free if the task is placed there.
func capacityLeft(_ *Scheduler, t *task, w *worker) float64 {
	return 1 - w.Capacity.Sub(w.free).Add(t.Size).DominantShare(w.Capacity)
}

// measuredIdleShare returns the measured share of idle processor time. It is
// negative if the tasks use more than the capacity.
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

// serviceWeight makes the slowdown of a service count as much as that of several
// batch tasks, since a late response is as bad as a lost one.
const serviceWeight = 8

// classLoad returns the load of the task on a worker, given its processor
// use. The weight of a batch task is its share of the worker, so that many small
// tasks of a class count like one large task.
func (t *task) classLoad(w *worker, usedCPUMilli int64) interference.ClassLoad {
	intensity := ratio(usedCPUMilli, w.Capacity.CPUMilli)
	weight := intensity
	if t.Kind == Service {
		weight = serviceWeight
	}
	return interference.ClassLoad{Class: t.Class, Intensity: intensity, Weight: weight}
}

// appendClassLoads appends the loads on a worker, summed by class.
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
