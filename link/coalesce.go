package link

import (
	"encoding/binary"
	"net"
)

// Layout of the header that yamux writes before the body of a data frame.
const (
	yamuxHeaderBytes  = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxTypeData     = 0
)

// coalescingConn joins the header and the body of a yamux frame, which yamux writes
// one after the other, into one write: one system call and one segment instead of
// two. It is written to by one goroutine, the sender of the session.
type coalescingConn struct {
	net.Conn
	buf []byte // a header whose body follows
}

// Write implements net.Conn.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.buf) == 0 && announcesBody(p) {
		c.buf = append(c.buf, p...)
		return len(p), nil
	}
	if len(c.buf) == 0 {
		return c.Conn.Write(p)
	}
	c.buf = append(c.buf, p...)
	header := len(c.buf) - len(p)
	n, err := c.Conn.Write(c.buf)
	c.buf = c.buf[:0]
	return max(n-header, 0), err
}

// announcesBody reports whether p is the header of a data frame with a body.
func announcesBody(p []byte) bool {
	return len(p) == yamuxHeaderBytes && p[yamuxTypeOffset] == yamuxTypeData && binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0
}
