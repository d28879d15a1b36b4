package tasks

import (
	"context"

	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/wire"
)

// Handles reports whether the duty handles frames of this type.
func (d *Duty) Handles(f *wire.Frame) bool {
	switch f.GetBody().(type) {
	case *wire.Frame_ControlResponse, *wire.Frame_PermitGrant, *wire.Frame_ConfigUpdate:
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
	case *wire.Frame_ControlResponse:
		return d.put(ctx, event{conn: c, response: body.ControlResponse})
	case *wire.Frame_PermitGrant:
		return d.put(ctx, event{conn: c, grant: body.PermitGrant})
	case *wire.Frame_ConfigUpdate:
		d.revision.Store(body.ConfigUpdate.GetRevision())
		return nil
	default:
		return link.Error.New("step=command peer=%s: unexpected frame %T", c.Peer().ID, body)
	}
}

// Down implements link.Handler.
func (d *Duty) Down(c *link.Conn, _ error) {
	_ = d.put(context.Background(), event{conn: c, down: true})
}

func (d *Duty) put(ctx context.Context, e event) error {
	return d.events.PutWithin(ctx, link.EventTimeout, e)
}
