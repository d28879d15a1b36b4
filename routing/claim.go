package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/request"
)

const (
	minClaimQueryDelay = 10 * time.Millisecond
	maxClaimQueryDelay = 200 * time.Millisecond
	// claimQueryTimeout is when an unanswered query of an agent is followed by
	// a new claim, because another entry instance may have resolved the key.
	claimQueryTimeout = 200 * time.Millisecond
	// resolveTimeout limits an attempt to record the outcome of a claim, also
	// after its caller has been answered.
	resolveTimeout = 5 * time.Second
	maxOrphans     = 4096
)

// claim is the claim state of a non-idempotent request.
type claim struct {
	operation        uint64 // token of the pending operation
	tries            int
	target           *target  // target named by the claim
	holder           ClaimRef // the pending claim, of this or another instance
	isHolder         bool     // this call holds the claim
	pending          bool     // a claim of another submission was seen
	keyStateKnown    bool     // the quorum has returned the state of the key
	queryDelay       time.Duration
	final            *request.Response // reply to send once it is recorded
	notRunReason     request.Reason    // reason of the proved "not run" that is being recorded
	retryAfterNotRun bool              // claim again once the "not run" is recorded
}

// orphan is a pending operation whose caller has been answered.
type orphan struct {
	claim    ClaimRef
	claiming bool
}

// ResolveResult is the result of a Resolve.
type ResolveResult uint8

// Results of a Resolve.
const (
	ResolveUnknown    ResolveResult = iota // the quorum did not answer
	ResolveRecorded                        // the quorum has recorded this outcome
	ResolveSuperseded                      // the claim was resolved before, or the key has a newer epoch
)

// ClaimAnswer is the state of a claim as known by the agent of a target.
type ClaimAnswer struct {
	State    request.ClaimState
	Response *request.Response // set if State is ClaimDone
}

// formatHolder identifies a target and the run of its agent. Only the run to
// which a claim was dispatched can prove its outcome.
func formatHolder(t *target) string {
	return t.ID + "@" + strconv.FormatUint(t.Incarnation, 16)
}

func parseHolder(name string) (id string, incarnation uint64) {
	id, text, _ := strings.Cut(name, "@")
	incarnation, _ = strconv.ParseUint(text, 16, 64)
	return id, incarnation
}

