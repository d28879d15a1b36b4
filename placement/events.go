package placement

import (
	"time"

	"github.com/ibispier/ibispier/fairqueue"
	"github.com/ibispier/ibispier/interference"
	"github.com/ibispier/ibispier/quarantine"
)

// SetWorker adds a worker or updates it.
func (s *Scheduler) SetWorker(info Worker, now time.Time) {
	if len(s.cache.workers) == 0 {
		s.feasibilityAt = now.Add(s.options.FeasibilityDelay)
	}
	known := s.cache.byID[info.ID]
	startsDraining := info.Draining && (known == nil || !known.Draining)
	if known == nil || known.Capacity != info.Capacity || known.Zone != info.Zone || known.absent {
		s.recheckHeld = true
	}
	w := s.cache.setWorker(info)
	s.setQuarantineState(s.matrix.Status(quarantine.Worker, info.ID))
	if startsDraining || w.zone.out {
		s.evacuating = append(s.evacuating, w.tasks...)
	}
}

// RemoveWorker removes a worker that is lost. Tasks on it stay in the cache until
// Requeue or Remove is called for them.
func (s *Scheduler) RemoveWorker(id string, now time.Time) {
	w := s.cache.byID[id]
	if w == nil {
		return
	}
	s.dropReservation(w)
	s.cache.removeWorker(w)
	s.matrix.Forget(quarantine.Worker, id)
	delete(s.mitigators, id)
	w.quarantineReason, w.onProbation = "", false
}

// SetZone takes a zone out of service or returns it to service.
func (s *Scheduler) SetZone(name string, out bool, now time.Time) {
	z := s.cache.zone(name)
	if z.out == out {
		return
	}
	z.out = out
	if !out {
		z.returnedAt, z.tokensAt, z.tokens = now, now, 0
		return
	}
	for _, w := range s.cache.workers {
		if w.zone == z {
			s.evacuating = append(s.evacuating, w.tasks...)
		}
	}
}

// SetQuota sets the quota of a customer.
func (s *Scheduler) SetQuota(name string, q Quota) {
	u := s.cache.customer(name)
	if !u.hasQuota || u.quota != q {
		u.quota, u.hasQuota = q, true
		s.recheckHeld = true
	}
}

// SetDefaultQuota sets the quota of customers without one of their own. With nil,
// their tasks stay pending.
func (s *Scheduler) SetDefaultQuota(q *Quota) {
	s.cache.quota = q
	s.recheckHeld = true
}

// RemoveQuota removes the quota of a customer. Its tasks then fall under the
// default quota, and stay pending if there is none.
func (s *Scheduler) RemoveQuota(name string) {
	s.cache.customer(name).hasQuota = false
}

// Submit adds a task that has been waiting since the given time. A task that is
// already known is not added again.
func (s *Scheduler) Submit(t Task, since time.Time) {
	if s.pending[t.ID] != nil || s.held[t.ID] != nil || s.cache.tasks[t.ID] != nil {
		return
	}
	s.admit(&task{Task: t, waitingSince: since})
}

// admit queues the task, or holds it if no worker can ever run it. A held task is
// reported by the next step.
func (s *Scheduler) admit(t *task) {
	if reason := s.infeasibleReason(t); reason != "" {
		s.hold(t, reason)
		return
	}
	s.enqueue(t)
}

func (s *Scheduler) enqueue(t *task) {
	t.pendingReason = pendingReason{}
	s.pending[t.ID] = t
	s.queue.Add(fairqueue.Item{ID: t.ID, Customer: t.Customer, Urgent: t.Urgent, Size: t.Size, WaitingSince: t.waitingSince})
}

// RecordPlacement records that the committer has placed a task on a worker. It
// confirms the proposal, or corrects the cache if there is none.
func (s *Scheduler) RecordPlacement(t Task, workerID string, now time.Time) {
	known := s.cache.tasks[t.ID]
	if known != nil && known.worker.ID == workerID {
		known.proposed = false
		delete(s.proposed, t.ID)
		return
	}
	placed := &task{Task: t, waitingSince: now}
	if waiting := s.pending[t.ID]; waiting != nil {
		placed = waiting
	}
	s.Remove(t.ID, now)
	w := s.cache.byID[workerID]
	if w == nil {
		return
	}
	s.cache.place(placed, w, now)
	s.queue.Charge(t.Customer, t.Size)
	if w.Draining || w.zone.out {
		s.evacuating = append(s.evacuating, placed)
	}
}

// RejectPlacement records that the committer did not accept the proposal for a
// task. The task returns to the queue and keeps the start of its wait.
func (s *Scheduler) RejectPlacement(id string, now time.Time) {
	if t := s.proposed[id]; t != nil {
		s.unplace(t, now)
		s.enqueue(t)
	}
}

// Requeue records that a task was evicted or lost and is pending again.
func (s *Scheduler) Requeue(id string, now time.Time) {
	t := s.cache.tasks[id]
	if t == nil {
		return
	}
	if t.evicting {
		t.exclude(t.worker.ID, now, s.options.MovedExclusion)
	}
	s.unplace(t, now)
	t.waitingSince = now
	s.admit(t)
}

