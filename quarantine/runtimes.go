package quarantine

import (
	"fmt"
	"math"
	"time"
)

const (
	minSampleWeight   = 0.2 // of a new run time in the moving average
	minSamples        = 5   // before a class is judged
	misdeclaredFactor = 4.0 // beyond which a declaration counts as far off
	maxClasses        = 10_000
)

// RunTimes learns, for each class of tasks, the ratio of measured to declared
// run times as a moving average of its logarithm, so that one outlier counts
// little.
type RunTimes struct {
	classes map[string]*runTimeRatio
}

type runTimeRatio struct {
	meanLog float64
	samples int
}

// NewRunTimes returns an empty record.
func NewRunTimes() *RunTimes { return &RunTimes{classes: map[string]*runTimeRatio{}} }

// Record adds a completed run.
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

// Expected corrects a declared run time by what was learned of the class.
func (r *RunTimes) Expected(class string, declared time.Duration) time.Duration {
	c := r.classes[class]
	if c == nil || c.samples < minSamples {
		return declared
	}
	return time.Duration(float64(declared) * math.Exp(c.meanLog))
}

// Misdeclared reports whether the declared run times of a class are wrong by more
// than a factor of 4, with a reason for operators.
func (r *RunTimes) Misdeclared(class string) (string, bool) {
	c := r.classes[class]
	if c == nil || c.samples < minSamples || math.Abs(c.meanLog) < math.Log(misdeclaredFactor) {
		return "", false
	}
	return fmt.Sprintf("tasks of class %s run %.1f times as long as declared", class, math.Exp(c.meanLog)), true
}

// IsOverdue reports whether a running task exceeds its expected run time by
// more than a factor of 4.
func (r *RunTimes) IsOverdue(class string, declared, running time.Duration) bool {
	return declared > 0 && float64(running) > misdeclaredFactor*float64(r.Expected(class, declared))
}
