package httpduty

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ibispier/ibispier/httpduty/connlimit"
)

const (
	// writePiece is sent within writeTimeout, or the connection is closed. A client that
	// reads 7 kB a second keeps to it; one that does not read would hold its response
	// and its connection for ever.
	writePiece   = 64 << 10
	writeTimeout = 10 * time.Second
)

// conn is a connection of a Server. Its entry is guarded by the mutex of the server.
type conn struct {
	net.Conn
	server  *Server
	address string // IP address of the client
	entry   *connlimit.Conn
}

// Write sends p in pieces with a deadline each.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for first := true; first || written < len(p); first = false {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		if err != nil {
			return written, err
		}
	}
	// A deadline that is left would wake the process up later.
	return written, c.SetWriteDeadline(time.Time{})
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	c.server.connections.Remove(c.entry)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the sending side. net/http looks for it: without it, the client of a
// refused body may see a reset in place of the refusal.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// limitedListener accepts connections up to the limit of the server.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. It closes what the server may not hold.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.hold(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// hold returns the connection if the server may hold it. It closes the one that gives
// way to it.
func (s *Server) hold(raw net.Conn) *conn {
	address, _, err := net.SplitHostPort(raw.RemoteAddr().String())
	if err != nil {
		return nil
	}
	c := &conn{Conn: raw, server: s, address: address}
	displaced := s.add(c)
	if c.entry == nil && s.limits.displaceStalled(s) {
		displaced = s.add(c)
	}
	if c.entry == nil {
		s.limits.countClosed(reasonFull, address, s.address)
		return nil
	}
	if displaced != nil {
		s.limits.countClosed(reasonDisplaced, displaced.address, s.address)
		_ = displaced.Close()
	}
	return c
}

func (s *Server) add(c *conn) (displaced *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, gave := s.connections.Add(c.address, c)
	c.entry = entry
	if gave == nil {
		return nil
	}
	return gave.Owner.(*conn)
}

// observeState follows which connections have a request under way.
func (s *Server) observeState(raw net.Conn, state http.ConnState) {
	c := raw.(*conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateActive:
		s.connections.Active(c.entry)
	case http.StateIdle:
		s.connections.Idle(c.entry)
	}
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
