package interference

import (
	"math"
	"time"

	"github.com/ibispier/ibispier/kalman"
)

// victimFilter is a Kalman filter over the coefficients of all aggressor classes
// for one victim class. It keeps the full covariance matrix, because neighbours
// always appear together: with the diagonal alone the filter becomes certain of
// coefficients that are wrong by a multiple of their standard deviation.
type victimFilter struct {
	aggressorIndex map[string]int
	mean           []float64
	covariance     [][]float64
	updatedAt      time.Time

	// Cached result of retention, which is called many times for the same time.
	retentionAt   time.Time
	retentionMemo float64
}

// addAggressor adds an aggressor class, with the prior as its estimate.
func (v *victimFilter) addAggressor(class string, o ModelOptions) {
	n := len(v.mean)
	v.aggressorIndex[class] = n
	v.mean = append(v.mean, o.PriorMean)
	for i := range v.covariance {
		v.covariance[i] = append(v.covariance[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = o.PriorDeviation * o.PriorDeviation
	v.covariance = append(v.covariance, row)
}

// retention returns the share of the evidence that remains at time t.
func (v *victimFilter) retention(o ModelOptions, t time.Time) float64 {
	age := t.Sub(v.updatedAt)
	if age <= 0 {
		return 1
	}
	if !v.retentionAt.Equal(t) {
		v.retentionAt, v.retentionMemo = t, math.Exp2(-float64(age)/float64(o.HalfLife))
	}
	return v.retentionMemo
}

// decay moves the estimates towards the prior for the time that has passed since
// the last report.
func (v *victimFilter) decay(o ModelOptions, t time.Time) {
	if !t.After(v.updatedAt) {
		return
	}
	retention := v.retention(o, t)
	priorVariance := o.PriorDeviation * o.PriorDeviation
	for i, row := range v.covariance {
		v.mean[i] = o.PriorMean + (v.mean[i]-o.PriorMean)*retention
		for j := range row {
			row[j] *= retention
		}
		row[i] += priorVariance * (1 - retention)
	}
	v.updatedAt, v.retentionAt = t, time.Time{}
}

// update applies the measurement y = x . mean, whose standard deviation is noise.
func (v *victimFilter) update(x []float64, y, noise float64) {
	kalman.Update(v.mean, v.covariance, x, y, noise*noise)
}
