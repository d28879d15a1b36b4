package control

import (
	"context"

	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/wire"
)

// roleHandler passes each link of the listener to the handler for the role of the
// peer.
type roleHandler struct {
	peers   link.Handler
	clients link.Handler // nil when clients are refused
}

func (h *roleHandler) acceptedRoles() []wire.Role {
	if h.clients == nil {
		return []wire.Role{wire.Role_ROLE_CONTROL}
	}
	return []wire.Role{
		wire.Role_ROLE_CONTROL, wire.Role_ROLE_ENTRY, wire.Role_ROLE_ADMIN, wire.Role_ROLE_AGENT,
	}
}

func (h *roleHandler) handlerFor(c *link.Conn) link.Handler {
	if c.Peer().Role == wire.Role_ROLE_CONTROL {
		return h.peers
	}
	return h.clients
}

// Up implements link.Handler.
func (h *roleHandler) Up(ctx context.Context, c *link.Conn) error { return h.handlerFor(c).Up(ctx, c) }

// Frame implements link.Handler.
func (h *roleHandler) Frame(ctx context.Context, c *link.Conn, f *wire.Frame) error {
	return h.handlerFor(c).Frame(ctx, c, f)
}

// Down implements link.Handler.
func (h *roleHandler) Down(c *link.Conn, err error) { h.handlerFor(c).Down(c, err) }
