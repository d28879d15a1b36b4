package slots

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ibispier/ibispier/request"
)

// startTarget starts a server that calls handle for each request on a connection.
// handle returns false to close the connection. The counter is the number of
// requests received.
func startTarget(t *testing.T, handle func(n int64, conn net.Conn) bool) (*Endpoint, *atomic.Int64) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	received := new(atomic.Int64)
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go serve(conn, received, handle)
		}
	}()
	e, err := ParseEndpoint("http://" + socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return e, received
}

func serve(conn net.Conn, received *atomic.Int64, handle func(n int64, conn net.Conn) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !handle(received.Add(1), conn) {
			return
		}
	}
}

// respondOK writes a complete 200 response.
func respondOK(_ int64, conn net.Conn) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

func call(c *client, e *Endpoint, idempotent bool, timeout time.Duration) *request.Response {
	return c.call(context.Background(), e, &request.Request{
		ID: "r1", Customer: "c", Method: "POST", Path: "/x", Key: "k", Idempotent: idempotent,
		Deadline: time.Now().Add(timeout),
	}, "")
}

// Guards against resending a non-idempotent request after a broken call because
// it carries an Idempotency-Key, and against reporting NotRun or Done when the
// outcome is unknown.
func TestOutcomeOfBrokenCalls(t *testing.T) {
	const timeout = 5 * time.Second
	for _, c := range []struct {
		name    string
		handle  func(n int64, conn net.Conn) bool
		timeout time.Duration
		outcome request.Outcome
		reason  request.Reason
	}{
		{"closed without an answer", func(int64, net.Conn) bool { return false }, timeout, request.Unknown, request.ReasonTargetFailed},
		{"cut answer", func(_ int64, conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok")
			return false
		}, timeout, request.Unknown, request.ReasonTargetFailed},
		{"no answer in time", func(int64, net.Conn) bool { time.Sleep(time.Second); return false }, 50 * time.Millisecond, request.Unknown, request.ReasonDeadline},
		{"too large", func(_ int64, conn net.Conn) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n%2000d", 1)
			return true
		}, timeout, request.Unknown, request.ReasonTooLarge},
		{"after an interim answer", func(n int64, conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
			return respondOK(n, conn)
		}, timeout, request.Done, request.ReasonNone},
	} {
		e, received := startTarget(t, c.handle)
		cl := &client{maxBody: 1000}
		resp := call(cl, e, false, c.timeout)
		if resp.Outcome != c.outcome || resp.Reason != c.reason || received.Load() != 1 {
			t.Errorf("%s: %s %q after %d requests", c.name, resp.Outcome, resp.Reason, received.Load())
		}
		cl.close()
	}
}

// Guards against sending a request on a reused connection that the target has
// closed while it was idle.
func TestIdleConnectionClosedByTarget(t *testing.T) {
	closed := make(chan struct{}, 1)
	e, received := startTarget(t, func(n int64, conn net.Conn) bool {
		respondOK(n, conn)
		if n == 1 {
			_ = conn.Close()
			closed <- struct{}{}
		}
		return n > 1
	})
	cl := &client{maxBody: 1000}
	defer cl.close()
	if resp := call(cl, e, false, 5*time.Second); resp.Outcome != request.Done {
		t.Fatalf("first call: %s %q", resp.Outcome, resp.Reason)
	}
	<-closed
	for deadline := time.Now().Add(5 * time.Second); cl.reusable(e); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("closed connection still counts as reusable")
		}
	}
	if resp := call(cl, e, false, 5*time.Second); resp.Outcome != request.Done || received.Load() != 2 {
		t.Fatalf("second call: %s %q after %d requests", resp.Outcome, resp.Reason, received.Load())
	}
}

// Guards against reporting an unknown outcome when no connection could be opened.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e, _ := ParseEndpoint("http://" + socket.Addr().String())
	_ = socket.Close()
	if resp := call(&client{}, e, false, time.Second); resp.Outcome != request.NotRun {
		t.Fatalf("%s %q", resp.Outcome, resp.Reason)
	}
}

// Guards against request smuggling through line breaks in a path or header field.
func TestRefusesBrokenFraming(t *testing.T) {
	e, received := startTarget(t, respondOK)
	for _, r := range []*request.Request{
		{Method: "GET", Path: "/a HTTP/1.1\r\nX: y"},
		{Method: "GET", Path: "/", Header: []request.Field{{Name: "X", Value: "a\r\nY: b"}}},
		{Method: "GET", Path: "/", Customer: "a\nb"},
	} {
		r.Deadline = time.Now().Add(time.Second)
		resp := (&client{maxBody: 10}).call(context.Background(), e, r, "")
		if resp.Outcome != request.NotRun || resp.Reason != request.ReasonBadRequest || received.Load() != 0 {
			t.Errorf("%q: %s %q", r.Path, resp.Outcome, resp.Reason)
		}
	}
}
