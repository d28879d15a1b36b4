package pacing

import (
	"math"
	"strings"
	"time"

	"github.com/ibispier/ibispier/kalman"
)

const (
	// priorCoefficient and priorDeviation describe a pair of images that nothing
	// is known about: about half of the pairs do hardly any harm, and the others
	// multiply the tail by a few hundred when the filling image has the whole
	// target.
	priorCoefficient = 2.0
	priorDeviation   = 3.0
	// loadDeviation is the standard deviation of the headroom of a job as its load
	// swings, and loadTime the time constant of the swings.
	loadDeviation    = 0.45
	loadTimeConstant = 5 * time.Second
	// meanTimeConstant is the time constant with which the mean headroom of a job is
	// learned.
	meanTimeConstant = 20 * time.Second
	// sampleNoise is the standard deviation of a figure, and effectNoise that of
	// the effect of filling tasks as a share of it: it changes within seconds.
	sampleNoise = 0.25
	effectNoise = 0.35
	// coefficientDrift is the standard deviation by which a coefficient may change
	// in a second.
	coefficientDrift = 0.05
)

// filter is a Kalman filter over the undisturbed headrooms of the jobs of one
// serving image and the coefficients of the filling images beside it. They are
// estimated together: a short tail may come from little load or from neighbours
// that do no harm, and only the whole covariance tells how sure either is.
//
// Headrooms return to their mean in loadTime. Without that, a headroom that
// follows the figures would explain any coefficient.
type filter struct {
	updatedAt  time.Duration
	index      map[string]int // by job and by filling image
	means      map[string]float64
	state      []float64
	covariance [][]float64
}

// Keys of the index. Jobs and images have names of their own.
const (
	jobPrefix   = "job/"
	imagePrefix = "image/"
)

func jobKey(job string) string     { return jobPrefix + job }
func jobOf(key string) string      { return strings.TrimPrefix(key, jobPrefix) }
func imageKey(image string) string { return imagePrefix + image }

func newFilter(now time.Duration) *filter {
	return &filter{updatedAt: now, index: map[string]int{}, means: map[string]float64{}}
}

// addEntry adds an entry to the state unless it is there.
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

// removeJob removes a job. The coefficients keep what was learned from it.
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

// predict lets time pass.
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

// observe takes the headroom of a job beside the work of filling images.
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
			f.state[i] = max(0, f.state[i]) // a neighbour never helps
		}
	}
}

// mergeEstimate takes an estimate of an entry from elsewhere.
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
