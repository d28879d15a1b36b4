package state

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"slices"
	"sort"
	"time"

	"github.com/ibispier/ibispier/controlapi"
)

// submitTask adds a task. Submitting the same task again returns its current
// status; another task with the same id is refused.
func (m *Machine) submitTask(submitted controlapi.Task) Result {
	digest := bodyDigest(submitted)
	if t := m.tasks.byID[submitted.ID]; t != nil {
		if t.Digest != digest {
			return Result{Err: refusalf(controlapi.ReasonConflict, "task id %q belongs to a task with different content", submitted.ID)}
		}
		result := statusResult(t)
		result.Task.Resent = true
		return result
	}
	if err := m.checkTask(submitted); err != nil {
		return Result{Err: err}
	}
	t := &Task{Digest: digest, QueuedAt: m.now}
	t.Task = submitted
	t.State = controlapi.TaskQueued
	t.SubmittedAt = m.now
	if m.isQuarantined(QuarantineJob, submitted.ID) {
		t.State = controlapi.TaskQuarantined
	}
	m.tasks.add(t)
	result := statusResult(t)
	result.Created = true
	result.ChangedTasks = []*Task{t}
	return result
}

func statusResult(t *Task) Result {
	status := t.TaskStatus
	return Result{Task: &status}
}

// checkTask refuses tasks that are invalid or exceed a limit. Until the first
// change of the configuration is accepted, customers need no plan, so that a new
// deployment can be tried out.
func (m *Machine) checkTask(r controlapi.Task) error {
	customerPlan, hasPlan := m.planFor(r.Customer)
	resources := controlapi.Resources{CPUMilli: customerPlan.CPUMilli, MemoryMiB: customerPlan.MemoryMiB, Accelerators: customerPlan.Accelerators}
	switch {
	case r.ID == "" || len(r.ID) > 128:
		return refusalf(controlapi.ReasonBadRequest, "a task id must have 1 to 128 bytes")
	case r.Kind != controlapi.KindBatch && r.Kind != controlapi.KindWatcher:
		return refusalf(controlapi.ReasonBadRequest, "unknown task kind %q, want batch or watcher", r.Kind)
	case r.Customer == "" || m.Config().Revision > 0 && !hasPlan:
		return refusalf("unknown_customer", "customer %q has no plan", r.Customer)
	case hasPlan && (customerPlan.Tasks == 0 || !r.Size.Fits(resources)):
		return refusalf("over_limit", "task %q exceeds the plan of customer %q and could never be placed", r.ID, r.Customer)
	case r.Size.CPUMilli < 0 || r.Size.MemoryMiB < 0 || r.Size.Accelerators < 0:
		return refusalf(controlapi.ReasonBadRequest, "the size of a task must not be negative")
	case len(r.Payload) > m.options.MaxPayloadBytes:
		return refusalf("too_large", "a payload of %d bytes exceeds the limit of %d bytes", len(r.Payload), m.options.MaxPayloadBytes)
	case m.tasks.liveCount() >= m.options.MaxTasks:
		return refusalf("over_limit", "the limit of %d unfinished tasks is reached", m.options.MaxTasks)
	}
	return nil
}

