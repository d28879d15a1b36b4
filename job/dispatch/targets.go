package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

// Target is the leader's view of one incarnation of a target.
type Target struct {
	Incarnation job.TargetIncarnation
	Host        string // instance that the target runs on
	Service     string
	Zone        string
	Rack        string
	Labels      []string
	Capacity    resource.Vector
	// Paused contains the filling tasks that are paused on the target. They use
	// no processor time and disturb no serving task.
	Paused map[job.Ref]bool
	// Headroom is the undisturbed headroom by serving image: the logarithm of
	// the tail latency target over the undisturbed tail latency. Images without
	// measurements are missing.
	Headroom map[string]float64
}

func (t *Target) equal(other *Target) bool {
	return t.Host == other.Host && t.Service == other.Service && t.Zone == other.Zone && t.Rack == other.Rack &&
		t.Capacity == other.Capacity && slices.Equal(t.Labels, other.Labels) &&
		maps.Equal(t.Paused, other.Paused) && maps.Equal(t.Headroom, other.Headroom)
}

// TargetState is the dispatcher's view of a target and of its load.
type TargetState struct {
	Target
	dispatcher *Dispatcher
	position   int    // index in Dispatcher.targets
	changedAt  uint64 // number of its latest change
	removed    bool
	stale      bool // the load must be read from the store again
	// startable is false for a target that is draining, silent, or suspended
	// because a run stalls.
	startable bool
	// suspended is true for a target that is suspended because its runs fail. It is
	// used only for tasks that would otherwise wait for good.
	suspended bool
	// setAsideFor is the only job whose tasks start on the target, besides lasting ones;
	// empty for none.
	setAsideFor string

	free         resource.Vector    // unreserved capacity
	tasks        int                // number of tasks
	idleCPU      int64              // millicores that filling tasks may still request
	fillingMilli int64              // millicores that filling tasks request
	lasting      resource.Vector    // reserved by lasting tasks
	serving      map[string]int     // number of serving tasks by image
	fillingShare map[string]float64 // share of the processors requested by filling tasks, by image
	pausedImages map[string]bool    // images with paused filling tasks
	perStep      map[stepKey]int    // number of tasks by step, for MaxPerTarget
}

type stepKey struct {
	job        string
	occurrence int
	step       int
}

func stepOf(r job.Ref) stepKey { return stepKey{r.Job, r.Occurrence, r.Step} }

// SetStartable sets whether tasks may start on the target.
func (ts *TargetState) SetStartable(startable bool) {
	if ts.startable == startable {
		return
	}
	ts.startable = startable
	ts.dispatcher.recordChange(ts)
}

// SetSuspended sets whether the target is suspended because its runs fail.
func (ts *TargetState) SetSuspended(suspended bool) {
	if ts.suspended == suspended {
		return
	}
	ts.suspended = suspended
	ts.dispatcher.recordChange(ts)
}

// SetTarget adds a target, or replaces its description if it differs.
func (d *Dispatcher) SetTarget(t Target) *TargetState {
	ts := d.byIncarnation[t.Incarnation]
	switch {
	case ts == nil:
		ts = &TargetState{Target: t, dispatcher: d}
		d.byIncarnation[t.Incarnation] = ts
		at, _ := slices.BinarySearchFunc(d.targets, ts, compareTargets)
		d.targets = slices.Insert(d.targets, at, ts)
		d.renumber()
	case ts.Target.equal(&t):
		return ts
	default:
		rackChanged := ts.Rack != t.Rack
		ts.Target = t
		if rackChanged {
			d.renumber()
		}
	}
	d.markStale(ts)
	return ts
}

// RemoveTarget removes a target.
func (d *Dispatcher) RemoveTarget(t job.TargetIncarnation) {
	ts := d.byIncarnation[t]
	if ts == nil {
		return
	}
	ts.removed = true
	delete(d.byIncarnation, t)
	d.targets = slices.Delete(d.targets, ts.position, ts.position+1)
	d.renumber()
}

