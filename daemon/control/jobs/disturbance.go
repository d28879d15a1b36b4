package jobs

import (
	"time"

	"github.com/ibispier/ibispier/interference"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/dispatch"
)

// learnInterval separates the figures of one target. They cover half a second.
const learnInterval = 400 * time.Millisecond

// learn takes the figures of a report into the model of the whole service.
func (l *leadership) learn(s *session) {
	for _, f := range s.report.Learned {
		l.hints[pair{f.Serving, f.Filling}] = f.Coefficient
		l.images[f.Serving] = true
	}
	s.tails = map[string]float64{}
	for _, f := range s.report.Serving {
		s.tails[f.Image] = max(s.tails[f.Image], f.Ratio)
		l.images[f.Image] = true
	}
	if s.seenAt.Sub(s.learned) < learnInterval {
		return
	}
	s.learned = s.seenAt
	var neighbours []interference.Resident
	for _, f := range s.report.Filling {
		if f.Using > 0 {
			neighbours = append(neighbours, interference.Resident{Class: f.Image, Intensity: f.Using})
		}
	}
	if len(neighbours) == 0 {
		return
	}
	for image, ratio := range s.tails {
		l.model.Observe(interference.Observation{
			Victim:     image,
			Slowdown:   1 + max(min(ratio, dispatch.MaxTail)-dispatch.QuietTail, 0),
			Neighbours: neighbours,
			MeasuredAt: s.seenAt,
		})
	}
}

// pair is a serving and a filling image.
type pair struct{ serving, filling string }

// estimate returns what is known about a pair: what this leader has seen, or
// what an agent has learned before.
func (l *leadership) estimate(serving, filling string) interference.Estimate {
	e := l.model.Pair(serving, filling, time.Time{})
	if hint, known := l.hints[pair{serving, filling}]; known && e.Deviation >= knownDeviation {
		return interference.Estimate{Coefficient: hint, Deviation: hintDeviation}
	}
	return e
}

// disturbs returns what is known about a filling image.
func (l *leadership) disturbs(s *job.Step) map[string]float64 {
	if !s.Filling || len(l.images) == 0 {
		return nil
	}
	known := map[string]float64{}
	for image := range l.images {
		if e := l.estimate(image, s.Image); e.Deviation < knownDeviation {
			known[image] = e.Coefficient
		}
	}
	return known
}

const (
	// knownDeviation is the deviation below which an estimate is worth telling.
	knownDeviation = 2.0
	// hintDeviation is that of an estimate of one agent.
	hintDeviation = 1.5
)
