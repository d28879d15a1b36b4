package admission

import (
	"github.com/ibispier/ibispier/admission"
	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/telemetry"
)

// SetTelemetry registers the metrics of the rings and sets the metrics and the
// tracer for attempts. It must be called before Run.
func (d *Duty) SetTelemetry(t telemetry.Telemetry) {
	d.trace.tracer = t.Tracer
	d.trace.responseCounters = t.Metrics.CounterVec("ibispier_agent_responses_total", "outcome", "reason")
	t.Metrics.RegisterRing(d.Jobs.Stats)
	t.Metrics.RegisterRing(d.Results.Stats)
	t.Metrics.RegisterRing(d.events.Stats)
}

// tracing holds the spans of the work in flight.
type tracing struct {
	tracer           *telemetry.Tracer
	responseCounters *telemetry.CounterVec
	spans            map[*admission.Work]*telemetry.Span
}

// reset discards the spans of an earlier run without finishing them.
func (t *tracing) reset() { t.spans = map[*admission.Work]*telemetry.Span{} }

// requestStarted starts the span of an attempt at this agent. It covers the wait
// for a slot and the call to the target, which has a child span.
func (t *tracing) requestStarted(w *admission.Work) {
	r := w.Attempt.Request
	span := t.tracer.Start(r.TraceParent, "agent.request")
	if span == nil {
		return
	}
	span.SetInt("attempt", int64(w.Attempt.Number))
	span.Set("request_id", r.ID)
	t.spans[w] = span
	r.TraceParent = span.TraceParent(r.TraceParent)
}

// requestEnded counts the response to an attempt and finishes its span.
func (t *tracing) requestEnded(w *admission.Work, resp *request.Response) {
	t.responseCounters.Inc(resp.Outcome.String(), string(resp.Reason))
	if span := t.spans[w]; span != nil {
		span.Finish(string(resp.Reason))
		delete(t.spans, w)
	}
}
