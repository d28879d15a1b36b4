package applier

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/state"
)

// feed collects changes for the scheduler and offers them to its ring without
// blocking. If the ring was full, it sends the whole state once the scheduler has
// emptied the ring.
type feed struct {
	out         *ring.Ring[SchedulerUpdate]
	pending     SchedulerUpdate
	hasPending  bool
	resetNeeded bool // the scheduler lacks the state or has missed an update
	stopPending bool // the scheduler has not yet been sent the end of the leadership
}

// start begins a leadership: the scheduler is sent the whole state first.
func (f *feed) start() {
	f.clear()
	f.resetNeeded = true
	f.stopPending = false
}

// stop ends a leadership: pending changes are dropped, and the scheduler is sent
// an update without Leading.
func (f *feed) stop() {
	f.clear()
	f.stopPending = true
}

func (f *feed) clear() {
	f.pending = SchedulerUpdate{Leading: true}
	f.hasPending = false
}

// addResult collects the effects of a command.
func (f *feed) addResult(r state.Result, m *state.Machine) {
	for _, t := range r.ChangedTasks {
		f.pending.Tasks = append(f.pending.Tasks, taskUpdate(t))
		f.hasPending = true
	}
	for _, x := range r.Failures {
		f.pending.Failures = append(f.pending.Failures, Failure(x))
	}
	if r.ConfigChanged {
		config := m.Config()
		f.pending.Config = &config
		f.hasPending = true
	}
	if r.Quarantine != nil {
		f.pending.Quarantine = append(f.pending.Quarantine, *r.Quarantine)
		f.hasPending = true
	}
	if r.Released != nil {
		f.pending.Released = append(f.pending.Released, *r.Released)
		f.hasPending = true
	}
}

func (f *feed) addWorker(a *agent) {
	f.pending.Workers = append(f.pending.Workers, workerUpdate(a))
	f.hasPending = true
}

func (f *feed) addUsage(u UsageSample) {
	f.pending.Usage = append(f.pending.Usage, u)
	f.hasPending = true
}

func (f *feed) addRejection(r Rejection) {
	f.pending.Rejected = append(f.pending.Rejected, r)
	f.hasPending = true
}

// flush offers the collected changes. leader is nil if this member does not lead.
func (f *feed) flush(leader *leadership, e *engine) {
	switch {
	case leader == nil:
		if f.stopPending && f.out.Offer(SchedulerUpdate{}) == nil {
			f.stopPending = false
		}
	case f.resetNeeded:
		f.sendReset(leader, e)
	case f.hasPending:
		if f.out.Offer(f.pending) != nil {
			f.resetNeeded = true
		}
		f.clear()
	}
}

// sendReset offers the whole state if the ring is empty. Without that condition, a
// slow scheduler would be sent the whole state over and over.
func (f *feed) sendReset(leader *leadership, e *engine) {
	if f.out.Depth() > 0 {
		f.clear()
		return
	}
	config := e.machine.Config()
	reset := SchedulerUpdate{Reset: true, Leading: true, Config: &config, Quarantine: e.machine.Quarantined()}
	e.machine.EachTask(func(t *state.Task) {
		if !t.IsFinished() {
			reset.Tasks = append(reset.Tasks, taskUpdate(t))
		}
	})
	for _, a := range leader.agents {
		if !a.lost {
			reset.Workers = append(reset.Workers, workerUpdate(a))
		}
	}
	f.clear()
	f.resetNeeded = f.out.Offer(reset) != nil
}

func taskUpdate(t *state.Task) TaskUpdate {
	return TaskUpdate{
		ID:         t.ID,
		Customer:   t.Customer,
		Kind:       t.Kind,
		Class:      t.Class,
		Urgent:     t.Urgent,
		Size:       t.Size,
		Zones:      t.Zones,
		State:      t.State,
		Epoch:      t.Epoch,
		Agent:      t.Agent,
		Zone:       t.Zone,
		QueuedAt:   t.QueuedAt,
		Evictions:  t.Evictions,
		Failures:   t.Failures,
		Cancelling: t.Cancelling,
	}
}

func workerUpdate(a *agent) WorkerUpdate {
	return WorkerUpdate{Worker: a.worker, Lost: a.lost, Draining: a.draining, Service: a.service, TailLatencyMillis: a.tailLatencyMillis}
}

// isServing reports whether an announced target accepts work. Entry instances send
// the state under its name in the wire protocol.
func isServing(targetState string) bool {
	return targetState == "serving" || targetState == "TARGET_STATE_SERVING"
}

// announcedTargets returns the targets that are announced to at least one live
// entry instance, without duplicates.
func (l *leadership) announcedTargets(now time.Time) []controlapi.AnnouncedTarget {
	seen := map[string]bool{}
	var targets []controlapi.AnnouncedTarget
	for _, v := range l.entryInstances {
		if now.Sub(v.receivedAt) > announcementTimeout {
			continue
		}
		for _, t := range v.targets {
			if !seen[t.Target] {
				seen[t.Target] = true
				targets = append(targets, t)
			}
		}
	}
	return targets
}
