package requests

import (
	"slices"
	"time"

	"github.com/ibispier/ibispier/request"
)

// Parameters of auction waves. Once per period the load jumps from its base to its
// peak, and noisy tasks slow down some of the targets, different ones each time.
const (
	wavePeriod   = 6 * time.Second
	waveLength   = 2 * time.Second
	baseLoad     = 0.25 // share of the capacity
	peakLoad     = 0.6
	noisyTargets = 2
	noisyFactor  = 2.5
)

// InWave reports whether t lies in a wave.
func InWave(t time.Duration) bool { return t%wavePeriod >= wavePeriod-waveLength }

// WithWaves gives o the load of auction waves.
func WithWaves(o Options) Options {
	capacity := o.Capacity()
	o.ArrivalRate = func(t time.Duration) float64 {
		if InWave(t) {
			return peakLoad * capacity
		}
		return baseLoad * capacity
	}
	o.Slowdown = func(target int, t time.Duration) float64 {
		wave := int(t / wavePeriod)
		if InWave(t) && (target-3*wave%o.Targets+o.Targets)%o.Targets < noisyTargets {
			return noisyFactor
		}
		return 1
	}
	return o
}

// WithSteadyLoad gives o a constant load, as a share of the capacity.
func WithSteadyLoad(o Options, load float64) Options {
	rate := load * o.Capacity()
	o.ArrivalRate = func(time.Duration) float64 { return rate }
	return o
}

// WithSlowTarget slows target 0 down by a factor.
func WithSlowTarget(o Options, factor float64) Options {
	o.Slowdown = func(target int, _ time.Duration) float64 {
		if target == 0 {
			return factor
		}
		return 1
	}
	return o
}

// Percentile returns the latency that a share of the requests selected by keep
// does not exceed. A request without a successful response counts with the
// deadline as its latency, because a late response is as bad as none.
func (r *Result) Percentile(share float64, deadline time.Duration, keep func(Sample) bool) time.Duration {
	var latencies []time.Duration
	for _, s := range r.Samples {
		if keep != nil && !keep(s) {
			continue
		}
		if s.Outcome != request.Done {
			s.Latency = deadline
		}
		latencies = append(latencies, s.Latency)
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(int(share*float64(len(latencies))), len(latencies)-1)]
}

// CountDone returns the number of requests that completed with a response.
func (r *Result) CountDone() int {
	n := 0
	for _, s := range r.Samples {
		if s.Outcome == request.Done {
			n++
		}
	}
	return n
}

// AttemptsPerRequest returns the mean number of attempts over the requests that
// had at least one.
func (r *Result) AttemptsPerRequest() float64 {
	first := r.Stats.Attempts - r.Stats.Retries - r.Stats.DrainRetries - r.Stats.Hedges
	if first <= 0 {
		return 0
	}
	return float64(r.Stats.Attempts) / float64(first)
}
