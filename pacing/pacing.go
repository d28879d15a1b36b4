// Package pacing decides how much filling tasks may work beside serving tasks
// on one target, from the tail latencies that the target reports with a lag.
// It is pure.
package pacing

import "time"

// Thresholds of the tail latency as a share of its target, and steps of the
// pace. Disturbance shows within half a second and a violation counts after
// seconds, so the pace falls by halves and rises slowly.
const (
	stopAbove    = 1.0
	slowAbove    = 0.8
	raiseBelow   = 0.6
	slowFactor   = 0.5
	raiseStep    = 0.15
	minPace      = 0.1
	strainedPace = 0.7
	// settleTime is how long a change takes to show: the platform applies a pace
	// after 100 ms, and figures cover the last half second.
	settleTime = 600 * time.Millisecond
)

// Pacer holds the pace of the filling tasks of one target.
type Pacer struct {
	pace    float64
	changed time.Duration // clock of the last change
}

// New returns a pacer that lets filling tasks work at full pace.
func New() *Pacer { return &Pacer{pace: 1} }

// Observe takes the worst ratio of tail latency to its target among the serving
// tasks, 0 without any, and returns the pace in percent.
func (p *Pacer) Observe(now time.Duration, ratio float64) int {
	settled := now-p.changed >= settleTime
	switch {
	case ratio > stopAbove && (settled || p.pace > minPace):
		p.set(now, 0)
	case ratio > slowAbove && settled:
		p.set(now, p.pace*slowFactor)
	case ratio < raiseBelow && settled && p.pace < 1:
		p.set(now, min(p.pace+raiseStep, 1))
	}
	return p.Percent()
}

func (p *Pacer) set(now time.Duration, pace float64) {
	if pace < minPace {
		pace = 0
	}
	p.pace, p.changed = pace, now
}

// Percent returns the pace.
func (p *Pacer) Percent() int { return int(p.pace * 100) }

// Strained reports whether the target should get no more filling tasks.
func (p *Pacer) Strained() bool { return p.pace < strainedPace }
