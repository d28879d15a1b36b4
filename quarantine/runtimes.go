package quarantine

import (
	"fmt"
	"math"
	"time"
)

const (
	minSampleWeight   = 0.2    // of a new run time in the moving average
	minSamples        = 5      // completed runs before the estimate of a class is used
	misdeclaredFactor = 4.0    // error of a declared run time that is reported
	maxClasses        = 10_000 // further classes are not recorded
)

// RunTimes estimates, for each class of tasks, the ratio of measured to declared
// run time. It keeps a moving average of the logarithm of the ratio, so that a
// single outlier has little effect.
type RunTimes struct {
	classes map[string]*runTimeRatio
}

// runTimeRatio is the estimate for one class.
type runTimeRatio struct {
	meanLog float64
	samples int
}

// NewRunTimes returns a RunTimes without any recorded runs.
func NewRunTimes() *RunTimes { return &RunTimes{classes: map[string]*runTimeRatio{}} }

// Record adds a completed run. Runs without a declared run time are ignored.
func (r *RunTimes) Record(class string, declared, measured time.Duration) {
	if declared <= 0 || measured <= 0 {
		return
	}
	c := r.classes[class]
	if c == nil {
		if len(r.classes) >= maxClasses {
			return
		}
		c = &runTimeRatio{}
		r.classes[class] = c
	}
	c.samples++
	weight := max(minSampleWeight, 1/float64(c.samples))
	c.meanLog += weight * (math.Log(measured.Seconds()/declared.Seconds()) - c.meanLog)
}

// Expected returns the declared run time multiplied by the learned ratio of the
// class.
func (r *RunTimes) Expected(class string, declared time.Duration) time.Duration {
	c := r.classes[class]
	if c == nil || c.samples < minSamples {
		return declared
	}
	return time.Duration(float64(declared) * math.Exp(c.meanLog))
}

// Misdeclared reports whether the declared run times of a class are wrong by a
// factor of at least misdeclaredFactor, with a reason for operators.
func (r *RunTimes) Misdeclared(class string) (string, bool) {
	c := r.classes[class]
	if c == nil || c.samples < minSamples || math.Abs(c.meanLog) < math.Log(misdeclaredFactor) {
		return "", false
	}
	return fmt.Sprintf("tasks of class %s run %.1f times as long as declared", class, math.Exp(c.meanLog)), true
}

// IsOverdue reports whether a task has run for more than misdeclaredFactor times
// its expected run time.
func (r *RunTimes) IsOverdue(class string, declared, running time.Duration) bool {
	return declared > 0 && float64(running) > misdeclaredFactor*float64(r.Expected(class, declared))
}
