package interference

import (
	"math"
	"time"
)

// ModelOptions configure a Model.
type ModelOptions struct {
	PriorMean            float64       // coefficient of a pair without observations
	PriorDeviation       float64       // standard deviation of that coefficient
	MeasurementNoise     float64       // standard deviation of one measured slowdown
	HalfLife             time.Duration // of the evidence: the time in which an estimate moves half of the way to the prior
	UpperBoundDeviations float64       // standard deviations that Cost adds to an estimate
	MaxClasses           int           // victim classes, and aggressor classes of each; further ones keep the prior
}

// withDefaults fills in options that are not set. With the default prior, a
// worker fully used by an unknown class slows its neighbours down by 30%, and
// anything from nothing to double that is plausible.
func (o ModelOptions) withDefaults() ModelOptions {
	if o.PriorMean == 0 {
		o.PriorMean = 0.3
	}
	if o.PriorDeviation == 0 {
		o.PriorDeviation = 0.5
	}
	if o.MeasurementNoise == 0 {
		o.MeasurementNoise = 0.15
	}
	if o.HalfLife == 0 {
		o.HalfLife = 30 * time.Minute
	}
	if o.UpperBoundDeviations == 0 {
		o.UpperBoundDeviations = 0.5
	}
	if o.MaxClasses == 0 {
		o.MaxClasses = 64
	}
	return o
}

// ClassLoad is the load that the tasks of one class put on a worker.
type ClassLoad struct {
	Class     string
	Intensity float64 // share of the worker that is used; 1 is the whole worker
	Weight    float64 // weight in Cost of the slowdown of this class; 0 counts as 1
}

// Observation is a measured slowdown of a task, with the other classes on its
// worker at that time.
type Observation struct {
	Victim     string  // class of the task
	Slowdown   float64 // 1 is undisturbed
	Neighbours []ClassLoad
	MeasuredAt time.Time
}

// Estimate is the estimated coefficient of a pair, with its standard deviation.
type Estimate struct {
	Coefficient float64
	Deviation   float64
}

// Model holds the estimates of all pairs of classes.
type Model struct {
	options ModelOptions
	filters map[string]*victimFilter
}

// NewModel returns a model without observations; all estimates are the prior.
func NewModel(o ModelOptions) *Model {
	return &Model{options: o.withDefaults(), filters: map[string]*victimFilter{}}
}

// Observe updates the estimates with one report. Reports may arrive late and out
// of order; a report older than the latest one is treated as if it were measured
// at the same time as that one. Invalid slowdowns are ignored.
func (m *Model) Observe(o Observation) {
	if o.Slowdown <= 0 || math.IsNaN(o.Slowdown) || math.IsInf(o.Slowdown, 0) {
		return
	}
	v := m.filters[o.Victim]
	if v == nil {
		if len(m.filters) >= m.options.MaxClasses {
			return
		}
		v = &victimFilter{aggressorIndex: map[string]int{}, updatedAt: o.MeasuredAt}
		m.filters[o.Victim] = v
	}
	x := m.intensityVector(v, o.Neighbours)
	v.decay(m.options, o.MeasuredAt)
	v.update(x, o.Slowdown-1, m.options.MeasurementNoise)
}

// intensityVector returns the intensities in the order of v.aggressorIndex, to
// which it adds new classes. Classes in excess of MaxClasses are ignored.
func (m *Model) intensityVector(v *victimFilter, neighbours []ClassLoad) []float64 {
	for _, n := range neighbours {
		if _, known := v.aggressorIndex[n.Class]; !known && n.Intensity > 0 && len(v.aggressorIndex) < m.options.MaxClasses {
			v.addAggressor(n.Class, m.options)
		}
	}
	x := make([]float64, len(v.mean))
	for _, n := range neighbours {
		if i, known := v.aggressorIndex[n.Class]; known {
			x[i] += max(0, n.Intensity)
		}
	}
	return x
}

// Estimate returns the estimate for a pair of classes at time t.
func (m *Model) Estimate(victim, aggressor string, t time.Time) Estimate {
	mean, variance := m.meanAndVariance(victim, aggressor, t)
	return Estimate{Coefficient: mean, Deviation: math.Sqrt(variance)}
}

func (m *Model) meanAndVariance(class, aggressor string, t time.Time) (mean, variance float64) {
	priorVariance := m.options.PriorDeviation * m.options.PriorDeviation
	v := m.filters[class]
	if v == nil {
		return m.options.PriorMean, priorVariance
	}
	i, known := v.aggressorIndex[aggressor]
	if !known {
		return m.options.PriorMean, priorVariance
	}
	retention := v.retention(m.options, t)
	mean = m.options.PriorMean + (v.mean[i]-m.options.PriorMean)*retention
	return max(0, mean), priorVariance + (v.covariance[i][i]-priorVariance)*retention
}

// Cost returns the expected cost of placing a task beside neighbours: the weighted
// slowdown that it causes to them plus the weighted slowdown that it suffers.
// It uses an upper bound of each coefficient, so that an unknown pair costs more
// than one that is known to be harmless.
func (m *Model) Cost(task ClassLoad, neighbours []ClassLoad, t time.Time) float64 {
	cost := 0.0
	for _, n := range neighbours {
		cost += weight(n) * m.upperBound(n.Class, task.Class, t) * task.Intensity
		cost += weight(task) * m.upperBound(task.Class, n.Class, t) * n.Intensity
	}
	return cost
}

// upperBound returns the estimate plus UpperBoundDeviations standard deviations.
func (m *Model) upperBound(victim, aggressor string, t time.Time) float64 {
	mean, variance := m.meanAndVariance(victim, aggressor, t)
	return mean + m.options.UpperBoundDeviations*math.Sqrt(variance)
}

func weight(r ClassLoad) float64 {
	if r.Weight == 0 {
		return 1
	}
	return r.Weight
}
