package pacing

import (
	"math"
	"strings"
	"time"

	"github.com/ibispier/ibispier/kalman"
)

const (
	// priorCoefficient and priorDeviation describe a pair of images before
	// anything is known about it: about half of the pairs interfere hardly at
	// all, and the others multiply the tail latency by a few hundred when the
	// filling image has the whole target.
	priorCoefficient = 2.0
	priorDeviation   = 3.0
	// loadDeviation is the standard deviation of the headroom of a job as its
	// load varies. The load reverts to its mean with loadTimeConstant.
	loadDeviation    = 0.45
	loadTimeConstant = 5 * time.Second
	// meanTimeConstant is the time constant of the estimate of a job's mean
	// headroom.
	meanTimeConstant = 20 * time.Second
	// sampleNoise is the standard deviation of a headroom sample. effectNoise
	// is that of the effect of filling tasks, relative to the effect, which
	// changes within seconds.
	sampleNoise = 0.25
	effectNoise = 0.35
	// coefficientDrift is the standard deviation by which a coefficient may
	// change per second.
	coefficientDrift = 0.05
)

// filter is a Kalman filter for one serving image. Its state holds the
// undisturbed headroom of each job and the coefficient of each filling image.
// They are estimated jointly: a short tail may be due to a low load or to
// harmless neighbours, and only the full covariance tells how certain either
// estimate is.
//
// Headrooms revert to their mean with loadTimeConstant. Otherwise a headroom
// that follows the samples could explain any coefficient.
type filter struct {
	updatedAt  time.Duration
	index      map[string]int     // position in state, by job key and image key
	means      map[string]float64 // mean headroom by job key
	state      []float64
	covariance [][]float64
}

// Prefixes of the index keys: a job and an image may have the same name.
const (
	jobPrefix   = "job/"
	imagePrefix = "image/"
)

func jobKey(job string) string     { return jobPrefix + job }
func jobOf(key string) string      { return strings.TrimPrefix(key, jobPrefix) }
func imageKey(image string) string { return imagePrefix + image }

// newFilter returns a filter without entries.
func newFilter(now time.Duration) *filter {
	return &filter{updatedAt: now, index: map[string]int{}, means: map[string]float64{}}
}

// addEntry adds an entry to the state unless it exists.
func (f *filter) addEntry(key string, value, deviation float64) {
	if _, known := f.index[key]; known {
		return
	}
	n := len(f.state)
	f.index[key] = n
	f.state = append(f.state, value)
	for i := range f.covariance {
		f.covariance[i] = append(f.covariance[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = deviation * deviation
	f.covariance = append(f.covariance, row)
}

// removeJob removes the entry of a job. The coefficients keep what was learned
// from it.
func (f *filter) removeJob(key string) {
	at, known := f.index[key]
	if !known {
		return
	}
	delete(f.index, key)
	delete(f.means, key)
	for k, i := range f.index {
		if i > at {
			f.index[k] = i - 1
		}
	}
	f.state = append(f.state[:at], f.state[at+1:]...)
	f.covariance = append(f.covariance[:at], f.covariance[at+1:]...)
	for i, row := range f.covariance {
		f.covariance[i] = append(row[:at], row[at+1:]...)
	}
}

// predict advances the state to now: headrooms revert to their mean, and
// uncertainty grows.
func (f *filter) predict(now time.Duration) {
	elapsed := (now - f.updatedAt).Seconds()
	f.updatedAt = now
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed / loadTimeConstant.Seconds())
	meanGain := 1 - math.Exp(-elapsed/meanTimeConstant.Seconds())
	for key, i := range f.index {
		mean, isJob := f.means[key]
		if !isJob {
			f.covariance[i][i] += coefficientDrift * coefficientDrift * elapsed
			continue
		}
		f.means[key] = mean + meanGain*(f.state[i]-mean)
		f.state[i] = mean + decay*(f.state[i]-mean)
		for j := range f.state {
			f.covariance[i][j] *= decay
			f.covariance[j][i] *= decay
		}
		f.covariance[i][i] += loadDeviation * loadDeviation * (1 - decay*decay)
	}
}

// observe updates the state with the headroom of a job, measured while filling
// images used the given shares of the processors.
func (f *filter) observe(job string, shares map[string]float64, headroom float64) {
	x := make([]float64, len(f.state))
	x[f.index[jobKey(job)]] = 1
	lost := 0.0
	for image, share := range shares {
		if i, known := f.index[imageKey(image)]; known {
			x[i] = -share
			lost += share * f.state[i]
		}
	}
	kalman.Update(f.state, f.covariance, x, headroom, sampleNoise*sampleNoise+effectNoise*effectNoise*lost*lost)
	for key, i := range f.index {
		if _, isJob := f.means[key]; !isJob {
			f.state[i] = max(0, f.state[i]) // filling tasks never shorten the tail
		}
	}
}

// mergeEstimate updates an entry with an independent estimate.
func (f *filter) mergeEstimate(key string, value, deviation float64) {
	x := make([]float64, len(f.state))
	x[f.index[key]] = 1
	kalman.Update(f.state, f.covariance, x, value, deviation*deviation)
}

// estimate returns the value of an entry and its standard deviation.
func (f *filter) estimate(key string) (value, deviation float64, known bool) {
	i, known := f.index[key]
	if !known {
		return 0, 0, false
	}
	return f.state[i], math.Sqrt(max(f.covariance[i][i], 0)), true
}
