// Package scheduler is the duty that proposes placements and actions. It keeps
// the pure placement.Scheduler up to date with the changes that the applier
// tells, and offers its decisions to the applier, the only committer.
package scheduler

import (
	"context"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/placement"
	"github.com/ibispier/ibispier/ring"
)

const (
	// stepInterval gathers the changes of a burst into one step. Urgent work
	// has 1.1 s, and a step at the size of two years takes about 15 ms.
	stepInterval = 50 * time.Millisecond
	// idleInterval bounds how late timers of the decisions are noticed when
	// nothing changes.
	idleInterval = time.Second
	// retryInterval is the pause before a rejected placement is proposed again.
	retryInterval = 200 * time.Millisecond
	// feasibilityDelay is many reports of every agent. Before, a new leader does not
	// know all workers, and would call tasks too large that are not.
	feasibilityDelay = 5 * time.Second
	maxBatch         = 256
)

// Duty drives the placement decisions of the leader.
type Duty struct {
	changes   *ring.Ring[applier.SchedulerUpdate]
	decisions *ring.Ring[applier.Decision]

	scheduler          *placement.Scheduler
	leading            bool
	dirty              bool      // something has changed since the last step
	lastStep           time.Time // the last step
	tasks              map[string]applier.TaskUpdate
	zonesOut           map[string]bool
	customersWithQuota map[string]bool // customers with a quota
	tailBaselines      tailBaselines
	rejected           []rejection
	unsent             []applier.Decision // refused by the ring of the applier
}

type rejection struct {
	task string
	at   time.Time
}

// New returns the duty between the rings of the applier.
func New(changes *ring.Ring[applier.SchedulerUpdate], decisions *ring.Ring[applier.Decision]) *Duty {
	return &Duty{changes: changes, decisions: decisions}
}

// Run decides until ctx ends. It waits for the state of the applier, so nothing
// of an earlier run is used.
func (d *Duty) Run(ctx context.Context) error {
	d.scheduler = placement.New(placement.Options{FeasibilityDelay: feasibilityDelay})
	d.leading = false
	d.reset()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-d.changes.C():
			now := time.Now()
			d.applyChange(c, now)
			for _, c := range d.changes.Drain(nil, maxBatch) {
				d.applyChange(c, now)
			}
		case <-ticker.C:
			d.decide(time.Now())
		}
	}
}

// reset forgets the state of the applier and keeps what was learned.
func (d *Duty) reset() {
	d.scheduler = d.scheduler.EmptyCopy()
	d.tasks = map[string]applier.TaskUpdate{}
	d.zonesOut = map[string]bool{}
	d.customersWithQuota = map[string]bool{}
	d.tailBaselines = tailBaselines{}
	d.rejected, d.unsent = nil, nil
	d.dirty = true
}

// decide runs a step when there is something to decide and room for the result.
func (d *Duty) decide(now time.Time) {
	if !d.leading {
		return
	}
	d.requeueRejected(now)
	d.flush()
	if len(d.unsent) > 0 || (!d.dirty && now.Sub(d.lastStep) < idleInterval) {
		return
	}
	d.dirty, d.lastStep = false, now
	d.appendDecisions(d.scheduler.Step(now))
	d.flush()
}

// requeueRejected returns rejected placements to the queue.
func (d *Duty) requeueRejected(now time.Time) {
	for len(d.rejected) > 0 && now.Sub(d.rejected[0].at) >= retryInterval {
		d.scheduler.RejectPlacement(d.rejected[0].task, now)
		d.rejected = d.rejected[1:]
		d.dirty = true
	}
}

// flush offers the decisions that wait, without blocking.
func (d *Duty) flush() {
	for len(d.unsent) > 0 {
		if d.decisions.Offer(d.unsent[0]) != nil {
			return
		}
		d.unsent = d.unsent[1:]
	}
}

// appendDecisions turns the decisions of a step into those of the applier. A release from
// quarantine goes before the placement of the task that it frees.
func (d *Duty) appendDecisions(step placement.Decisions) {
	for _, h := range step.Held {
		d.appendQuarantine(string(jobKind), h.Task, h.Reason, false)
	}
	for _, id := range step.Released {
		d.appendQuarantine(string(jobKind), id, "", true)
	}
	for _, e := range step.Quarantine {
		d.appendQuarantine(string(e.Kind), e.Name, e.Reason, e.State != quarantined)
	}
	for _, p := range step.Placements {
		d.unsent = append(d.unsent, applier.Decision{Place: &applier.Placement{
			Task: p.Task, Epoch: d.tasks[p.Task].Epoch, Agent: p.Worker,
		}})
	}
	for _, a := range step.Actions {
		d.unsent = append(d.unsent, applier.Decision{Action: d.action(a)})
	}
}

func (d *Duty) appendQuarantine(kind, name, reason string, release bool) {
	isHeld := d.tasks[name].State == controlapi.TaskQuarantined
	if kind == string(jobKind) && isHeld != release {
		return // the applier knows
	}
	d.unsent = append(d.unsent, applier.Decision{Quarantine: &applier.QuarantineDecision{
		Kind: kind, Name: name, Reason: reason, Release: release,
	}})
}

// throttlePercent is by how much a throttled task is slowed down.
const throttlePercent = 50

func (d *Duty) action(a placement.Action) *applier.TaskAction {
	action := &applier.TaskAction{Task: a.Task, Epoch: d.tasks[a.Task].Epoch, Reason: a.Reason}
	switch a.Kind {
	case placement.Throttle:
		action.Action, action.ThrottlePercent = controlapi.ActionThrottle, throttlePercent
	case placement.Restore:
		action.Action = controlapi.ActionThrottle
	case placement.Checkpoint:
		action.Action = controlapi.ActionCheckpoint
	case placement.Stop:
		action.Action = controlapi.ActionStop
	}
	return action
}
