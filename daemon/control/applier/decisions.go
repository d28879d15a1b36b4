package applier

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/state"
)

// decision takes a decision of the scheduler. The state machine validates it
// against the committed state, because the cache of the scheduler lags.
func (e *engine) decision(now time.Time, d Decision) {
	switch {
	case e.leader == nil:
	case d.Place != nil:
		e.place(now, *d.Place)
	case d.Action != nil:
		e.act(now, *d.Action)
	case d.Quarantine != nil:
		q := *d.Quarantine
		e.proposeOwn(now, &state.Command{Quarantine: &state.Quarantine{Kind: q.Kind, Name: q.Name, Reason: q.Reason, Release: q.Release}})
	}
}

func (e *engine) proposeOwn(now time.Time, c *state.Command) {
	e.propose(now, c, now.Add(commandTimeout), func(time.Time, state.Result) {}, func() {})
}

func (e *engine) place(now time.Time, p Placement) {
	reject := func(reason string) {
		e.feed.reject(Rejection{Task: p.Task, Agent: p.Agent, Reason: reason})
	}
	a := e.leader.agents[p.Agent]
	if a == nil || a.lost || a.draining {
		reject("the agent takes no tasks")
		return
	}
	c := &state.Command{Place: &state.Place{
		Task: p.Task, Epoch: p.Epoch, Agent: p.Agent, Zone: a.worker.Zone, Capacity: a.worker.Capacity,
	}}
	e.propose(now, c, now.Add(commandTimeout), func(_ time.Time, r state.Result) {
		if r.Err != nil {
			reject(reasonOf(r.Err))
		}
	}, func() { reject(controlapi.ReasonUnavailable) })
}

// act commits a checkpoint or a stop, which is repeated to the agent until it
// reports the end. A throttle is only told to the agent once.
func (e *engine) act(now time.Time, x TaskAction) {
	if x.Action != controlapi.ActionThrottle {
		e.proposeOwn(now, &state.Command{Evict: &state.Evict{Task: x.Task, Epoch: x.Epoch, Action: x.Action, Reason: x.Reason}})
		return
	}
	t := e.machine.Task(x.Task)
	if t == nil || !t.IsPlaced() || t.Epoch != x.Epoch {
		return
	}
	if a := e.leader.agents[t.Agent]; a != nil {
		a.throttles = append(a.throttles, controlapi.Command{
			Action: x.Action, Epoch: x.Epoch, Task: controlapi.Task{ID: x.Task}, ThrottlePercent: x.ThrottlePercent,
		})
		e.leader.woken = append(e.leader.woken, a)
	}
}
