package jobs

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/control/readindex"
	"github.com/ibispier/ibispier/job"
)

// answerTargets answers the reports for which there are orders or whose hold
// time has ended. Every answer may renew a lease, so it waits until a quorum
// has confirmed the leadership after the report has arrived.
func (e *engine) answerTargets(now time.Time) {
	for _, s := range e.leader.checkQueue {
		s.inCheckQueue = false
		e.answerTarget(now, s)
	}
	e.leader.checkQueue = e.leader.checkQueue[:0]
}

func (e *engine) answerTarget(now time.Time, s *session) {
	if s.heldRequest == nil || s.confirming {
		return
	}
	s.checkedAt = now
	if s.holdUntil.After(now) && !e.hasOrders(now, s) {
		return
	}
	if !s.reportedAt.After(e.leader.confirmedAt) {
		e.sendOrders(now, s, s.heldRequest)
		return
	}
	s.confirming = true
	e.confirmOrders(now, s, s.heldRequest)
}

// checkWaitingTargets queues the sessions whose hold time has ended, and those
// whose orders may have become due by time alone: orders that are sent again, and
// tasks that have been paused for too long.
func (e *engine) checkWaitingTargets(now time.Time) {
	for _, s := range e.leader.sessions {
		if s.heldRequest != nil && (!s.holdUntil.After(now) || now.Sub(s.checkedAt) >= recheckInterval) {
			e.leader.queueCheck(s)
		}
	}
}

// confirmOrders sends the orders to a target once a quorum has confirmed that
// this member leads.
func (e *engine) confirmOrders(now time.Time, s *session, r *applier.Request) {
	l := e.leader
	e.reads.Add(readindex.Read{
		Deadline: now.Add(readTimeout),
		Run: func(now time.Time) {
			if e.leader != l {
				replyUnavailable(r)
				return
			}
			e.sendOrders(now, s, r)
		},
		Fail: func() {
			replyUnavailable(r)
			if s.heldRequest == r {
				s.heldRequest = nil
			}
		},
	})
}

// sendOrders answers a report. If a newer report has arrived meanwhile, the
// answer is empty and that report receives the orders.
func (e *engine) sendOrders(now time.Time, s *session, r *applier.Request) {
	if s.heldRequest != r {
		replyOK(r, controlapi.TargetOrders{})
		return
	}
	s.heldRequest, s.confirming = nil, false
	s.orderNumber++
	orders := controlapi.TargetOrders{Term: e.leader.term, Number: s.orderNumber, EndWatermark: e.store.LastEndNumber(s.target)}
	s.sentWatermark = orders.EndWatermark
	if s.report.LeaseWanted && !e.leader.proposedLosses[s.target] {
		orders.LeaseMillis = e.options.Lease.TTL.Milliseconds()
		s.grantLease(now.Add(e.options.Lease.SafeExpiry()))
	}
	orders.Starts = e.startOrders(now, s)
	orders.Stops = e.stopOrders(now, s)
	e.logOrders(s, &orders)
	replyOK(r, orders)
}

// logOrders writes one line for all orders of an answer, so that a burst of
// starts neither floods the log nor goes unlogged.
func (e *engine) logOrders(s *session, orders *controlapi.TargetOrders) {
	if len(orders.Starts)+len(orders.Stops) == 0 {
		return
	}
	starts := make([]string, 0, len(orders.Starts))
	for _, o := range orders.Starts {
		starts = append(starts, o.Task.String()+"#"+strconv.Itoa(o.Run)+":"+o.Image)
	}
	stops := make([]string, 0, len(orders.Stops))
	for _, o := range orders.Stops {
		stops = append(stops, o.Task.String()+"#"+strconv.Itoa(o.Run))
	}
	e.log.Info("ordered", zap.String("target", s.target.ID), zap.Uint64("term", orders.Term), zap.Uint64("number", orders.Number),
		zap.Int64("lease_ms", orders.LeaseMillis), zap.Strings("starts", starts), zap.Strings("stops", stops))
}

// hasOrders reports whether there are starts, stops or a new watermark to send.
func (e *engine) hasOrders(now time.Time, s *session) bool {
	if e.store.LastEndNumber(s.target) > s.sentWatermark {
		return true
	}
	for ref, t := range e.store.TasksOn(s.target) {
		if e.needsStart(now, s, ref, t) || e.needsUnreportedStop(now, s, ref, t) {
			return true
		}
	}
	for ref, run := range s.runs {
		if e.needsStop(now, s, ref, run) {
			return true
		}
	}
	return false
}

