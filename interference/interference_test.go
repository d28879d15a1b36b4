package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
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

var epoch = time.Unix(1_700_000_000, 0)

func ExampleModel() {
	m := NewModel(ModelOptions{})
	for range 50 {
		m.Observe(Observation{Victim: "quote", Slowdown: 1.5, Neighbours: []ClassLoad{{Class: "scan", Intensity: 0.5}}, MeasuredAt: epoch})
		m.Observe(Observation{Victim: "quote", Slowdown: 1, Neighbours: []ClassLoad{{Class: "idle", Intensity: 0.5}}, MeasuredAt: epoch})
	}
	fmt.Printf("scan %.1f idle %.1f\n", m.Estimate("quote", "scan", epoch).Coefficient, m.Estimate("quote", "idle", epoch).Coefficient)
	// Output: scan 1.0 idle 0.0
}

// Guards against a model that attributes a slowdown to the wrong one of several
// neighbours, or whose certainty does not decay without reports.
func TestModelLearnsPairsAndForgets(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	truth := []float64{0, 0.2, 0.8, 1.6}
	m := NewModel(ModelOptions{})
	for range 400 {
		o := Observation{Victim: "v", Slowdown: 1 + 0.1*random.NormFloat64(), MeasuredAt: epoch}
		for class, coefficient := range truth {
			intensity := random.Float64() / 2
			o.Neighbours = append(o.Neighbours, ClassLoad{Class: fmt.Sprint(class), Intensity: intensity})
			o.Slowdown += coefficient * intensity
		}
		m.Observe(o)
	}
	for class, want := range truth {
		got := m.Estimate("v", fmt.Sprint(class), epoch)
		if math.Abs(got.Coefficient-want) > 0.15 || got.Deviation > 0.15 {
			t.Errorf("class %d: got %+v, want %.1f", class, got, want)
		}
	}
	later := m.Estimate("v", "3", epoch.Add(10*time.Hour))
	if math.Abs(later.Coefficient-m.options.PriorMean) > 0.05 || later.Deviation < 0.45 {
		t.Errorf("estimate after ten hours without reports is %+v, want the prior", later)
	}
	m.Observe(Observation{
		Victim: "v", Slowdown: 1, Neighbours: []ClassLoad{{Class: "0", Intensity: 0.1}}, MeasuredAt: epoch.Add(10 * time.Hour),
	})
	if after := m.Estimate("v", "3", epoch.Add(10*time.Hour)); math.Abs(after.Coefficient-later.Coefficient) > 0.05 {
		t.Errorf("a report on another pair undid the decay: %+v", after)
	}
}

// Guards against two actions at once on a worker, against actions before the
// last one has settled or without enough consecutive reports, and against more
// evictions per hour than the budget allows.
func TestLadderAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perHour = 3
		m, budget, now := NewMitigator(MitigatorOptions{DisturbedAbove: 1.3, RecoveredBelow: 1.1, ConsecutiveReports: 3, SettlingTime: 5 * time.Second}), NewEvictionBudget(perHour), epoch
		throttled := map[string]bool{}
		var evictions []time.Time
		var pending Decision
		var lastEnd time.Time
		high, low := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
			},
			"report": func(t *rapid.T) {
				slowdown := rapid.SampledFrom([]float64{1, 1.2, 2}).Draw(t, "slowdown")
				m.Report(slowdown, now)
				if now.Before(lastEnd.Add(5 * time.Second)) {
					return
				}
				high, low = increaseOrReset(high, slowdown > 1.3), increaseOrReset(low, slowdown < 1.1)
			},
			"confirm": func(t *rapid.T) {
				if pending.Action != None {
					m.Confirm(pending.Task, now)
					pending, lastEnd, high, low = Decision{}, now, 0, 0
				}
			},
			"next": func(t *rapid.T) {
				candidates := []Candidate{{"a", 0.5, throttled["a"], false}, {"b", 0.2, throttled["b"], true}}
				d := m.Next(now, candidates, budget.Allows(now))
				if m.Pending().Action == None && pending.Action != None {
					pending, lastEnd, high, low = Decision{}, now, 0, 0 // the mitigator gave up after ConfirmTimeout
				}
				if d.Action == None {
					return
				}
				isEscalation := d.Action == Stop && pending.Action.IsEviction() && pending.Task == d.Task
				if pending.Action != None && !isEscalation {
					t.Fatalf("%v while %v is pending", d, pending)
				}
				if !isEscalation && now.Before(lastEnd.Add(5*time.Second)) {
					t.Fatalf("%v before the last action settled", d)
				}
				if !isEscalation && high < 3 && low < 3 {
					t.Fatalf("%v without three consecutive reports", d)
				}
				if d.Action == Move && !(throttled["a"] && throttled["b"]) {
					t.Fatalf("%v before all tasks were throttled", d)
				}
				if d.Action == Move && d.Task != "b" {
					t.Fatalf("%v of a task that is not movable", d)
				}
				throttled[d.Task] = d.Action == Throttle
				if d.Action.IsEviction() && !isEscalation {
					budget.Spend(now)
					evictions = append(evictions, now)
				}
				pending = d
			},
			"": func(t *rapid.T) {
				for i := perHour; i < len(evictions); i++ {
					if evictions[i].Sub(evictions[i-perHour]) < time.Hour {
						t.Fatalf("%d evictions within an hour", perHour+1)
					}
				}
			},
		})
	})
}

func increaseOrReset(n int, increase bool) int {
	if increase {
		return n + 1
	}
	return 0
}

// Guards against a move before all tasks that cause a slowdown are throttled,
// against a move of a task that is not movable, and against a throttle that is
// never lifted.
func TestLadderOrder(t *testing.T) {
	m, now := NewMitigator(MitigatorOptions{}), epoch
	candidates := []Candidate{{Task: "a", CausedSlowdown: 0.5}, {Task: "b", CausedSlowdown: 0.2, Movable: true}, {Task: "harmless", Movable: true}}
	next := func(slowdown float64) Decision {
		for range 2 {
			now = now.Add(3 * time.Second)
			m.Report(slowdown, now)
		}
		d := m.Next(now, candidates, true)
		m.Confirm(d.Task, now)
		for i := range candidates {
			if candidates[i].Task == d.Task {
				candidates[i].Throttled = d.Action == Throttle
			}
		}
		return d
	}
	escalation := []Decision{{Throttle, "a"}, {Throttle, "b"}, {Move, "b"}}
	for _, want := range escalation {
		if got := next(2); got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
	candidates[1].Throttled = true
	for _, want := range []Decision{{Restore, "b"}, {Restore, "a"}, {}} {
		if got := next(1); got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
}
