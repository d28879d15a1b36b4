package jobs

import (
	"math"
	"testing"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/pacing"
)

func learned(coefficient, deviation float64) []controlapi.PairDisturbance {
	return []controlapi.PairDisturbance{{
		Filling: "f", Serving: "s", Disturbance: job.Disturbance{Coefficient: coefficient, Deviation: deviation},
	}}
}

// Guards against an agent that is counted once per report, and against an
// imprecise agent that outweighs a precise one.
func TestDisturbancesWeighAgentsByPrecision(t *testing.T) {
	d := newDisturbanceTable(job.NewStore())
	if d.estimate("s", "f") != pacing.PriorDisturbance {
		t.Error("an unknown pair has an estimate that differs from the prior")
	}
	for range 5 {
		d.learn("a", nil, learned(8, 2))
	}
	d.learn("b", nil, learned(2, 0.5))
	e := d.estimate("s", "f")
	if want := (8.0/4 + 2.0/0.25) / (1.0/4 + 1.0/0.25); math.Abs(e.Coefficient-want) > 1e-9 {
		t.Errorf("coefficient %.3f, want %.3f", e.Coefficient, want)
	}
	if e.Deviation >= 0.5 {
		t.Errorf("deviation %.2f, want less than that of either agent", e.Deviation)
	}
	if got := d.byServingImage(&job.Step{Filling: true, Image: "f"}); len(got) != 1 || got["s"].Coefficient != e.Coefficient {
		t.Errorf("estimates %v", got)
	}
	if got := d.byServingImage(&job.Step{Image: "f"}); got != nil {
		t.Errorf("estimates %v for a step that is not filling", got)
	}
}

// Guards against estimates that are lost when all processes end at once.
// Learning them again costs the serving tasks their tail latency.
func TestWhatWasLearnedOutlivesTheProcesses(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.manifest()
	r := report(0)
	r.Learned = learned(6, 0.5)
	h.request(controlapi.OpTarget, r)
	h.advance(storeInterval)
	entries := len(h.log)
	h.advance(storeInterval)
	if len(h.log) != entries {
		t.Errorf("%d entries although no estimate has changed", len(h.log)-entries)
	}
	h.restart()
	h.lead(3, 3)
	if e := h.e.leader.disturbances.estimate("s", "f"); math.Abs(e.Coefficient-6) > 0.01 || e.Deviation < minStoredDeviation {
		t.Errorf("estimate %+v after a restart, want 6 with a deviation of %.1f", e, minStoredDeviation)
	}
}
