package jobs

import (
	"math"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/pacing"
)

// pair is a serving and a filling image.
type imagePair struct{ serving, filling string }

// disturbances combine what the agents have learned about pairs of images. Each
// agent counts by the precision of its estimate.
type disturbanceTable struct {
	images map[string]bool // serving images that were seen
	pairs  map[imagePair]*weightedSum
	stored map[imagePair]job.Disturbance // as last put into the log
}

// pairSum is the sum over the agents that know a pair.
type weightedSum struct {
	byHost   map[string]job.Disturbance
	weight   float64 // sum of 1/variance
	weighted float64 // sum of coefficient/variance
}

// newDisturbances returns what is in the log. It counts like the estimate of one
// more agent.
func newDisturbanceTable(st *job.Store) *disturbanceTable {
	d := &disturbanceTable{images: map[string]bool{}, pairs: map[imagePair]*weightedSum{}, stored: map[imagePair]job.Disturbance{}}
	for serving, pairs := range st.Disturbs {
		for filling, e := range pairs {
			e.Deviation = max(e.Deviation, minStoredDeviation)
			d.learn(storedHost, nil, []controlapi.PairDisturbance{{Filling: filling, Serving: serving, Disturbance: e}})
			d.stored[imagePair{serving, filling}] = e
		}
	}
	return d
}

const (
	// storedHost stands for the log among the agents, and storedDeviation is the
	// least deviation of its estimates: images may have changed since.
	storedHost         = ""
	minStoredDeviation = 0.7
	// storeInterval separates entries about pairs of images, and storeChange and
	// storePrecision are the changes that are worth one.
	storeInterval        = 2 * time.Second
	minCoefficientChange = 0.5
	maxDeviationRatio    = 0.7
)

// changes returns the estimates that differ from those in the log.
func (d *disturbanceTable) changes() []job.PairEstimate {
	var changed []job.PairEstimate
	for key := range d.pairs {
		e := d.estimate(key.serving, key.filling)
		last, known := d.stored[key]
		if e == pacing.PriorDisturbance || known && math.Abs(e.Coefficient-last.Coefficient) < minCoefficientChange && e.Deviation > maxDeviationRatio*last.Deviation {
			continue
		}
		d.stored[key] = e
		changed = append(changed, job.PairEstimate{Serving: key.serving, Filling: key.filling, Disturbance: e})
	}
	return changed
}

// storeDisturbances puts what was learned into the log, so that it outlives the
// agents and this leader.
func (e *engine) storeDisturbances(now time.Time) {
	l := e.leader
	if now.Sub(l.estimatesStoredAt) < storeInterval {
		return
	}
	l.estimatesStoredAt = now
	if changed := l.disturbances.changes(); len(changed) > 0 {
		e.addPart(func(c *job.Command) { c.Learned = append(c.Learned, changed...) }, nil, nil)
	}
}

// leastDeviation bounds the weight of one agent.
const minAgentDeviation = 0.1

// learn takes what an agent has learned.
func (d *disturbanceTable) learn(host string, serving []controlapi.ServingHeadroom, learned []controlapi.PairDisturbance) {
	for _, f := range serving {
		d.images[f.Image] = true
	}
	for _, f := range learned {
		d.images[f.Serving] = true
		key := imagePair{f.Serving, f.Filling}
		sum := d.pairs[key]
		if sum == nil {
			sum = &weightedSum{byHost: map[string]job.Disturbance{}}
			d.pairs[key] = sum
		}
		sum.set(host, f.Disturbance)
	}
}

func (s *weightedSum) set(host string, d job.Disturbance) {
	if before, known := s.byHost[host]; known {
		s.add(before, -1)
	}
	d.Deviation = max(d.Deviation, minAgentDeviation)
	s.byHost[host] = d
	s.add(d, 1)
}

func (s *weightedSum) add(d job.Disturbance, sign float64) {
	weight := sign / (d.Deviation * d.Deviation)
	s.weight += weight
	s.weighted += weight * d.Coefficient
}

// estimate returns what is known about a pair.
func (d *disturbanceTable) estimate(serving, filling string) job.Disturbance {
	sum := d.pairs[imagePair{serving, filling}]
	if sum == nil || sum.weight <= 0 {
		return pacing.PriorDisturbance
	}
	return job.Disturbance{Coefficient: sum.weighted / sum.weight, Deviation: math.Sqrt(1 / sum.weight)}
}

// of returns what is known about a filling image.
func (d *disturbanceTable) byServingImage(s *job.Step) map[string]job.Disturbance {
	if !s.Filling || len(d.images) == 0 {
		return nil
	}
	known := map[string]job.Disturbance{}
	for image := range d.images {
		if e := d.estimate(image, s.Image); e != pacing.PriorDisturbance {
			known[image] = e
		}
	}
	return known
}

// headroom returns the undisturbed headroom by serving image.
func (s *session) headroom() map[string]float64 {
	headroom := make(map[string]float64, len(s.report.Serving))
	for _, f := range s.report.Serving {
		headroom[f.Image] = f.Headroom
	}
	return headroom
}
