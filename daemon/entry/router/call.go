package router

import (
	"context"
	"sync"

	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/ring"
)

// Call is a request of a caller that waits for its response.
type Call struct {
	Request *request.Request
	reply   *ring.Ring[*request.Response]
}

// callPool keeps finished calls for reuse, because the ring of a call is the
// largest allocation of a request in the entry instance.
var callPool = sync.Pool{New: func() any {
	return &Call{reply: ring.New[*request.Response]("reply", 1)}
}}

// NewCall returns a call for req.
func NewCall(req *request.Request) *Call {
	c := callPool.Get().(*Call)
	c.Request = req
	return c
}

// Do hands the call to the router and waits for the response. The router
// answers every call that it took, so Do returns nil only when ctx has ended,
// which means that the caller has gone. The call must not be used afterwards.
func (d *Duty) Do(ctx context.Context, c *Call) *request.Response {
	if err := d.calls.Offer(c); err != nil {
		return request.Refused(request.ReasonOverloaded)
	}
	resp, err := c.reply.Take(ctx)
	if err != nil {
		// The router may still reply to this call, so it is not reused.
		_ = d.events.Offer(event{abandoned: c.Request})
		return nil
	}
	c.Request = nil
	callPool.Put(c)
	return resp
}
