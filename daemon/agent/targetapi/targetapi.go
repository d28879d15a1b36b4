// Package targetapi is the duty that serves the target beside the agent: the
// target announces itself and its leave.
package targetapi

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/daemon/agent/admission"
	"github.com/ibispier/ibispier/httpduty"
)

// Error is the class of all errors of this package.
var Error = errs.Class("targetapi")

const (
	maxBody = 64 << 10
)

// Duty serves the target.
type Duty struct {
	*httpduty.Server
	admission *admission.Duty
}

// announcement is the body of PUT /v1/target. With a TTL the target must
// announce itself again within it.
type announcement struct {
	URL       string `json:"url"`
	TTLMillis int64  `json:"ttl_ms,omitempty"`
}

// New opens the socket and returns the duty.
func New(address string, admissionDuty *admission.Duty) (*Duty, error) {
	d := &Duty{admission: admissionDuty}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/target", d.announce)
	mux.HandleFunc("DELETE /v1/target", d.leave)
	server, err := httpduty.New(address, httpduty.Options{Handler: mux})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.Server = server
	return d, nil
}

func (d *Duty) announce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&a); err != nil {
		http.Error(w, "body is not an announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	err := d.admission.AnnounceTarget(r.Context(), a.URL, time.Duration(a.TTLMillis)*time.Millisecond)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// leave answers when no request is at work in the target, so that the target
// can end after it.
func (d *Duty) leave(w http.ResponseWriter, r *http.Request) {
	if err := d.admission.DrainTarget(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
