// Package scheduler is the duty that proposes placements from a cache of the
// control state. This one takes the first worker with room.
package scheduler

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/ring"
)

// Duty places queued tasks, urgent ones and those that wait longest first.
type Duty struct {
	changes   *ring.Ring[applier.Change]
	decisions *ring.Ring[applier.Decision]

	leading    bool
	tasks      map[string]applier.TaskChange
	workers    map[string]applier.WorkerChange
	used       map[string]controlapi.Resources
	zonesOut   []string
	quarantine map[string]bool // workers
	proposed   map[string]uint64
	rejected   []string // may be proposed again at the next retry
}

// retryInterval is the pause before a rejected placement is proposed again.
const retryInterval = 200 * time.Millisecond

// New returns the duty between the rings of the applier.
func New(changes *ring.Ring[applier.Change], decisions *ring.Ring[applier.Decision]) *Duty {
	return &Duty{changes: changes, decisions: decisions}
}

// Run decides until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	d.reset()
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-d.changes.C():
			d.take(c)
			for _, c := range d.changes.Drain(nil, 64) {
				d.take(c)
			}
		case <-ticker.C:
			d.retry()
		}
		if d.leading {
			d.place()
		}
	}
}

func (d *Duty) retry() {
	for _, id := range d.rejected {
		delete(d.proposed, id)
	}
	d.rejected = nil
}

func (d *Duty) reset() {
	d.tasks = map[string]applier.TaskChange{}
	d.workers = map[string]applier.WorkerChange{}
	d.used = map[string]controlapi.Resources{}
	d.quarantine = map[string]bool{}
	d.proposed = map[string]uint64{}
}

func (d *Duty) take(c applier.Change) {
	if c.Reset {
		d.reset()
	}
	d.leading = c.Leading
	for _, t := range c.Tasks {
		d.setTask(t)
	}
	for _, w := range c.Workers {
		d.workers[w.Worker.Agent] = w
	}
	if c.Config != nil {
		d.zonesOut = c.Config.ZonesOut
	}
	for _, q := range c.Quarantine {
		d.quarantine[q.Kind+" "+q.Name] = true
	}
	for _, q := range c.Released {
		delete(d.quarantine, q.Kind+" "+q.Name)
	}
	for _, r := range c.Rejected {
		d.rejected = append(d.rejected, r.Task)
	}
}

func (d *Duty) setTask(t applier.TaskChange) {
	if old, known := d.tasks[t.ID]; known && old.Agent != "" {
		d.use(old.Agent, old.Size, -1)
	}
	if t.Agent != "" {
		d.use(t.Agent, t.Size, 1)
	}
	d.tasks[t.ID] = t
	if t.State != controlapi.TaskQueued || d.proposed[t.ID] != t.Epoch {
		delete(d.proposed, t.ID)
	}
	switch t.State {
	case controlapi.TaskCompleted, controlapi.TaskFailed, controlapi.TaskCancelled:
		delete(d.tasks, t.ID)
	}
}

func (d *Duty) use(agent string, r controlapi.Resources, sign int64) {
	u := d.used[agent]
	u.CPUMilli += sign * r.CPUMilli
	u.MemoryMiB += sign * r.MemoryMiB
	u.Accelerators += sign * r.Accelerators
	d.used[agent] = u
}

// place proposes a worker for each queued task that has none proposed yet.
func (d *Duty) place() {
	var queued []applier.TaskChange
	for id, t := range d.tasks {
		if _, proposed := d.proposed[id]; t.State == controlapi.TaskQueued && !proposed {
			queued = append(queued, t)
		}
	}
	sort.Slice(queued, func(i, j int) bool {
		if queued[i].Urgent != queued[j].Urgent {
			return queued[i].Urgent
		}
		return queued[i].QueuedAt.Before(queued[j].QueuedAt)
	})
	taken := map[string]controlapi.Resources{} // proposed in this round
	for _, t := range queued {
		agent := d.firstFit(t, taken)
		if agent == "" {
			continue
		}
		if d.decisions.Offer(applier.Decision{Place: &applier.Placement{Task: t.ID, Epoch: t.Epoch, Agent: agent}}) != nil {
			return
		}
		d.proposed[t.ID] = t.Epoch
		taken[agent] = sum(taken[agent], t.Size)
	}
}

func (d *Duty) firstFit(t applier.TaskChange, taken map[string]controlapi.Resources) string {
	names := make([]string, 0, len(d.workers))
	for name := range d.workers {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		w := d.workers[name]
		used := sum(sum(d.used[name], taken[name]), t.Size)
		if d.takes(w, t) && used.CPUMilli <= w.Worker.Capacity.CPUMilli &&
			used.MemoryMiB <= w.Worker.Capacity.MemoryMiB && used.Accelerators <= w.Worker.Capacity.Accelerators {
			return name
		}
	}
	return ""
}

func (d *Duty) takes(w applier.WorkerChange, t applier.TaskChange) bool {
	zone := w.Worker.Zone
	return !w.Lost && !w.Draining && !slices.Contains(d.zonesOut, zone) && !d.quarantine["worker "+w.Worker.Agent] &&
		(len(t.Zones) == 0 || slices.Contains(t.Zones, zone))
}

func sum(a, b controlapi.Resources) controlapi.Resources {
	return controlapi.Resources{
		CPUMilli:     a.CPUMilli + b.CPUMilli,
		MemoryMiB:    a.MemoryMiB + b.MemoryMiB,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}
