// Package server receives the requests of entry instances, agents and operators on
// their links and passes them to the applier. It decodes requests and encodes
// responses, and contains no decisions.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("server")

const (
	defaultTimeout = 5 * time.Second
	maxTimeout     = time.Minute
)

// Handler is the link.Handler for links from clients. It runs on the receiver of
// each link, so that requests of different links are decoded concurrently.
type Handler struct {
	requests *ring.Ring[*applier.Request]
}

// New returns a handler that offers requests to the ring of the applier.
func New(requests *ring.Ring[*applier.Request]) *Handler { return &Handler{requests: requests} }

// Up implements link.Handler.
func (h *Handler) Up(context.Context, *link.Conn) error { return nil }

// Down implements link.Handler. Responses for a lost link are dropped; the client
// sends the request again.
func (h *Handler) Down(*link.Conn, error) {}

// Frame implements link.Handler.
func (h *Handler) Frame(_ context.Context, c *link.Conn, f *wire.Frame) error {
	m := f.GetControlRequest()
	if m == nil {
		return link.Error.New("step=serve peer=%s: unexpected frame %T", c.Peer().ID, f.GetBody())
	}
	reply := &replier{conn: c, id: m.GetId()}
	operation := controlapi.Operation(m.GetOperation())
	body, err := decode(operation, m.GetPayload())
	if err != nil {
		reply.Reply(applier.Response{Status: applier.Refused, Reason: controlapi.ReasonBadRequest + ": " + err.Error()})
		return nil
	}
	request := &applier.Request{Operation: operation, Body: body, Deadline: deadlineOf(m), Replier: reply}
	if h.requests.Offer(request) != nil {
		reply.Reply(applier.Response{Status: applier.Unavailable, Reason: "overloaded"})
	}
	return nil
}

func deadlineOf(m *wire.ControlRequest) time.Time {
	timeout := time.Duration(m.GetTimeoutMillis()) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return time.Now().Add(min(timeout, maxTimeout))
}

// replier sends the response to a request. It uses the data stream, because a
// response may hold a large recorded body, which must not delay heartbeats.
type replier struct {
	conn *link.Conn
	id   uint64
}

// Reply implements applier.Replier.
func (r *replier) Reply(resp applier.Response) {
	m := &wire.ControlResponse{Id: r.id, Status: statusOf(resp.Status), Reason: resp.Reason, Leader: resp.Leader}
	if resp.Status == applier.OK {
		payload, err := json.Marshal(resp.Body)
		if err != nil {
			m.Status = wire.ControlStatus_CONTROL_STATUS_UNAVAILABLE
			m.Reason = err.Error()
		}
		m.Payload = payload
	}
	err := r.send(m)
	if errors.Is(err, wire.ErrFrameTooLarge) {
		// Sent again, the request would get the same response.
		m.Status, m.Payload = wire.ControlStatus_CONTROL_STATUS_REFUSED, nil
		m.Reason = controlapi.ReasonTooLarge + ": " + err.Error()
		_ = r.send(m)
	}
}

// send queues a response. If the ring of the link is full, or the link has ended, the
// client sends the request again.
func (r *replier) send(m *wire.ControlResponse) error {
	return r.conn.SendData(&wire.Frame{Body: &wire.Frame_ControlResponse{ControlResponse: m}})
}

func statusOf(s applier.Status) wire.ControlStatus {
	switch s {
	case applier.OK:
		return wire.ControlStatus_CONTROL_STATUS_OK
	case applier.NotLeader:
		return wire.ControlStatus_CONTROL_STATUS_NOT_LEADER
	case applier.Refused:
		return wire.ControlStatus_CONTROL_STATUS_REFUSED
	default:
		return wire.ControlStatus_CONTROL_STATUS_UNAVAILABLE
	}
}
