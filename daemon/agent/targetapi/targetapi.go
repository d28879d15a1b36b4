// Package targetapi is the duty that serves the target beside the agent: the
// target announces itself and its leave.
package targetapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/daemon/agent/admission"
)

// Error is the class of all errors of this package.
var Error = errs.Class("targetapi")

const (
	readHeaderTimeout = 5 * time.Second
	maxBody           = 64 << 10
)

// Duty serves the target.
type Duty struct {
	server *http.Server
	socket net.Listener
	admit  *admission.Duty
}

// announcement is the body of PUT /v1/target. With a TTL the target must
// announce itself again within it.
type announcement struct {
	URL       string `json:"url"`
	TTLMillis int64  `json:"ttl_ms,omitempty"`
}

// New opens the socket and returns the duty.
func New(address string, admit *admission.Duty) (*Duty, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.New("step=listen addr=%s: %w", address, err)
	}
	d := &Duty{socket: socket, admit: admit}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/target", d.announce)
	mux.HandleFunc("DELETE /v1/target", d.leave)
	d.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	return d, nil
}

// Run serves until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.server.Close() })
	defer stop()
	err := d.server.Serve(d.socket)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.New("step=serve addr=%s: %w", d.socket.Addr(), err)
}

func (d *Duty) announce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&a); err != nil {
		http.Error(w, "body is not an announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	err := d.admit.AnnounceTarget(r.Context(), a.URL, time.Duration(a.TTLMillis)*time.Millisecond)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// leave answers when no request is at work in the target, so that the target
// can end after it.
func (d *Duty) leave(w http.ResponseWriter, r *http.Request) {
	if err := d.admit.LeaveTarget(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
