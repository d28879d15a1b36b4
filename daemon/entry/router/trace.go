package router

import (
	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/routing"
	"github.com/ibispier/ibispier/telemetry"
	"github.com/ibispier/ibispier/wire"
)

// SetTelemetry registers the metrics of the rings and sets the metrics and the
// tracer for attempts. It must be called before Run.
func (d *Duty) SetTelemetry(t telemetry.Telemetry) {
	d.trace.tracer = t.Tracer
	d.trace.attemptCounters = t.Metrics.CounterVec("ibispier_attempts_total", "cause", "")
	t.Metrics.RegisterRing(d.calls.Stats)
	t.Metrics.RegisterRing(d.events.Stats)
	t.Metrics.RegisterRing(d.results.Stats)
}

// tracing holds the spans of the attempts and claims in flight.
type tracing struct {
	tracer          *telemetry.Tracer
	attemptCounters *telemetry.CounterVec
	attempts        map[uint64]attemptSpan     // by attempt number
	claims          map[uint64]*telemetry.Span // by token
}

type attemptSpan struct {
	span   *telemetry.Span
	target string
}

// reset discards the spans of an earlier run without finishing them.
func (t *tracing) reset() {
	t.attempts = map[uint64]attemptSpan{}
	t.claims = map[uint64]*telemetry.Span{}
}

// attemptStarted counts an attempt, starts its span and sets the traceparent of
// the frame. The span is named after the cause of the attempt, so that retries
// and hedges can be told apart.
func (t *tracing) attemptStarted(a *request.Attempt, f *wire.Frame) {
	t.attemptCounters.Inc(a.Cause.String(), "")
	span := t.tracer.Start(a.Request.TraceParent, "entry."+a.Cause.String())
	if span == nil {
		return
	}
	span.Set("target", a.Target)
	span.SetInt("attempt", int64(a.Number))
	t.attempts[a.Number] = attemptSpan{span, a.Target}
	f.GetRequest().TraceParent = span.TraceParent(a.Request.TraceParent)
}

// attemptEnded finishes the span of an attempt that was answered, cancelled or
// not sent.
func (t *tracing) attemptEnded(number uint64, reason request.Reason) {
	if a, ok := t.attempts[number]; ok {
		a.span.Finish(string(reason))
		delete(t.attempts, number)
	}
}

// linkLost finishes the spans of the attempts at a target whose link was lost.
func (t *tracing) linkLost(target string) {
	for number, a := range t.attempts {
		if a.target == target {
			t.attemptEnded(number, request.ReasonLinkLost)
		}
	}
}

// claimStarted starts the span of a claim and returns its traceparent.
func (t *tracing) claimStarted(a routing.Action) string {
	span := t.tracer.Start(a.Request.TraceParent, "entry.claim")
	if span != nil {
		span.Set("target", a.Claim.Target)
		t.claims[a.Token] = span
	}
	return span.TraceParent(a.Request.TraceParent)
}

// claimEnded finishes the span of a claim, if it has one.
func (t *tracing) claimEnded(token uint64, err error) {
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
