package link

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("link")

// ProtocolVersion is the version of the messages that this build speaks.
const ProtocolVersion = 1

// Defaults of Options, and the largest number of frames that are written before
// a flush.
const (
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultSilenceTimeout    = 600 * time.Millisecond
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultRingCapacity      = 1024
	maxBatchFrames           = 128
)

// EventTimeout bounds how long a Handler waits for room in the ring of the duty
// that processes its events. A duty that takes longer is considered failed, and
// the link is closed.
const EventTimeout = time.Second

// Identity describes one end of a link.
type Identity struct {
	Role        wire.Role
	ID          string
	Zone        string
	Incarnation uint64
}

// Options configures the local end of links.
type Options struct {
	Local             Identity
	Accept            []wire.Role   // roles accepted at the other end
	HeartbeatInterval time.Duration // default DefaultHeartbeatInterval
	SilenceTimeout    time.Duration // default DefaultSilenceTimeout
	HandshakeTimeout  time.Duration // default DefaultHandshakeTimeout
	RingCapacity      int           // frames queued for each stream
	MaxHandshakes     int           // connections accepted whose peer has not introduced itself; default DefaultMaxHandshakes
	ConfigRevision    func() uint64 // revision sent in heartbeats; may be nil
	Observer          supervise.Observer
}

func (o Options) withDefaults() Options {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = DefaultSilenceTimeout
	}
	if o.HandshakeTimeout == 0 {
		o.HandshakeTimeout = DefaultHandshakeTimeout
	}
	if o.RingCapacity == 0 {
		o.RingCapacity = DefaultRingCapacity
	}
	if o.MaxHandshakes == 0 {
		o.MaxHandshakes = DefaultMaxHandshakes
	}
	if o.ConfigRevision == nil {
		o.ConfigRevision = func() uint64 { return 0 }
	}
	return o
}

func (o Options) accepts(role wire.Role) bool {
	for _, r := range o.Accept {
		if r == role {
			return true
		}
	}
	return false
}

// Handler receives the events of links. The duties of a link call its methods,
// which must do nothing but add the event to a ring.
type Handler interface {
	// Up reports an established link. An error closes it.
	Up(ctx context.Context, c *Conn) error
	// Frame reports a received frame. An error closes the link.
	Frame(ctx context.Context, c *Conn, f *wire.Frame) error
	// Down reports that the link has ended. It is the last event of c.
	Down(c *Conn, err error)
}

// Conn is an established link.
type Conn struct {
	peer               Identity
	addr               string
	session            *yamux.Session
	control            *stream
	data               *stream
	options            Options
	peerConfigRevision atomic.Uint64
	pending            atomic.Int64 // frames queued and not yet written
	rtt                rttEstimator
	gap                heartbeatGap
}

type stream struct {
	raw      *yamux.Stream
	outgoing *ring.Ring[*wire.Frame]
	writer   *wire.Writer
	reader   *wire.Reader
}

func newStream(raw *yamux.Stream, name string, capacity int) *stream {
	return &stream{
		raw:      raw,
		outgoing: ring.New[*wire.Frame](name, capacity),
		writer:   wire.NewWriter(raw),
		reader:   wire.NewReader(raw),
	}
}

// Peer returns the identity that the other end announced.
func (c *Conn) Peer() Identity { return c.peer }

// Addr returns the address of the other end.
func (c *Conn) Addr() string { return c.addr }

// PeerConfigRevision returns the configuration revision in the last heartbeat.
func (c *Conn) PeerConfigRevision() uint64 { return c.peerConfigRevision.Load() }

// Send queues a frame on the control stream. It returns an error without waiting
// when the frame is too large, the ring is full or the link has ended.
func (c *Conn) Send(f *wire.Frame) error {
	return c.offer(c.control, f)
}

// SendData queues a frame on the data stream. It returns an error without
// waiting when the frame is too large, the ring is full or the link has ended.
func (c *Conn) SendData(f *wire.Frame) error {
	return c.offer(c.data, f)
}

// offer queues a frame. A frame that is too large is refused here: in the sender, its
// error would end the link for all other frames.
func (c *Conn) offer(s *stream, f *wire.Frame) error {
	if err := wire.CheckSize(f); err != nil {
		err = c.wrap("send", err)
		if c.options.Observer != nil {
			c.options.Observer("link."+c.peer.ID, "frame", err)
		}
		return err
	}
	c.pending.Add(1)
	if err := s.outgoing.Offer(f); err != nil {
		c.pending.Add(-1)
		return c.wrap("send", err)
	}
	return nil
}

// Pending returns the number of frames that are queued and not yet written. A
// planned stop waits until it is 0.
func (c *Conn) Pending() int { return int(c.pending.Load()) }

// Close ends the link.
func (c *Conn) Close() { _ = c.session.Close() }

func (c *Conn) wrap(step string, err error) error {
	if err == nil {
		return nil
	}
	return Error.New("step=%s peer=%s addr=%s: %w", step, c.peer.ID, c.addr, err)
}

