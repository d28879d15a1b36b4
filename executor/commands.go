package executor

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/workerapi"
)

// CallKind is the kind of a call to the worker.
type CallKind uint8

// Kinds of calls. None means no call.
const (
	None CallKind = iota
	Start
	Renew
	Stop
	Checkpoint
	Throttle
	Forget
)

// Call is a call to the worker. Calls of kind Start and Renew use the field of
// that name; all others use Request.
type Call struct {
	Kind    CallKind
	Task    string
	Epoch   uint64
	Start   *workerapi.StartRequest
	Renew   *workerapi.RenewRequest
	Request workerapi.TaskRequest
}

// Result is the result of a Call.
type Result struct {
	Call     Call
	Task     *workerapi.Task // state of the task after a successful call
	Refusal  string          // why the worker refused the call; empty if it did not
	NotFound bool            // the worker does not know the task
	NoAnswer bool            // the call got no answer, so its effect is unknown
}

// HandleCommands carries out control's answer to a report that was sent at
// sentAt, and returns the calls to make. Leases count from sentAt. Control counts
// them from when it answered, which is later, so a lease never ends later here
// than control assumes.
func (e *Executor) HandleCommands(now, sentAt time.Duration, c controlapi.AgentCommands) []Call {
	e.calls = nil
	switch {
	case c.Resend:
		e.reportAnswered = false
	case c.Sequence == e.reportedSequence:
		e.reportAnswered = true
	}
	lease := time.Duration(c.LeaseMillis) * time.Millisecond
	e.renewLeases(sentAt+lease, e.renewedLeases(c))
	for i := range c.Commands {
		e.handleCommand(now, sentAt+lease, &c.Commands[i])
	}
	return e.calls
}

// renewedLeases returns the leases that an answer renews. An answer that renews
// all leases refers to the tasks at the time of the report it answers.
func (e *Executor) renewedLeases(c controlapi.AgentCommands) []controlapi.Lease {
	if !c.RenewedAll {
		return c.Renewed
	}
	leases := c.Renewed
	for _, r := range e.recentReports[c.Sequence] {
		leases = append(leases, controlapi.Lease{Task: r.Task, Epoch: r.Epoch})
	}
	return leases
}

func (e *Executor) renewLeases(deadline time.Duration, leases []controlapi.Lease) {
	renewal := &workerapi.RenewRequest{AgentEpoch: e.worker.Epoch}
	for _, l := range leases {
		t := e.tasks[l.Task]
		if t == nil || t.epoch != l.Epoch || t.phase == ended || deadline <= t.deadline {
			continue
		}
		t.deadline = deadline
		renewal.Leases = append(renewal.Leases, workerapi.TaskLease{
			Task: l.Task, Epoch: l.Epoch, Deadline: int64(deadline),
		})
	}
	if len(renewal.Leases) > 0 {
		e.calls = append(e.calls, Call{Kind: Renew, Renew: renewal})
	}
}

func (e *Executor) handleCommand(now, deadline time.Duration, c *controlapi.Command) {
	if c.Action == controlapi.ActionStart {
		e.startTask(now, deadline, c)
		return
	}
	t := e.tasks[c.Task.ID]
	if t == nil || t.epoch != c.Epoch {
		return
	}
	switch c.Action {
	case controlapi.ActionStop:
		e.issueOrDefer(t, Stop)
	case controlapi.ActionCheckpoint:
		e.issueOrDefer(t, Checkpoint)
	case controlapi.ActionThrottle:
		t.throttlePercent = c.ThrottlePercent
		e.issueOrDefer(t, Throttle)
	case controlapi.ActionForget:
		if t.phase == ended {
			e.issueOrDefer(t, Forget)
		}
	}
}

func (e *Executor) startTask(now, deadline time.Duration, c *controlapi.Command) {
	existing := e.tasks[c.Task.ID]
	if existing != nil && existing.epoch >= c.Epoch {
		return // duplicate or outdated command
	}
	if existing != nil && (existing.phase != ended || existing.endUnconfirmed) {
		e.issueOrDefer(existing, Stop)
		return // control repeats the command until a report shows the task
	}
	t := &task{
		Task:               c.Task,
		epoch:              c.Epoch,
		checkpoint:         c.Checkpoint,
		checkpointSequence: c.CheckpointSequence,
		deadline:           deadline,
		startedAt:          now,
	}
	reason := e.refusalReason(now, t)
	e.tasks[t.ID] = t
	if reason != "" {
		t.end(controlapi.ReportedRefused, reason)
		return
	}
	t.notAfter = min(e.permitEnds, deadline)
	e.issueOrDefer(t, Start)
}

