package relay

import (
	"context"

	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/wire"
)

// Handles reports whether the duty handles frames of this type.
func (d *Duty) Handles(f *wire.Frame) bool {
	switch f.GetBody().(type) {
	case *wire.Frame_ControlRequest, *wire.Frame_PermitRequest, *wire.Frame_Announce:
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
	case *wire.Frame_ControlRequest:
		return d.put(ctx, event{conn: c, request: body.ControlRequest})
	case *wire.Frame_PermitRequest:
		return d.put(ctx, event{conn: c, permit: body.PermitRequest})
	case *wire.Frame_Announce:
		return d.put(ctx, event{conn: c, announce: body.Announce})
	default:
		return link.Error.New("step=relay peer=%s: unexpected frame %T", c.Peer().ID, body)
	}
}

// Down implements link.Handler.
func (d *Duty) Down(c *link.Conn, _ error) {
	_ = d.put(context.Background(), event{conn: c, down: true})
}

func (d *Duty) put(ctx context.Context, e event) error {
	return d.events.PutWithin(ctx, link.EventTimeout, e)
}
