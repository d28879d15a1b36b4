// Package target is a stand-in for a customer's target: a small HTTP server
// that records every request that it runs.
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
	ServiceTime time.Duration // time that each request takes
	Discard     bool          // keep no record of the requests that ran
	Agent       string        // address of the agent that the target announces itself to; may be empty
}

// Run is the record of one request that ran.
type Run struct {
	RequestID string    `json:"request_id"`
	Customer  string    `json:"customer"`
	Key       string    `json:"key,omitempty"`
	Path      string    `json:"path"`
	Start     time.Time `json:"start"`
}

// Target is a stand-in target. It is a supervise.Duty.
//
// The record is guarded by a mutex because the handlers run on goroutines of
// net/http.
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

// Run serves until ctx ends and finishes the requests in flight.
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

// Runs returns the requests that ran.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Peak returns the largest number of requests that were at work at once.
func (t *Target) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peakInFlight
}

func (t *Target) serveRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(t.Runs())
}

// serve answers with the request id, the path and the body of the request, so
// that a caller can tell its own answer.
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

// serviceTime lets a request choose its own time with the query sleep.
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