// wrapRead is wrap for an error of a read, with the evidence that tells a process that
// was not scheduled from a silent peer.
func (c *Conn) wrapRead(err error) error {
	gap := c.gap.longest(time.Since(c.rtt.start)).Round(time.Millisecond)
	return Error.New("step=read peer=%s addr=%s own_heartbeat_gap=%s: %w", c.peer.ID, c.addr, gap, err)
}

// run runs the duties of the link until one of them ends.
func (c *Conn) run(ctx context.Context, h Handler) error {
	if err := h.Up(ctx, c); err != nil {
		c.teardown()
		h.Down(c, err) // some handlers of a Fanout may have accepted the link
		return c.wrap("up", err)
	}
	s := supervise.New("link."+c.peer.ID, supervise.Policy{Strategy: supervise.EndTogether}, nil)
	s.Add("control.sender", c.closeSessionAfter(supervise.Func(c.sendControl)))
	s.Add("control.receiver", c.closeSessionAfter(c.receiver(c.control, h)))
	s.Add("data.sender", c.closeSessionAfter(supervise.Func(c.sendData)))
	s.Add("data.receiver", c.closeSessionAfter(c.receiver(c.data, h)))
	s.Add("closer", supervise.Func(c.closeOnCancel))
	err := s.Run(ctx)
	c.teardown()
	h.Down(c, err)
	return err
}

func (c *Conn) teardown() {
	c.control.outgoing.Close()
	c.data.outgoing.Close()
	_ = c.session.Close()
}

// closeSessionAfter closes the session when d ends, which unblocks the other duties.
func (c *Conn) closeSessionAfter(d supervise.Duty) supervise.Duty {
	return supervise.Func(func(ctx context.Context) error {
		defer c.session.Close()
		return d.Run(ctx)
	})
}

// closeOnCancel unblocks reads and writes when the link is cancelled.
func (c *Conn) closeOnCancel(ctx context.Context) error {
	<-ctx.Done()
	return c.session.Close()
}

func (c *Conn) sendControl(ctx context.Context) error {
	ticker := time.NewTicker(c.options.HeartbeatInterval)
	defer ticker.Stop()
	var sequence uint64
	batch := make([]*wire.Frame, 0, maxBatchFrames)
	for {
		isHeartbeat := false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			sequence++
			c.pending.Add(1)
			batch = append(batch[:0], c.heartbeat(sequence))
			isHeartbeat = true
		case f := <-c.control.outgoing.C():
			batch = append(batch[:0], f)
		}
		batch = c.control.outgoing.Drain(batch, maxBatchFrames)
		if err := c.writeBatch(c.control, batch); err != nil {
			return err
		}
		if isHeartbeat {
			c.gap.record(time.Since(c.rtt.start))
		}
	}
}

func (c *Conn) heartbeat(sequence uint64) *wire.Frame {
	sentMicros, echoMicros, delayMicros := c.rtt.heartbeatTimes()
	return &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{
		Sequence:        sequence,
		ConfigRevision:  c.options.ConfigRevision(),
		SentMicros:      sentMicros,
		EchoMicros:      echoMicros,
		EchoDelayMicros: delayMicros,
	}}}
}

func (c *Conn) sendData(ctx context.Context) error {
	batch := make([]*wire.Frame, 0, maxBatchFrames)
	for {
		f, err := c.data.outgoing.Take(ctx)
		if err != nil {
			return nil
		}
		batch = c.data.outgoing.Drain(append(batch[:0], f), maxBatchFrames)
		if err := c.writeBatch(c.data, batch); err != nil {
			return err
		}
	}
}

func (c *Conn) writeBatch(s *stream, batch []*wire.Frame) error {
	for i, f := range batch {
		if err := s.writer.Write(f); err != nil {
			return c.wrap("write", err)
		}
		batch[i] = nil
	}
	err := s.writer.Flush()
	c.pending.Add(-int64(len(batch)))
	return c.wrap("flush", err)
}

// receiver returns the duty that reads one stream. Only the control stream has
// heartbeats, so only it has a read deadline.
func (c *Conn) receiver(s *stream, h Handler) supervise.Duty {
	return supervise.Func(func(ctx context.Context) error {
		for {
			if s == c.control {
				_ = s.raw.SetReadDeadline(time.Now().Add(c.options.SilenceTimeout))
			}
			f, err := s.reader.Read()
			if err != nil {
				return c.wrapRead(err)
			}
			if hb := f.GetHeartbeat(); hb != nil {
				c.peerConfigRevision.Store(hb.GetConfigRevision())
				c.rtt.observe(hb)
				continue
			}
			if err := h.Frame(ctx, c, f); err != nil {
				return c.wrap("handle", err)
			}
		}
	})
}

func newConn(session *yamux.Session, raw net.Conn, o Options, peer Identity, control, data *yamux.Stream) *Conn {
	return &Conn{
		peer:    peer,
		addr:    raw.RemoteAddr().String(),
		session: session,
		control: newStream(control, "link."+peer.ID+".control", o.RingCapacity),
		data:    newStream(data, "link."+peer.ID+".data", o.RingCapacity),
		options: o,
		rtt:     rttEstimator{start: time.Now()},
	}
}
