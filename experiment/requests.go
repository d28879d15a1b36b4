package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Figures of the latency-critical service.
const (
	slots         = 8
	baseService   = 0.010 // seconds, median of one request undisturbed
	serviceSpread = 0.3
	deadline      = 1.0   // seconds; a request that would start later is lost
	quietLoad     = 0.4   // of the slots of all runners
	wavePeriod    = 180.0 // seconds between the starts of waves
	waveStart     = 90.0  // first wave
	waveLength    = 60.0
)

// inWave reports whether the load of requests is high at time t.
func inWave(t float64) bool {
	return t >= waveStart && math.Mod(t-waveStart, wavePeriod) < waveLength
}

func (s Scenario) loadAt(t float64) float64 {
	if inWave(t) {
		return s.WaveLoad
	}
	return quietLoad
}

// runner serves requests beside the tasks of one worker.
type runner struct {
	free     [slots]float64 // when each slot is free
	slowdown float64
	up       bool
}

// requests is an open loop of arrivals over all runners.
type requests struct {
	scenario  Scenario
	random    *rand.Rand
	runners   []runner
	next      float64
	latencies []float64 // of arrivals in a wave
	quiet     []float64
	lost      int
}

func newRequests(s Scenario, seed uint64) *requests {
	r := &requests{scenario: s, random: rand.New(rand.NewPCG(seed, 2)), runners: make([]runner, s.Workers)}
	for i := range r.runners {
		r.runners[i] = runner{slowdown: 1, up: true}
	}
	return r
}

// advance serves the arrivals until time t.
func (r *requests) advance(t float64) {
	mean := baseService * math.Exp(serviceSpread*serviceSpread/2)
	for r.next < t {
		r.serve(r.next)
		rate := r.scenario.loadAt(r.next) * float64(len(r.runners)*slots) / mean
		r.next += r.random.ExpFloat64() / rate
	}
}

func (r *requests) serve(at float64) {
	chosen := r.choose(at)
	if chosen == nil {
		r.lost++
		return
	}
	slot := 0
	for i := range chosen.free {
		if chosen.free[i] < chosen.free[slot] {
			slot = i
		}
	}
	start := max(at, chosen.free[slot])
	latency := deadline
	work := baseService * math.Exp(serviceSpread*r.random.NormFloat64()) * chosen.slowdown
	if start-at < deadline {
		chosen.free[slot] = start + work
		latency = min(deadline, start+work-at)
	}
	if latency >= deadline {
		r.lost++
	}
	if inWave(at) {
		r.latencies = append(r.latencies, latency)
		return
	}
	r.quiet = append(r.quiet, latency)
}

// choose returns the less loaded of two runners, as the router does.
func (r *requests) choose(at float64) *runner {
	a, b := r.pick(), r.pick()
	if a == nil || b == nil {
		return a
	}
	if b.backlog(at) < a.backlog(at) {
		return b
	}
	return a
}

func (r *requests) pick() *runner {
	for range 20 {
		if c := &r.runners[r.random.IntN(len(r.runners))]; c.up {
			return c
		}
	}
	return nil
}

func (r *runner) backlog(at float64) float64 {
	sum := 0.0
	for _, free := range r.free {
		sum += max(0, free-at)
	}
	return sum
}

// percentile returns the value below which a share p of the sorted values lies.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(p*float64(len(values))))]
}
