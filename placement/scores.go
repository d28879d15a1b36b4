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
	{"room left", 1, roomLeft},
	{"measured idle", 1, measuredIdle},
	{"interference", -1, expectedHarm},
	{"spread over zones", 0.5, zoneSpread},
	{"spread over racks", 0.25, rackSpread},
}

// roomLeft is the share of the worker's scarcest resource left by the task.
func roomLeft(_ *Scheduler, t *task, w *worker) float64 {
	return 1 - w.Capacity.Sub(w.free).Add(t.Size).DominantShare(w.Capacity)
}

// measuredIdle is the measured share of idle processors. It is negative when
// tasks use more than they declared.
func measuredIdle(_ *Scheduler, _ *task, w *worker) float64 {
	return 1 - ratio(w.measured, w.Capacity.CPUMilli)
}

func expectedHarm(s *Scheduler, t *task, w *worker) float64 {
	if s.options.IgnoreInterference {
		return 0
	}
	s.residents = appendResidents(s.residents[:0], w)
	return s.model.Cost(t.resident(w, t.Size.CPUMilli), s.residents, s.now)
}

func zoneSpread(s *Scheduler, t *task, w *worker) float64 {
	return 1 - share(t.group.zones[w.Zone], t.group.total)
}

func rackSpread(s *Scheduler, t *task, w *worker) float64 {
	return 1 - share(t.group.racks[w.rack], t.group.total)
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

// resident describes the task as a neighbour. A batch task weighs its share of
// the worker, so that many small tasks of one class count like one large task.
func (t *task) resident(w *worker, use int64) interference.ClassLoad {
	intensity := ratio(use, w.Capacity.CPUMilli)
	weight := intensity
	if t.Kind == Service {
		weight = serviceWeight
	}
	return interference.ClassLoad{Class: t.Class, Intensity: intensity, Weight: weight}
}

// appendResidents lists the classes on a worker.
func appendResidents(list []interference.ClassLoad, w *worker) []interference.ClassLoad {
next:
	for _, t := range w.tasks {
		r := t.resident(w, t.used)
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
