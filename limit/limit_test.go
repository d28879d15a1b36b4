package limit

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/testseed"
	"github.com/ibispier/ibispier/request"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

func config(rate float64, burst, concurrency int) controlapi.Config {
	return controlapi.Config{
		Customers: []controlapi.Subscription{{Customer: "c", Plan: "p"}},
		Plans: []controlapi.Plan{{
			Name: "p", Services: []string{"quote"}, RequestsPerSecond: rate, Burst: burst, Concurrency: concurrency, Priority: 3,
		}},
	}
}

// Guards against admitting unknown customers, services outside the plan, and
// plans without a rate or a concurrency limit.
func TestRefusals(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		name              string
		config            controlapi.Config
		customer, service string
		want              request.Reason
	}{
		{"no configuration", controlapi.Config{}, "c", "quote", request.ReasonUnknownCustomer},
		{"unknown customer", config(1, 1, 1), "d", "quote", request.ReasonUnknownCustomer},
		{"service not in plan", config(1, 1, 1), "c", "booking", request.ReasonNotPermitted},
		{"no rate", config(0, 5, 1), "c", "quote", request.ReasonOverLimit},
		{"no concurrency", config(5, 5, 0), "c", "quote", request.ReasonOverLimit},
		{"within limits", config(1, 1, 1), "c", "quote", request.ReasonNone},
	} {
		l := New()
		l.Configure(now, c.config)
		if _, got := l.Admit(now, c.customer, c.service); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against entry instances that together admit more than the limit plus
// the documented overshoot, in any order of requests.
func TestInstancesTogetherKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "instances")
		rate := float64(rapid.IntRange(1, 200).Draw(t, "rate"))
		burst := rapid.IntRange(1, 50).Draw(t, "burst")
		concurrency := rapid.IntRange(1, 20).Draw(t, "concurrency")
		start := time.Unix(0, 0)
		now := start
		instances := make([]*Limiter, n)
		grants := make([][]Grant, n)
		for i := range instances {
			instances[i] = New()
			instances[i].Configure(now, config(rate, burst, concurrency))
			instances[i].SetInstances(now, n)
		}
		admitted := 0
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "instance")
				if g, reason := instances[i].Admit(now, "c", "quote"); reason == request.ReasonNone {
					admitted++
					grants[i] = append(grants[i], g)
				}
			},
			"release": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "instance")
				if len(grants[i]) > 0 {
					instances[i].Release(grants[i][0])
					grants[i] = grants[i][1:]
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"reconfigure": func(t *rapid.T) { instances[0].Configure(now, config(rate, burst, concurrency)) },
			"": func(t *rapid.T) {
				inUse := 0
				for i, l := range instances {
					if l.InFlight("c") != len(grants[i]) {
						t.Fatalf("instance %d counts %d in use, want %d", i, l.InFlight("c"), len(grants[i]))
					}
					inUse += len(grants[i])
				}
				allowed := rate*now.Sub(start).Seconds() + float64(max(burst, n)) + 1e-6
				if inUse > max(concurrency, n) || float64(admitted) > allowed {
					t.Fatalf("%d in use of %d, %d admitted of %.1f", inUse, concurrency, admitted, allowed)
				}
			},
		})
	})
}

// Guards against an overshoot above one share before an instance learns that
// another one has started.
func TestOvershootWhileAnInstanceJoins(t *testing.T) {
	const (
		rate      = 100.0
		burst     = 20
		unnoticed = time.Second
	)
	start := time.Unix(0, 0)
	old, joined := New(), New()
	for _, l := range []*Limiter{old, joined} {
		l.Configure(start, config(rate, burst, 1000))
	}
	joined.SetInstances(start, 2)
	admitted := 0
	for now := start; now.Sub(start) < unnoticed; now = now.Add(time.Millisecond) {
		for _, l := range []*Limiter{old, joined} {
			if _, reason := l.Admit(now, "c", "quote"); reason == request.ReasonNone {
				admitted++
			}
		}
	}
	allowed := rate*unnoticed.Seconds() + burst
	share := allowed / 2
	if float64(admitted) > allowed+share {
		t.Fatalf("%d admitted, %.0f allowed and one share of %.0f", admitted, allowed, share)
	}
	t.Logf("%d admitted, %.0f allowed: overshoot %.2f of a share", admitted, allowed, (float64(admitted)-allowed)/share)
}

func ExampleLimiter() {
	now := time.Unix(0, 0)
	l := New()
	l.Configure(now, config(10, 2, 8))
	l.SetInstances(now, 2) // this instance has half of each limit
	_, first := l.Admit(now, "c", "quote")
	_, second := l.Admit(now, "c", "quote")
	fmt.Printf("%q %q\n", first, second)
	// Output: "" "over_limit"
}
