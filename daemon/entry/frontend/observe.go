package frontend

import (
	"net/http"
	"time"

	"github.com/ibispier/ibispier/telemetry"
)

// SetTelemetry sets the metrics and the tracer for requests. It must be called
// before Run.
func (d *Duty) SetTelemetry(t telemetry.Telemetry) { d.telemetry = t }

// instrument wraps a handler to count each request and record its span. The
// span's traceparent is passed to the router in the request header.
func (d *Duty) instrument(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		incoming := r.Header.Get("Traceparent")
		span := d.telemetry.Tracer.Start(incoming, "entry.request")
		if span != nil {
			r.Header.Set("Traceparent", span.TraceParent(incoming))
		}
		next(w, r)
		d.recordRequest(w.Header(), span, time.Since(start))
		span.Set("customer", r.Header.Get(HeaderCustomer))
		span.Set("service", r.PathValue("service"))
		span.Finish(w.Header().Get(HeaderReason))
	}
}

// recordRequest labels metrics with outcome and reason only. Labels with values
// that callers choose would let them exhaust the memory of the process.
func (d *Duty) recordRequest(h http.Header, span *telemetry.Span, took time.Duration) {
	outcome := h.Get(HeaderOutcome)
	if outcome == "" {
		outcome = "caller_gone"
	}
	span.Set("request_id", h.Get(HeaderRequestID))
	span.Set("outcome", outcome)
	m := d.telemetry.Metrics
	m.Counter("ibispier_requests_total", "outcome", outcome, "reason", h.Get(HeaderReason)).Inc(1)
	m.Summary("ibispier_request_microseconds", "outcome", outcome).Update(took.Microseconds())
}
