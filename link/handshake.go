package link

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/ibispier/ibispier/wire"
)

// ErrRefused is the cause of a handshake that failed because one end does not
// accept the other.
var ErrRefused = Error.New("refused")

// streamsPerLink is the number of streams of a link: control and data.
const streamsPerLink = 2

func sessionConfig(o Options) *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // the heartbeats of the link replace it
	cfg.LogOutput = io.Discard
	cfg.AcceptBacklog = streamsPerLink // further streams would hold their windows unread
	cfg.ConnectionWriteTimeout = o.HandshakeTimeout
	return cfg
}

// connect performs the dialing side of the handshake.
func connect(raw net.Conn, o Options) (*Conn, error) {
	session, err := yamux.Client(&coalescingConn{Conn: raw}, sessionConfig(o))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c, err := connectStreams(session, raw, o)
	if err != nil {
		abort(raw)
		_ = session.Close()
		return nil, Error.New("step=handshake peer=%s: %w", raw.RemoteAddr(), err)
	}
	return c, nil
}

func connectStreams(session *yamux.Session, raw net.Conn, o Options) (*Conn, error) {
	control, peer, err := openStream(session, o, wire.StreamKind_STREAM_CONTROL)
	if err != nil {
		return nil, err
	}
	data, _, err := openStream(session, o, wire.StreamKind_STREAM_DATA)
	if err != nil {
		return nil, err
	}
	return newConn(session, raw, o, peer, control, data), nil
}

func openStream(session *yamux.Session, o Options, kind wire.StreamKind) (*yamux.Stream, Identity, error) {
	s, err := session.OpenStream()
	if err != nil {
		return nil, Identity{}, err
	}
	_ = s.SetDeadline(time.Now().Add(o.HandshakeTimeout))
	if err := writeFrame(s, helloFrame(o.Local, kind)); err != nil {
		return nil, Identity{}, err
	}
	peer, err := readHello(s, o, kind)
	if err != nil {
		return nil, Identity{}, err
	}
	return s, peer, s.SetDeadline(time.Time{})
}

// accept performs the listening side of the handshake.
func accept(ctx context.Context, raw net.Conn, o Options) (*Conn, error) {
	limited := &limitedConn{Conn: raw}
	session, err := yamux.Server(&coalescingConn{Conn: limited}, sessionConfig(o))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, o.HandshakeTimeout)
	defer cancel()
	c, err := acceptStreams(ctx, session, limited, o)
	if err != nil {
		_ = session.Close()
		return nil, Error.New("step=handshake peer=%s: %w", raw.RemoteAddr(), err)
	}
	return c, nil
}

func acceptStreams(ctx context.Context, session *yamux.Session, raw *limitedConn, o Options) (*Conn, error) {
	control, peer, err := acceptStream(ctx, session, o, wire.StreamKind_STREAM_CONTROL, func() {})
	if err != nil {
		return nil, err
	}
	data, _, err := acceptStream(ctx, session, o, wire.StreamKind_STREAM_DATA, func() { raw.introduced.Store(true) })
	if err != nil {
		return nil, err
	}
	return newConn(session, raw, o, peer, control, data), nil
}

// acceptStream accepts one stream. It calls introduced before it answers the peer, who
// may send anything then.
func acceptStream(ctx context.Context, session *yamux.Session, o Options, kind wire.StreamKind, introduced func()) (*yamux.Stream, Identity, error) {
	s, err := session.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, Identity{}, err
	}
	_ = s.SetDeadline(time.Now().Add(o.HandshakeTimeout))
	peer, err := readHello(s, o, kind)
	if err != nil {
		sendRefusal(s, err)
		return nil, Identity{}, err
	}
	introduced()
	if err := writeFrame(s, helloFrame(o.Local, kind)); err != nil {
		return nil, Identity{}, err
	}
	return s, peer, s.SetDeadline(time.Time{})
}

// sendRefusal sends the reason why the other end is not accepted. It closes only
// the stream and waits until the other end has closed it too, so that the frame
// is delivered before the session is closed.
func sendRefusal(s *yamux.Stream, cause error) {
	f := &wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{Reason: cause.Error()}}}
	if writeFrame(s, f) == nil {
		_ = s.Close()
		_, _ = io.Copy(io.Discard, s)
	}
}

func helloFrame(local Identity, kind wire.StreamKind) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{
		Protocol:    ProtocolVersion,
		Role:        local.Role,
		Id:          local.ID,
		Zone:        local.Zone,
		Incarnation: local.Incarnation,
		Stream:      kind,
	}}}
}

func readHello(s *yamux.Stream, o Options, kind wire.StreamKind) (Identity, error) {
	f, err := readFrame(s)
	if err != nil {
		return Identity{}, err
	}
	if r := f.GetRefusal(); r != nil {
		return Identity{}, Error.New("reason=%q: %w", r.GetReason(), ErrRefused)
	}
	h := f.GetHello()
	switch {
	case h == nil:
		return Identity{}, Error.New("first frame is not hello: %w", ErrRefused)
	case h.GetProtocol() != ProtocolVersion:
		return Identity{}, Error.New("protocol %d, want %d: %w", h.GetProtocol(), ProtocolVersion, ErrRefused)
	case h.GetStream() != kind:
		return Identity{}, Error.New("stream %s, want %s: %w", h.GetStream(), kind, ErrRefused)
	case !o.accepts(h.GetRole()):
		return Identity{}, Error.New("role %s not accepted by %s: %w", h.GetRole(), o.Local.Role, ErrRefused)
	}
	return Identity{Role: h.GetRole(), ID: h.GetId(), Zone: h.GetZone(), Incarnation: h.GetIncarnation()}, nil
}

func writeFrame(s *yamux.Stream, f *wire.Frame) error {
	w := wire.NewWriter(s)
	if err := w.Write(f); err != nil {
		return err
	}
	return w.Flush()
}

// readFrame reads one frame without reading ahead, because the Conn creates a
// buffered reader of its own on the stream afterwards.
func readFrame(s *yamux.Stream) (*wire.Frame, error) {
	return wire.ReadUnbuffered(s, maxHelloBytes)
}
