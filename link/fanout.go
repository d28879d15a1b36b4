package link

import (
	"context"

	"github.com/ibispier/ibispier/wire"
)

// FrameHandler is a Handler for some kinds of frames.
type FrameHandler interface {
	Handler
	// Handles reports whether the handler processes frames of this kind.
	Handles(f *wire.Frame) bool
}

// Fanout returns a handler that passes Up and Down to all handlers, and each
// frame to every handler that processes its kind. A frame of a kind that no
// handler processes closes the link.
func Fanout(handlers ...FrameHandler) Handler { return fanout(handlers) }

type fanout []FrameHandler

// Up implements Handler.
func (h fanout) Up(ctx context.Context, c *Conn) error {
	for _, handler := range h {
		if err := handler.Up(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// Frame implements Handler.
func (h fanout) Frame(ctx context.Context, c *Conn, f *wire.Frame) error {
	handled := false
	for _, handler := range h {
		if !handler.Handles(f) {
			continue
		}
		handled = true
		if err := handler.Frame(ctx, c, f); err != nil {
			return err
		}
	}
	if !handled {
		return Error.New("step=handle peer=%s: unexpected frame %T", c.Peer().ID, f.GetBody())
	}
	return nil
}

// Down implements Handler.
func (h fanout) Down(c *Conn, err error) {
	for _, handler := range h {
		handler.Down(c, err)
	}
}
