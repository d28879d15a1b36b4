// Package frontend implements the HTTP server for callers.
package frontend

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlhttp"
	"github.com/ibispier/ibispier/daemon/entry/router"
	"github.com/ibispier/ibispier/httpduty"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/telemetry"
)

// Error is the class of this package's errors.
var Error = errs.Class("frontend")

const (
	idleTimeout = 2 * time.Minute
)

// Duty is the HTTP server for callers, run by the entry supervisor.
type Duty struct {
	*httpduty.Server
	mux       *http.ServeMux
	router    *router.Duty
	settings  settings.Entry
	quiescing atomic.Bool
	log       *zap.Logger

	telemetry telemetry.Telemetry
}

// New opens the listening socket for callers and returns the duty.
func New(s *settings.Settings, requestRouter *router.Duty, limits *httpduty.Limits, logger *zap.Logger) (*Duty, error) {
	d := &Duty{mux: http.NewServeMux(), router: requestRouter, settings: s.Entry, log: logger}
	d.mux.HandleFunc("/v1/services/{service}/{path...}", d.instrument(d.serveRequest))
	bounds := s.Bounds().Callers
	server, err := httpduty.New(s.Entry.Listen, httpduty.Options{
		Handler:        d.mux,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: s.Entry.MaxHeaderBytes,
		MaxBodyBytes:   max(s.Entry.MaxBodyBytes, controlhttp.MaxBodyBytes), // of requests, of tasks
		MaxConnections: bounds.Connections,
		Socket:         bounds.Socket,
		Limits:         limits,
		RefuseBody:     refuseBody,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.Server = server
	return d, nil
}

// refuseBody answers a request whose body is not admitted. It has not run.
func refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	w.Header().Set("Connection", "close")
	writeResponse(w, requestID(r), bodyRefusal(err))
}

// Quiesce makes callers with open connections reconnect to other entry
// instances: from now on each response closes its connection. Requests are
// still served.
func (d *Duty) Quiesce() { d.quiescing.Store(true) }

// Drain stops accepting connections and waits for the requests in flight.
func (d *Duty) Drain(ctx context.Context) error {
	return Error.Wrap(d.Shutdown(ctx))
}

func (d *Duty) serveRequest(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	req, refusal := d.parseRequest(w, r, now)
	if refusal != nil {
		writeResponse(w, requestID(r), refusal)
		return
	}
	resp := d.router.Do(r.Context(), router.NewCall(req))
	if resp == nil {
		return // the caller has disconnected
	}
	if d.quiescing.Load() {
		w.Header().Set("Connection", "close")
	}
	writeResponse(w, req.ID, resp)
}
