package applier

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/readindex"
	"github.com/ibispier/ibispier/lease"
	"github.com/ibispier/ibispier/state"
)

const (
	// maxReportHold limits how long the response to a report is held while there are
	// no commands. With a held report, a placement reaches its agent without waiting
	// for the next report.
	maxReportHold = time.Second
	// startTimeout is how long a start command is repeated. If the agent has not
	// started the task by then, the lease expires and the task is queued again.
	startTimeout = 5 * time.Second
	// tailUpdateInterval limits how often a change of the tail latency alone is sent
	// to the scheduler.
	tailUpdateInterval = time.Second
	// maxStartBytes limits the payloads in one response, which is one message. The
	// remaining start commands follow in the next response.
	maxStartBytes = 1 << 20
)

// agent is the state of an agent according to its reports.
type agent struct {
	worker                controlapi.Worker
	draining              bool
	service               string
	tailLatencyMillis     float64
	tailSentAt            time.Time
	lastReportAt          time.Time
	lost                  bool
	held                  *heldReport
	pendingThrottles      []controlapi.Command
	reportedTasks         []controlapi.ReportedTask // of the last report without SameTasksAs
	reportedTasksSequence uint64                    // sequence of that report
}

// heldReport is a report whose response is delayed until there is a command.
type heldReport struct {
	request   *Request
	report    *controlapi.AgentReport
	holdUntil time.Time
}

// handleReport processes the report of an agent. If it changes the state, it is
// committed first. The response renews leases, so it is sent only after a commit
// or a confirmation of the leadership that is later than the report: a deposed
// leader renews nothing.
func (e *engine) handleReport(now time.Time, req *Request, r *controlapi.AgentReport) {
	a := e.leader.agents[r.Worker.Agent]
	if a != nil && r.Worker.Epoch < a.worker.Epoch {
		req.replyRefused(&controlapi.Error{Reason: controlapi.ReasonConflict, Message: "an agent process with a higher epoch has reported for this instance"})
		return
	}
	if !e.expandReport(a, r) {
		req.reply(&controlapi.AgentCommands{Sequence: r.Sequence, Resend: true})
		return
	}
	a = e.recordReport(now, r)
	if a.held != nil {
		e.replyToHeldReport(now, a)
	}
	hold := min(time.Duration(r.HoldMillis)*time.Millisecond, maxReportHold)
	h := &heldReport{request: req, report: r, holdUntil: now.Add(hold)}
	var changes []controlapi.ReportedTask
	for _, t := range r.Tasks {
		if e.machine.WouldChange(r.Worker.Agent, t) {
			changes = append(changes, t)
		}
	}
	if len(changes) == 0 {
		e.reads.Add(readindex.Read{Deadline: req.Deadline, Fail: req.replyUnavailable, Run: func(now time.Time) { e.replyOrHold(now, h) }})
		return
	}
	e.propose(now, &state.Command{Report: &state.Report{Agent: r.Worker.Agent, Tasks: changes}}, req.Deadline,
		func(now time.Time, _ state.Result) { e.replyToReport(now, h) }, req.replyUnavailable)
}

// expandReport fills in the tasks of a report that refers to an earlier one. It
// returns false if this leader does not have the earlier report.
func (e *engine) expandReport(a *agent, r *controlapi.AgentReport) bool {
	if r.SameTasksAs == 0 {
		return true
	}
	if a == nil || a.worker.Epoch != r.Worker.Epoch || a.reportedTasksSequence != r.SameTasksAs {
		return false
	}
	r.Tasks = a.reportedTasks
	return true
}

// recordReport updates the state of the agent that sent a report, and passes
// changes of the worker and usage samples on to the scheduler.
func (e *engine) recordReport(now time.Time, r *controlapi.AgentReport) *agent {
	a := e.leader.agents[r.Worker.Agent]
	if a == nil {
		a = &agent{lost: true}
		e.leader.agents[r.Worker.Agent] = a
	}
	a.lastReportAt = now
	if r.SameTasksAs == 0 {
		a.reportedTasks, a.reportedTasksSequence = r.Tasks, r.Sequence
	}
	tailChanged := r.TailLatencyMillis != a.tailLatencyMillis && now.Sub(a.tailSentAt) >= tailUpdateInterval
	if a.lost || a.worker != r.Worker || a.draining != r.Draining || a.service != r.Service || tailChanged {
		a.lost = false
		a.worker, a.draining, a.service, a.tailLatencyMillis, a.tailSentAt = r.Worker, r.Draining, r.Service, r.TailLatencyMillis, now
		e.feed.addWorker(a)
	}
	for _, u := range r.Usage {
		e.feed.addUsage(UsageSample{Agent: r.Worker.Agent, ReceivedAt: now, Usage: u})
	}
	return a
}

// replyOrHold responds to a report at once if there is a command for the agent,
// and holds the response otherwise.
func (e *engine) replyOrHold(now time.Time, h *heldReport) {
	a := e.leader.agents[h.report.Worker.Agent]
	if a == nil || a.held != nil || !now.Before(h.holdUntil) || len(a.pendingThrottles) > 0 || e.hasCommands(now, h.report) {
		e.replyToReport(now, h)
		return
	}
	a.held = h
}

// expireHeldRequests responds to the held reports and configuration polls whose
// hold time is over.
func (e *engine) expireHeldRequests(now time.Time) {
	for _, a := range e.leader.agents {
		if a.held != nil && !now.Before(a.held.holdUntil) {
			e.replyToHeldReport(now, a)
		}
	}
	e.expireConfigPolls(now)
}