// RecordEnd records that an attempt of a task has completed or failed. A failed
// task is queued for another attempt.
func (s *Scheduler) RecordEnd(id string, failed bool, now time.Time) {
	t := s.cache.tasks[id]
	if t == nil {
		return
	}
	w := t.worker
	s.matrix.Record(quarantine.Outcome{Job: id, Worker: w.ID, Failed: failed, At: now})
	s.refreshProbation(w)
	if !failed {
		s.runTimes.Record(t.Class, t.RunTime, now.Sub(t.placedAt))
		s.Remove(id, now) // earlier failures stay in the matrix as evidence against workers
		return
	}
	t.exclude(w.ID, now, s.options.FailedExclusion)
	s.unplace(t, now)
	t.waitingSince = now
	s.admit(t)
}

func (s *Scheduler) refreshProbation(w *worker) {
	if w.onProbation || w.quarantineReason != "" {
		s.setQuarantineState(s.matrix.Status(quarantine.Worker, w.ID))
	}
}

// Remove removes a task that was cancelled or has ended, whatever its state.
func (s *Scheduler) Remove(id string, now time.Time) {
	if t := s.pending[id]; t != nil {
		s.unreserve(t)
	}
	delete(s.pending, id)
	delete(s.held, id)
	s.queue.Remove(id)
	if t := s.cache.tasks[id]; t != nil {
		s.unplace(t, now)
	}
}

// unplace removes a task from its worker, which settles a pending action on it.
func (s *Scheduler) unplace(t *task, now time.Time) {
	w := t.worker
	delete(s.proposed, t.ID)
	s.cache.remove(t, now)
	s.queue.Release(t.Customer, t.Size)
	if m := s.mitigators[w.ID]; m != nil {
		m.Confirm(t.ID, now)
	}
}

// exclude keeps the task off a worker for d, and drops expired exclusions.
func (t *task) exclude(worker string, now time.Time, d time.Duration) {
	kept := t.exclusions[:0]
	for _, e := range t.exclusions {
		if now.Before(e.until) {
			kept = append(kept, e)
		}
	}
	t.exclusions = append(kept, exclusion{worker, now.Add(d)})
}

// Release moves a quarantined job or worker to probation. It returns false if it
// is not quarantined.
func (s *Scheduler) Release(kind quarantine.Kind, name string, now time.Time) bool {
	if !s.matrix.Release(kind, name, now) {
		return false
	}
	s.recheckHeld = true
	if kind == quarantine.Worker {
		s.setQuarantineState(s.matrix.Status(kind, name))
	}
	return true
}

// SetQuarantined quarantines a job or worker that the committer lists as
// quarantined, unless it is already quarantined or held here.
func (s *Scheduler) SetQuarantined(kind quarantine.Kind, name, reason string, now time.Time) {
	if s.held[name] != nil && kind == quarantine.Job {
		return
	}
	s.matrix.SetQuarantined(kind, name, reason, now)
	if kind == quarantine.Worker {
		s.setQuarantineState(s.matrix.Status(kind, name))
		return
	}
	if t := s.pending[name]; t != nil {
		s.queue.Remove(name)
		s.hold(t, "quarantined: "+reason)
	}
}

// Observe records measurements of the tasks on one worker, which arrive with a
// delay.
func (s *Scheduler) Observe(workerID string, usage []Usage, now time.Time) {
	w := s.cache.byID[workerID]
	if w == nil {
		return
	}
	for _, u := range usage {
		if t := s.cache.tasks[u.Task]; t != nil && t.worker == w {
			w.measuredCPUMilli += u.Used.CPUMilli - t.usedCPUMilli
			t.usedCPUMilli = u.Used.CPUMilli
		}
	}
	slowest, measuredAt := 0.0, time.Time{}
	for _, u := range usage {
		t := s.cache.tasks[u.Task]
		if t == nil || t.worker != w || u.Slowdown <= 0 {
			continue
		}
		s.observeSlowdown(t, u)
		if t.Kind == Service && u.Slowdown > slowest {
			slowest, measuredAt = u.Slowdown, u.MeasuredAt
		}
	}
	if slowest > 0 {
		w.measuredSlowdown = slowest
		s.mitigator(workerID).Report(slowest, measuredAt)
	}
}

// observeSlowdown passes a measured slowdown to the model, unless a task has left
// the worker since the measurement: the neighbours at that time are then unknown.
func (s *Scheduler) observeSlowdown(t *task, u Usage) {
	w := t.worker
	if s.options.IgnoreInterference || !u.MeasuredAt.After(w.lastRemoval) || t.placedAt.After(u.MeasuredAt) {
		return
	}
	s.classLoads = s.classLoads[:0]
	for _, other := range w.tasks {
		if other != t && !other.placedAt.After(u.MeasuredAt) {
			s.classLoads = append(s.classLoads, other.classLoad(w, other.usedCPUMilli))
		}
	}
	s.model.Observe(interference.Observation{
		Victim: t.Class, Slowdown: u.Slowdown, Neighbours: s.classLoads, MeasuredAt: u.MeasuredAt,
	})
}

func (s *Scheduler) mitigator(workerID string) *interference.Mitigator {
	m := s.mitigators[workerID]
	if m == nil {
		m = interference.NewMitigator(s.options.Mitigation)
		s.mitigators[workerID] = m
	}
	return m
}
