package testcluster

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Mode is how a relay treats its connections.
type Mode int

// Modes of a relay.
const (
	Forward   Mode = iota
	Blackhole      // keep connections open and drop all data
	Refuse         // close connections and reject new ones
	Foreign        // answer new connections as an HTTP server that knows no ibispier
)

// foreignAnswer is what a server of another kind sends to a peer that it does not
// understand.
const foreignAnswer = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Relay is a TCP relay between two processes.
type Relay struct {
	socket net.Listener
	target string
	bytes  atomic.Int64

	mu         sync.Mutex
	mode       Mode
	delay      time.Duration
	blackholed map[net.Conn]bool // connections whose data is dropped permanently
	open       map[net.Conn]bool // open connections; true if the dialing process is at the other end
}

// StartRelay starts a relay to target on a free port.
func StartRelay(t testing.TB, target string) *Relay {
	t.Helper()
	return StartRelayAt(t, "127.0.0.1:0", target)
}

// StartRelayAt starts a relay to target that listens on the address.
func StartRelayAt(t testing.TB, address, target string) *Relay {
	t.Helper()
	socket, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{socket: socket, target: target, blackholed: map[net.Conn]bool{}, open: map[net.Conn]bool{}}
	go r.accept()
	t.Cleanup(func() {
		_ = socket.Close()
		r.SetMode(Refuse)
	})
	return r
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.socket.Addr().String() }

// Bytes returns the number of bytes forwarded in both directions.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// SetMode sets the mode from now on. Refuse also closes the open connections.
func (r *Relay) SetMode(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	if m == Refuse {
		for c := range r.open {
			_ = c.Close()
		}
	}
}

// SetDelay delays all forwarded data by d from now on.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// BlackholeOpen drops all data on the connections that are open now, permanently.
// New connections work.
func (r *Relay) BlackholeOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		r.blackholed[c] = true
	}
}

// BlackholeOneWay permanently drops the data of one direction on the connections
// that are open now: from the dialing process, or towards it.
func (r *Relay) BlackholeOneWay(fromDialer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, dialed := range r.open {
		if dialed == fromDialer {
			r.blackholed[c] = true
		}
	}
}

func (r *Relay) accept() {
	for {
		in, err := r.socket.Accept()
		if err != nil {
			return
		}
		go r.serve(in)
	}
}

func (r *Relay) serve(in net.Conn) {
	switch r.modeOf(in) {
	case Refuse:
		_ = in.Close()
		return
	case Foreign:
		_, _ = io.WriteString(in, foreignAnswer)
		_ = in.Close()
		return
	case Blackhole:
		// Nothing answers: the process behind the relay may be gone.
		r.mu.Lock()
		r.open[in], r.blackholed[in] = true, true
		r.mu.Unlock()
		defer r.closePair(in, in)
		_, _ = io.Copy(io.Discard, in)
		return
	}
	out, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	r.mu.Lock()
	r.open[in], r.open[out] = true, false
	r.mu.Unlock()
	go r.copy(out, in)
	r.copy(in, out)
}

func (r *Relay) copy(to, from net.Conn) {
	defer r.closePair(to, from)
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		switch r.modeOf(from) {
		case Refuse:
			return
		case Blackhole:
			continue
		}
		r.bytes.Add(int64(n))
		time.Sleep(r.currentDelay())
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// closePair closes both ends, but leaves a open while it is blackholed, so that
// its peer sees no close.
func (r *Relay) closePair(a, b net.Conn) {
	if r.modeOf(a) != Blackhole {
		_ = a.Close()
	}
	_ = b.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, a)
	delete(r.open, b)
}

func (r *Relay) modeOf(c net.Conn) Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blackholed[c] {
		return Blackhole
	}
	return r.mode
}

func (r *Relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}