// TasksChanged tells that the tasks on the target have changed in the store.
func (d *Dispatcher) TasksChanged(t job.TargetIncarnation) {
	if ts := d.byIncarnation[t]; ts != nil {
		d.markStale(ts)
	}
}

func compareTargets(x, y *TargetState) int {
	return cmp.Or(cmp.Compare(x.Incarnation.ID, y.Incarnation.ID), cmp.Compare(x.Incarnation.Born, y.Incarnation.Born))
}

// renumber updates the positions and the index of racks.
func (d *Dispatcher) renumber() {
	d.racks = d.racks[:0]
	d.byRack = map[string][]*TargetState{}
	for i, ts := range d.targets {
		ts.position = i
		if d.byRack[ts.Rack] == nil {
			d.racks = append(d.racks, ts.Rack)
		}
		d.byRack[ts.Rack] = append(d.byRack[ts.Rack], ts)
	}
}

func (d *Dispatcher) markStale(ts *TargetState) {
	if !ts.stale {
		ts.stale = true
		d.stale = append(d.stale, ts)
	}
}

// refresh reads the load of the stale targets from the store.
func (d *Dispatcher) refresh(st *job.Store) {
	for _, ts := range d.stale {
		ts.stale = false
		if ts.removed {
			continue
		}
		ts.load(d.limits, st)
		d.recordChange(ts)
	}
	d.stale = d.stale[:0]
}

// load reads the load of the target from the store.
func (ts *TargetState) load(l Limits, st *job.Store) {
	ts.free, ts.idleCPU, ts.tasks = ts.Capacity, ts.Capacity.CPUMilli, 0
	ts.fillingMilli, ts.lasting = 0, resource.Vector{}
	ts.serving, ts.fillingShare = map[string]int{}, map[string]float64{}
	ts.pausedImages, ts.perStep = map[string]bool{}, map[stepKey]int{}
	placed := st.TasksOn(ts.Incarnation)
	for ref, step := range ts.dispatcher.pendingOn[ts.Incarnation] {
		if placed[ref] == nil {
			ts.reserve(l, ref, step)
		}
	}
	for ref := range placed {
		step := &st.Jobs[ref.Job].Spec.Steps[ref.Step]
		if ts.Paused[ref] {
			ts.tasks++
			ts.free = ts.free.Sub(step.Reserved())
			ts.pausedImages[step.Image] = true
			continue
		}
		ts.reserve(l, ref, step)
	}
}

// reserve accounts for one task.
func (ts *TargetState) reserve(l Limits, ref job.Ref, s *job.Step) {
	ts.tasks++
	ts.free = ts.free.Sub(s.Reserved())
	if s.Lasting {
		ts.lasting = ts.lasting.Add(s.Reserved())
	}
	if s.MaxPerTarget > 0 {
		ts.perStep[stepOf(ref)]++
	}
	switch {
	case s.Filling:
		ts.idleCPU -= s.Need.CPUMilli
		ts.fillingMilli += s.Need.CPUMilli
		ts.fillingShare[s.Image] += ts.cpuShare(s)
	case s.Serves():
		ts.idleCPU -= int64(l.ServingCPUShare * float64(s.Need.CPUMilli))
		ts.serving[s.Image]++
	default:
		ts.idleCPU -= s.Need.CPUMilli
	}
}

// clone returns a copy that shares no load with ts.
func (ts *TargetState) clone() TargetState {
	c := *ts
	c.perStep = maps.Clone(ts.perStep)
	c.serving = maps.Clone(ts.serving)
	c.fillingShare = maps.Clone(ts.fillingShare)
	return c
}

// cpuShare returns the share of the target's processors that a task requests.
func (ts *TargetState) cpuShare(s *job.Step) float64 {
	if ts.Capacity.CPUMilli <= 0 {
		return 0
	}
	return float64(s.Need.CPUMilli) / float64(ts.Capacity.CPUMilli)
}