// Digest returns a digest of the content of a request, which detects the reuse
// of a key for a different request.
func Digest(r *request.Request) string {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Path} {
		h.Write([]byte(strconv.Itoa(len(part))))
		h.Write([]byte{0})
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func keyOf(r *request.Request) controlapi.Key {
	return controlapi.Key{Customer: r.Customer, Service: r.Service, Key: r.Key}
}

// newOperation returns the token of the next operation of c.
func (r *Router) newOperation(c *call) uint64 {
	delete(r.operations, c.claim.operation)
	r.lastOperation++
	c.claim.operation = r.lastOperation
	r.operations[r.lastOperation] = c
	return r.lastOperation
}

// takeOperation ends an operation and returns the call that waits for it.
func (r *Router) takeOperation(token uint64) *call {
	c := r.operations[token]
	delete(r.operations, token)
	return c
}

// orphanOperation keeps what is needed to clean up after the pending operation
// of a call whose caller is answered now.
func (r *Router) orphanOperation(c *call) {
	token := c.claim.operation
	if r.operations[token] != c {
		return
	}
	delete(r.operations, token)
	if len(r.orphans) >= maxOrphans {
		return
	}
	switch c.phase {
	case claiming:
		t := c.claim.target
		r.orphans[token] = orphan{claiming: true, claim: ClaimRef{
			Target: t.ID, Incarnation: t.Incarnation, Key: request.KeyOf(c.request),
		}}
	case resolving:
		r.orphans[token] = orphan{claim: c.claim.holder}
	}
}

// startClaim claims the key of c for a dispatch to t.
func (r *Router) startClaim(_ time.Time, c *call, t *target) {
	c.claim.tries++
	c.claim.target = t
	c.phase = claiming
	token := r.newOperation(c)
	r.emit(Action{Kind: Claim, Token: token, Request: c.request, Deadline: c.request.Deadline, Claim: &controlapi.ClaimRequest{
		Key:      keyOf(c.request),
		Digest:   Digest(c.request),
		Target:   formatHolder(t),
		Claimant: r.claimant(c),
	}})
}

// claimant is unique for every claim of every run of every entry instance, so
// that only a resent claim is recognised as the same one.
func (r *Router) claimant(c *call) string {
	return r.options.ID + "/" + strconv.FormatUint(r.options.Incarnation, 16) + "/" +
		strconv.FormatUint(c.sequence, 10) + "/" + strconv.Itoa(c.claim.tries)
}

// retryClaim claims the key again, which also returns its current state.
func (r *Router) retryClaim(now time.Time, c *call) {
	g := r.pools[c.request.Service]
	if g == nil {
		r.retryClaimLater(now, c)
		return
	}
	t, _ := r.choose(now, g, c)
	if t == nil {
		r.retryClaimLater(now, c)
		return
	}
	r.startClaim(now, c, t)
}

// Claimed handles the result of a Claim, or nil if the quorum did not answer.
func (r *Router) Claimed(now time.Time, token uint64, resp *controlapi.ClaimResponse) []Action {
	r.resetActions()
	if o, ok := r.orphans[token]; ok {
		r.releaseOrphanedClaim(now, token, o, resp)
		return r.actions
	}
	c := r.takeOperation(token)
	if c == nil {
		return nil
	}
	if resp == nil {
		r.claimFailed(now, c)
		return r.actions
	}
	c.claim.keyStateKnown = true
	switch resp.State {
	case controlapi.ClaimGranted:
		r.claimGranted(now, c, resp.Epoch)
	case controlapi.ClaimPending:
		r.claimPending(now, c, resp)
	case controlapi.ClaimRecorded:
		r.finish(now, c, fromRecorded(resp.Outcome))
	case controlapi.ClaimConflict:
		r.finish(now, c, request.Refused(request.ReasonKeyConflict))
	case controlapi.ClaimExpired:
		r.finish(now, c, request.Refused(request.ReasonDuplicateExpired))
	default:
		r.claimFailed(now, c)
	}
	return r.actions
}

// claimFailed handles a quorum that did not answer. Nothing was sent under this
// claim; if it is granted late, the orphan releases it.
func (r *Router) claimFailed(now time.Time, c *call) {
	c.mayHaveRun = true // another submission of the key may have run
	c.lastReason = request.ReasonNoQuorum
	r.giveUp(now, c, request.ReasonNoQuorum)
}

func (r *Router) claimGranted(now time.Time, c *call, epoch uint64) {
	t := c.claim.target
	c.claim.isHolder = true
	c.claim.holder = ClaimRef{Target: t.ID, Incarnation: t.Incarnation, Key: request.KeyOf(c.request), Epoch: epoch}
	c.mayHaveRun = false // the grant proves that no earlier attempt ran
	if !t.isUsable(now) || r.targets[t.ID] != t {
		r.resolveNotRun(now, c, request.ReasonNoTarget, true)
		return
	}
	r.send(now, c, t, epoch)
}

// claimPending handles a key that has a pending claim at a target.
func (r *Router) claimPending(now time.Time, c *call, resp *controlapi.ClaimResponse) {
	id, incarnation := parseHolder(resp.Target)
	c.claim.isHolder = false
	c.claim.pending = true
	c.mayHaveRun = true
	c.lastReason = request.ReasonDeadline
	c.claim.holder = ClaimRef{Target: id, Incarnation: incarnation, Key: request.KeyOf(c.request), Epoch: resp.Epoch}
	r.queryClaim(now, c)
}

// queryClaim asks the agent that holds the claim for its state. An agent that
// has restarted since cannot know it.
func (r *Router) queryClaim(now time.Time, c *call) {
	c.phase = queryingClaim
	h := c.claim.holder
	t := r.targets[h.Target]
	if t == nil || !t.linked || t.Incarnation != h.Incarnation {
		r.retryClaimLater(now, c)
		return
	}
	r.emit(Action{Kind: QueryClaim, Token: r.newOperation(c), ClaimRef: &h})
	c.retryAt = now.Add(claimQueryTimeout)
	r.schedule(c)
}

// retryClaimLater schedules another claim of the key.
func (r *Router) retryClaimLater(now time.Time, c *call) {
	c.phase = queryingClaim
	c.claim.queryDelay = min(max(2*c.claim.queryDelay, minClaimQueryDelay), maxClaimQueryDelay)
	c.retryAt = now.Add(c.claim.queryDelay)
	r.schedule(c)
}

// ClaimQueried handles the answer to a QueryClaim.
func (r *Router) ClaimQueried(now time.Time, token uint64, answer ClaimAnswer) []Action {
	r.resetActions()
	c := r.takeOperation(token)
	if c == nil || c.phase != queryingClaim {
		return nil
	}
	switch answer.State {
	case request.ClaimDone:
		r.resolveFinal(now, c, answer.Response)
	case request.ClaimNotRun:
		r.resolveNotRun(now, c, request.ReasonLinkLost, true)
	case request.ClaimRunning:
		r.retryClaimLater(now, c)
	default:
		r.resolveFinal(now, c, request.Indeterminate(request.ReasonTargetFailed))
	}
	return r.actions
}

// handleClaimedOutcome decides what follows the outcome of a claimed attempt.
func (r *Router) handleClaimedOutcome(now time.Time, a *attempt, resp *request.Response) {
	c := a.call
	switch {
	case a.orphan:
		r.resolveOrphan(now, a, resp)
	case resp.Outcome == request.Done:
		r.resolveFinal(now, c, resp)
	case resp.Outcome == request.NotRun && resp.Reason == request.ReasonDuplicateExpired:
		// A duplicate has fenced this epoch at the agent and claims the key
		// itself, so the outcome is that of the duplicate.
		c.claim.isHolder = false
		r.resolveNotRun(now, c, resp.Reason, true)
		c.mayHaveRun, c.lastReason = true, request.ReasonDeadline
	case resp.Outcome == request.NotRun:
		r.resolveNotRun(now, c, resp.Reason, retryable(c.request, resp))
	case resp.Reason == request.ReasonLinkLost || resp.Reason == request.ReasonDamaged:
		// The agent may know the outcome.
		c.mayHaveRun = true
		c.lastReason = resp.Reason
		r.queryClaim(now, c)
	default:
		r.resolveFinal(now, c, resp)
	}
}

// resolveFinal records the final outcome of the claim. The reply follows.
func (r *Router) resolveFinal(now time.Time, c *call, resp *request.Response) {
	c.claim.final = resp
	r.resolve(now, c, resp)
}

// resolveNotRun records that the attempt under the current epoch did not run,
// which frees the key. Then the call claims again or is refused.
func (r *Router) resolveNotRun(now time.Time, c *call, reason request.Reason, retry bool) {
	c.mayHaveRun = false
	c.claim.keyStateKnown = false // once the key is free, another submission may run
	c.lastReason = reason
	c.claim.notRunReason = reason
	c.claim.retryAfterNotRun = retry
	r.resolve(now, c, request.Refused(reason))
}

func (r *Router) resolve(now time.Time, c *call, resp *request.Response) {
	c.phase = resolving
	c.retryAt = time.Time{}
	r.schedule(c)
	r.emitResolve(now, r.newOperation(c), c.claim.holder, resp)
}

func (r *Router) emitResolve(now time.Time, token uint64, q ClaimRef, resp *request.Response) {
	r.emit(Action{Kind: Resolve, Token: token, Deadline: now.Add(resolveTimeout), Resolve: &controlapi.ResolveRequest{
		Key:     controlapi.Key{Customer: q.Key.Customer, Service: q.Key.Service, Key: q.Key.Key},
		Epoch:   q.Epoch,
		Outcome: toRecorded(resp),
	}})
}

// Resolved handles the result of a Resolve.
func (r *Router) Resolved(now time.Time, token uint64, result ResolveResult) []Action {
	r.resetActions()
	if o, ok := r.orphans[token]; ok {
		delete(r.orphans, token)
		r.forgetClaim(o.claim, result)
		return r.actions
	}
	c := r.takeOperation(token)
	if c == nil || c.phase != resolving {
		return nil
	}
	r.forgetClaim(c.claim.holder, result)
	if c.claim.final != nil {
		r.resolvedFinal(now, c, result)
	} else {
		r.resolvedNotRun(now, c, result)
	}
	return r.actions
}

// resolvedFinal replies with the outcome. If the outcome is unknown and another
// instance has resolved the claim, it asks for that outcome first.
func (r *Router) resolvedFinal(now time.Time, c *call, result ResolveResult) {
	final := c.claim.final
	if result == ResolveSuperseded && final.Outcome == request.Unknown {
		c.claim.final = nil
		c.mayHaveRun, c.lastReason = true, final.Reason
		r.retryClaimLater(now, c)
		return
	}
	r.finish(now, c, final)
}

// resolvedNotRun claims again or refuses. If the quorum did not confirm "not
// run", only the holder of the claim may return it: the holder knows its only
// dispatch.
func (r *Router) resolvedNotRun(now time.Time, c *call, result ResolveResult) {
	own := c.claim.isHolder
	switch {
	case !own && result == ResolveUnknown:
		r.finish(now, c, request.Indeterminate(request.ReasonNoQuorum))
	case !own && result == ResolveSuperseded:
		c.mayHaveRun, c.lastReason = true, request.ReasonDeadline
		r.retryClaimLater(now, c)
	case !own:
		r.retryClaim(now, c)
	case result == ResolveUnknown || !c.claim.retryAfterNotRun || !r.retry(now, c, c.claim.notRunReason):
		r.finish(now, c, request.Refused(c.claim.notRunReason))
	}
}

func (r *Router) forgetClaim(q ClaimRef, result ResolveResult) {
	if result == ResolveRecorded {
		r.emit(Action{Kind: ForgetClaim, ClaimRef: &q})
	}
}

// resolveOrphan records the outcome of an attempt whose caller got an unknown
// outcome, so that a duplicate can get the real one.
func (r *Router) resolveOrphan(now time.Time, a *attempt, resp *request.Response) {
	if resp.Reason == request.ReasonLinkLost || resp.Reason == request.ReasonDamaged {
		return // a duplicate queries the agent
	}
	q := ClaimRef{
		Target:      a.target.ID,
		Incarnation: a.call.claim.holder.Incarnation,
		Key:         request.KeyOf(a.Request),
		Epoch:       a.ClaimEpoch,
	}
	r.lastOperation++
	r.orphans[r.lastOperation] = orphan{claim: q}
	r.emitResolve(now, r.lastOperation, q, resp)
}

// releaseOrphanedClaim releases a claim that was granted after its caller was
// refused. Nothing was sent under it.
func (r *Router) releaseOrphanedClaim(now time.Time, token uint64, o orphan, resp *controlapi.ClaimResponse) {
	delete(r.orphans, token)
	if !o.claiming || resp == nil || resp.State != controlapi.ClaimGranted {
		return
	}
	o.claim.Epoch = resp.Epoch
	r.lastOperation++
	r.orphans[r.lastOperation] = orphan{claim: o.claim}
	r.emitResolve(now, r.lastOperation, o.claim, request.Refused(request.ReasonDeadline))
}

func toRecorded(resp *request.Response) controlapi.Recorded {
	recorded := controlapi.Recorded{
		Outcome: resp.Outcome.String(),
		Reason:  string(resp.Reason),
		Status:  resp.Status,
		Body:    resp.Body,
	}
	for _, f := range resp.Header {
		recorded.Header = append(recorded.Header, controlapi.Field(f))
	}
	return recorded
}

func fromRecorded(r *controlapi.Recorded) *request.Response {
	if r == nil {
		return request.Indeterminate(request.ReasonNoQuorum)
	}
	resp := &request.Response{Reason: request.Reason(r.Reason), Status: r.Status, Body: r.Body}
	if r.Outcome == request.Done.String() {
		resp.Outcome = request.Done
	}
	for _, f := range r.Header {
		resp.Header = append(resp.Header, request.Field(f))
	}
	return resp
}