// replyToDueAgents responds to the held reports of the agents in agentsDueReply.
func (e *engine) replyToDueAgents(now time.Time) {
	agents := e.leader.agentsDueReply
	e.leader.agentsDueReply = e.leader.agentsDueReply[:0]
	for _, a := range agents {
		if a.held != nil {
			e.replyToHeldReport(now, a)
		}
	}
}

func (e *engine) replyToHeldReport(now time.Time, a *agent) {
	h := a.held
	a.held = nil
	e.replyToReport(now, h)
}

// replyToReport responds to a report: it renews the leases of the reported tasks
// from now and sends the commands for the agent.
func (e *engine) replyToReport(now time.Time, h *heldReport) {
	if e.leader == nil {
		h.request.replyUnavailable()
		return
	}
	response := &controlapi.AgentCommands{
		LeaseMillis: e.options.Lease.TTL.Milliseconds(),
		Sequence:    h.report.Sequence,
	}
	reported := make(map[string]bool, len(h.report.Tasks))
	for _, r := range h.report.Tasks {
		e.addTaskReply(now, h.report.Worker.Agent, r, reported, response)
	}
	if len(response.Renewed) == len(h.report.Tasks) {
		response.RenewedAll, response.Renewed = true, nil
	}
	e.addStartCommands(now, h.report.Worker.Agent, reported, response)
	if a := e.leader.agents[h.report.Worker.Agent]; a != nil {
		response.Commands = append(response.Commands, a.pendingThrottles...)
		a.pendingThrottles = nil
	}
	h.request.reply(response)
}

// addStartCommands adds commands to start the tasks that are placed on an agent
// and that it has not reported.
func (e *engine) addStartCommands(now time.Time, agent string, reported map[string]bool, response *controlapi.AgentCommands) {
	payloadBytes := 0
	for id, t := range e.machine.TasksOnAgent(agent) {
		if reported[id] || !e.shouldSendStart(now, t) || payloadBytes > 0 && payloadBytes+len(t.Payload) > maxStartBytes {
			continue
		}
		if !e.leader.leases.Renew(now, leaseOf(t)) {
			continue
		}
		payloadBytes += len(t.Payload)
		response.Renewed = append(response.Renewed, controlapi.Lease{Task: id, Epoch: t.Epoch})
		response.Commands = append(response.Commands, controlapi.Command{
			Action: controlapi.ActionStart, Epoch: t.Epoch, Task: t.Task,
			Checkpoint: t.Checkpoint, CheckpointSequence: t.CheckpointSequence,
		})
	}
}

// addTaskReply adds the renewal or the command for a reported task. If the report
// is about an earlier placement, no lease is renewed: the agent must stop the task
// or, if it has ended, drop the report.
func (e *engine) addTaskReply(now time.Time, agent string, r controlapi.ReportedTask, reported map[string]bool, response *controlapi.AgentCommands) {
	command := controlapi.Command{Epoch: r.Epoch, Task: controlapi.Task{ID: r.Task}}
	if !e.machine.IsCurrentReport(agent, r) {
		command.Action = controlapi.ActionStop
		if state.IsFinal(r.State) {
			command.Action = controlapi.ActionForget
		}
		response.Commands = append(response.Commands, command)
		return
	}
	reported[r.Task] = true
	if state.IsFinal(r.State) {
		return // not committed yet; the agent repeats the report
	}
	if e.leader.leases.Renew(now, lease.Lease{Task: r.Task, Epoch: r.Epoch}) {
		response.Renewed = append(response.Renewed, controlapi.Lease{Task: r.Task, Epoch: r.Epoch})
	}
	if action := evictionAction(e.machine.Task(r.Task)); action != "" {
		command.Action = action
		response.Commands = append(response.Commands, command)
	}
}

// evictionAction returns the command that ends a placed task early, or "" if none
// is committed.
func evictionAction(t *state.Task) controlapi.CommandAction {
	if t.Cancelling {
		return controlapi.ActionStop
	}
	return t.Eviction
}

// shouldSendStart reports whether the start command of a placed task is sent to its
// agent. If it is not, the lease expires and the task is queued again.
func (e *engine) shouldSendStart(now time.Time, t *state.Task) bool {
	return t.State == controlapi.TaskPlaced && !t.Cancelling && !e.machine.IsZoneOut(t.Zone) &&
		now.Sub(t.PlacedAt) < startTimeout
}

// hasCommands reports whether the response to a report would contain commands
// other than throttles.
func (e *engine) hasCommands(now time.Time, r *controlapi.AgentReport) bool {
	agent := r.Worker.Agent
	for _, reported := range r.Tasks {
		if !e.machine.IsCurrentReport(agent, reported) || evictionAction(e.machine.Task(reported.Task)) != "" {
			return true
		}
	}
	for id, t := range e.machine.TasksOnAgent(agent) {
		isReported := slices.ContainsFunc(r.Tasks, func(x controlapi.ReportedTask) bool { return x.Task == id })
		if !isReported && e.shouldSendStart(now, t) {
			return true
		}
	}
	return false
}

// detectLostAgents marks agents as lost that have sent no report for the length of
// a lease, and informs the scheduler.
func (e *engine) detectLostAgents(now time.Time) {
	for id, a := range e.leader.agents {
		silence := now.Sub(a.lastReportAt)
		if !a.lost && silence >= e.options.Lease.TTL {
			a.lost = true
			e.log.Warn("agent lost", zap.String("agent", id), zap.String("zone", a.worker.Zone))
			e.feed.addWorker(a)
		}
		if silence >= lostAgentRetention {
			delete(e.leader.agents, id)
		}
	}
}
