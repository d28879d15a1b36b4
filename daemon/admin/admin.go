// Package admin implements the duty that serves the operator API, health probes,
// metrics and profiles over HTTP.
package admin

import (
	"net/http"
	"net/http/pprof"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/controlhttp"
	"github.com/ibispier/ibispier/httpduty"
	"github.com/ibispier/ibispier/settings"
)

// Error is the class of all errors of this package.
var Error = errs.Class("admin")

// Readiness tells whether the process should receive new work. The root supervisor
// sets it, and any duty may read it.
type Readiness struct {
	ready      atomic.Bool
	conditions []func() bool
}

// Require adds a condition that Ready checks. It must be called before Run.
func (r *Readiness) Require(condition func() bool) { r.conditions = append(r.conditions, condition) }

// Set marks the process as ready or not ready.
func (r *Readiness) Set(ready bool) { r.ready.Store(ready) }

// Ready reports whether the process is marked as ready and all conditions hold.
func (r *Readiness) Ready() bool {
	if !r.ready.Load() {
		return false
	}
	for _, holds := range r.conditions {
		if !holds() {
			return false
		}
	}
	return true
}

// Duty is the HTTP server for operators.
type Duty struct {
	*httpduty.Server
	mux *http.ServeMux
}

// New opens the socket and returns the duty.
func New(s *settings.Settings, readiness *Readiness, limits *httpduty.Limits) (*Duty, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { serveReady(w, readiness) })
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	maxBody := int64(controlhttp.MaxBodyBytes)
	if s.Jobs.Enabled {
		maxBody = httpduty.DefaultMaxBodyBytes // the operations with larger bodies are unavailable
	}
	bounds := s.Bounds().Secondary
	server, err := httpduty.New(s.Admin.Listen, httpduty.Options{
		Handler:        mux,
		MaxBodyBytes:   maxBody,
		MaxConnections: bounds.Connections,
		Socket:         bounds.Socket,
		Limits:         limits,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Duty{Server: server, mux: mux}, nil
}

// Handle adds a handler. It must be called before Run.
func (d *Duty) Handle(pattern string, h http.Handler) { d.mux.Handle(pattern, h) }

func serveReady(w http.ResponseWriter, readiness *Readiness) {
	if !readiness.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
