package interference

import (
	"math"
	"time"
)

// ModelOptions configure a Model.
type ModelOptions struct {
	PriorMean            float64       // coefficient of an unknown pair
	PriorDeviation       float64       // standard deviation of an unknown pair
	MeasurementNoise     float64       // standard deviation of one measured slowdown
	HalfLife             time.Duration // of the evidence; afterwards half of the way back to the prior
	UpperBoundDeviations float64       // standard deviations that Harm adds to an estimate
	MaxClasses           int           // further classes keep the prior
}

// withDefaults: the prior says that a worker full of an unknown class costs
// 30%, and the uncertainty that anything from none to double is plausible.
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

// ClassLoad is a class on a worker and the share of the worker that it uses.
type ClassLoad struct {
	Class     string
	Intensity float64 // 1 is a whole worker
	Weight    float64 // importance of the class when it is the victim; 0 counts as 1
}

// Observation is a measured slowdown of a task and who was beside it then.
type Observation struct {
	Victim     string
	Slowdown   float64 // 1 is undisturbed
	Neighbours []ClassLoad
	MeasuredAt time.Time
}

// Estimate is the coefficient of a pair.
type Estimate struct {
	Coefficient float64
	Deviation   float64
}

// Model holds the estimates of all pairs.
type Model struct {
	options ModelOptions
	filters map[string]*victimFilter
}

// NewModel returns a model that knows only its prior.
func NewModel(o ModelOptions) *Model {
	return &Model{options: o.withDefaults(), filters: map[string]*victimFilter{}}
}

// Observe learns from one report. Reports may arrive late and out of order; a
// late one is taken as if it were measured at the time of the latest.
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

// intensityVector returns the vector of intensities in the order of v.index.
// Classes beyond the bound are ignored.
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

// Estimate returns the estimate of a pair at time t.
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

// Cost is the expected cost of putting a task beside residents: the weighted
// slowdown that it causes to them plus the slowdown that it suffers. Caution
// times the deviation is added, so that an unknown pair costs more than one
// that is known to be harmless.
func (m *Model) Cost(task ClassLoad, residents []ClassLoad, t time.Time) float64 {
	cost := 0.0
	for _, r := range residents {
		cost += weight(r) * m.upperBound(r.Class, task.Class, t) * task.Intensity
		cost += weight(task) * m.upperBound(task.Class, r.Class, t) * r.Intensity
	}
	return cost
}

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
