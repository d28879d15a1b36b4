package routing

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample: about the last 10 count.
	sampleWeight = 0.1
	// commonWeight is the weight of a sample in the estimate of a whole service:
	// about the last 100 count, so that one slow target does not dominate it.
	commonWeight = 0.01
	// estimateLife is the time in which an estimate without new samples loses
	// most of its weight, so that a target that was slow is tried again.
	estimateLife = 5 * time.Second
	// defaultWork is assumed before there is any sample.
	defaultWork = float64(time.Millisecond)
)

// estimate tracks the mean and the mean deviation of a duration in nanoseconds.
type estimate struct {
	mean, deviation float64
	samples         int
	at              time.Time // of the last sample
	least           float64   // least weight of a sample; sampleWeight when 0
}

func (e *estimate) add(now time.Time, x float64) {
	e.samples++
	e.at = now
	least := e.least
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

// tail is the mean plus two deviations, about the 95th percentile.
func (e *estimate) tail() float64 { return e.mean + 2*e.deviation }

// weight is the trust in the estimate: 1 after a sample, falling with time.
func (e *estimate) weight(now time.Time) float64 {
	if e.samples == 0 {
		return 0
	}
	return math.Exp(-float64(now.Sub(e.at)) / float64(estimateLife))
}

// The histogram has buckets of equal ratio from 50 us to about 100 s.
const (
	buckets       = 96
	bucketRatio   = 1.163
	smallest      = float64(50 * time.Microsecond)
	halveAfter    = 2048 // samples, so that the histogram follows the load
	refreshAfter  = 32   // samples between two computations of the percentile
	enoughSamples = 64
)

var logRatio = math.Log(bucketRatio)

// percentile estimates the 95th percentile of recent durations.
type percentile struct {
	counts  [buckets]float64
	total   float64
	samples int
	value   time.Duration
}

func (p *percentile) add(x float64) {
	p.counts[bucketOf(x)]++
	p.total++
	p.samples++
	if p.samples%halveAfter == 0 {
		p.halve()
	}
	if p.samples%refreshAfter == 0 {
		p.refresh()
	}
}

func bucketOf(x float64) int {
	if x <= smallest {
		return 0
	}
	return min(int(math.Log(x/smallest)/logRatio)+1, buckets-1)
}

func (p *percentile) halve() {
	p.total /= 2
	for i := range p.counts {
		p.counts[i] /= 2
	}
}

func (p *percentile) refresh() {
	left := 0.05 * p.total
	i := buckets - 1
	for ; i > 0; i-- {
		if left -= p.counts[i]; left < 0 {
			break
		}
	}
	p.value = time.Duration(smallest * math.Pow(bucketRatio, float64(i)))
}

// known returns the percentile once there are enough samples.
func (p *percentile) known() (time.Duration, bool) {
	return p.value, p.samples >= enoughSamples
}
