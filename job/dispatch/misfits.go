package dispatch

import (
	"sort"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

const (
	// maxMisfits bounds the remembered shapes. Steps with a limit per target have
	// a shape of their own.
	maxMisfits = 1024
	// maxChangesPerTarget bounds the log of changes. Beyond it, looking at all
	// targets is cheaper than following the log.
	maxChangesPerTarget = 4
)

// shape holds everything that the filters read of a task. Tasks of one shape
// fit on the same targets.
type shape struct {
	service    string
	label      string
	image      string // of a filling task; the filters of others do not read it
	reserved   resource.Vector
	cpuMilli   int64
	filling    bool
	unfiltered bool    // the filters for filling tasks, and room that is set aside, are ignored
	probing    bool    // suspended targets are used
	step       stepKey // of a step with a limit per target
	gang       int     // number of tasks that start together or not at all
	aged       string  // job that targets are set aside for
	lasting    bool    // of lasting tasks, while targets are set aside
}

// change is an entry of the log of changed targets.
type change struct {
	number uint64
	target *TargetState
}

func (p *pass) shapeOf(q *job.Queue, s *job.Step, ref job.Ref) shape {
	key := shape{service: q.Service, label: s.Label, reserved: s.Reserved(), cpuMilli: s.Need.CPUMilli, filling: s.Filling}
	key.probing = p.probing
	key.unfiltered = p.skipFillingFilters
	if s.Filling {
		key.image = s.Image
	}
	if s.MaxPerTarget > 0 {
		key.step = stepOf(ref)
	}
	if s.Gang {
		key.gang = s.Count
	}
	key.lasting = s.Lasting && len(p.setAside) > 0
	if p.hasSetAside(ref.Job) {
		key.aged = ref.Job
	}
	return key
}

// recordChange notes that a target may fit shapes that it did not fit before.
func (d *Dispatcher) recordChange(ts *TargetState) {
	d.lastChange++
	ts.changedAt = d.lastChange
	d.changes = append(d.changes, change{d.lastChange, ts})
	if len(d.changes) > maxChangesPerTarget*(len(d.targets)+1) {
		d.forgetMisfits()
	}
}

// recordMisfit notes that no target fits the shape until one changes.
func (d *Dispatcher) recordMisfit(key shape) {
	if len(d.misfits) >= maxMisfits {
		d.forgetMisfits()
	}
	d.misfits[key] = d.lastChange
}

func (d *Dispatcher) forgetMisfits() {
	clear(d.misfits)
	d.changes = d.changes[:0]
}

// EstimatesChanged tells that disturbance estimates have changed, on which the
// filters for filling tasks depend.
func (d *Dispatcher) EstimatesChanged() {
	for key := range d.misfits {
		if key.filling {
			delete(d.misfits, key)
		}
	}
}

// ZonesChanged tells that availability zones were taken out of service or
// returned.
func (d *Dispatcher) ZonesChanged() { d.forgetMisfits() }

// candidates returns the targets that may fit the shape, in their order. All
// others are known not to fit.
func (d *Dispatcher) candidates(key shape) []*TargetState {
	since, known := d.misfits[key]
	if !known {
		return d.targets
	}
	first := sort.Search(len(d.changes), func(i int) bool { return d.changes[i].number > since })
	var changed []*TargetState
	for _, c := range d.changes[first:] {
		if c.target.changedAt == c.number && !c.target.removed {
			changed = append(changed, c.target)
		}
	}
	return changed
}
