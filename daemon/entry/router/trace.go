package router

import (
	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/routing"
	"github.com/ibispier/ibispier/telemetry"
	"github.com/ibispier/ibispier/wire"
)

// SetTelemetry sets where the rings are exported, and where attempts are counted and
// traced. It must be called before Run.
func (d *Duty) SetTelemetry(t telemetry.Telemetry) {
	d.trace.tracer = t.Tracer
	d.trace.sent = t.Metrics.Counters("ibispier_attempts_total", "cause", "")
	t.Metrics.Ring(d.calls.Stats)
	t.Metrics.Ring(d.events.Stats)
	t.Metrics.Ring(d.results.Stats)
}

// tracing owns the spans of the attempts and claims in flight.
type tracing struct {
	tracer   *telemetry.Tracer
	sent     *telemetry.Counters
	attempts map[uint64]attemptSpan     // by attempt number
	claims   map[uint64]*telemetry.Span // by token
}

type attemptSpan struct {
	span   *telemetry.Span
	target string
}

// reset forgets the spans of an earlier run, which end unfinished.
func (t *tracing) reset() {
	t.attempts = map[uint64]attemptSpan{}
	t.claims = map[uint64]*telemetry.Span{}
}

// sending counts an attempt, starts its span and puts its traceparent into the
// frame. A retry and a hedge have spans of their own names.
func (t *tracing) sending(a *request.Attempt, f *wire.Frame) {
	t.sent.Inc(a.Cause.String(), "")
	span := t.tracer.Start(a.Request.TraceParent, "entry."+a.Cause.String())
	if span == nil {
		return
	}
	span.Set("target", a.Target)
	span.SetInt("attempt", int64(a.Number))
	t.attempts[a.Number] = attemptSpan{span, a.Target}
	f.GetRequest().TraceParent = span.TraceParent(a.Request.TraceParent)
}

// ended ends the span of an attempt that was answered, cancelled or not sent.
func (t *tracing) ended(number uint64, reason request.Reason) {
	if a, ok := t.attempts[number]; ok {
		a.span.Finish(string(reason))
		delete(t.attempts, number)
	}
}

// lost ends the spans of the attempts at a target whose link has ended.
func (t *tracing) lost(target string) {
	for number, a := range t.attempts {
		if a.target == target {
			t.ended(number, request.ReasonLinkLost)
		}
	}
}

// claiming starts the span of a claim and returns the traceparent to send on.
func (t *tracing) claiming(a routing.Action) string {
	span := t.tracer.Start(a.Request.TraceParent, "entry.claim")
	if span != nil {
		span.Set("target", a.Claim.Target)
		t.claims[a.Token] = span
	}
	return span.TraceParent(a.Request.TraceParent)
}

// claimed ends the span of a claim.
func (t *tracing) claimed(token uint64, err error) {
	span := t.claims[token]
	if span == nil {
		return
	}
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	span.Finish(reason)
	delete(t.claims, token)
}
