package experiment

import (
	"reflect"
	"sync"
	"testing"
)

var seeds = []uint64{1, 2, 3}

// waveRatios compares the policy to the baseline once for all tests of this
// package.
var waveRatios = sync.OnceValue(func() Ratios {
	return Measure([]Scenario{Veilinghal}, Policies()[:2], seeds).Ratios[0]
})

func skipShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("a run has one goroutine, so the race detector finds nothing in it")
	}
}

// Guards against a policy that protects services by starving batch work.
func TestTargetBatchWork(t *testing.T) {
	skipShort(t)
	if r := waveRatios(); r.Work < BoundWork {
		t.Fatalf("work is %.2f of the baseline, want at least %.2f", r.Work, BoundWork)
	}
}

// Guards against a policy that moves tasks back and forth.
func TestTargetEvictions(t *testing.T) {
	skipShort(t)
	if r := waveRatios(); r.Evictions > BoundEvictions {
		t.Fatalf("evictions are %.2f of the baseline, want at most %.2f", r.Evictions, BoundEvictions)
	}
}

// Guards against a policy that leaves services slow while request load peaks.
func TestTargetWaveTail(t *testing.T) {
	skipShort(t)
	if r := waveRatios(); r.WaveP99 > BoundWaveP99 {
		t.Fatalf("p99 in the wave is %.2f of the baseline, want at most %.2f", r.WaveP99, BoundWaveP99)
	}
}

// Guards against capacity that stays idle during a zone outage and the recovery.
func TestTargetZoneWork(t *testing.T) {
	skipShort(t)
	r := MeasureZoneWork(ZoneOut, Policies()[:2], seeds)[1]
	if r.ZoneWork < BoundZoneWork {
		t.Fatalf("work is %.2f of what the capacity allows, want at least %.2f", r.ZoneWork, BoundZoneWork)
	}
}

// Guards against results that depend on more than the seed, against jobs that can
// never run and are not reported, and against a faulty worker that is not
// quarantined.
func TestRunIsRepeatableAndReportsFaults(t *testing.T) {
	skipShort(t)
	s := Ogbomoso
	s.Requests = false
	first, second := Run(s, Policies()[1], 1), Run(s, Policies()[1], 1)
	if !reflect.DeepEqual(first, second) {
		t.Fatalf("two runs differ:\n%+v\n%+v", first, second)
	}
	if first.Unreported > 0 || first.Impossible == 0 || first.Quarantined != "worker-00" {
		t.Fatalf("unreported jobs that can never run: %d, quarantined workers: %q", first.Unreported, first.Quarantined)
	}
}