// needsStart reports whether the agent does not know of a committed start.
// Sending a start again is safe, because a target starts a run at most once. A
// restarted agent needs the order to tell serving from filling tasks.
func (e *engine) needsStart(now time.Time, s *session, ref job.Ref, t *job.Task) bool {
	run, state := t.RunOn(s.target)
	if state != job.Placed || s.runs[ref] == run && !s.adopted[ref] || e.leader.proposedEnds[runKey{ref, run}] {
		return false
	}
	return !s.sentStarts[ref].isPending(now, run)
}

// startOrders returns the starts that must be sent to the target, as many as fit into
// an answer.
func (e *engine) startOrders(now time.Time, s *session) []controlapi.StartOrder {
	var orders []controlapi.StartOrder
	for ref, t := range e.store.TasksOn(s.target) {
		if e.needsStart(now, s, ref, t) {
			orders = append(orders, e.startOrder(s, ref, t))
		}
	}
	if mayExceed(orders, maxStartBytes) {
		orders = e.fitStarts(s, orders)
	}
	for _, o := range orders {
		delete(e.leader.unsentStarts, runKey{o.Task, o.Run})
		s.sentStarts[o.Task] = sentOrder{run: o.Run, orderNumber: s.orderNumber, sentAt: now}
	}
	return orders
}

func (e *engine) startOrder(s *session, ref job.Ref, t *job.Task) controlapi.StartOrder {
	j := e.store.Jobs[ref.Job]
	step := &j.Spec.Steps[ref.Step]
	run, _ := t.RunOn(s.target)
	return controlapi.StartOrder{
		Task:             ref,
		Run:              run,
		Payload:          j.Spec.Payload,
		Checkpoint:       t.Checkpoint,
		Again:            !e.leader.unsentStarts[runKey{ref, run}] || s.adopted[ref],
		Filling:          step.Filling,
		CPUMilli:         step.Need.CPUMilli,
		Image:            step.Image,
		TailTargetMillis: step.TailTargetMillis,
		Disturbs:         e.leader.disturbances.byServingImage(step),
	}
}

// needsStop reports whether a run on the target must be stopped: it is not in
// the log, has stalled, or is a filling task that the serving tasks have kept
// paused or slowed down. A stopped task continues from its checkpoint, possibly
// on a more suitable target.
func (e *engine) needsStop(now time.Time, s *session, ref job.Ref, run int) bool {
	if e.leader.proposedEnds[runKey{ref, run}] || s.sentStops[ref].isPending(now, run) {
		return false
	}
	if s.stalledRuns[ref] || e.isPausedTooLong(now, s, ref, run) {
		return true
	}
	_, t := e.store.Find(ref)
	if t == nil {
		return true
	}
	placed, state := t.RunOn(s.target)
	return state != job.Placed || placed != run
}

// needsUnreportedStop reports whether the run of a task whose job has ended, or of which
// another run is done, must be stopped although the reports do not show it. Its start may
// not have been ordered or may still be carried out; the agent reports that it never
// starts, which releases its room.
func (e *engine) needsUnreportedStop(now time.Time, s *session, ref job.Ref, t *job.Task) bool {
	_, reported := s.runs[ref] // also an earlier run, which is stopped first
	run, state := t.RunOn(s.target)
	return state == job.Stopping && !reported && !e.leader.proposedEnds[runKey{ref, run}] && !s.sentStops[ref].isPending(now, run)
}

// stopOrders returns the stops that must be sent to the target, maxStops at most. Those
// that were sent are not due again for a while, so the others follow.
func (e *engine) stopOrders(now time.Time, s *session) []controlapi.StopOrder {
	var orders []controlapi.StopOrder
	for ref, run := range s.runs {
		if len(orders) < maxStops && e.needsStop(now, s, ref, run) {
			orders = append(orders, controlapi.StopOrder{Task: ref, Run: run})
		}
	}
	for ref, t := range e.store.TasksOn(s.target) {
		if len(orders) < maxStops && e.needsUnreportedStop(now, s, ref, t) {
			run, _ := t.RunOn(s.target)
			orders = append(orders, controlapi.StopOrder{Task: ref, Run: run, Unreported: true})
		}
	}
	for _, o := range orders {
		s.sentStops[o.Task] = sentOrder{run: o.Run, orderNumber: s.orderNumber, sentAt: now}
	}
	return orders
}
