package telemetry

import (
	"context"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// traceParentField is the header field of W3C Trace Context that identifies the
// parent span.
const traceParentField = "traceparent"

// exportTimeout bounds one export, so that an unresponsive collector cannot delay
// a planned stop for long.
const exportTimeout = 2 * time.Second

// TraceOptions select the exporter of spans.
type TraceOptions struct {
	Exporter    string  // none, file or otlp
	File        string  // output of the exporter file
	Endpoint    string  // ip:port of the collector for the exporter otlp, over HTTP
	SampleRatio float64 // share of the new traces that are recorded
	Process     string
	Zone        string
}

// Tracer starts spans. A nil *Tracer starts none and costs one nil check.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	file     *os.File
}

// NewTracer returns the tracer for the options, or nil when the exporter is
// none.
func NewTracer(ctx context.Context, o TraceOptions) (*Tracer, error) {
	t := new(Tracer)
	exporter, err := t.newExporter(ctx, o)
	if err != nil || exporter == nil {
		return nil, err
	}
	t.provider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithExportTimeout(exportTimeout)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "ibispier"),
			attribute.String("service.instance.id", o.Process),
			attribute.String("ibispier.zone", o.Zone),
		)),
	)
	t.tracer = t.provider.Tracer("github.com/ibispier/ibispier")
	return t, nil
}

func (t *Tracer) newExporter(ctx context.Context, o TraceOptions) (sdktrace.SpanExporter, error) {
	switch o.Exporter {
	case "", "none":
		return nil, nil
	case "file":
		file, err := os.OpenFile(o.File, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
		if err != nil {
			return nil, Error.New("step=open: %w", err)
		}
		t.file = file
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		return exporter, Error.Wrap(err)
	case "otlp":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(o.Endpoint), otlptracehttp.WithInsecure())
		return exporter, Error.Wrap(err)
	default:
		return nil, Error.New("step=configure: unknown exporter %q", o.Exporter)
	}
}

// Close exports the spans that are queued and stops the exporter.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
	return Error.Wrap(err)
}

// Span covers the part of a request in one process. A nil *Span ignores every
// call, so that duties need no nil checks.
//
// Duties pass a span on together with the request, so only one duty uses it at a
// time.
type Span struct {
	span trace.Span
}

// Start starts a span whose parent is in the traceparent field that arrived
// with the request. An empty or malformed one starts a new trace.
func (t *Tracer) Start(traceParent, name string) *Span {
	if t == nil {
		return nil
	}
	return t.start(traceParent, name)
}

// start is separate from Start because its parameter escapes to the heap, which
// would cost an allocation even while tracing is off.
func (t *Tracer) start(traceParent, name string) *Span {
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier{&traceParent})
	_, span := t.tracer.Start(ctx, name)
	return &Span{span: span}
}

// TraceParent returns the traceparent field for the next process: that of the
// span, or the incoming one when tracing is off.
func (s *Span) TraceParent(incoming string) string {
	if s == nil {
		return incoming
	}
	var out string
	propagation.TraceContext{}.Inject(trace.ContextWithSpan(context.Background(), s.span), carrier{&out})
	return out
}

// Set adds an attribute.
func (s *Span) Set(key, value string) {
	if s != nil {
		s.span.SetAttributes(attribute.String(key, value))
	}
}

// SetInt adds a number as an attribute.
func (s *Span) SetInt(key string, value int64) {
	if s != nil {
		s.span.SetAttributes(attribute.Int64(key, value))
	}
}

// Finish ends the span. A reason other than "" marks it as failed.
func (s *Span) Finish(reason string) {
	if s == nil {
		return
	}
	if reason != "" {
		s.span.SetStatus(codes.Error, reason)
	}
	s.span.End()
}

// carrier holds the only field of W3C Trace Context that ibispier propagates.
type carrier struct{ traceParent *string }

// Get implements propagation.TextMapCarrier.
func (c carrier) Get(key string) string {
	if key == traceParentField {
		return *c.traceParent
	}
	return ""
}

// Set implements propagation.TextMapCarrier.
func (c carrier) Set(key, value string) {
	if key == traceParentField {
		*c.traceParent = value
	}
}

// Keys implements propagation.TextMapCarrier.
func (c carrier) Keys() []string { return []string{traceParentField} }
