package load

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/ibispier/ibispier/standin/target"
)

// startEntryStub starts a stub of an entry instance in front of the stand-in target.
// change sees every request; if it returns true, it has written the response and
// the target gets no request.
func startEntryStub(t *testing.T, change func(w http.ResponseWriter, r *http.Request) bool) (string, *target.Target) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	standin := target.New(socket, target.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = standin.Run(ctx) }()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: socket.Addr().String()})
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if change(w, r) {
			return
		}
		r.URL.Path = strings.TrimPrefix(r.URL.Path, "/v1/services/price-check")
		w.Header().Set("Ibispier-Outcome", "done")
		w.Header().Set("Ibispier-Request-Id", r.Header.Get("Ibispier-Request-Id"))
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { entry.Close(); cancel(); <-done })
	return strings.TrimPrefix(entry.URL, "http://"), standin
}

func pass(http.ResponseWriter, *http.Request) bool { return false }

func options(entries ...string) Options {
	return Options{
		Entries: entries, Service: "price-check", Path: "/lots/1", Customer: "demo",
		Rate: 400, Duration: 500 * time.Millisecond, Seed: 1, Senders: 16, IdempotentShare: 0.5, BodyBytes: 100,
	}
}

func run(t *testing.T, o Options) *Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := Run(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against requests that are not counted or that reach the target twice or
// not at all, and against ignoring the share of idempotent requests.
func TestEveryRequestIsCountedOnce(t *testing.T) {
	first, ranFirst := startEntryStub(t, pass)
	second, ranSecond := startEntryStub(t, pass)
	var progress bytes.Buffer
	o := options(first, second)
	o.Progress, o.ProgressInterval = &progress, 50*time.Millisecond
	r := run(t, o)
	ran := append(ranFirst.Runs(), ranSecond.Runs()...)
	if r.Done != r.Scheduled || r.Done != int64(len(ran)) || r.Wrong != 0 || r.Done < 100 || r.Latency.Count != r.Done {
		t.Errorf("result %+v, target ran %d", r, len(ran))
	}
	keyed := 0
	for _, one := range ran {
		if one.Key != "" {
			keyed++
		}
	}
	if share := float64(keyed) / float64(len(ran)); share < 0.3 || share > 0.7 {
		t.Errorf("share of non-idempotent requests is %.2f", share)
	}
	if !strings.Contains(progress.String(), "elapsed=") {
		t.Error("no progress lines")
	}
}

// Guards against accepting a response to another request or an incomplete response.
func TestWrongAnswersAreFound(t *testing.T) {
	for name, answer := range map[string]func(id, uri string) string{
		"another's": func(_, uri string) string { return "other " + uri + "\n" },
		"cut":       func(id, uri string) string { return id + " " + uri },
	} {
		entry, _ := startEntryStub(t, func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("Ibispier-Request-Id")
			w.Header().Set("Ibispier-Outcome", "done")
			w.Header().Set("Ibispier-Request-Id", id)
			_, _ = io.WriteString(w, answer(id, "/lots/1"))
			return true
		})
		o := options(entry)
		o.IdempotentShare = 1
		if r := run(t, o); r.Wrong != r.Done || r.Wrong == 0 {
			t.Errorf("%s: %d of %d answers found wrong", name, r.Wrong, r.Done)
		}
	}
}

// Guards against counting refusals and unknown outcomes as done.
func TestOutcomesAreCountedByReason(t *testing.T) {
	turn := make(chan int, 1)
	turn <- 0
	entry, _ := startEntryStub(t, func(w http.ResponseWriter, r *http.Request) bool {
		n := <-turn
		turn <- n + 1
		switch n % 4 {
		case 0:
			w.Header().Set("Ibispier-Outcome", "not-run")
			w.Header().Set("Ibispier-Reason", "over_limit")
			w.WriteHeader(429)
		case 1:
			w.Header().Set("Ibispier-Outcome", "unknown")
			w.Header().Set("Ibispier-Reason", "link_lost")
			w.WriteHeader(502)
		case 2:
			w.WriteHeader(404)
		default:
			return false
		}
		return true
	})
	r := run(t, options(entry))
	for name, n := range map[string]int64{
		"done": r.Done, "over_limit": r.NotRun["over_limit"], "link_lost": r.Unknown["link_lost"], "not_ibispier": r.Unknown["not_ibispier"],
	} {
		if n < r.Sent/4-1 || n > r.Sent/4+1 {
			t.Errorf("%s: %d of %d", name, n, r.Sent)
		}
	}
	if r.Done+sum(r.NotRun)+sum(r.Unknown) != r.Sent {
		t.Errorf("outcomes do not add up to %d: %+v", r.Sent, r)
	}
}

// Guards against a closed loop: a slow target must increase the latency measured
// from the intended send time and must not reduce the number of requests.
func TestSlowAnswersDoNotSlowTheSchedule(t *testing.T) {
	entry, _ := startEntryStub(t, func(_ http.ResponseWriter, r *http.Request) bool {
		time.Sleep(20 * time.Millisecond)
		return false
	})
	o := options(entry)
	o.Senders, o.Deadline = 2, 10*time.Second
	r := run(t, o)
	s, want := newSchedule(o.withDefaults(), ""), int64(0)
	for _, ok := s.next(); ok; _, ok = s.next() {
		want++
	}
	// Two senders with 20 ms a request complete 100 requests a second, a quarter of
	// the rate.
	if r.Scheduled != want || r.Latency.P99 < 500 {
		t.Errorf("scheduled %d of %d, p99 %.1f ms", r.Scheduled, want, r.Latency.P99)
	}
}

// Guards against schedules that differ under the same seed, and against waves that
// do not raise the rate.
func TestScheduleRepeatsAndHasWaves(t *testing.T) {
	o := options("a", "b").withDefaults()
	o.Duration, o.Wave = 10*time.Second, Wave{Period: time.Second, Length: 200 * time.Millisecond, Factor: 4}
	first, second := newSchedule(o, "x"), newSchedule(o, "x")
	inWave, outside := 0, 0
	for {
		a, ok := first.next()
		b, _ := second.next()
		if a != b {
			t.Fatalf("%+v and %+v differ", a, b)
		}
		if !ok {
			break
		}
		if a.inWave {
			inWave++
		} else {
			outside++
		}
	}
	// A fifth of the time at four times the rate yields as many requests as the rest.
	if ratio := float64(inWave) / float64(outside); ratio < 0.8 || ratio > 1.2 {
		t.Errorf("ratio of requests in and outside waves is %.2f", ratio)
	}
}

// Guards against a run that ignores the end of its context.
func TestInterruptedRunReturnsItsCounts(t *testing.T) {
	entry, _ := startEntryStub(t, pass)
	o := options(entry)
	o.Duration = time.Minute
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	r, err := Run(ctx, o)
	if err != nil || !r.Interrupted {
		t.Errorf("result %+v, error %v", r, err)
	}
}
