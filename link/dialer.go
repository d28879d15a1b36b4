package link

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/tcplisten"
)

// Bounds of the delay before the next dial attempt, without jitter.
const (
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
)

// Dialer is a duty that keeps one link to an address established.
type Dialer struct {
	address string
	options Options
	handler Handler
}

// NewDialer returns a Dialer to address.
func NewDialer(address string, o Options, h Handler) *Dialer {
	return &Dialer{address: address, options: o.withDefaults(), handler: h}
}

// Run dials until ctx ends. A failed dial is retried after an exponential delay
// with jitter.
func (d *Dialer) Run(ctx context.Context) error {
	var delay time.Duration
	for ctx.Err() == nil {
		linked, err := d.runOnce(ctx)
		if err != nil && ctx.Err() == nil {
			d.reportFailure(err)
		}
		delay = redialDelay(delay, linked)
		if !supervise.Sleep(ctx, delay/2+rand.N(delay)) {
			return nil
		}
	}
	return nil
}

// redialDelay returns the delay, without jitter, after one of last and a link that
// was up for linked. It starts anew only after a link that has lasted: a frozen peer
// accepts connections and answers none, and when it wakes it has to work through all
// that were made meanwhile.
func redialDelay(last, linked time.Duration) time.Duration {
	if last == 0 || linked > maxRedialDelay {
		return minRedialDelay
	}
	return min(2*last, maxRedialDelay)
}

// abort closes a connection with a reset, so that a frozen peer finds an error in place
// of a handshake when it wakes.
func abort(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it, the connection is closed in the usual way
	}
	_ = raw.Close()
}

// runOnce dials and runs the link until it is lost. It returns how long the link was
// up; 0 if there was none.
func (d *Dialer) runOnce(ctx context.Context) (time.Duration, error) {
	dialer := net.Dialer{Timeout: d.options.HandshakeTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", d.address)
	if err != nil {
		return 0, Error.New("step=dial peer=%s: %w", d.address, err)
	}
	c, err := connect(raw, d.options)
	if err != nil {
		_ = raw.Close()
		return 0, err
	}
	start := time.Now()
	err = c.run(ctx, d.handler)
	return time.Since(start), err
}

func (d *Dialer) reportFailure(err error) {
	if d.options.Observer != nil {
		d.options.Observer("link.dialer", d.address, err)
	}
}

// Socket is a listening address. It opens a new net.Listener for each run of a
// Listener, because a closed one cannot be used again after a restart.
type Socket struct {
	address  string
	options  tcplisten.Options
	listener net.Listener
}

// Listen opens a socket, so that an address in use is reported before any duty
// runs.
func Listen(address string, o tcplisten.Options) (*Socket, error) {
	listener, err := tcplisten.Listen(address, o)
	if err != nil {
		return nil, Error.New("step=listen addr=%s: %w", address, err)
	}
	return &Socket{address: listener.Addr().String(), options: o, listener: listener}, nil
}

// Addr returns the address that the socket listens on.
func (s *Socket) Addr() string { return s.address }

// take returns the net.Listener that Listen opened, and a new one on the same
// address for each later run.
func (s *Socket) take() (net.Listener, error) {
	if listener := s.listener; listener != nil {
		s.listener = nil
		return listener, nil
	}
	listener, err := tcplisten.Listen(s.address, s.options)
	if err != nil {
		return nil, Error.New("step=listen addr=%s: %w", s.address, err)
	}
	return listener, nil
}

// Close closes a socket that no Listener has started to use.
func (s *Socket) Close() error {
	if s.listener == nil {
		return nil
	}
	return s.listener.Close()
}

// Listener is a duty that accepts links.
type Listener struct {
	socket  *Socket
	options Options
	handler Handler
	links   *supervise.Supervisor
}

// NewListener returns the supervisor of a listener on socket and of the links
// that it accepts.
func NewListener(name string, socket *Socket, o Options, h Handler) *supervise.Supervisor {
	s := supervise.New(name, supervise.Policy{MaxFailures: supervise.Unlimited}, o.Observer)
	s.Add("accept", &Listener{socket: socket, options: o.withDefaults(), handler: h, links: s})
	return s
}

// Run accepts connections until ctx ends.
func (l *Listener) Run(ctx context.Context) error {
	listener, err := l.socket.take()
	if err != nil {
		return err
	}
	defer listener.Close()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	running := handshakes{limit: l.options.MaxHandshakes}
	for {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return Error.New("step=accept addr=%s: %w", l.socket.address, err)
		}
		if err := l.links.StartTemporary(ctx, "link "+raw.RemoteAddr().String(), l.serve(running.add(raw))); err != nil {
			_ = raw.Close()
		}
	}
}

func (l *Listener) serve(h *handshake) supervise.Duty {
	return supervise.Func(func(ctx context.Context) error {
		c, err := accept(ctx, h.raw, l.options)
		finished := h.finish()
		if err != nil {
			_ = h.raw.Close()
			return err
		}
		if !finished {
			c.Close()
			return Error.New("step=handshake peer=%s: too many: %w", c.addr, ErrRefused)
		}
		return c.run(ctx, l.handler)
	})
}