// refusalReason returns why a task must not start now, or "" if it may.
func (e *Executor) refusalReason(now time.Duration, t *task) string {
	switch {
	case !e.adopted:
		return ReasonNotAdopted
	case e.draining:
		return ReasonDraining
	case now >= e.permitEnds:
		return ReasonNoPermit
	case now >= t.deadline:
		return ReasonLeaseEnded
	case !e.Committed().Plus(t.Size).Fits(e.worker.Capacity):
		return ReasonNoCapacity
	}
	return ""
}

// issueOrDefer issues a call for a task. While another call for the task is
// outstanding it defers the call instead; a later one replaces it.
func (e *Executor) issueOrDefer(t *task, kind CallKind) {
	if t.callOutstanding {
		t.deferredCall = kind
		return
	}
	t.callOutstanding = true
	e.calls = append(e.calls, e.newCall(t, kind))
}

func (e *Executor) newCall(t *task, kind CallKind) Call {
	c := Call{Kind: kind, Task: t.ID, Epoch: t.epoch}
	if kind == Start {
		c.Start = &workerapi.StartRequest{
			AgentEpoch:         e.worker.Epoch,
			Epoch:              t.epoch,
			Task:               t.Task,
			Checkpoint:         t.checkpoint,
			CheckpointSequence: t.checkpointSequence,
			NotAfter:           int64(t.notAfter),
			Deadline:           int64(t.deadline),
		}
		return c
	}
	c.Request = workerapi.TaskRequest{AgentEpoch: e.worker.Epoch, Epoch: t.epoch, ThrottlePercent: t.throttlePercent}
	return c
}

// HandleResult processes the result of a call and returns the calls that follow.
// A call without an answer is repeated by the next Tick, so that an unreachable
// worker is not called in a tight loop.
func (e *Executor) HandleResult(now time.Duration, r Result) []Call {
	e.calls = nil
	t := e.tasks[r.Call.Task]
	if t == nil || t.epoch != r.Call.Epoch || r.Call.Kind == Renew {
		return nil
	}
	t.callOutstanding = false
	switch {
	case r.NoAnswer:
		t.startUnanswered = t.startUnanswered || r.Call.Kind == Start
		t.scheduleRetry(now, r.Call.Kind)
		return nil
	case r.Call.Kind == Forget:
		delete(e.tasks, t.ID)
		return nil
	case r.Refusal != "":
		t.handleRefusal(r)
	case r.NotFound:
		t.handleMissing(now)
	case r.Task != nil:
		t.recordStart(now)
		t.update(r.Task)
	}
	e.issueDeferred(t)
	return e.calls
}

// issueDeferred issues the deferred call of a task, if there is one.
func (e *Executor) issueDeferred(t *task) {
	if t.deferredCall == None || t.callOutstanding {
		return
	}
	kind := t.deferredCall
	t.deferredCall = None
	e.issueOrDefer(t, kind)
}

// handleRefusal ends a task whose start was refused. If an earlier start got no
// answer, the refusal does not show that the task is not running, because that
// start may have succeeded; the next task list decides.
func (t *task) handleRefusal(r Result) {
	if r.Call.Kind == Start && !t.startUnanswered {
		t.end(controlapi.ReportedRefused, ReasonStartFailed+": "+r.Refusal)
	}
}

// scheduleRetry defers a call whose effect is unknown until the next Tick. A start
// is repeated only until notAfter. After that, a task list without the task or
// the end of the lease ends the task.
func (t *task) scheduleRetry(now time.Duration, kind CallKind) {
	if t.deferredCall != None || kind == Start && now >= t.notAfter {
		return
	}
	t.deferredCall = kind
}

// Tick repeats calls that got no answer, stops tasks whose lease is about to end
// and ends tasks whose lease has expired.
func (e *Executor) Tick(now time.Duration) []Call {
	e.calls = nil
	for _, t := range e.tasks {
		e.issueDeferred(t)
		switch {
		case t.phase == ended:
		case now >= t.deadline:
			t.end(controlapi.ReportedStopped, ReasonLeaseEnded)
			t.endUnconfirmed = true
		case t.phase == running && now >= t.deadline-stopMargin && !t.callOutstanding:
			e.issueOrDefer(t, Stop)
		}
	}
	return e.calls
}
