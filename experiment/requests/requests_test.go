package requests

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/routing"
)

// Bounds from section 1.8 of the design page.
const (
	maxWaveRatio    = 0.5
	maxSlowRatio    = 1.5
	maxAttempts     = 1.1
	limitSeconds    = 20
	maxBusiestShare = 1.5 // multiple of an even share of the starts
)

// seeds and deployment return less in short mode, which is for the race detector:
// under it a run takes ten times as long.
func seeds() uint64 {
	if testing.Short() {
		return 1
	}
	return 3
}

func deployment(seed uint64) Options {
	o := DefaultOptions(seed)
	if testing.Short() {
		o.Duration = wavePeriod
	}
	return o
}

func baseline(o Options) Options {
	o.Policy, o.Hedging = routing.RoundRobin, false
	return o
}

func inWave(s Sample) bool { return InWave(s.At) }

// Guards against a policy that does not shorten tail latency during auction waves.
func TestWave(t *testing.T) {
	for seed := range seeds() {
		o := WithWaves(deployment(seed))
		got, base := Run(o), Run(baseline(o))
		p99, before := got.Percentile(0.99, o.Deadline, inWave), base.Percentile(0.99, o.Deadline, inWave)
		ratio := float64(p99) / float64(before)
		t.Logf("seed %d: p99 in the wave %s, round robin %s, ratio %.2f; done %d of %d, before %d; attempts %.3f",
			seed, p99, before, ratio, got.CountDone(), len(got.Samples), base.CountDone(), got.AttemptsPerRequest())
		if ratio > maxWaveRatio {
			t.Errorf("ratio %.2f, at most %.1f", ratio, maxWaveRatio)
		}
	}
}

// Guards against one slow target that raises the tail latency of the service.
func TestOneSlowTarget(t *testing.T) {
	for seed := range seeds() {
		o := WithSteadyLoad(deployment(seed), 0.4)
		healthy, slow, base := Run(o), Run(WithSlowTarget(o, 10)), Run(baseline(WithSlowTarget(o, 10)))
		p99, before := slow.Percentile(0.99, o.Deadline, nil), healthy.Percentile(0.99, o.Deadline, nil)
		ratio := float64(p99) / float64(before)
		t.Logf("seed %d: p99 %s, healthy %s, ratio %.2f, round robin %s; ejections %d, hedges %d of %d",
			seed, p99, before, ratio, base.Percentile(0.99, o.Deadline, nil), slow.Stats.Ejections, slow.Stats.Hedges, slow.Stats.Submitted)
		if ratio > maxSlowRatio {
			t.Errorf("ratio %.2f, at most %.1f", ratio, maxSlowRatio)
		}
	}
}

// Guards against retries and hedges that amplify an overload.
func TestSaturation(t *testing.T) {
	for seed := range seeds() {
		o := WithSteadyLoad(deployment(seed), 2)
		o.Duration = min(o.Duration, 10*time.Second)
		got := Run(o)
		useful := float64(got.CountDone()) / (o.Capacity() * o.Duration.Seconds())
		t.Logf("seed %d: attempts per request %.3f, answered %.2f of the capacity", seed, got.AttemptsPerRequest(), useful)
		if got.AttemptsPerRequest() >= maxAttempts {
			t.Errorf("attempts per request %.3f, under %.1f", got.AttemptsPerRequest(), maxAttempts)
		}
	}
}

// Guards against entry instances that all choose the same target.
func TestInstancesSpreadOverTargets(t *testing.T) {
	for _, entries := range []int{1, 3, 10} {
		o := WithSteadyLoad(deployment(1), 0.5)
		o.Entries, o.Zones = entries, 1
		got := Run(o)
		total, busiest := 0, 0
		for _, n := range got.StartsByTarget {
			total += n
			busiest = max(busiest, n)
		}
		even := float64(total) / float64(o.Targets)
		t.Logf("%d instances: busiest target %.2f of an even share, deepest %d requests", entries, float64(busiest)/even, got.PeakPerTarget)
		if float64(busiest) > maxBusiestShare*even || got.PeakPerTarget > 2*o.Slots {
			t.Errorf("%d instances: busiest %d of %d, deepest %d", entries, busiest, total, got.PeakPerTarget)
		}
	}
}

// Guards against entry instances that together admit more than a plan allows.
func TestLimitsOverThreeInstances(t *testing.T) {
	o := WithSteadyLoad(deployment(1), 0.5)
	o.Duration = min(o.Duration, limitSeconds*time.Second)
	o.Plan = controlapi.Plan{Name: "p", RequestsPerSecond: 300, Burst: 30, Concurrency: 12}
	got := Run(o)
	allowed := o.Plan.RequestsPerSecond*o.Duration.Seconds() + float64(o.Plan.Burst)
	attempts := float64(got.Stats.Attempts - got.Stats.Retries - got.Stats.DrainRetries - got.Stats.Hedges)
	t.Logf("admitted %.0f of %.0f allowed (%.3f), in flight at most %d of %d",
		attempts, allowed, attempts/allowed, got.PeakInFlight, o.Plan.Concurrency)
	if attempts > allowed {
		t.Errorf("admitted %.0f, allowed %.0f", attempts, allowed)
	}
	if got.PeakInFlight > o.Plan.Concurrency {
		t.Errorf("%d in flight, limit %d", got.PeakInFlight, o.Plan.Concurrency)
	}
}
