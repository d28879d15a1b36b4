package client

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
)

// startServer serves the n-th request with the n-th handler, and all later ones
// with the last handler. It sends the request bodies to bodies.
func startServer(t *testing.T, bodies chan string, handlers ...http.HandlerFunc) string {
	t.Helper()
	turns := make(chan http.HandlerFunc, len(handlers))
	for _, h := range handlers {
		turns <- h
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- string(body)
		h := handlers[len(handlers)-1]
		select {
		case h = <-turns:
		default:
		}
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// dropConnection closes the connection without a response.
func dropConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// Guards against retrying a proposal under another change id after a lost
// response, which would change the configuration twice.
func TestResendKeepsTheChangeID(t *testing.T) {
	bodies := make(chan string, 4)
	address := startServer(t, bodies, dropConnection, respond(503, `{"error":{"reason":"unavailable","message":"no leader"}}`), respond(200, `{"change_id":"c1","state":"open"}`))
	c := New(Options{Admin: []string{address}, Timeout: 10 * time.Second})
	p, err := c.Propose(context.Background(), controlapi.ProposeRequest{ChangeID: "c1", Base: 7})
	if err != nil || p.State != controlapi.ProposalOpen {
		t.Fatalf("proposal %+v, error %v", p, err)
	}
	first := <-bodies
	for range 2 {
		if again := <-bodies; again != first || !strings.Contains(again, `"c1"`) {
			t.Errorf("resent %s after %s", again, first)
		}
	}
}

// Guards against giving up while another address still responds.
func TestNextAddressAfterLostOne(t *testing.T) {
	bodies := make(chan string, 4)
	good := startServer(t, bodies, respond(200, `{"leader":"c1"}`))
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	c := New(Options{Admin: []string{strings.TrimPrefix(dead.URL, "http://"), good}})
	status, err := c.Status(context.Background())
	if err != nil || status.Leader != "c1" {
		t.Fatalf("status %+v, error %v", status, err)
	}
}

// Guards against retrying a call that was refused for good, and against losing
// the reason of the refusal.
func TestRefusalIsFinal(t *testing.T) {
	bodies := make(chan string, 4)
	address := startServer(t, bodies, respond(409, `{"error":{"reason":"conflict","message":"lost against c2","step":"propose"}}`))
	c := New(Options{Admin: []string{address}})
	_, err := c.Propose(context.Background(), controlapi.ProposeRequest{ChangeID: "c1"})
	var failed *Error
	if !errors.As(err, &failed) || failed.Retryable() || failed.Detail.Reason != "conflict" || failed.Detail.Step != "propose" {
		t.Fatalf("error %v", err)
	}
	if len(bodies) != 1 {
		t.Errorf("sent %d times", len(bodies))
	}
}

// Guards against retrying without a time limit when no process has a quorum.
func TestUnavailableAfterTimeout(t *testing.T) {
	bodies := make(chan string, 64)
	address := startServer(t, bodies, respond(503, `{"error":{"reason":"no_quorum","message":"no leader"}}`))
	c := New(Options{Admin: []string{address}, Timeout: 300 * time.Millisecond})
	_, err := c.Status(context.Background())
	var failed *Error
	if !errors.As(err, &failed) || !failed.Retryable() {
		t.Fatalf("error %v", err)
	}
}
