package controlapi

// Reasons of an Error, in addition to those of package request.
const (
	ReasonUnavailable = "unavailable" // no response from the quorum; safe to send again
	ReasonNotFound    = "not_found"
	ReasonConflict    = "conflict"
	ReasonBadRequest  = "bad_request"
	ReasonNotAllowed  = "not_permitted"
	ReasonTooLarge    = "too_large" // the request or its response exceeds a frame
)

// Error is the reason why control did not perform an operation.
type Error struct {
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Step    string `json:"step,omitempty"`
	Peer    string `json:"peer,omitempty"`
}

// Error returns the reason, step, peer and message.
func (e *Error) Error() string {
	text := "reason=" + e.Reason
	if e.Step != "" {
		text += " step=" + e.Step
	}
	if e.Peer != "" {
		text += " peer=" + e.Peer
	}
	if e.Message != "" {
		text += ": " + e.Message
	}
	return text
}
