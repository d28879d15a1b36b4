// Package frontend is the duty that serves callers over HTTP.
package frontend

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/daemon/entry/router"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/telemetry"
)

// Error is the class of all errors of this package.
var Error = errs.Class("frontend")

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Duty serves callers.
type Duty struct {
	server   *http.Server
	mux      *http.ServeMux
	socket   net.Listener
	calls    *router.Duty
	settings settings.Entry
	leaving  atomic.Bool
	log      *zap.Logger

	telemetry telemetry.Telemetry
}

// New returns the duty for callers that connect to socket.
func New(socket net.Listener, s settings.Entry, calls *router.Duty, logger *zap.Logger) *Duty {
	d := &Duty{socket: socket, calls: calls, settings: s, log: logger}
	mux := http.NewServeMux()
	d.mux = mux
	mux.HandleFunc("/v1/services/{service}/{path...}", d.observed(d.serveRequest))
	d.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.MaxHeader,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	return d
}

// Run serves until ctx ends or Drain is called.
func (d *Duty) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.server.Close() })
	defer stop()
	err := d.server.Serve(d.socket)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.New("step=serve addr=%s: %w", d.socket.Addr(), err)
}

// Quiesce makes callers with open connections connect elsewhere: from now on
// each answer closes its connection. Requests are still served.
func (d *Duty) Quiesce() { d.leaving.Store(true) }

// Drain stops accepting connections and waits for the requests in flight.
func (d *Duty) Drain(ctx context.Context) error {
	return Error.Wrap(d.server.Shutdown(ctx))
}

func (d *Duty) serveRequest(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	req, problem := d.parse(w, r, now)
	if problem != nil {
		writeResponse(w, requestID(r), problem)
		return
	}
	resp := d.calls.Do(r.Context(), router.NewCall(req))
	if resp == nil {
		return // the caller has gone
	}
	if d.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	writeResponse(w, req.ID, resp)
}
