// Package target implements a stand-in for a customer's target: a small HTTP server
// that records every request that it handles.
package target

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Options configure a stand-in target.
type Options struct {
	ServiceTime time.Duration // processing time of each request
	Discard     bool          // do not record requests
	Agent       string        // address of the agent to announce the target to; may be empty
}

// Run records one request that the target handled.
type Run struct {
	RequestID string    `json:"request_id"`
	Customer  string    `json:"customer"`
	Key       string    `json:"key,omitempty"`
	Path      string    `json:"path"`
	Start     time.Time `json:"start"`
}

// Target is a stand-in target. It is a supervise.Duty.
//
// A mutex guards the records because net/http runs the handlers on its own
// goroutines.
type Target struct {
	options      Options
	socket       net.Listener
	mu           sync.Mutex
	runs         []Run
	inFlight     int
	peakInFlight int
}

// New returns a target that serves on socket.
func New(socket net.Listener, o Options) *Target {
	return &Target{options: o, socket: socket}
}

// Run serves until ctx ends and then waits for the requests in flight.
func (t *Target) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /runs", t.serveRuns)
	mux.HandleFunc("/", t.serve)
	server := &http.Server{Handler: mux}
	stopped := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(stopped)
		t.shutDown(server)
	})
	defer cancel()
	if err := server.Serve(t.socket); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-stopped
	return nil
}

// Runs returns a copy of the records.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Peak returns the largest number of concurrent requests so far.
func (t *Target) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peakInFlight
}

func (t *Target) serveRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(t.Runs())
}

// serve echoes the request id, the URI and the body, so a caller can verify that the
// response is its own.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Ibispier-Request-Id")
	t.beginRequest(Run{
		RequestID: id,
		Customer:  r.Header.Get("Ibispier-Customer"),
		Key:       r.Header.Get("Idempotency-Key"),
		Path:      r.URL.RequestURI(),
		Start:     time.Now(),
	})
	defer t.endRequest()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !sleep(r.Context(), t.serviceTime(r)) {
		return
	}
	answer := id + " " + r.URL.RequestURI() + "\n" + string(body)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

func (t *Target) beginRequest(run Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.options.Discard {
		t.runs = append(t.runs, run)
	}
	t.inFlight++
	t.peakInFlight = max(t.peakInFlight, t.inFlight)
}

func (t *Target) endRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// serviceTime returns the processing time of r, which the query parameter sleep
// overrides.
func (t *Target) serviceTime(r *http.Request) time.Duration {
	if d, err := time.ParseDuration(r.URL.Query().Get("sleep")); err == nil {
		return d
	}
	return t.options.ServiceTime
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
