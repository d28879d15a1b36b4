// Package request defines requests, their attempts and their outcomes,
// independently of the wire encoding.
package request

import "time"

// Outcome states whether a request ran.
type Outcome uint8

// Outcomes. NotRun is returned only by a layer that can prove it.
const (
	Unknown Outcome = iota // the request may or may not have run
	Done                   // the request ran and its response is complete
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

// Reasons, as sent on the wire.
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

// Field is an HTTP header field.
type Field struct {
	Name  string
	Value string
}

// Request is a caller's request to a service.
type Request struct {
	ID          string
	Customer    string
	Service     string
	Idempotent  bool
	Key         string // idempotency key, required unless Idempotent
	Deadline    time.Time
	Method      string
	Path        string
	Header      []Field
	Body        []byte
	TraceParent string
	Priority    int // higher values are served first
}

// Attempt is the dispatch of a request to one target.
type Attempt struct {
	Number     uint64
	Target     string
	ClaimEpoch uint64
	Cause      Cause
	Request    *Request
}

// Cause is why an attempt was made.
type Cause uint8

// Causes of an attempt.
const (
	CauseFirst Cause = iota
	CauseRetry       // after a failed attempt
	CauseHedge       // concurrent with an attempt that is late
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

// Response is the outcome of a request or an attempt, with the HTTP response if
// there is one.
type Response struct {
	Outcome Outcome
	Reason  Reason
	Status  int
	Header  []Field
	Body    []byte
}

// Refused returns a response with outcome NotRun.
func Refused(reason Reason) *Response {
	return &Response{Outcome: NotRun, Reason: reason}
}

// Indeterminate returns a response with outcome Unknown.
func Indeterminate(reason Reason) *Response {
	return &Response{Outcome: Unknown, Reason: reason}
}

// Load is the load of a target when it sent a response.
type Load struct {
	InFlight int
	Queued   int
	Service  time.Duration // service time of the request, without queueing; 0 if it did not run
}
