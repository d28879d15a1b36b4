package routing

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/request"
)

// ActionKind tells actions apart.
type ActionKind uint8

// Kinds of actions.
const (
	Send        ActionKind = iota // send Attempt to its target
	Cancel                        // tell the target that Attempt is not needed any more
	Reply                         // answer the caller of Request with Response
	Claim                         // claim a key in the quorum; the result goes to Claimed
	Lookup                        // read the state of a key; the result goes to LookedUp
	Resolve                       // record the outcome of a claim; the result goes to Resolved
	QueryClaim                    // ask the agent of Query.Target about a claim; the answer goes to Asked
	ForgetClaim                   // tell the agent of Query.Target that the outcome is recorded
)

// Action is a decision of the Router.
type Action struct {
	Kind     ActionKind
	Attempt  *request.Attempt           // Send, Cancel
	Request  *request.Request           // Reply, Claim, Lookup
	Response *request.Response          // Reply
	Token    uint64                     // Claim, Lookup, Resolve, Ask: names the operation in its result
	Deadline time.Time                  // Claim, Lookup, Resolve
	Claim    *controlapi.ClaimRequest   // Claim
	Lookup   *controlapi.LookupRequest  // Lookup
	Resolve  *controlapi.ResolveRequest // Resolve
	ClaimRef *ClaimRef                  // Ask, Forget
}

// ClaimRef names a claim at the agent of a target.
type ClaimRef struct {
	Target      string
	Incarnation uint64
	Key         request.Key
	Epoch       uint64
}
