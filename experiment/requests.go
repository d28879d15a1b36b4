package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Parameters of the latency-critical service.
const (
	slotsPerRunner     = 8
	baseServiceSeconds = 0.010 // median service time without interference
	serviceSigma       = 0.3
	deadlineSeconds    = 1.0   // a request that would start later is lost
	quietLoad          = 0.4   // share of the slots of all runners
	wavePeriodSeconds  = 180.0 // between the starts of two waves
	waveStartSeconds   = 90.0  // start of the first wave
	waveLengthSeconds  = 60.0
)

// inWave reports whether time t lies in a wave of high request load.
func inWave(t float64) bool {
	return t >= waveStartSeconds && math.Mod(t-waveStartSeconds, wavePeriodSeconds) < waveLengthSeconds
}

func (s Scenario) loadAt(t float64) float64 {
	if inWave(t) {
		return s.WaveLoad
	}
	return quietLoad
}

// runner models the service instance on one worker, which shares the worker with
// its tasks.
type runner struct {
	freeAt   [slotsPerRunner]float64 // when each slot becomes free
	slowdown float64
	up       bool
}

// requestLoad generates open-loop arrivals over all runners.
type requestLoad struct {
	scenario       Scenario
	random         *rand.Rand
	runners        []runner
	nextArrival    float64
	waveLatencies  []float64 // of arrivals in a wave
	quietLatencies []float64
	lost           int
}

func newRequestLoad(s Scenario, seed uint64) *requestLoad {
	r := &requestLoad{scenario: s, random: rand.New(rand.NewPCG(seed, 2)), runners: make([]runner, s.Workers)}
	for i := range r.runners {
		r.runners[i] = runner{slowdown: 1, up: true}
	}
	return r
}

// advance serves the arrivals until time t.
func (r *requestLoad) advance(t float64) {
	mean := baseServiceSeconds * math.Exp(serviceSigma*serviceSigma/2)
	for r.nextArrival < t {
		r.serve(r.nextArrival)
		rate := r.scenario.loadAt(r.nextArrival) * float64(len(r.runners)*slotsPerRunner) / mean
		r.nextArrival += r.random.ExpFloat64() / rate
	}
}

func (r *requestLoad) serve(at float64) {
	chosen := r.choose(at)
	if chosen == nil {
		r.lost++
		return
	}
	slot := 0
	for i := range chosen.freeAt {
		if chosen.freeAt[i] < chosen.freeAt[slot] {
			slot = i
		}
	}
	start := max(at, chosen.freeAt[slot])
	latency := deadlineSeconds
	work := baseServiceSeconds * math.Exp(serviceSigma*r.random.NormFloat64()) * chosen.slowdown
	if start-at < deadlineSeconds {
		chosen.freeAt[slot] = start + work
		latency = min(deadlineSeconds, start+work-at)
	}
	if latency >= deadlineSeconds {
		r.lost++
	}
	if inWave(at) {
		r.waveLatencies = append(r.waveLatencies, latency)
		return
	}
	r.quietLatencies = append(r.quietLatencies, latency)
}

// choose returns the less loaded of two random runners, as the router does.
func (r *requestLoad) choose(at float64) *runner {
	a, b := r.pickRandom(), r.pickRandom()
	if a == nil || b == nil {
		return a
	}
	if b.backlog(at) < a.backlog(at) {
		return b
	}
	return a
}

func (r *requestLoad) pickRandom() *runner {
	for range 20 {
		if c := &r.runners[r.random.IntN(len(r.runners))]; c.up {
			return c
		}
	}
	return nil
}

func (r *runner) backlog(at float64) float64 {
	sum := 0.0
	for _, free := range r.freeAt {
		sum += max(0, free-at)
	}
	return sum
}

// percentile sorts the values and returns the one below which a share p of them
// lies.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(p*float64(len(values))))]
}
