// Package targetapi implements the local HTTP API through which the target
// announces itself to its agent and asks to be drained.
package targetapi

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/daemon/agent/admission"
	"github.com/ibispier/ibispier/httpduty"
	"github.com/ibispier/ibispier/settings"
)

// Error is the class of this package's errors.
var Error = errs.Class("targetapi")

const (
	maxBody = 64 << 10
)

// Duty is the HTTP server for the target, run by the agent supervisor.
type Duty struct {
	*httpduty.Server
	admission *admission.Duty
}

// announcement is the body of PUT /v1/target. If it has a TTL, the target must
// repeat the announcement before the TTL expires.
type announcement struct {
	URL       string `json:"url"`
	TTLMillis int64  `json:"ttl_ms,omitempty"`
}

// New opens the listening socket and returns the duty.
func New(s *settings.Settings, admissionDuty *admission.Duty, limits *httpduty.Limits) (*Duty, error) {
	d := &Duty{admission: admissionDuty}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/target", d.announce)
	mux.HandleFunc("DELETE /v1/target", d.drain)
	bounds := s.Bounds().Others
	server, err := httpduty.New(s.Agent.Listen, httpduty.Options{
		Handler:        mux,
		MaxBodyBytes:   maxBody,
		MaxConnections: bounds.Connections,
		Socket:         bounds.Socket,
		Limits:         limits,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.Server = server
	return d, nil
}

func (d *Duty) announce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	data, err := httpduty.ReadBody(r, maxBody)
	if err != nil {
		httpduty.WriteBodyError(w, err)
		return
	}
	if err := json.Unmarshal(data, &a); err != nil {
		http.Error(w, "invalid announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	err = d.admission.AnnounceTarget(r.Context(), a.URL, time.Duration(a.TTLMillis)*time.Millisecond)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// drain handles DELETE /v1/target. It drains the target and responds once no
// request is in progress there, so that the target can exit.
func (d *Duty) drain(w http.ResponseWriter, r *http.Request) {
	if err := d.admission.DrainTarget(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
