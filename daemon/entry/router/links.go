package router

import (
	"context"

	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/wire"
)

// Handles reports whether the duty handles frames of this type.
func (d *Duty) Handles(f *wire.Frame) bool {
	switch f.GetBody().(type) {
	case *wire.Frame_Response, *wire.Frame_Announce, *wire.Frame_ClaimAnswer:
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
	case *wire.Frame_Response:
		return d.put(ctx, event{conn: c, response: body.Response})
	case *wire.Frame_Announce:
		return d.put(ctx, event{conn: c, announce: body.Announce})
	case *wire.Frame_ClaimAnswer:
		return d.put(ctx, event{conn: c, claim: body.ClaimAnswer})
	default:
		return link.Error.New("step=route peer=%s: unexpected frame %T", c.Peer().ID, body)
	}
}

// Down implements link.Handler.
func (d *Duty) Down(c *link.Conn, _ error) {
	_ = d.put(context.Background(), event{conn: c, down: true})
}

func (d *Duty) put(ctx context.Context, e event) error {
	return d.events.PutWithin(ctx, link.EventTimeout, e)
}
