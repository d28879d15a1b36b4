// Package pacing decides how much filling tasks may work beside serving tasks
// on one target, from figures that the target reports with a lag. It is pure.
//
// The pacer learns how much each image of filling tasks raises the tail latency
// of each image of serving tasks, and slows only the images that keep a serving
// task from its tail target.
package pacing

import (
	"time"

	"github.com/ibispier/ibispier/interference"
)

const (
	// limit is the tail latency, as a share of its target, that the pace leaves
	// to a serving task. The rest absorbs the lag of the figures.
	limit = 0.85
	// quietRatio is the tail of an undisturbed serving task at its usual load.
	quietRatio = 0.35
	// maxRatio bounds a figure, so that one extreme value does not outweigh all
	// others.
	maxRatio = 6.0
	// baseWeight is the weight of a new figure in the estimate of the
	// undisturbed tail, which follows the load of the serving task.
	baseWeight = 0.4
	minBase    = 0.15
	// observeInterval separates figures. They cover the last half second, so
	// closer ones would count the same disturbance twice.
	observeInterval = 300 * time.Millisecond
	// minPercent is the slowest pace apart from a pause, and stepPercent the
	// least change that is worth an order.
	minPercent  = 10
	stepPercent = 10
	// knownDeviation is the deviation below which an estimate of this target
	// goes before a hint.
	knownDeviation = 1.5
)

// ModelOptions are the options of models of disturbance. The slowdown of a
// victim is the rise of its tail as a share of its target, and the intensity of
// a neighbour its share of the processors of the target.
func ModelOptions() interference.ModelOptions {
	return interference.ModelOptions{Prior: 1, Uncertainty: 4, Noise: 0.3}
}

// Serving is the figure of a serving task.
type Serving struct {
	Image string
	Ratio float64 // tail latency as a share of its target
}

// Filling is the figure of the filling tasks of one image.
type Filling struct {
	Image string
	Using float64 // share of the processors of the target in the last half second
	Full  float64 // share at full pace
}

// Pacer holds the paces on one target.
type Pacer struct {
	model    *interference.Model
	hints    map[[2]string]float64
	base     map[string]float64 // undisturbed tail by serving image
	percent  map[string]int     // by filling image
	observed time.Duration
}

// New returns a pacer that lets everything work at full pace.
func New() *Pacer {
	return &Pacer{
		model:   interference.NewModel(ModelOptions()),
		hints:   map[[2]string]float64{},
		base:    map[string]float64{},
		percent: map[string]int{},
	}
}

// Hint tells what other targets have learned about a pair.
func (p *Pacer) Hint(filling, serving string, coefficient float64) {
	p.hints[[2]string{serving, filling}] = coefficient
}

// Percent returns the pace of an image.
func (p *Pacer) Percent(image string) int {
	if percent, known := p.percent[image]; known {
		return percent
	}
	return 100
}

// Observe learns from the newest figures and decides the paces. It reports
// false for figures that come too soon after the last ones.
func (p *Pacer) Observe(now time.Duration, serving []Serving, filling []Filling) bool {
	if p.observed > 0 && now-p.observed < observeInterval {
		return false
	}
	p.observed = now
	worst := worstByImage(serving)
	for image, ratio := range worst {
		p.learn(now, image, min(ratio, maxRatio), filling)
	}
	p.decide(now, worst, filling)
	return true
}

func worstByImage(serving []Serving) map[string]float64 {
	worst := map[string]float64{}
	for _, s := range serving {
		worst[s.Image] = max(worst[s.Image], s.Ratio)
	}
	return worst
}

func (p *Pacer) learn(now time.Duration, image string, ratio float64, filling []Filling) {
	at := time.Unix(0, 0).Add(now)
	disturbed := 0.0
	var neighbours []interference.Resident
	for _, f := range filling {
		disturbed += p.pair(image, f.Image, now) * f.Using
		if f.Using > 0 {
			neighbours = append(neighbours, interference.Resident{Class: f.Image, Intensity: f.Using})
		}
	}
	base, known := p.base[image]
	if !known {
		base = quietRatio
	}
	if len(neighbours) > 0 {
		p.model.Observe(interference.Observation{
			Victim: image, Slowdown: max(1+ratio-base, 0.01), Neighbours: neighbours, MeasuredAt: at,
		})
	}
	rest := min(max(ratio-disturbed, minBase), 1)
	p.base[image] = base + baseWeight*(rest-base)
}

func (p *Pacer) pair(serving, filling string, now time.Duration) float64 {
	estimate := p.model.Pair(serving, filling, time.Unix(0, 0).Add(now))
	if hint, known := p.hints[[2]string{serving, filling}]; known && estimate.Deviation > knownDeviation {
		return hint
	}
	return estimate.Coefficient
}

// Pair is what is known about a filling and a serving image.
type Pair struct {
	Filling     string
	Serving     string
	Coefficient float64
}

// Learned returns the pairs about which this target knows enough to tell.
func (p *Pacer) Learned(now time.Duration) []Pair {
	var pairs []Pair
	for serving := range p.base {
		for filling := range p.percent {
			e := p.model.Pair(serving, filling, time.Unix(0, 0).Add(now))
			if e.Deviation <= knownDeviation {
				pairs = append(pairs, Pair{Filling: filling, Serving: serving, Coefficient: e.Coefficient})
			}
		}
	}
	return pairs
}

// decide slows, for each serving image that would be over the limit, the image
// that disturbs it most, until all are under it.
func (p *Pacer) decide(now time.Duration, worst map[string]float64, filling []Filling) {
	paces := map[string]float64{}
	for _, f := range filling {
		paces[f.Image] = 1
	}
	for serving := range worst {
		p.fit(now, serving, filling, paces)
	}
	for image, pace := range paces {
		percent := int(pace * 100)
		if percent < minPercent {
			percent = 0
		}
		if last := p.Percent(image); percent == 0 || percent == 100 || max(percent-last, last-percent) >= stepPercent {
			p.percent[image] = percent
		}
	}
}

func (p *Pacer) fit(now time.Duration, serving string, filling []Filling, paces map[string]float64) {
	for range filling {
		total, most, mostOf := p.base[serving], 0.0, ""
		for _, f := range filling {
			part := p.pair(serving, f.Image, now) * f.Full * paces[f.Image]
			total += part
			if part > most {
				most, mostOf = part, f.Image
			}
		}
		if total <= limit || most == 0 {
			return
		}
		paces[mostOf] *= max(0, (most-(total-limit))/most)
	}
}
