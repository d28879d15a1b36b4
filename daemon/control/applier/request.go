package applier

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
)

// Status tells how a request ended.
type Status uint8

// Statuses of a response.
const (
	OK          Status = iota
	NotLeader          // Leader names the leader when it is known
	Refused            // Reason says why; nothing has changed
	Unavailable        // not known whether it took effect; safe to send again
)

// Response answers a Request.
type Response struct {
	Status Status
	Reason string
	Leader string
	Body   any // of the operation's response type, when Status is OK
}

// Replier delivers the response to one request. It must not block.
type Replier interface {
	Reply(Response)
}

// Request is an operation for the applier, which answers each one exactly once.
type Request struct {
	Operation controlapi.Operation
	Body      any // pointer to the operation's request type
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
