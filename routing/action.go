package routing

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/request"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	Send        ActionKind = iota // send Attempt to its target
	Cancel                        // tell the target that Attempt is no longer needed
	Reply                         // answer the caller of Request with Response
	Claim                         // claim a key in the quorum; the result is passed to Claimed
	Lookup                        // read the state of a key; the result is passed to LookedUp
	Resolve                       // record the outcome of a claim; the result is passed to Resolved
	QueryClaim                    // ask the agent of ClaimRef.Target for the state of a claim; the answer is passed to ClaimQueried
	ForgetClaim                   // tell the agent of ClaimRef.Target that the outcome is recorded
)

// Action is a decision of the Router.
type Action struct {
	Kind     ActionKind
	Attempt  *request.Attempt           // Send, Cancel
	Request  *request.Request           // Reply, Claim, Lookup
	Response *request.Response          // Reply
	Token    uint64                     // Claim, Lookup, Resolve, QueryClaim: identifies the operation in its result
	Deadline time.Time                  // Claim, Lookup, Resolve
	Claim    *controlapi.ClaimRequest   // Claim
	Lookup   *controlapi.LookupRequest  // Lookup
	Resolve  *controlapi.ResolveRequest // Resolve
	ClaimRef *ClaimRef                  // QueryClaim, ForgetClaim
}

// ClaimRef identifies a claim at the agent of a target.
type ClaimRef struct {
	Target      string
	Incarnation uint64
	Key         request.Key
	Epoch       uint64
}
