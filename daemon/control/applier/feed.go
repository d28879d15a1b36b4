package applier

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/state"
)

// feed collects what the scheduler is told and offers it without blocking. When
// the ring was full, the scheduler starts over once it has emptied the ring.
type feed struct {
	out     *ring.Ring[SchedulerUpdate]
	next    SchedulerUpdate
	filled  bool
	stale   bool // the scheduler has missed something
	stopped bool // the end of the leadership is not told yet
}

func (f *feed) start() {
	f.clear()
	f.stale = true
	f.stopped = false
}

func (f *feed) stop() {
	f.clear()
	f.stopped = true
}

func (f *feed) clear() {
	f.next = SchedulerUpdate{Leading: true}
	f.filled = false
}

// add collects the effects of a command.
func (f *feed) add(r state.Result, m *state.Machine) {
	for _, t := range r.ChangedTasks {
		f.next.Tasks = append(f.next.Tasks, taskChange(t))
		f.filled = true
	}
	for _, x := range r.Failures {
		f.next.Failures = append(f.next.Failures, Failure(x))
	}
	if r.ConfigChanged {
		config := m.Config()
		f.next.Config = &config
		f.filled = true
	}
	if r.Quarantine != nil {
		f.next.Quarantine = append(f.next.Quarantine, *r.Quarantine)
		f.filled = true
	}
	if r.Released != nil {
		f.next.Released = append(f.next.Released, *r.Released)
		f.filled = true
	}
}

func (f *feed) worker(a *agent) {
	f.next.Workers = append(f.next.Workers, workerChange(a))
	f.filled = true
}

func (f *feed) usage(u UsageSample) {
	f.next.Usage = append(f.next.Usage, u)
	f.filled = true
}

func (f *feed) reject(r Rejection) {
	f.next.Rejected = append(f.next.Rejected, r)
	f.filled = true
}

// flush offers what was collected. leader is nil when this member does not lead.
func (f *feed) flush(leader *leadership, e *engine) {
	switch {
	case leader == nil:
		if f.stopped && f.out.Offer(SchedulerUpdate{}) == nil {
			f.stopped = false
		}
	case f.stale:
		f.refresh(leader, e)
	case f.filled:
		if f.out.Offer(f.next) != nil {
			f.stale = true
		}
		f.clear()
	}
}

// refresh sends the whole state. It waits until the ring is empty, so that a
// slow scheduler is not sent the whole state again and again.
func (f *feed) refresh(leader *leadership, e *engine) {
	if f.out.Depth() > 0 {
		f.clear()
		return
	}
	config := e.machine.Config()
	all := SchedulerUpdate{Reset: true, Leading: true, Config: &config, Quarantine: e.machine.Quarantined()}
	e.machine.EachTask(func(t *state.Task) {
		if !t.IsFinished() {
			all.Tasks = append(all.Tasks, taskChange(t))
		}
	})
	for _, a := range leader.agents {
		if !a.lost {
			all.Workers = append(all.Workers, workerChange(a))
		}
	}
	f.clear()
	f.stale = f.out.Offer(all) != nil
}

func taskChange(t *state.Task) TaskUpdate {
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

func workerChange(a *agent) WorkerUpdate {
	return WorkerUpdate{Worker: a.worker, Lost: a.lost, Draining: a.draining, Service: a.service, TailLatencyMillis: a.tail}
}

// isServing reports whether an announced target takes work. Entry instances send
// the name of the wire state.
func isServing(s string) bool {
	return s == "serving" || s == "TARGET_STATE_SERVING"
}

// announced returns the targets that any live entry instance sees, once each.
func (l *leadership) announced(now time.Time) []controlapi.AnnouncedTarget {
	seen := map[string]bool{}
	var targets []controlapi.AnnouncedTarget
	for _, v := range l.entries {
		if now.Sub(v.at) > announcedWindow {
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
