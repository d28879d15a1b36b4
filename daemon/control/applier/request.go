package applier

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
)

// Status is the outcome of a request.
type Status uint8

// Outcomes of a request.
const (
	OK          Status = iota
	NotLeader          // Response.Leader names the leader if it is known
	Refused            // for Response.Reason; the state is unchanged
	Unavailable        // the outcome is unknown; safe to send again
)

// Response is the response to a Request.
type Response struct {
	Status Status
	Reason string
	Leader string
	Body   any // of the response type of the operation if Status is OK
}

// Replier delivers the response to one request. It must not block.
type Replier interface {
	Reply(Response)
}

// Request is a requested operation. The applier calls Reply exactly once for each.
type Request struct {
	Operation controlapi.Operation
	Body      any // pointer to the request type of the operation
	Deadline  time.Time
	Replier   Replier
}

func (r *Request) reply(body any)    { r.Replier.Reply(Response{Status: OK, Body: body}) }
func (r *Request) replyUnavailable() { r.Replier.Reply(Response{Status: Unavailable}) }
func (r *Request) replyRefused(err error) {
	r.Replier.Reply(Response{Status: Refused, Reason: reasonOf(err)})
}
func (r *Request) replyNotLeader(leader string) {
	r.Replier.Reply(Response{Status: NotLeader, Leader: leader})
}
