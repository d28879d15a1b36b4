package admission

import (
	"context"

	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/wire"
)

// Handles reports whether the duty handles frames of this type.
func (d *Duty) Handles(f *wire.Frame) bool {
	switch f.GetBody().(type) {
	case *wire.Frame_Request, *wire.Frame_CancelRequest, *wire.Frame_ClaimQuery, *wire.Frame_ClaimForget:
		return true
	}
	return false
}

// Up implements link.Handler.
func (d *Duty) Up(ctx context.Context, c *link.Conn) error {
	return d.put(ctx, event{conn: c, up: true})
}

// Frame implements link.Handler.
func (d *Duty) Frame(ctx context.Context, c *link.Conn, f *wire.Frame) error {
	switch body := f.GetBody().(type) {
	case *wire.Frame_Request:
		return d.put(ctx, event{conn: c, request: body.Request})
	case *wire.Frame_CancelRequest:
		return d.put(ctx, event{conn: c, cancel: body.CancelRequest})
	case *wire.Frame_ClaimQuery:
		return d.put(ctx, event{conn: c, query: body.ClaimQuery})
	case *wire.Frame_ClaimForget:
		return d.put(ctx, event{conn: c, forget: body.ClaimForget})
	default:
		return link.Error.New("step=admit peer=%s: unexpected frame %T", c.Peer().ID, body)
	}
}

// Down implements link.Handler.
func (d *Duty) Down(c *link.Conn, _ error) {
	_ = d.put(context.Background(), event{conn: c, down: true})
}

func (d *Duty) put(ctx context.Context, e event) error {
	return d.events.PutWithin(ctx, link.EventTimeout, e)
}
