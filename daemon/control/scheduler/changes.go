package scheduler

import (
	"math"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/placement"
	"github.com/ibispier/ibispier/quarantine"
	"github.com/ibispier/ibispier/resource"
)

const (
	jobKind     = quarantine.Job
	quarantined = quarantine.Quarantined
)

// applyUpdate applies one update from the applier to the scheduler.
func (d *Duty) applyUpdate(u applier.SchedulerUpdate, now time.Time) {
	if u.Reset {
		d.reset()
	}
	d.leading = u.Leading
	d.dirty = true
	if u.Config != nil {
		d.setConfig(*u.Config, now)
	}
	for _, q := range u.Quarantine {
		d.scheduler.SetQuarantined(quarantine.Kind(q.Kind), q.Name, q.Reason, now)
	}
	for _, q := range u.Released {
		d.scheduler.Release(quarantine.Kind(q.Kind), q.Name, now)
	}
	for _, w := range u.Workers {
		d.setWorker(w, now)
	}
	for _, f := range u.Failures {
		d.recordFailure(f, now)
	}
	for _, t := range u.Tasks {
		d.setTask(t, now)
	}
	d.observe(u.Usage, now)
	for _, r := range u.Rejected {
		d.rejected = append(d.rejected, rejection{r.Task, now})
	}
}

// setConfig applies the zones that are out of service and the limits of the plans.
// Before the first configuration nothing is limited, as in the replicated state
// machine.
func (d *Duty) setConfig(c controlapi.Config, now time.Time) {
	out := map[string]bool{}
	for _, zone := range c.ZonesOut {
		out[zone] = true
		d.scheduler.SetZone(zone, true, now)
	}
	for zone := range d.zonesOut {
		if !out[zone] {
			d.scheduler.SetZone(zone, false, now)
		}
	}
	d.zonesOut = out
	d.scheduler.SetDefaultQuota(nil)
	if c.Revision == 0 {
		d.scheduler.SetDefaultQuota(&placement.Quota{Limit: unlimited, Tasks: math.MaxInt})
	}
	d.setQuotas(c)
}

var unlimited = resource.Vector{CPUMilli: math.MaxInt64, MemoryMiB: math.MaxInt64, Accelerators: math.MaxInt64}

func (d *Duty) setQuotas(c controlapi.Config) {
	plans := map[string]placement.Quota{}
	for _, p := range c.Plans {
		limit := resource.Vector{CPUMilli: p.CPUMilli, MemoryMiB: p.MemoryMiB, Accelerators: p.Accelerators}
		plans[p.Name] = placement.Quota{Limit: limit, Tasks: p.Tasks}
	}
	customers := map[string]bool{}
	for _, s := range c.Customers {
		customers[s.Customer] = true
		d.scheduler.SetQuota(s.Customer, plans[s.Plan])
	}
	for customer := range d.customersWithQuota {
		if !customers[customer] {
			d.scheduler.RemoveQuota(customer)
		}
	}
	d.customersWithQuota = customers
}

func (d *Duty) setWorker(u applier.WorkerUpdate, now time.Time) {
	id := u.Worker.Agent
	if u.Lost {
		d.scheduler.Remove(serviceTaskID(id), now)
		d.scheduler.RemoveWorker(id, now)
		return
	}
	d.scheduler.SetWorker(placement.Worker{
		ID: id, Rack: u.Worker.Rack, Zone: u.Worker.Zone, Capacity: resourceVector(u.Worker.Capacity), Draining: u.Draining,
	}, now)
	if u.Service == "" {
		return
	}
	class := "service " + u.Service
	d.scheduler.RecordPlacement(placement.Task{ID: serviceTaskID(id), Kind: placement.Service, Class: class}, id, now)
	if slowdown := d.tailBaselines.slowdown(u.Service, u.TailLatencyMillis); slowdown > 0 {
		d.scheduler.Observe(id, []placement.Usage{{Task: serviceTaskID(id), Slowdown: slowdown, MeasuredAt: now}}, now)
	}
}

