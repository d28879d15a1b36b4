package controlapi

// Reasons of an Error that are not reasons of a request.
const (
	ReasonUnavailable = "unavailable" // no answer from the quorum; safe to send again
	ReasonNotFound    = "not_found"
	ReasonConflict    = "conflict"
	ReasonBadRequest  = "bad_request"
	ReasonNotAllowed  = "not_permitted"
)

// Error tells why control did not carry out an operation.
type Error struct {
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Step    string `json:"step,omitempty"`
	Peer    string `json:"peer,omitempty"`
}

// Error returns the message with step and peer.
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
