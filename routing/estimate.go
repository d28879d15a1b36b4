package routing

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample: about the last 10 count.
	sampleWeight = 0.1
	// serviceSampleWeight is the weight of a sample in the estimate of a whole
	// service: about the last 100 count, so that one slow target does not
	// dominate it.
	serviceSampleWeight = 0.01
	// estimateDecayTime is the time constant with which an estimate without new
	// samples loses its weight, so that a target that was slow is tried again.
	estimateDecayTime = 5 * time.Second
	// defaultServiceTime is assumed until there is a sample.
	defaultServiceTime = float64(time.Millisecond)
)

// estimate tracks the moving mean and mean deviation of a duration in
// nanoseconds.
type estimate struct {
	mean, deviation float64
	samples         int
	sampledAt       time.Time // of the last sample
	minWeight       float64   // minimum weight of a sample; sampleWeight if 0
}

func (e *estimate) add(now time.Time, x float64) {
	e.samples++
	e.sampledAt = now
	least := e.minWeight
	if least == 0 {
		least = sampleWeight
	}
	weight := max(least, 1/float64(e.samples))
	difference := x - e.mean
	e.mean += weight * difference
	e.deviation += weight * (math.Abs(difference) - e.deviation)
	if e.samples == 1 {
		e.deviation = 0
	}
}

// tail returns the mean plus two deviations, about the 95th percentile.
func (e *estimate) tail() float64 { return e.mean + 2*e.deviation }

// weight returns the confidence in the estimate: 1 after a sample, decaying
// with time.
func (e *estimate) weight(now time.Time) float64 {
	if e.samples == 0 {
		return 0
	}
	return math.Exp(-float64(now.Sub(e.sampledAt)) / float64(estimateDecayTime))
}

// The histogram has exponential buckets from 50 us to about 100 s.
const (
	bucketCount     = 96
	bucketRatio     = 1.163
	smallestBucket  = float64(50 * time.Microsecond) // upper bound of the first bucket, in nanoseconds
	halveInterval   = 2048                           // samples between halvings, so that the histogram follows the load
	refreshInterval = 32                             // samples between computations of the percentile
	minSamples      = 64
)

var logBucketRatio = math.Log(bucketRatio)

// latencyHistogram estimates the 95th percentile of recent durations.
type latencyHistogram struct {
	counts  [bucketCount]float64
	total   float64
	samples int
	value   time.Duration
}

func (p *latencyHistogram) add(x float64) {
	p.counts[bucketIndex(x)]++
	p.total++
	p.samples++
	if p.samples%halveInterval == 0 {
		p.halve()
	}
	if p.samples%refreshInterval == 0 {
		p.refresh()
	}
}

func bucketIndex(x float64) int {
	if x <= smallestBucket {
		return 0
	}
	return min(int(math.Log(x/smallestBucket)/logBucketRatio)+1, bucketCount-1)
}

func (p *latencyHistogram) halve() {
	p.total /= 2
	for i := range p.counts {
		p.counts[i] /= 2
	}
}

func (p *latencyHistogram) refresh() {
	left := 0.05 * p.total
	i := bucketCount - 1
	for ; i > 0; i-- {
		if left -= p.counts[i]; left < 0 {
			break
		}
	}
	p.value = time.Duration(smallestBucket * math.Pow(bucketRatio, float64(i)))
}

// p95 returns the 95th percentile, and whether there are enough samples.
func (p *latencyHistogram) p95() (time.Duration, bool) {
	return p.value, p.samples >= minSamples
}