// serviceTaskID returns the task ID that stands for the target beside an agent.
// The leading space keeps it distinct from customers' task IDs, in which the part
// before the separator is never empty.
func serviceTaskID(agent string) string { return " service " + agent }

// recordFailure records a failed attempt. A refused attempt was not started, so it
// does not count as a failure of the task or the worker.
func (d *Duty) recordFailure(f applier.Failure, now time.Time) {
	if f.Refused {
		d.scheduler.Requeue(f.Task, now)
		return
	}
	d.scheduler.RecordEnd(f.Task, true, now)
}

func (d *Duty) setTask(u applier.TaskUpdate, now time.Time) {
	old, known := d.tasks[u.ID]
	d.tasks[u.ID] = u
	switch u.State {
	case controlapi.TaskQueued:
		d.submitQueued(u, known && old.Epoch != u.Epoch, now)
	case controlapi.TaskPlaced, controlapi.TaskRunning, controlapi.TaskEvicting:
		d.scheduler.RecordPlacement(placementTask(u), u.Agent, now)
	case controlapi.TaskQuarantined:
		d.scheduler.Requeue(u.ID, now)
		d.scheduler.Submit(placementTask(u), u.QueuedAt)
	case controlapi.TaskCompleted:
		d.scheduler.RecordEnd(u.ID, false, now)
		d.removeTask(u.ID, now)
	default:
		d.removeTask(u.ID, now)
	}
}

// submitQueued submits a queued task. If its placement has ended, which raises the
// epoch, the task is requeued first. With an unchanged epoch, a proposal for the
// task may still be in flight.
func (d *Duty) submitQueued(u applier.TaskUpdate, ended bool, now time.Time) {
	if u.Cancelling {
		d.scheduler.Remove(u.ID, now)
		return
	}
	if ended {
		d.scheduler.Requeue(u.ID, now)
	}
	d.scheduler.Submit(placementTask(u), u.QueuedAt)
}

func (d *Duty) removeTask(id string, now time.Time) {
	d.scheduler.Remove(id, now)
	delete(d.tasks, id)
}

// observe passes measurements to the scheduler, grouped by worker.
func (d *Duty) observe(samples []applier.UsageSample, now time.Time) {
	byAgent := map[string][]placement.Usage{}
	var agents []string
	for _, s := range samples {
		if byAgent[s.Agent] == nil {
			agents = append(agents, s.Agent)
		}
		byAgent[s.Agent] = append(byAgent[s.Agent], placement.Usage{
			Task: s.Task, Used: resourceVector(s.Used), Slowdown: s.Slowdown,
			MeasuredAt: s.ReceivedAt.Add(-time.Duration(s.AgeMillis) * time.Millisecond),
		})
	}
	for _, agent := range agents {
		d.scheduler.Observe(agent, byAgent[agent], now)
	}
}

func placementTask(u applier.TaskUpdate) placement.Task {
	kind := placement.Batch
	if u.Kind == controlapi.KindWatcher {
		kind = placement.Watcher
	}
	return placement.Task{
		ID: u.ID, Customer: u.Customer, Kind: kind, Class: u.Class, Urgent: u.Urgent, Size: resourceVector(u.Size), Zones: u.Zones,
	}
}

func resourceVector(r controlapi.Resources) resource.Vector {
	return resource.Vector{CPUMilli: r.CPUMilli, MemoryMiB: r.MemoryMiB, Accelerators: r.Accelerators}
}

// tailBaselines holds the best recent tail latency of each service, in
// milliseconds, which approximates its undisturbed tail latency.
type tailBaselines map[string]float64

// baselineDrift raises the baseline by a thousandth with each report, so that a
// service that has become permanently slower does not count as disturbed
// indefinitely.
const baselineDrift = 1.001

// slowdown returns the tail latency relative to the baseline, which it updates. It
// returns 0 if the tail latency is unknown.
func (t tailBaselines) slowdown(service string, tailMs float64) float64 {
	if tailMs <= 0 {
		return 0
	}
	best, known := t[service]
	if !known || tailMs < best*baselineDrift {
		best = tailMs
	} else {
		best *= baselineDrift
	}
	t[service] = best
	return tailMs / best
}
