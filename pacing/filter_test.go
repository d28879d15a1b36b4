package pacing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulate feeds a filter with samples of two jobs whose loads vary
// independently, beside filling images that start and stop.
func simulate(t *testing.T, f *filter, seed uint64, coefficients map[string]float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	shares := map[string]float64{}
	now := time.Duration(0)
	for i := range 300 {
		now += 400 * time.Millisecond
		for image := range coefficients {
			f.addEntry(imageKey(image), priorCoefficient, priorDeviation)
			if random.IntN(5) == 0 {
				shares[image] = 0.2 * random.Float64() * float64(random.IntN(2))
			}
		}
		f.predict(now)
		for n, job := range []string{"x", "y"} {
			if f.means[jobKey(job)] == 0 {
				f.means[jobKey(job)] = DefaultHeadroom
				f.addEntry(jobKey(job), DefaultHeadroom, loadDeviation)
			}
			headroom := 0.9 + 0.6*math.Sin(2*math.Pi*(float64(i)*0.4/20+float64(n)/3)) + 0.15*random.NormFloat64()
			for image, share := range shares {
				headroom -= coefficients[image] * share
			}
			f.observe(job, shares, headroom)
		}
	}
}

// Guards against a filter that attributes the load of serving tasks to filling
// tasks, or any effect of filling tasks to the load.
func TestFilterTellsLoadFromDisturbance(t *testing.T) {
	coefficients := map[string]float64{"harmless": 0.2, "harmful": 6}
	for seed := range uint64(10) {
		f := newFilter(0)
		simulate(t, f, seed, coefficients)
		for image, want := range coefficients {
			got, deviation, known := f.estimate(imageKey(image))
			if !known || math.Abs(got-want) > 1.5 {
				t.Errorf("seed %d: %s has %.1f (deviation %.1f), want %.1f", seed, image, got, deviation, want)
			}
		}
	}
}

// Guards against a job whose removal discards the coefficients learned beside
// it, or mixes up the remaining entries.
func TestFilterForgetsJobsAndKeepsCoefficients(t *testing.T) {
	f := newFilter(0)
	simulate(t, f, 3, map[string]float64{"harmful": 6})
	coefficient, deviation, _ := f.estimate(imageKey("harmful"))
	headroom, _, _ := f.estimate(jobKey("y"))
	f.removeJob(jobKey("x"))
	if got, gotDeviation, known := f.estimate(imageKey("harmful")); !known || got != coefficient || gotDeviation != deviation {
		t.Errorf("coefficient %v (deviation %v) after the job was removed, was %v (%v)", got, gotDeviation, coefficient, deviation)
	}
	if got, _, known := f.estimate(jobKey("y")); !known || got != headroom {
		t.Errorf("headroom of the other job is %v, was %v", got, headroom)
	}
	if _, _, known := f.estimate(jobKey("x")); known {
		t.Error("the job is still there")
	}
	if len(f.state) != 2 || len(f.covariance) != 2 || len(f.covariance[0]) != 2 {
		t.Errorf("%d entries, covariance %d x %d, want 2", len(f.state), len(f.covariance), len(f.covariance[0]))
	}
}
