package backlog

import "math"

const (
	// The histogram has ratioBuckets buckets, each ratioStep times as wide as the one
	// before, from lowestRatio on: up to 100.
	ratioBuckets = 48
	ratioStep    = 1.155
	lowestRatio  = 0.1
	// minRuns is the number of runs from which their ratios are used.
	minRuns = 20
	// maxRuns is the number of runs after which earlier ones count half. It is large
	// enough for the tail to stay.
	maxRuns = 1024

	// reliableRatio is the factor by which run times may differ from the estimates on
	// average. Jobs are started in an order that follows from the estimates; beyond it,
	// nobody can tell when.
	reliableRatio = 4

	lowQuantile  = 0.10
	highQuantile = 0.98
)

// Ratios are ratios of real to estimated run times.
type Ratios struct {
	Low  float64 // only a tenth of the runs are shorter
	Mean float64
	High float64 // only a fiftieth of the runs are longer
}

// lowMean is the ratio by which accepted work is counted: below the mean, because the tasks
// of a step tend to be off in the same direction.
func (r Ratios) lowMean() float64 { return (r.Low + r.Mean) / 2 }

// isReliable reports whether the estimates tell when a job is started. Those of a queue
// without measurements do, because the lowest ratio is assumed for it.
func (r Ratios) isReliable() bool {
	return r == unknownRatios || r.Mean <= reliableRatio && r.Mean >= 1.0/reliableRatio
}

// unknownRatios stand for a queue without measurements. Estimates are off by up to nine
// tenths; what is not known counts in the job's favour.
var unknownRatios = Ratios{Low: 0.1, Mean: 0.1, High: 10}

// ratioMeter is a histogram of ratios. The whole histogram ages at once, so that the tail
// is forgotten no sooner than the rest.
type ratioMeter struct {
	counts [ratioBuckets]float64
	total  float64
	sum    float64
}

func (r *ratioMeter) add(x float64) {
	index := 0
	if x > lowestRatio {
		index = min(int(math.Log(x/lowestRatio)/math.Log(ratioStep)), ratioBuckets-1)
	}
	r.counts[index]++
	r.total++
	r.sum += x
	if r.total < maxRuns {
		return
	}
	for i := range r.counts {
		r.counts[i] /= 2
	}
	r.total /= 2
	r.sum /= 2
}

func (r *ratioMeter) ratios() Ratios {
	if r.total < minRuns {
		return unknownRatios
	}
	mean := r.sum / r.total
	return Ratios{
		Low:  min(lowerEdge(r.bucket(lowQuantile)), mean),
		Mean: mean,
		High: max(lowerEdge(r.bucket(highQuantile)+1), mean),
	}
}

func (r *ratioMeter) bucket(quantile float64) int {
	seen := 0.0
	for i, n := range r.counts {
		seen += n
		if seen >= quantile*r.total {
			return i
		}
	}
	return ratioBuckets - 1
}

func lowerEdge(bucket int) float64 { return lowestRatio * math.Pow(ratioStep, float64(bucket)) }
