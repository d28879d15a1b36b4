// Package request defines a caller's request, its attempts and its outcome,
// independently of how they are encoded.
package request

import "time"

// Outcome is what is known about a request.
type Outcome uint8

// Outcomes. Only the layer that can prove it says NotRun.
const (
	Unknown Outcome = iota // the request may or may not have run
	Done                   // the request ran and the answer is whole
	NotRun                 // the request did not run
)

// String returns the name used in HTTP headers.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Reason explains an outcome other than Done.
type Reason string

// Reasons.
const (
	ReasonNone             Reason = ""
	ReasonNoTarget         Reason = "no_target"
	ReasonOverloaded       Reason = "overloaded"
	ReasonOverLimit        Reason = "over_limit"
	ReasonDeadline         Reason = "deadline"
	ReasonZoneOut          Reason = "zone_out"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonUnknownCustomer  Reason = "unknown_customer"
	ReasonNotPermitted     Reason = "not_permitted"
	ReasonNoQuorum         Reason = "no_quorum"
	ReasonDuplicateExpired Reason = "duplicate_expired"
	ReasonKeyConflict      Reason = "key_conflict"
	ReasonDraining         Reason = "draining"
	ReasonBadRequest       Reason = "bad_request"
	ReasonCancelled        Reason = "cancelled"
	ReasonTooLarge         Reason = "too_large"
	ReasonTargetFailed     Reason = "target_failed"
	ReasonLinkLost         Reason = "link_lost"
	ReasonDamaged          Reason = "damaged_answer"
)

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Request is one request of a caller.
type Request struct {
	ID          string
	Customer    string
	Service     string
	Idempotent  bool
	Key         string // idempotency key; set when Idempotent is false
	Deadline    time.Time
	Method      string
	Path        string
	Header      []Field
	Body        []byte
	TraceParent string
	Priority    int // higher goes first
}

// Attempt is one try of a request at one target.
type Attempt struct {
	Number     uint64
	Target     string
	ClaimEpoch uint64
	Cause      Cause
	Request    *Request
}

// Cause tells why an attempt was made.
type Cause uint8

// Causes.
const (
	CauseFirst Cause = iota
	CauseRetry       // after a failed attempt
	CauseHedge       // beside a late attempt
)

// String returns the name used in metrics and spans.
func (c Cause) String() string {
	switch c {
	case CauseRetry:
		return "retry"
	case CauseHedge:
		return "hedge"
	default:
		return "attempt"
	}
}

// Response is what is known about a request or an attempt.
type Response struct {
	Outcome Outcome
	Reason  Reason
	Status  int
	Header  []Field
	Body    []byte
}

// Refused returns a response that says the request did not run.
func Refused(reason Reason) *Response {
	return &Response{Outcome: NotRun, Reason: reason}
}

// Indeterminate returns a response that says it is not known whether the request
// ran.
func Indeterminate(reason Reason) *Response {
	return &Response{Outcome: Unknown, Reason: reason}
}

// Load is the load of a target when it answered.
type Load struct {
	InFlight int
	Queued   int
	Service  time.Duration // time the answered request was at work; 0 when it was not
}
