package jobs

import (
	"math"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/pacing"
)

// imagePair is a serving image and a filling image.
type imagePair struct{ serving, filling string }

// disturbanceTable combines the disturbance estimates of all agents. Each agent
// is weighted by the precision of its estimate.
type disturbanceTable struct {
	images map[string]bool // serving images that have been reported
	pairs  map[imagePair]*weightedSum
	stored map[imagePair]job.Disturbance // last proposed for the log
}

// weightedSum combines the estimates of a pair over the agents that have one.
type weightedSum struct {
	byHost   map[string]job.Disturbance
	weight   float64 // sum of 1/variance
	weighted float64 // sum of coefficient/variance
}

// newDisturbanceTable returns a table with the stored estimates, which together
// count like the estimate of one more agent.
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
	// storedHost is the host name under which stored estimates count.
	// minStoredDeviation is the lowest deviation assumed for them, because
	// images may have changed since.
	storedHost         = ""
	minStoredDeviation = 0.7
	// storeInterval is the minimum time between entries with estimates. An
	// estimate is stored again when its coefficient has changed by
	// minCoefficientChange or its deviation has fallen to maxDeviationRatio of
	// the stored one.
	storeInterval        = 2 * time.Second
	minCoefficientChange = 0.5
	maxDeviationRatio    = 0.7
)

// changes returns the estimates that differ significantly from the stored ones,
// and marks them as stored.
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

// storeDisturbances proposes changed estimates for the log, so that they
// survive the agents and this leader.
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

// minAgentDeviation limits the weight of a single agent.
const minAgentDeviation = 0.1

// learn adds the estimates of an agent, replacing its earlier ones.
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

// set replaces the estimate of a host.
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

// estimate returns the combined estimate for a pair, or the prior if there is
// none.
func (d *disturbanceTable) estimate(serving, filling string) job.Disturbance {
	sum := d.pairs[imagePair{serving, filling}]
	if sum == nil || sum.weight <= 0 {
		return pacing.PriorDisturbance
	}
	return job.Disturbance{Coefficient: sum.weighted / sum.weight, Deviation: math.Sqrt(1 / sum.weight)}
}

// byServingImage returns the estimates for the step's image, by serving image.
// It returns nil for steps that are not filling.
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

// headroom returns the reported undisturbed headroom by serving image.
func (s *session) headroom() map[string]float64 {
	headroom := make(map[string]float64, len(s.report.Serving))
	for _, f := range s.report.Serving {
		headroom[f.Image] = f.Headroom
	}
	return headroom
}
