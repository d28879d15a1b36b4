package router

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/routing"
	"github.com/ibispier/ibispier/wire"
	"github.com/ibispier/ibispier/wire/convert"
)

// failedAction is an action that could not be performed. Failures are reported
// after all actions have been performed, because each call of the router reuses
// the storage of the action list.
type failedAction struct {
	kind routing.ActionKind
	id   uint64 // attempt number or token of the operation
}

// perform carries out the actions that the router has decided.
func (d *Duty) perform(actions []routing.Action) {
	var failures []failedAction
	for _, a := range actions {
		switch a.Kind {
		case routing.Send:
			if !d.sendAttempt(a.Attempt) {
				failures = append(failures, failedAction{a.Kind, a.Attempt.Number})
			}
		case routing.Cancel:
			d.cancel(a.Attempt)
		case routing.Reply:
			d.reply(a.Request, a.Response)
		case routing.Claim:
			if !d.startOperation(controlapi.OpClaim, a, a.Claim) {
				failures = append(failures, failedAction{a.Kind, a.Token})
			}
		case routing.Lookup:
			if !d.startOperation(controlapi.OpLookup, a, a.Lookup) {
				failures = append(failures, failedAction{a.Kind, a.Token})
			}
		case routing.Resolve:
			if !d.startOperation(controlapi.OpResolve, a, a.Resolve) {
				failures = append(failures, failedAction{a.Kind, a.Token})
			}
		case routing.QueryClaim:
			d.sendToTarget(a.ClaimRef.Target, convert.ClaimQueryToFrame(a.Token, a.ClaimRef.Key, a.ClaimRef.Epoch, a.ClaimRef.Incarnation))
		case routing.ForgetClaim:
			d.sendToTarget(a.ClaimRef.Target, convert.ClaimForgetToFrame(a.ClaimRef.Key, a.ClaimRef.Epoch))
		}
	}
	for _, f := range failures {
		d.reportFailure(f)
	}
}

// reportFailure tells the router that an action failed, and performs the actions
// that follow from it.
func (d *Duty) reportFailure(f failedAction) {
	now := time.Now()
	switch f.kind {
	case routing.Send:
		d.perform(d.router.SendFailed(now, f.id))
	case routing.Claim:
		d.perform(d.router.Claimed(now, f.id, nil))
	case routing.Lookup:
		d.perform(d.router.LookedUp(now, f.id, nil))
	case routing.Resolve:
		d.perform(d.router.Resolved(now, f.id, routing.ResolveUnknown))
	}
}

// sendAttempt sends an attempt to its target and reports whether it was sent.
func (d *Duty) sendAttempt(a *request.Attempt) bool {
	conn := d.linkByTarget[a.Target]
	if conn == nil {
		return false
	}
	f := convert.AttemptToFrame(a, time.Now())
	d.trace.attemptStarted(a, f)
	if err := conn.SendData(f); err != nil {
		d.trace.attemptEnded(a.Number, request.ReasonLinkLost)
		return false
	}
	return true
}

// sendToTarget sends a frame on the link of a target. If the target has no link,
// the frame is dropped, and the router continues when its timer expires.
func (d *Duty) sendToTarget(target string, f *wire.Frame) {
	if conn := d.linkByTarget[target]; conn != nil {
		_ = conn.SendData(f)
	}
}

func (d *Duty) cancel(a *request.Attempt) {
	d.trace.attemptEnded(a.Number, request.ReasonCancelled)
	d.sendToTarget(a.Target, &wire.Frame{Body: &wire.Frame_CancelRequest{CancelRequest: &wire.CancelRequest{
		RequestId: a.Request.ID, Attempt: a.Number,
	}}})
}

func (d *Duty) reply(req *request.Request, resp *request.Response) {
	c := d.waitingCalls[req]
	if c == nil {
		return
	}
	delete(d.waitingCalls, req)
	_ = c.reply.Offer(resp)
}

// startOperation starts an operation of control. It limits the operations in
// flight to the capacity of the result ring.
func (d *Duty) startOperation(op controlapi.Operation, a routing.Action, in any) bool {
	if d.control == nil || len(d.operations) >= resultCapacity {
		return false
	}
	payload, err := json.Marshal(in)
	if err != nil {
		return false
	}
	traceParent := ""
	if a.Kind == routing.Claim {
		traceParent = d.trace.claimStarted(a)
	}
	err = d.control.Send(controlclient.Call{
		Operation: op, Payload: payload, Deadline: a.Deadline, TraceParent: traceParent, CorrelationID: a.Token, Reply: d.results,
	})
	if err != nil {
		d.trace.claimEnded(a.Token, err)
		return false
	}
	d.operations[a.Token] = op
	return true
}

// handleOperationResult passes the result of an operation of control to the
// router.
func (d *Duty) handleOperationResult(result controlclient.Result) {
	op, ok := d.operations[result.CorrelationID]
	if !ok {
		return // started by an earlier run
	}
	delete(d.operations, result.CorrelationID)
	d.trace.claimEnded(result.CorrelationID, result.Err)
	if result.Err != nil {
		d.log.Debug("control operation failed", zap.String("operation", string(op)), zap.Error(result.Err))
	}
	now := time.Now()
	switch op {
	case controlapi.OpClaim:
		d.perform(d.router.Claimed(now, result.CorrelationID, decode[controlapi.ClaimResponse](result)))
	case controlapi.OpLookup:
		d.perform(d.router.LookedUp(now, result.CorrelationID, decode[controlapi.ClaimResponse](result)))
	case controlapi.OpResolve:
		d.perform(d.router.Resolved(now, result.CorrelationID, resolveResult(result)))
	}
}

// resolveResult classifies the result of a resolve operation.
func resolveResult(result controlclient.Result) routing.ResolveResult {
	resp := decode[controlapi.ResolveResponse](result)
	switch {
	case resp == nil:
		return routing.ResolveUnknown
	case resp.Accepted:
		return routing.ResolveRecorded
	default:
		return routing.ResolveSuperseded
	}
}

// decode decodes the response of an operation, or returns nil if there is none.
func decode[T any](result controlclient.Result) *T {
	out := new(T)
	if result.Err != nil || json.Unmarshal(result.Payload, out) != nil {
		return nil
	}
	return out
}
