package telemetry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/ring"
)

// Guards against output that a Prometheus scraper cannot read, and against
// rings whose refused elements are not exported.
func TestExposition(t *testing.T) {
	m := NewMetrics()
	m.Counter("requests_total", "outcome", "done").Inc(3)
	m.Counter("requests_total", "outcome", `a"b`).Inc(1)
	m.Gauge("queue", func() float64 { return 1 })
	m.Gauge("queue", func() float64 { return 2.5 })
	for v := range 100 {
		m.Summary("latency_microseconds", "hop", "entry").Update(int64(v))
	}
	for range 10_000 { // more than the reservoir keeps
		m.Summary("size").Update(2)
	}
	counters := m.CounterVec("answers_total", "outcome", "reason")
	counters.Inc("done", "")
	counters.Inc("done", "")
	r := ring.New[int]("events", 1)
	_, _ = r.Offer(1), r.Offer(2)
	m.RegisterRing(r.Stats)
	m.RegisterRing(r.Stats)
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		"# TYPE requests_total counter\nrequests_total{outcome=\"a\\\"b\"} 1\nrequests_total{outcome=\"done\"} 3\n",
		"# TYPE queue gauge\nqueue 2.5\n",
		`latency_microseconds{hop="entry",quantile="0.9"} 89.9`,
		`latency_microseconds_count{hop="entry"} 100`,
		"size_sum 20000\n",
		`answers_total{outcome="done",reason=""} 2`,
		`ibispier_ring_depth{ring="events"} 2`,
		`ibispier_ring_refused_total{ring="events"} 2`,
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("no %q in\n%s", want, w.Body)
		}
	}
	var disabled *Metrics
	disabled.Counter("x").Inc(1)
	disabled.Summary("x").Update(1)
	disabled.Gauge("x", nil)
	disabled.RegisterRing(nil)
}

// Guards against an event that is logged in a loop and fills the disk.
func TestRepeatedEventsAreLimited(t *testing.T) {
	var b bytes.Buffer
	m := NewMetrics()
	log, err := NewLoggerWithMetrics(&b, "info", "p1", m)
	if err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		log.Info("flapping", zap.Int("n", 1))
	}
	log.Info("other")
	lines := strings.Count(b.String(), "event=flapping")
	suppressed := m.Counter("ibispier_log_suppressed_total").Count()
	if lines < 20 || lines > 100 || int64(lines)+suppressed != 1000 || !strings.Contains(b.String(), "event=other") {
		t.Errorf("%d lines, %d suppressed", lines, suppressed)
	}
}

// Guards against a trace that the next process does not continue, and against
// spans that are lost at a planned stop.
func TestSpansOfTwoHopsShareATrace(t *testing.T) {
	const incoming = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	path := filepath.Join(t.TempDir(), "traces.jsonl")
	tracer, err := NewTracer(context.Background(), TraceOptions{Exporter: "file", File: path, SampleRatio: 1})
	if err != nil {
		t.Fatal(err)
	}
	entry := tracer.Start(incoming, "entry")
	agent := tracer.Start(entry.TraceParent(incoming), "agent")
	outgoing := agent.TraceParent("")
	agent.Set("peer", "a1")
	agent.Finish("deadline")
	entry.Finish("")
	if err := tracer.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(data), `"TraceID":"4bf92f3577b34da6a3ce929d0e0e4736"`) < 2 || strings.Count(string(data), "\n") != 2 {
		t.Errorf("spans are\n%s", data)
	}
	if !strings.HasPrefix(outgoing, "00-4bf92f3577b34da6a3ce929d0e0e4736-") || outgoing == incoming {
		t.Errorf("traceparent sent on is %q", outgoing)
	}
}

// Guards against an OTLP export that sends nothing.
func TestOTLPExport(t *testing.T) {
	got := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- r.URL.Path + " " + string(body)
	}))
	defer collector.Close()
	tracer, err := NewTracer(context.Background(), TraceOptions{Exporter: "otlp", Endpoint: strings.TrimPrefix(collector.URL, "http://"), SampleRatio: 1})
	if err != nil {
		t.Fatal(err)
	}
	tracer.Start("", "entry").Finish("")
	if err := tracer.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if body := <-got; !strings.HasPrefix(body, "/v1/traces ") || !strings.Contains(body, "entry") {
		t.Errorf("collector got %q", body)
	}
}

// Guards against allocations on the request path while tracing is off.
func TestTracingOffAllocatesNothing(t *testing.T) {
	tracer, err := NewTracer(context.Background(), TraceOptions{Exporter: "none"})
	if err != nil || tracer != nil {
		t.Fatalf("tracer %v, error %v", tracer, err)
	}
	allocations := testing.AllocsPerRun(100, func() {
		span := tracer.Start("parent", "entry")
		span.Set("peer", "a1")
		if span.TraceParent("parent") != "parent" {
			t.Error("traceparent lost")
		}
		span.Finish("")
	})
	if allocations != 0 {
		t.Errorf("%v allocations", allocations)
	}
}
