package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/tcplisten"
	"github.com/ibispier/ibispier/wire"
)

const waitTimeout = 10 * time.Second

// recorder is a handler that passes its events to the test.
type recorder struct {
	up     chan *Conn
	down   chan error
	frames chan *wire.Frame
}

func newRecorder() *recorder {
	return &recorder{up: make(chan *Conn, 16), down: make(chan error, 16), frames: make(chan *wire.Frame, 4096)}
}

func (r *recorder) Up(_ context.Context, c *Conn) error {
	r.up <- c
	return nil
}

func (r *recorder) Frame(_ context.Context, _ *Conn, f *wire.Frame) error {
	r.frames <- f
	return nil
}

func (r *recorder) Down(_ *Conn, err error) { r.down <- err }

func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(waitTimeout):
		t.Fatalf("no %s within %s", what, waitTimeout)
		panic("unreachable")
	}
}

func runDuty(t *testing.T, d supervise.Duty) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		receive(t, done, "end of the duty")
	})
}

func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return socket
}

func openSocket(t *testing.T) *Socket {
	t.Helper()
	socket, err := Listen("127.0.0.1:0", tcplisten.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return socket
}

func options(role wire.Role, id string, accepts ...wire.Role) Options {
	return Options{Local: Identity{Role: role, ID: id, Zone: "zone-a"}, Accept: accepts}
}

// connectPair starts a listener, and a dialer that connects to the address that
// through returns for the address of the listener.
func connectPair(t *testing.T, through func(string) string) (server, client *recorder) {
	t.Helper()
	server, client = newRecorder(), newRecorder()
	socket := openSocket(t)
	runDuty(t, NewListener("test", socket, options(wire.Role_ROLE_ENTRY, "entry-1", wire.Role_ROLE_AGENT), server))
	address := through(socket.Addr())
	runDuty(t, NewDialer(address, options(wire.Role_ROLE_AGENT, "agent-1", wire.Role_ROLE_ENTRY), client))
	return server, client
}

func direct(address string) string { return address }

func leaveFrame(name string) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Leave{Leave: &wire.Leave{Target: name}}}
}

// Guards against lost or reordered frames and against a wrong peer identity.
func TestFramesArriveInOrder(t *testing.T) {
	server, client := connectPair(t, direct)
	accepted, dialed := receive(t, server.up, "link"), receive(t, client.up, "link")
	if accepted.Peer().ID != "agent-1" || accepted.Peer().Zone != "zone-a" || dialed.Peer().ID != "entry-1" {
		t.Fatalf("peers are %+v and %+v", accepted.Peer(), dialed.Peer())
	}
	const count = 500
	for i := range count {
		if err := dialed.SendData(leaveFrame(string(rune('a' + i%26)))); err != nil {
			t.Fatal(err)
		}
	}
	for i := range count {
		f := receive(t, server.frames, "frame")
		if got, want := f.GetLeave().GetTarget(), string(rune('a'+i%26)); got != want {
			t.Fatalf("frame %d is %q, want %q", i, got, want)
		}
	}
}

// Guards against one frame above the size limit that ends the link for all others.
func TestFrameAboveTheLimitDoesNotEndTheLink(t *testing.T) {
	server, client := connectPair(t, direct)
	receive(t, server.up, "link")
	dialed := receive(t, client.up, "link")
	large := &wire.Frame{Body: &wire.Frame_Response{Response: &wire.Response{Body: make([]byte, wire.MaxFrameBytes)}}}
	for _, send := range []func(*wire.Frame) error{dialed.Send, dialed.SendData} {
		if err := send(large); !errors.Is(err, wire.ErrFrameTooLarge) {
			t.Errorf("error %v, want a refusal of the frame", err)
		}
		if err := send(leaveFrame("next")); err != nil {
			t.Fatal(err)
		}
		if f := receive(t, server.frames, "frame after the refused one"); f.GetLeave().GetTarget() != "next" {
			t.Fatalf("frame %v", f)
		}
	}
	select {
	case err := <-client.down:
		t.Fatalf("the link has ended: %v", err)
	default:
	}
}

// Guards against a link with a process whose role is not accepted.
func TestWrongRoleIsRefused(t *testing.T) {
	server := newRecorder()
	socket := openSocket(t)
	runDuty(t, NewListener("test", socket, options(wire.Role_ROLE_ENTRY, "entry-1", wire.Role_ROLE_AGENT), server))
	refused := make(chan error, 64)
	o := options(wire.Role_ROLE_CONTROL, "control-1", wire.Role_ROLE_ENTRY)
	o.Observer = func(_, _ string, err error) {
		select {
		case refused <- err:
		default:
		}
	}
	runDuty(t, NewDialer(socket.Addr(), o, newRecorder()))
	if err := receive(t, refused, "refusal"); !Error.Has(err) {
		t.Fatalf("unexpected error %v", err)
	}
	if len(server.up) != 0 {
		t.Fatal("a link with the wrong role came up")
	}
}

// silentRelay is a TCP relay that can discard all data of its existing
// connections while they stay open. New connections work.
type silentRelay struct {
	target     string
	silentUpTo atomic.Int64 // connections up to this number are silent
	count      atomic.Int64
}

func startRelay(t *testing.T, target string) (*silentRelay, string) {
	r := &silentRelay{target: target}
	socket := listenTCP(t)
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			in, err := socket.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", r.target)
			if err != nil {
				_ = in.Close()
				continue
			}
			number := r.count.Add(1)
			go r.copy(out, in, number)
			go r.copy(in, out, number)
		}
	}()
	return r, socket.Addr().String()
}

// copy forwards data, and discards what it reads while the connection is silent.
func (r *silentRelay) copy(to, from net.Conn, number int64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if number <= r.silentUpTo.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil && err != io.EOF {
			return
		}
	}
}

// Guards against a link on a connection that stays open but no longer delivers
// data while new connections work: the link must be replaced well under a second
// after the connection went silent.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var relay *silentRelay
	server, client := connectPair(t, func(address string) string {
		var through string
		relay, through = startRelay(t, address)
		return through
	})
	receive(t, client.up, "link")
	receive(t, server.up, "link")
	relay.silentUpTo.Store(relay.count.Load())
	start := time.Now()
	receive(t, client.down, "end of the silent link")
	replacement := receive(t, client.up, "new link")
	t.Logf("replaced after %s", time.Since(start))
	if err := replacement.SendData(leaveFrame("after")); err != nil {
		t.Fatal(err)
	}
	for f := receive(t, server.frames, "frame"); f.GetLeave().GetTarget() != "after"; {
		f = receive(t, server.frames, "frame")
	}
}

// Guards against a listener that accepts no links after its supervisor has
// restarted it.
func TestListenerAcceptsAgainAfterARestart(t *testing.T) {
	socket := openSocket(t)
	for range 3 {
		server, client := newRecorder(), newRecorder()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 2)
		l := NewListener("test", socket, options(wire.Role_ROLE_ENTRY, "entry-1", wire.Role_ROLE_AGENT), server)
		d := NewDialer(socket.Addr(), options(wire.Role_ROLE_AGENT, "agent-1", wire.Role_ROLE_ENTRY), client)
		go func() { done <- l.Run(ctx) }()
		go func() { done <- d.Run(ctx) }()
		receive(t, server.up, "link")
		cancel()
		receive(t, done, "end of a duty")
		receive(t, done, "end of a duty")
	}
}
