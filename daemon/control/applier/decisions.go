package applier

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/state"
)

// handleDecision proposes a decision of the scheduler. The state machine validates
// it against the committed state, because the scheduler's copy of the state lags.
func (e *engine) handleDecision(now time.Time, d Decision) {
	switch {
	case e.leader == nil:
	case d.Place != nil:
		e.proposePlacement(now, *d.Place)
	case d.Action != nil:
		e.handleTaskAction(now, *d.Action)
	case d.Quarantine != nil:
		q := *d.Quarantine
		e.proposeWithoutReply(now, &state.Command{Quarantine: &state.Quarantine{Kind: q.Kind, Name: q.Name, Reason: q.Reason, Release: q.Release}})
	}
}

func (e *engine) proposeWithoutReply(now time.Time, c *state.Command) {
	e.propose(now, c, now.Add(commandTimeout), func(time.Time, state.Result) {}, func() {})
}

func (e *engine) proposePlacement(now time.Time, p Placement) {
	reject := func(reason string) {
		e.feed.addRejection(Rejection{Task: p.Task, Agent: p.Agent, Reason: reason})
	}
	a := e.leader.agents[p.Agent]
	if a == nil || a.lost || a.draining {
		reject("the agent is unknown, lost or draining")
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

// handleTaskAction proposes a checkpoint or a stop, which is sent to the agent
// repeatedly until it reports the end of the task. A throttle is sent only once.
func (e *engine) handleTaskAction(now time.Time, action TaskAction) {
	if action.Action != controlapi.ActionThrottle {
		e.proposeWithoutReply(now, &state.Command{Evict: &state.Evict{Task: action.Task, Epoch: action.Epoch, Action: action.Action, Reason: action.Reason}})
		return
	}
	t := e.machine.Task(action.Task)
	if t == nil || !t.IsPlaced() || t.Epoch != action.Epoch {
		return
	}
	if a := e.leader.agents[t.Agent]; a != nil {
		a.pendingThrottles = append(a.pendingThrottles, controlapi.Command{
			Action: action.Action, Epoch: action.Epoch, Task: controlapi.Task{ID: action.Task}, ThrottlePercent: action.ThrottlePercent,
		})
		e.leader.agentsDueReply = append(e.leader.agentsDueReply, a)
	}
}
