package link

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/ibispier/ibispier/supervise"
)

// Bounds of the pause before a new dial attempt.
const (
	minRedial = 50 * time.Millisecond
	maxRedial = time.Second
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
	delay := minRedial
	for ctx.Err() == nil {
		start := time.Now()
		if err := d.runOnce(ctx); err != nil && ctx.Err() == nil {
			d.observe(err)
		}
		if time.Since(start) > maxRedial {
			delay = minRedial
		}
		if !supervise.Sleep(ctx, delay/2+rand.N(delay)) {
			return nil
		}
		delay = min(2*delay, maxRedial)
	}
	return nil
}

func (d *Dialer) runOnce(ctx context.Context) error {
	dialer := net.Dialer{Timeout: d.options.HandshakeTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", d.address)
	if err != nil {
		return Error.New("step=dial peer=%s: %w", d.address, err)
	}
	c, err := connect(raw, d.options)
	if err != nil {
		_ = raw.Close()
		return err
	}
	return c.run(ctx, d.handler)
}

func (d *Dialer) observe(err error) {
	if d.options.Observer != nil {
		d.options.Observer("link.dialer", d.address, err)
	}
}

// Listener is a duty that accepts links.
type Listener struct {
	socket  net.Listener
	options Options
	handler Handler
	links   *supervise.Supervisor
}

// NewListener returns the supervisor of a listener on socket and of the links
// that it accepts.
func NewListener(name string, socket net.Listener, o Options, h Handler) *supervise.Supervisor {
	s := supervise.New(name, supervise.Policy{Intensity: supervise.Unlimited}, o.Observer)
	l := &Listener{socket: socket, options: o.withDefaults(), handler: h, links: s}
	s.Add("accept", l)
	s.Add("close", supervise.Func(l.closeOnCancel))
	return s
}

// Run accepts connections until ctx ends.
func (l *Listener) Run(ctx context.Context) error {
	for {
		raw, err := l.socket.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return Error.New("step=accept addr=%s: %w", l.socket.Addr(), err)
		}
		if err := l.links.Start(ctx, "link "+raw.RemoteAddr().String(), l.serve(raw)); err != nil {
			_ = raw.Close()
		}
	}
}

func (l *Listener) serve(raw net.Conn) supervise.Duty {
	return supervise.Func(func(ctx context.Context) error {
		c, err := accept(ctx, raw, l.options)
		if err != nil {
			_ = raw.Close()
			return err
		}
		return c.run(ctx, l.handler)
	})
}

func (l *Listener) closeOnCancel(ctx context.Context) error {
	<-ctx.Done()
	return l.socket.Close()
}
