package permit

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

func Example() {
	start := time.Unix(0, 0)
	table := NewTable(start, DefaultTiming())
	fmt.Println(table.Grant(start.Add(3*time.Second), "nl-west-a", "entry-1"))
	table.SetZonesOut([]string{"nl-west-a"})
	fmt.Println(table.Grant(start.Add(4*time.Second), "nl-west-a", "entry-2"))
	fmt.Println(table.InForce(start.Add(5*time.Second), "nl-west-a"), table.InForce(start.Add(5070*time.Millisecond), "nl-west-a"))
	// Output:
	// 2s
	// 0s
	// false true
}

// request is a permit request in transit.
type request struct {
	holder string
	sent   time.Duration
}

// simulation models one zone, its holders and successive leaders on a common
// time line. It is the oracle: it knows until when each holder uses its permit.
type simulation struct {
	real        time.Duration
	leaderRate  float64 // rate of the leader's clock
	holderRates map[string]float64
	table       *Table
	out         bool
	requests    []request
	grants      []request // responses in transit; a holder that is cut off receives them late
	validUntil  map[string]time.Duration
	outAt       time.Duration
	leaderSince time.Duration
}

func (s *simulation) now() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(s.real) * s.leaderRate))
}

func (s *simulation) applyZonesOut() {
	s.table.SetZonesOut(nil)
	if s.out {
		s.table.SetZonesOut([]string{"z"})
	}
}

func (s *simulation) answer(t *rapid.T) {
	if len(s.requests) == 0 {
		return
	}
	r := s.requests[0]
	s.requests = s.requests[1:]
	ttl := s.table.Grant(s.now(), "z", r.holder)
	if s.out && ttl > 0 {
		t.Fatal("a permit was granted for a zone that is out")
	}
	if ttl > 0 {
		s.grants = append(s.grants, r)
	}
}

// deliver hands a permit to its holder, which counts from when it sent the
// request, on its own clock.
func (s *simulation) deliver(t *rapid.T) {
	if len(s.grants) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.grants)-1).Draw(t, "answer")
	r := s.grants[i]
	s.grants = append(s.grants[:i:i], s.grants[i+1:]...)
	ends := r.sent + time.Duration(float64(DefaultTiming().TTL)/s.holderRates[r.holder])
	s.validUntil[r.holder] = max(s.validUntil[r.holder], ends)
}

func (s *simulation) check(t *rapid.T) {
	if !s.table.InForce(s.now(), "z") {
		settled := max(s.outAt, s.leaderSince) + 3*time.Second
		if s.out && s.real >= settled {
			t.Fatalf("not in force %s after the zone went out", s.real-s.outAt)
		}
		return
	}
	if !s.out {
		t.Fatal("in force although the zone is in service")
	}
	for holder, validUntil := range s.validUntil {
		if s.real < validUntil {
			t.Fatalf("in force while %s may use its permit for another %s", holder, validUntil-s.real)
		}
	}
	for _, r := range s.grants {
		if ends := r.sent + time.Duration(float64(DefaultTiming().TTL)/s.holderRates[r.holder]); s.real < ends {
			t.Fatalf("in force while a permit on its way to %s is good for another %s", r.holder, ends-s.real)
		}
	}
}

// Guards against a zone reported out in force while a task can still start in
// it, and against a zone that never gets there. Causes: a holder that is cut
// off, a new leader that does not know the permits of its predecessor, and
// clock drift.
func TestInForceOnlyWithoutPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := func(name string) float64 { return 1 + rapid.Float64Range(-0.005, 0.005).Draw(t, name) }
		s := &simulation{leaderRate: drift("leader"), holderRates: map[string]float64{"e1": drift("e1"), "e2": drift("e2")},
			validUntil: map[string]time.Duration{}}
		s.table = NewTable(s.now(), DefaultTiming())
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				s.requests = append(s.requests, request{rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "holder"), s.real})
			},
			"answer":  s.answer,
			"deliver": s.deliver,
			"pass": func(t *rapid.T) {
				s.real += time.Duration(rapid.Int64Range(0, int64(1500*time.Millisecond)).Draw(t, "time"))
			},
			"pass until in force": func(t *rapid.T) {
				for end := s.real + 3*time.Second; s.real < end && !s.table.InForce(s.now(), "z"); {
					s.real += 5 * time.Millisecond
				}
			},
			"zone": func(t *rapid.T) {
				s.out = !s.out
				s.outAt = s.real
				s.applyZonesOut()
			},
			"leader": func(t *rapid.T) {
				s.leaderSince = s.real
				s.requests = nil // requests to the old leader are not answered
				s.leaderRate = drift("new leader")
				s.table = NewTable(s.now(), DefaultTiming())
				s.applyZonesOut()
			},
			"": s.check,
		})
	})
}

// Guards against a revoked permit that keeps a zone from being out in force.
func TestRevoke(t *testing.T) {
	start := time.Unix(0, 0)
	table := NewTable(start, DefaultTiming())
	now := start.Add(time.Minute)
	table.Grant(now, "z", "e")
	table.SetZonesOut([]string{"z"})
	if table.InForce(now, "z") {
		t.Fatal("in force while a permit is held")
	}
	table.Revoke("z", "e")
	if !table.InForce(now, "z") {
		t.Fatal("not in force after the last permit was revoked")
	}
}
