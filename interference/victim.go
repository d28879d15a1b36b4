package interference

import (
	"math"
	"time"

	"github.com/ibispier/ibispier/kalman"
)

// victim is a Kalman filter over the coefficients of all classes beside one
// victim class. It keeps the whole covariance: with only its diagonal the
// filter grew certain of coefficients that were wrong by a multiple of their
// deviation, because neighbours always appear together.
type victim struct {
	index      map[string]int
	mean       []float64
	covariance [][]float64
	at         time.Time

	// Memo of kept, which is asked many times for one moment.
	keptFor   time.Time
	keptValue float64
}

// grow adds an aggressor class with the prior.
func (v *victim) grow(class string, o ModelOptions) {
	n := len(v.mean)
	v.index[class] = n
	v.mean = append(v.mean, o.PriorMean)
	for i := range v.covariance {
		v.covariance[i] = append(v.covariance[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = o.PriorDeviation * o.PriorDeviation
	v.covariance = append(v.covariance, row)
}

// kept is the share of the evidence that is left at time t.
func (v *victim) kept(o ModelOptions, t time.Time) float64 {
	age := t.Sub(v.at)
	if age <= 0 {
		return 1
	}
	if !v.keptFor.Equal(t) {
		v.keptFor, v.keptValue = t, math.Exp2(-float64(age)/float64(o.HalfLife))
	}
	return v.keptValue
}

// decay moves the estimates towards the prior.
func (v *victim) decay(o ModelOptions, t time.Time) {
	if !t.After(v.at) {
		return
	}
	kept := v.kept(o, t)
	prior := o.PriorDeviation * o.PriorDeviation
	for i, row := range v.covariance {
		v.mean[i] = o.PriorMean + (v.mean[i]-o.PriorMean)*kept
		for j := range row {
			row[j] *= kept
		}
		row[i] += prior * (1 - kept)
	}
	v.at, v.keptFor = t, time.Time{}
}

// update applies the equation y = x . mean with the given noise.
func (v *victim) update(x []float64, y, noise float64) {
	kalman.Update(v.mean, v.covariance, x, y, noise*noise)
}
