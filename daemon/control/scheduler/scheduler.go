// Package scheduler runs the placement.Scheduler of the leader. It applies the
// updates that the applier reports to the scheduler, and sends the resulting
// decisions to the applier, which alone commits them.
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
	// stepInterval combines the updates of a burst into one step. Urgent tasks
	// must be placed within 1.1 s, and a step takes about 15 ms at the size
	// expected in two years.
	stepInterval = 50 * time.Millisecond
	// idleInterval is the interval of steps without updates, so that
	// timeouts in the scheduler still take effect.
	idleInterval = time.Second
	// retryInterval is the delay before a rejected placement is proposed again.
	retryInterval = 200 * time.Millisecond
	// feasibilityDelay covers many reports of every agent. Until then a new
	// leader does not know all workers, and would hold tasks as too large that
	// fit a worker it does not know yet.
	feasibilityDelay = 5 * time.Second
	maxBatch         = 256
)

// Duty makes the placement decisions of the leader. It runs in a thread of its
// own, which two bounded rings connect to the applier.
type Duty struct {
	updates   *ring.Ring[applier.SchedulerUpdate]
	decisions *ring.Ring[applier.Decision]

	scheduler          *placement.Scheduler
	leading            bool
	dirty              bool      // an update was applied since the last step
	lastStep           time.Time // time of the last step
	tasks              map[string]applier.TaskUpdate
	zonesOut           map[string]bool
	customersWithQuota map[string]bool // customers with a quota
	tailBaselines      tailBaselines
	rejected           []rejection
	unsent             []applier.Decision // not yet accepted by the ring to the applier
}

type rejection struct {
	task string
	at   time.Time
}

// New returns a Duty that receives updates from the applier and sends decisions
// to it.
func New(updates *ring.Ring[applier.SchedulerUpdate], decisions *ring.Ring[applier.Decision]) *Duty {
	return &Duty{updates: updates, decisions: decisions}
}

// Run applies updates and sends decisions until ctx is done. It starts from an
// empty state and makes no decision before the applier has reported its own, so
// nothing from an earlier run is used.
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
		case u := <-d.updates.C():
			now := time.Now()
			d.applyUpdate(u, now)
			for _, u := range d.updates.Drain(nil, maxBatch) {
				d.applyUpdate(u, now)
			}
		case <-ticker.C:
			d.decide(time.Now())
		}
	}
}

// reset drops the state that the applier has reported and keeps the learned
// estimates.
func (d *Duty) reset() {
	d.scheduler = d.scheduler.EmptyCopy()
	d.tasks = map[string]applier.TaskUpdate{}
	d.zonesOut = map[string]bool{}
	d.customersWithQuota = map[string]bool{}
	d.tailBaselines = tailBaselines{}
	d.rejected, d.unsent = nil, nil
	d.dirty = true
}

// decide runs a step if an update was applied or idleInterval has passed, unless
// earlier decisions are still unsent.
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

// requeueRejected returns rejected placements to the queue after retryInterval.
func (d *Duty) requeueRejected(now time.Time) {
	for len(d.rejected) > 0 && now.Sub(d.rejected[0].at) >= retryInterval {
		d.scheduler.RejectPlacement(d.rejected[0].task, now)
		d.rejected = d.rejected[1:]
		d.dirty = true
	}
}

// flush sends unsent decisions to the applier until its ring is full. It does not
// block.
func (d *Duty) flush() {
	for len(d.unsent) > 0 {
		if d.decisions.Offer(d.unsent[0]) != nil {
			return
		}
		d.unsent = d.unsent[1:]
	}
}

// appendDecisions converts the results of a step to decisions for the applier. The
// release of a task from quarantine precedes its placement.
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
		return // already the state in the applier
	}
	d.unsent = append(d.unsent, applier.Decision{Quarantine: &applier.QuarantineDecision{
		Kind: kind, Name: name, Reason: reason, Release: release,
	}})
}

// throttlePercent is the percentage by which a throttled task is slowed down.
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
