// Package probe implements the duty that checks the health of the target.
package probe

import (
	"context"
	"net/http"
	"time"

	"github.com/ibispier/ibispier/daemon/agent/slots"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/supervise"
)

const healthPath = "/healthz"

// Result is the outcome of one health probe.
type Result struct {
	Endpoint *slots.Endpoint
	Healthy  bool
}

// Duty probes the target at a fixed interval.
type Duty struct {
	Endpoints *ring.Ring[*slots.Endpoint] // endpoint to probe; nil for none
	Results   *ring.Ring[Result]
	interval  time.Duration
	client    *http.Client
}

// New returns the duty. A probe times out after one interval and uses a new
// connection each time.
func New(interval time.Duration) *Duty {
	return &Duty{
		Endpoints: ring.New[*slots.Endpoint]("probe.endpoints", 1),
		Results:   ring.New[Result]("probe.results", 1),
		interval:  interval,
		client: &http.Client{
			Timeout:       interval,
			Transport:     &http.Transport{DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Run probes the target until ctx is done.
func (d *Duty) Run(ctx context.Context) error {
	var endpoint *slots.Endpoint
	for supervise.Sleep(ctx, d.interval) {
		select {
		case endpoint = <-d.Endpoints.C():
		default:
		}
		if endpoint == nil {
			continue
		}
		_ = d.Results.PutLatest(Result{Endpoint: endpoint, Healthy: d.probe(ctx, endpoint)})
	}
	return nil
}

// probe requests the health path of the target. Any response below 500 counts as
// healthy, because a target need not implement the path.
func (d *Duty) probe(ctx context.Context, e *slots.Endpoint) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.String()+healthPath, nil)
	if err != nil {
		return false
	}
	resp, err := d.client.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusInternalServerError
}
