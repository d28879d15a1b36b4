package request

// Key identifies a non-idempotent request: its idempotency key in the scope of a
// customer and a service.
type Key struct {
	Customer string
	Service  string
	Key      string
}

// KeyOf returns the key of r.
func KeyOf(r *Request) Key {
	return Key{Customer: r.Customer, Service: r.Service, Key: r.Key}
}

// ClaimState is the state of a claim as known by the agent to which its attempt
// was dispatched.
type ClaimState uint8

// States of a claim.
const (
	ClaimUnknown ClaimState = iota // the agent has no record of the outcome
	ClaimRunning                   // accepted and not finished
	ClaimDone                      // finished with a response
	ClaimNotRun                    // did not run, and its epoch is refused from now on
)
