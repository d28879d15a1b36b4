package link

import (
	"net"
	"sync/atomic"
)

// DefaultMaxHandshakes bounds the connections whose peer has not introduced itself yet.
const DefaultMaxHandshakes = 256

// maxHandshakeBytes bounds what a peer may send before it has introduced itself. The
// handshake takes some hundred bytes.
const maxHandshakeBytes = 64 << 10

// maxHelloBytes bounds the first frame of a stream.
const maxHelloBytes = 4 << 10

// handshake is an accepted connection. Its duty and the Listener decide together
// whether the peer introduces itself in time: who changes the state first.
type handshake struct {
	raw     net.Conn
	address string // IP address of the peer
	state   atomic.Int32
}

// States of a handshake.
const (
	handshakeRunning int32 = iota
	handshakeDone          // the link is established, or the connection has failed
	handshakeDisplaced
)

// finish reports whether the handshake has not been displaced before.
func (h *handshake) finish() bool {
	return h.state.CompareAndSwap(handshakeRunning, handshakeDone)
}

func (h *handshake) displace() {
	if h.state.CompareAndSwap(handshakeRunning, handshakeDisplaced) {
		_ = h.raw.Close()
	}
}

// handshakes are the running handshakes of a Listener, oldest first. Only its duty uses
// them.
type handshakes struct {
	limit   int
	running []*handshake
}

// add adds a handshake. At the limit, the oldest one of the address with the most gives
// way, so that a crowd that says nothing does not keep others out.
func (h *handshakes) add(raw net.Conn) *handshake {
	running := h.running[:0]
	for _, other := range h.running {
		if other.state.Load() == handshakeRunning {
			running = append(running, other)
		}
	}
	clear(h.running[len(running):])
	h.running = running
	if len(h.running) >= h.limit {
		i := h.oldestOfBusiest()
		h.running[i].displace()
		h.running = append(h.running[:i], h.running[i+1:]...)
	}
	address, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	added := &handshake{raw: raw, address: address}
	h.running = append(h.running, added)
	return added
}

func (h *handshakes) oldestOfBusiest() int {
	count := map[string]int{}
	for _, other := range h.running {
		count[other.address]++
	}
	found := 0
	for i, other := range h.running {
		if count[other.address] > count[h.running[found].address] {
			found = i
		}
	}
	return found
}

// limitedConn bounds what is read from a peer until it has introduced itself.
type limitedConn struct {
	net.Conn
	introduced atomic.Bool
	read       int // by the goroutine of the session that reads
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.introduced.Load() {
		return n, err
	}
	if c.read += n; c.read > maxHandshakeBytes {
		return 0, Error.New("step=handshake peer=%s: more than %d bytes: %w", c.RemoteAddr(), maxHandshakeBytes, ErrRefused)
	}
	return n, err
}
