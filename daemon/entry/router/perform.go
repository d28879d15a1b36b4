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

// failure is an action that could not be carried out. It is reported to the
// router after the other actions, whose storage the router reuses.
type failure struct {
	kind routing.ActionKind
	id   uint64 // attempt or token
}

// perform carries out actions.
func (d *Duty) perform(actions []routing.Action) {
	var failures []failure
	for _, a := range actions {
		switch a.Kind {
		case routing.Send:
			if !d.send(a.Attempt) {
				failures = append(failures, failure{a.Kind, a.Attempt.Number})
			}
		case routing.Cancel:
			d.cancel(a.Attempt)
		case routing.Reply:
			d.reply(a.Request, a.Response)
		case routing.Claim:
			if !d.start(controlapi.OpClaim, a, a.Claim) {
				failures = append(failures, failure{a.Kind, a.Token})
			}
		case routing.Lookup:
			if !d.start(controlapi.OpLookup, a, a.Lookup) {
				failures = append(failures, failure{a.Kind, a.Token})
			}
		case routing.Resolve:
			if !d.start(controlapi.OpResolve, a, a.Resolve) {
				failures = append(failures, failure{a.Kind, a.Token})
			}
		case routing.QueryClaim:
			d.sendTo(a.ClaimRef.Target, convert.ClaimQueryToFrame(a.Token, a.ClaimRef.Key, a.ClaimRef.Epoch, a.ClaimRef.Incarnation))
		case routing.ForgetClaim:
			d.sendTo(a.ClaimRef.Target, convert.ClaimForgetToFrame(a.ClaimRef.Key, a.ClaimRef.Epoch))
		}
	}
	for _, f := range failures {
		d.fail(f)
	}
}

func (d *Duty) fail(f failure) {
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

func (d *Duty) send(a *request.Attempt) bool {
	conn := d.links[a.Target]
	if conn == nil {
		return false
	}
	f := convert.AttemptToFrame(a, time.Now())
	d.trace.sending(a, f)
	if err := conn.SendData(f); err != nil {
		d.trace.ended(a.Number, request.ReasonLinkLost)
		return false
	}
	return true
}

// sendTo sends a frame on the link of a target. Without one the router's own
// timer takes over.
func (d *Duty) sendTo(target string, f *wire.Frame) {
	if conn := d.links[target]; conn != nil {
		_ = conn.SendData(f)
	}
}

func (d *Duty) cancel(a *request.Attempt) {
	d.trace.ended(a.Number, request.ReasonCancelled)
	d.sendTo(a.Target, &wire.Frame{Body: &wire.Frame_CancelRequest{CancelRequest: &wire.CancelRequest{
		RequestId: a.Request.ID, Attempt: a.Number,
	}}})
}

func (d *Duty) reply(req *request.Request, resp *request.Response) {
	c := d.waits[req]
	if c == nil {
		return
	}
	delete(d.waits, req)
	_ = c.reply.Offer(resp)
}

// start starts an operation of control. The ring of the results has room for
// every operation in flight.
func (d *Duty) start(op controlapi.Operation, a routing.Action, in any) bool {
	if d.control == nil || len(d.operations) >= resultCapacity {
		return false
	}
	payload, err := json.Marshal(in)
	if err != nil {
		return false
	}
	traceParent := ""
	if a.Kind == routing.Claim {
		traceParent = d.trace.claiming(a)
	}
	err = d.control.Send(controlclient.Call{
		Operation: op, Payload: payload, Deadline: a.Deadline, TraceParent: traceParent, CorrelationID: a.Token, Reply: d.results,
	})
	if err != nil {
		d.trace.claimed(a.Token, err)
		return false
	}
	d.operations[a.Token] = op
	return true
}

// operated hands the result of an operation to the router.
func (d *Duty) operated(result controlclient.Result) {
	op, ok := d.operations[result.CorrelationID]
	if !ok {
		return // of an earlier run
	}
	delete(d.operations, result.CorrelationID)
	d.trace.claimed(result.CorrelationID, result.Err)
	if result.Err != nil {
		d.log.Debug("operation failed", zap.String("operation", string(op)), zap.Error(result.Err))
	}
	now := time.Now()
	switch op {
	case controlapi.OpClaim:
		d.perform(d.router.Claimed(now, result.CorrelationID, decode[controlapi.ClaimResponse](result)))
	case controlapi.OpLookup:
		d.perform(d.router.LookedUp(now, result.CorrelationID, decode[controlapi.ClaimResponse](result)))
	case controlapi.OpResolve:
		d.perform(d.router.Resolved(now, result.CorrelationID, recording(result)))
	}
}

func recording(result controlclient.Result) routing.ResolveResult {
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

// decode returns nil for a result without a response.
func decode[T any](result controlclient.Result) *T {
	out := new(T)
	if result.Err != nil || json.Unmarshal(result.Payload, out) != nil {
		return nil
	}
	return out
}
