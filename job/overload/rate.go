package overload

import (
	"math"
	"time"
)

const (
	// rateBuckets of bucketLength are the window over which work is summed up. It is
	// about twice a usual run, so that single ends hardly move the rate.
	rateBuckets  = 8
	bucketLength = 500 * time.Millisecond
	// capacityMemory is the time constant with which a higher rate of the past is
	// forgotten. The rate of a window tells how much room there is only while work
	// waits; between bursts it tells how little was wanted.
	capacityMemory = 20 * time.Second
)

// Rate measures how much work is done at a time. The zero value is ready to use.
type Rate struct {
	buckets  [rateBuckets]int64 // work done, by bucket number modulo rateBuckets
	first    int64              // number of the bucket of the first observation
	newest   int64              // number of the newest bucket
	started  bool
	peak     float64 // highest rate, forgotten with capacityMemory
	peakedAt time.Duration
}

// Observe adds work that was done, in millicores times milliseconds.
func (r *Rate) Observe(now time.Duration, work int64) {
	if !r.started {
		r.started, r.first = true, int64(now/bucketLength)
		r.newest = r.first
	}
	r.advance(now)
	r.buckets[r.newest%rateBuckets] += work
}

// PerMilli returns the processor time in millicores that is worked off while there is
// enough work, or 0 as long as too little was observed.
func (r *Rate) PerMilli(now time.Duration) float64 {
	if !r.started {
		return 0
	}
	r.advance(now)
	if r.newest-r.first < rateBuckets {
		return 0 // a new leader has seen only a part of the ends
	}
	sum := int64(0)
	for i, work := range r.buckets {
		if int64(i) != r.newest%rateBuckets { // the newest is not complete
			sum += work
		}
	}
	rate := float64(sum) / float64((rateBuckets-1)*bucketLength.Milliseconds())
	remembered := r.peak * math.Exp(-float64(now-r.peakedAt)/float64(capacityMemory))
	if rate < remembered {
		return remembered
	}
	r.peak, r.peakedAt = rate, now
	return rate
}

// advance clears the buckets that have left the window.
func (r *Rate) advance(now time.Duration) {
	number := int64(now / bucketLength)
	for r.newest < number {
		r.newest++
		if number-r.newest < rateBuckets {
			r.buckets[r.newest%rateBuckets] = 0
		}
	}
}
