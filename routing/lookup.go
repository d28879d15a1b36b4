package routing

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/request"
)

const (
	// lookupTimeout limits how long a refusal waits for the state of its key.
	lookupTimeout = 300 * time.Millisecond
	maxLookups    = 1024
)

// needsLookup reports whether a refusal of c may not be returned as "not run"
// yet. The caller may have sent the same key through another entry instance
// before, and only the quorum knows whether that submission ran.
func (r *Router) needsLookup(c *call, resp *request.Response) bool {
	return resp.Outcome == request.NotRun && !c.request.Idempotent && r.options.ClaimsEnabled && !c.claim.keyStateKnown
}

// lookUp reads the state of the key from the quorum before the refusal.
func (r *Router) lookUp(now time.Time, c *call, refusal *request.Response) {
	if r.pendingLookups >= maxLookups {
		r.reply(c, request.Indeterminate(refusal.Reason))
		return
	}
	r.pendingLookups++
	c.phase = lookingUp
	c.claim.final = refusal
	r.emit(Action{
		Kind: Lookup, Token: r.newOperation(c), Request: c.request, Deadline: now.Add(lookupTimeout),
		Lookup: &controlapi.LookupRequest{Key: keyOf(c.request), Digest: Digest(c.request)},
	})
}

// LookedUp handles the result of a Lookup, or nil if the quorum did not answer.
func (r *Router) LookedUp(_ time.Time, token uint64, resp *controlapi.ClaimResponse) []Action {
	r.resetActions()
	c := r.takeOperation(token)
	if c == nil || c.phase != lookingUp {
		return nil
	}
	r.pendingLookups--
	r.reply(c, lookupResponse(c.claim.final, resp))
	return r.actions
}

// lookupResponse returns the response to a refused request, given the state of
// its key.
func lookupResponse(refusal *request.Response, resp *controlapi.ClaimResponse) *request.Response {
	if resp == nil {
		return request.Indeterminate(request.ReasonNoQuorum)
	}
	switch resp.State {
	case controlapi.ClaimFree:
		return refusal
	case controlapi.ClaimRecorded:
		return fromRecorded(resp.Outcome)
	case controlapi.ClaimConflict:
		return request.Refused(request.ReasonKeyConflict)
	default:
		return request.Indeterminate(refusal.Reason)
	}
}
