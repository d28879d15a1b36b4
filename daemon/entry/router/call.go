package router

import (
	"context"
	"sync"

	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/ring"
)

// Call is a caller's request that waits for its response.
type Call struct {
	Request *request.Request
	reply   *ring.Ring[*request.Response]
}

// callPool recycles finished calls, because a call's ring is the largest
// allocation that the entry instance makes for a request.
var callPool = sync.Pool{New: func() any {
	return &Call{reply: ring.New[*request.Response]("reply", 1)}
}}

// NewCall returns a call for req.
func NewCall(req *request.Request) *Call {
	c := callPool.Get().(*Call)
	c.Request = req
	return c
}

// Do submits the call to the router and waits for the response. The router
// answers every call that it accepts, so Do returns nil only if ctx is done,
// which means that the caller has disconnected. The call must not be used
// afterwards.
func (d *Duty) Do(ctx context.Context, c *Call) *request.Response {
	if err := d.calls.Offer(c); err != nil {
		return request.Refused(request.ReasonOverloaded)
	}
	resp, err := c.reply.Take(ctx)
	if err != nil {
		// The router may still reply to this call, so it must not be recycled.
		_ = d.events.Offer(event{abandoned: c.Request})
		return nil
	}
	c.Request = nil
	callPool.Put(c)
	return resp
}
