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

// disturbs returns what is known about a filling image.
func (l *leadership) disturbs(s *job.Step) map[string]float64 {
	if !s.Filling || len(l.images) == 0 {
		return nil
	}
	known := map[string]float64{}
	for image := range l.images {
		if e := l.model.Pair(image, s.Image, time.Time{}); e.Deviation < knownDeviation {
			known[image] = e.Coefficient
		}
	}
	return known
}

// knownDeviation is the deviation below which an estimate is worth telling.
const knownDeviation = 2.0
