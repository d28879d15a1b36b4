package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/ibispier/ibispier/internal/testcluster"
)

// span holds the fields of an exported span that the test reads.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// Guards against a hop without a span, a span with the wrong parent, a target that
// gets no traceparent, and metrics that do not count the request.
func TestRequestIsTracedAndCounted(t *testing.T) {
	const traceID, caller = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
	addr := freeAddresses(t, 3)
	traceparents := make(chan string, 1)
	target := serveTarget(t, traceparents)
	traces := filepath.Join(t.TempDir(), "traces.jsonl")
	config := writeSettings(t, fmt.Sprintf(`[daemon]
id = t1
roles = entry, agent
zone = z
grace = 0s
[cluster]
entries = %[2]s
[entry]
standalone = true
listen = %[1]s
agent_listen = %[2]s
[agent]
target = http://%[4]s
service = price-check
[admin]
listen = %[3]s
[trace]
exporter = file
file = %[5]s
`, addr[0], addr[1], addr[2], target, traces))
	p := testcluster.StartProcess(t, "traced", "ibispierd", "-config", config)
	testcluster.Eventually(t, "an answer", func() bool {
		req, _ := http.NewRequest("GET", "http://"+addr[0]+"/v1/services/price-check/x", nil)
		req.Header.Set("Ibispier-Customer", "demo")
		req.Header.Set("Traceparent", "00-"+traceID+"-"+caller+"-01")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	received := <-traceparents
	metrics := get(t, "http://"+addr[2]+"/metrics")
	p.Signal(syscall.SIGTERM)
	if code := p.Wait(); code != 0 {
		t.Fatalf("exit code %d: %s", code, p.Output())
	}
	for _, want := range []string{`ibispier_requests_total{outcome="done",reason=""} 1`, `ibispier_ring_refused_total{ring="router.calls"} 0`} {
		if !strings.Contains(metrics, want) {
			t.Errorf("no %q in\n%s", want, metrics)
		}
	}
	checkHops(t, readSpans(t, traces, traceID), caller, received)
}

// checkHops checks that the spans form a chain from the caller to the target.
func checkHops(t *testing.T, spans []span, parent, received string) {
	t.Helper()
	for _, name := range []string{"entry.request", "entry.attempt", "agent.request", "agent.target_call"} {
		found := ""
		for _, s := range spans {
			if s.Name == name && s.Parent.SpanID == parent {
				found = s.SpanContext.SpanID
			}
		}
		if found == "" {
			t.Fatalf("no span %s with parent %s in %+v", name, parent, spans)
		}
		parent = found
	}
	if !strings.Contains(received, parent) {
		t.Errorf("the target got traceparent %q, want span %s", received, parent)
	}
}

func readSpans(t *testing.T, path, traceID string) []span {
	t.Helper()
	in, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	var spans []span
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var s span
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			t.Fatal(err)
		}
		if s.SpanContext.TraceID == traceID {
			spans = append(spans, s)
		}
	}
	return spans
}

// serveTarget serves a target that sends the traceparent of its first request to
// traceparents. It returns its address.
func serveTarget(t *testing.T, traceparents chan<- string) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/x" {
			return // a health probe
		}
		select {
		case traceparents <- r.Header.Get("Traceparent"):
		default:
		}
	})}
	go func() { _ = server.Serve(socket) }()
	t.Cleanup(func() { _ = server.Close() })
	return socket.Addr().String()
}

func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer socket.Close()
		addresses = append(addresses, socket.Addr().String())
	}
	return addresses
}

func get(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
