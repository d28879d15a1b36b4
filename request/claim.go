package request

// Key identifies a non-idempotent request.
type Key struct {
	Customer string
	Service  string
	Key      string
}

// KeyOf returns the key of r.
func KeyOf(r *Request) Key {
	return Key{Customer: r.Customer, Service: r.Service, Key: r.Key}
}

// ClaimState is what the agent of a target knows about a claim that was
// dispatched to it.
type ClaimState uint8

// States of a claim.
const (
	ClaimUnknown ClaimState = iota // the agent cannot tell
	ClaimRunning                   // accepted and not finished
	ClaimDone                      // finished with a response
	ClaimNotRun                    // not run, and refused from now on
)