// bodyDigest returns a digest of a submitted task, for the detection of resent
// submissions.
func bodyDigest(t controlapi.Task) [sha256.Size]byte {
	h := sha256.New()
	writeField(h, []byte(t.ID))
	writeField(h, []byte(t.Customer))
	writeField(h, []byte(t.Kind))
	writeField(h, []byte(t.Class))
	writeField(h, t.Payload)
	for _, z := range t.Zones {
		writeField(h, []byte(z))
	}
	urgent := int64(0)
	if t.Urgent {
		urgent = 1
	}
	for _, n := range []int64{urgent, t.Size.CPUMilli, t.Size.MemoryMiB, t.Size.Accelerators, t.MaxRunMilli} {
		_ = binary.Write(h, binary.BigEndian, n)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func writeField(h hash.Hash, b []byte) {
	_ = binary.Write(h, binary.BigEndian, uint64(len(b)))
	h.Write(b)
}

// cancelTask finishes a task that is not placed, and marks a placed one so that
// its agent is told to stop it. A finished task is left unchanged.
func (m *Machine) cancelTask(id string) Result {
	t := m.tasks.byID[id]
	if t == nil {
		return Result{Err: refusalf(controlapi.ReasonNotFound, "task %q does not exist", id)}
	}
	if t.IsFinished() || t.Cancelling {
		return statusResult(t)
	}
	if t.IsPlaced() {
		t.Cancelling = true
	} else {
		m.finishTask(t, controlapi.TaskCancelled, "cancelled")
	}
	result := statusResult(t)
	result.ChangedTasks = []*Task{t}
	return result
}

// placeTask places a queued task on a worker. The epoch is incremented, so that
// reports of earlier holders of the task are rejected.
func (m *Machine) placeTask(p Place) Result {
	t := m.tasks.byID[p.Task]
	if err := m.checkPlacement(t, p); err != nil {
		return Result{Err: err}
	}
	t.Epoch++
	t.PlacedAt = m.now
	m.tasks.setState(t, controlapi.TaskPlaced)
	m.tasks.assign(t, p.Agent, p.Zone)
	t.Reason = ""
	result := statusResult(t)
	result.ChangedTasks = []*Task{t}
	return result
}

// checkPlacement validates a placement against the state of the task, the zone,
// the worker and the plan of the customer.
func (m *Machine) checkPlacement(t *Task, p Place) error {
	switch {
	case t == nil || t.State != controlapi.TaskQueued:
		return refusalf(controlapi.ReasonConflict, "task %q is not queued", p.Task)
	case t.Epoch != p.Epoch:
		return refusalf(controlapi.ReasonConflict, "task %q has epoch %d, not %d", p.Task, t.Epoch, p.Epoch)
	case p.Agent == "":
		return refusalf(controlapi.ReasonBadRequest, "the placement of task %q names no agent", p.Task)
	case m.IsZoneOut(p.Zone):
		return refusalf("zone_out", "zone %q is out of service", p.Zone)
	case len(t.Zones) > 0 && !slices.Contains(t.Zones, p.Zone):
		return refusalf(controlapi.ReasonNotAllowed, "task %q is not allowed in zone %q", p.Task, p.Zone)
	case m.isQuarantined(QuarantineWorker, p.Agent):
		return refusalf(controlapi.ReasonNotAllowed, "worker %q is quarantined", p.Agent)
	case !usageOrZero(m.tasks.usageByAgent, p.Agent).fits(t.Size, p.Capacity):
		return refusalf("overloaded", "worker %q has too little free capacity for task %q", p.Agent, p.Task)
	}
	return m.checkQuota(t)
}

// checkQuota refuses a placement that would exceed the plan of the customer.
func (m *Machine) checkQuota(t *Task) error {
	if m.Config().Revision == 0 {
		return nil
	}
	customerPlan, _ := m.planFor(t.Customer)
	used := usageOrZero(m.tasks.usageByCustomer, t.Customer)
	resources := controlapi.Resources{CPUMilli: customerPlan.CPUMilli, MemoryMiB: customerPlan.MemoryMiB, Accelerators: customerPlan.Accelerators}
	if used.tasks >= customerPlan.Tasks || !used.fits(t.Size, resources) {
		return refusalf("over_limit", "customer %q has reached the limits of its plan", t.Customer)
	}
	return nil
}

func usageOrZero(byName map[string]*usage, name string) *usage {
	if u := byName[name]; u != nil {
		return u
	}
	return new(usage)
}

// evictTask marks a placed task to be checkpointed or stopped by its agent.
func (m *Machine) evictTask(e Evict) Result {
	t := m.tasks.byID[e.Task]
	switch {
	case t == nil || !t.IsPlaced() || t.Epoch != e.Epoch:
		return Result{Err: refusalf(controlapi.ReasonConflict, "task %q is not placed with epoch %d", e.Task, e.Epoch)}
	case e.Action != controlapi.ActionCheckpoint && e.Action != controlapi.ActionStop:
		return Result{Err: refusalf(controlapi.ReasonBadRequest, "unknown eviction action %q", e.Action)}
	}
	m.tasks.setState(t, controlapi.TaskEvicting)
	t.Eviction = e.Action
	t.Reason = e.Reason
	result := statusResult(t)
	result.ChangedTasks = []*Task{t}
	return result
}

// expireLeases ends the placements whose leases have expired, which queues their
// tasks again.
func (m *Machine) expireLeases(x Expire) Result {
	var result Result
	for _, l := range x.Leases {
		t := m.tasks.byID[l.Task]
		if t == nil || !t.IsPlaced() || t.Epoch != l.Epoch {
			continue
		}
		m.endPlacement(t, "the lease has expired")
		result.ChangedTasks = append(result.ChangedTasks, t)
	}
	return result
}

// endPlacement ends a placement that did not complete. The new epoch and the
// queued state are in the same log entry, so no later report of the old placement
// is accepted.
func (m *Machine) endPlacement(t *Task, reason string) {
	m.tasks.unassign(t)
	t.Eviction = ""
	if t.Cancelling {
		m.finishTask(t, controlapi.TaskCancelled, "cancelled")
		return
	}
	t.Epoch++
	t.QueuedAt = m.now
	t.Reason = reason
	next := controlapi.TaskQueued
	if m.isQuarantined(QuarantineJob, t.ID) {
		next = controlapi.TaskQuarantined
	}
	m.tasks.setState(t, next)
}

// finishTask moves a task to a final state. It drops the payload and keeps the
// digest, which identifies a resent submission.
func (m *Machine) finishTask(t *Task, s controlapi.TaskState, reason string) {
	m.tasks.unassign(t)
	t.Eviction = ""
	t.Cancelling = false
	t.Payload = nil
	t.Reason = reason
	t.FinishedAt = m.now
	m.tasks.setState(t, s)
}

// Task returns the task with an id, or nil.
func (m *Machine) Task(id string) *Task { return m.tasks.byID[id] }

// TasksOnAgent returns the tasks that are placed on an agent, by id. The caller
// must not modify the map.
func (m *Machine) TasksOnAgent(agent string) map[string]*Task { return m.tasks.byAgent[agent] }

// EachTask calls f for every task in no particular order.
func (m *Machine) EachTask(f func(*Task)) {
	for _, t := range m.tasks.byID {
		f(t)
	}
}

// MaxListedTasks limits the length of a listing, so that it fits into a message.
const MaxListedTasks = 1000

// Tasks returns the tasks that match q in the order of submission time and id,
// without payloads. It returns at most q.Limit tasks, and at most MaxListedTasks.
func (m *Machine) Tasks(q controlapi.TasksQuery) []controlapi.TaskStatus {
	limit := MaxListedTasks
	if q.Limit > 0 {
		limit = min(limit, q.Limit)
	}
	var listed latestFirstHeap
	for _, t := range m.tasks.byID {
		if (q.Customer != "" && q.Customer != t.Customer) || (q.State != "" && q.State != t.State) {
			continue
		}
		if len(listed) < limit {
			heap.Push(&listed, t)
		} else if submittedBefore(t, listed[0]) {
			listed[0] = t
			heap.Fix(&listed, 0)
		}
	}
	sort.Slice(listed, func(i, j int) bool { return submittedBefore(listed[i], listed[j]) })
	list := make([]controlapi.TaskStatus, 0, len(listed))
	for _, t := range listed {
		status := t.TaskStatus
		status.Payload = nil
		list = append(list, status)
	}
	return list
}

// submittedBefore orders tasks by submission time, and by id if the times are equal.
func submittedBefore(a, b *Task) bool {
	if !a.SubmittedAt.Equal(b.SubmittedAt) {
		return a.SubmittedAt.Before(b.SubmittedAt)
	}
	return a.ID < b.ID
}

// latestFirstHeap is a heap with the latest submission at the root, which an
// earlier one replaces when the listing is full.
type latestFirstHeap []*Task

func (h latestFirstHeap) Len() int           { return len(h) }
func (h latestFirstHeap) Less(i, j int) bool { return submittedBefore(h[j], h[i]) }
func (h latestFirstHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *latestFirstHeap) Push(x any)        { *h = append(*h, x.(*Task)) }
func (h *latestFirstHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// TaskCounts returns the number of tasks in each state that has any.
func (m *Machine) TaskCounts() map[string]int {
	counts := map[string]int{}
	for s, n := range m.tasks.countByState {
		if n > 0 {
			counts[string(s)] = n
		}
	}
	return counts
}

// AlarmWatcherUnplaced is the name of the alarm for a watcher that is not placed.
const AlarmWatcherUnplaced = "watcher_unplaced"

// Alarms returns an alarm for every watcher that has been queued for
// UnplacedAlarmDelay or longer, sorted by task id.
func (m *Machine) Alarms(now time.Time) []controlapi.Alarm {
	var alarms []controlapi.Alarm
	for _, t := range m.tasks.queuedWatchers {
		if now.Sub(t.QueuedAt) >= m.options.UnplacedAlarmDelay {
			alarms = append(alarms, controlapi.Alarm{
				Name:    AlarmWatcherUnplaced,
				Subject: t.ID,
				Message: "the watcher of " + t.Customer + " is not placed on any worker",
				Since:   t.QueuedAt,
			})
		}
	}
	sort.Slice(alarms, func(i, j int) bool { return alarms[i].Subject < alarms[j].Subject })
	return alarms
}
