// Package pacing decides how much filling tasks may work beside serving tasks
// on one target, from figures that the target reports with a lag. It is pure.
//
// The load of a serving task and the work of each filling task beside it each
// multiply the tail latency. In the logarithm their effects add up, so the pacer
// reckons in headroom, the logarithm of the tail target over the tail. It follows
// the headroom that each serving job has when undisturbed, learns how much each
// image of filling tasks takes from each image of serving tasks, and slows only
// the images that take too much.
package pacing

import (
	"math"
	"slices"
	"time"

	"github.com/ibispier/ibispier/job"
)

const (
	// HeadroomReserve is the headroom that filling tasks leave to a serving task:
	// a tail of 0.85 of its target. The rest absorbs the lag of the figures.
	HeadroomReserve = 0.16
	// DefaultHeadroom is assumed for a serving task without figures: a tail of 0.4
	// of its target.
	DefaultHeadroom = 0.9
	// MinHeadroomBudget is the headroom that filling tasks may always take from a job:
	// an eighth more tail. Without it, a serving task at its peak would pause work
	// that hardly disturbs it.
	MinHeadroomBudget = 0.12
	// EffectMargin is the factor by which filling tasks are taken to disturb more
	// than on average, as their effect changes within seconds.
	EffectMargin = 1.3
	// maxHeadroom bounds a figure either way, so that one extreme does not
	// outweigh all others: a tail between a twelfth and twelve times its target.
	maxHeadroom = 2.5
	// lookahead is how long after the figures a pace takes effect.
	lookahead = 500 * time.Millisecond
	// observeInterval separates figures. They cover the last half second, so
	// closer ones would count the same disturbance twice.
	minObserveInterval = 300 * time.Millisecond
	// tailLag is the time constant with which reported tails follow the work that
	// disturbs them; the reported work is that of the moment.
	tailTimeConstant = 500 * time.Millisecond
	// leastWork is the share of the processors below which work shows in no tail.
	minVisibleShare = 0.002
	// settleTime is how long tails of more than settleRatio times their target
	// take to recover after filling tasks have slowed down by more than settleDrop
	// of the processors. Nothing is learned meanwhile.
	recoveryTime  = time.Second
	recoveryRatio = 2.0
	recoveryDrop  = 0.04
	// lateTime is how long a single task may be over its target before it counts
	// by itself. It is well below the time after which the platform takes that for
	// harm (4 s).
	overdueLimit = 1200 * time.Millisecond
	// minPercent is the slowest pace apart from a pause. A pace is raised by at
	// least risePercent and lowered by at least dropPercent: small changes are not
	// worth an order, but one that is too high harms.
	minPercent     = 10
	minRisePercent = 10
	minDropPercent = 3
	// hintDeviation is the least deviation of what another target has learned:
	// tasks of the same images differ a little.
	minHintDeviation = 0.7
	// hintWeight is how many times surer than this target a hint must be to count.
	hintDeviationRatio = 2
)

// Headroom returns the logarithm of the tail target over the tail, from a tail
// as a share of its target.
func Headroom(ratio float64) float64 {
	return -math.Log(min(max(ratio, math.Exp(-maxHeadroom)), math.Exp(maxHeadroom)))
}

// ServingSample is the figure of a serving task.
type ServingSample struct {
	Task  string
	Job   string
	Image string
	Ratio float64 // tail latency as a share of its target
}

// FillingSample is the figure of the filling tasks of one image.
type FillingSample struct {
	Image         string
	UsedShare     float64 // share of the processors of the target in the last half second
	FullPaceShare float64 // share at full pace
}

// ImageHeadroom is the undisturbed headroom of a serving image.
type ImageHeadroom struct {
	Image    string
	Headroom float64 // of the job that has least
}

// PriorDisturbance is the estimate of a pair that nothing is known about.
var PriorDisturbance = job.Disturbance{Coefficient: priorCoefficient, Deviation: priorDeviation}

// Pair is what is known about a filling and a serving image.
type Pair struct {
	Filling string
	Serving string
	job.Disturbance
}

// overdue is a serving task that is over its target.
type overdueTask struct {
	since    time.Duration
	image    string
	headroom float64 // newest figure
}

// Pacer holds the paces on one target.
type Pacer struct {
	filters     map[string]*filter                    // by serving image
	hints       map[string]map[string]job.Disturbance // by serving and filling image
	overdue     map[string]*overdueTask               // by serving task
	pacePercent map[string]int                        // by filling image
	laggedShare map[string]float64                    // share that the tails show, by filling image
	observedAt  time.Duration
	usedShare   float64       // of all filling tasks, in the last figures
	tailHigh    bool          // a tail was over settleRatio in the last figures
	recoveredAt time.Duration // when the tails have recovered
}

// New returns a pacer that lets everything work at full pace.
func New() *Pacer {
	return &Pacer{
		filters:     map[string]*filter{},
		hints:       map[string]map[string]job.Disturbance{},
		overdue:     map[string]*overdueTask{},
		pacePercent: map[string]int{},
		laggedShare: map[string]float64{},
	}
}

// Hint tells what other targets have learned about a pair.
func (p *Pacer) Hint(filling, serving string, e job.Disturbance) {
	if p.hints[serving] == nil {
		p.hints[serving] = map[string]job.Disturbance{}
	}
	e.Deviation = max(e.Deviation, minHintDeviation)
	p.hints[serving][filling] = e
	f := p.filters[serving]
	if f == nil {
		return
	}
	// A hint comes with each order, so it counts once, against little knowledge.
	if _, deviation, known := f.estimate(imageKey(filling)); known && deviation > hintDeviationRatio*e.Deviation {
		f.mergeEstimate(imageKey(filling), e.Coefficient, e.Deviation)
	}
}

// PacePercent returns the pace of an image.
func (p *Pacer) PacePercent(image string) int {
	if percent, known := p.pacePercent[image]; known {
		return percent
	}
	return 100
}

// Headrooms returns the undisturbed headroom by serving image.
func (p *Pacer) Headrooms() []ImageHeadroom {
	var all []ImageHeadroom
	for image, f := range p.filters {
		if len(f.means) > 0 {
			all = append(all, ImageHeadroom{Image: image, Headroom: f.minHeadroom()})
		}
	}
	return all
}

// leastHeadroom returns that of the job that has least.
func (f *filter) minHeadroom() float64 {
	least := math.Inf(1)
	for key := range f.means {
		least = min(least, f.state[f.index[key]])
	}
	return least
}

// Pairs returns what this target knows about pairs beyond the prior.
func (p *Pacer) Pairs() []Pair {
	var pairs []Pair
	for serving, f := range p.filters {
		for filling := range p.pacePercent {
			value, deviation, known := f.estimate(imageKey(filling))
			if known && deviation < priorDeviation {
				pairs = append(pairs, Pair{Filling: filling, Serving: serving, Disturbance: job.Disturbance{Coefficient: value, Deviation: deviation}})
			}
		}
	}
	return pairs
}

// Observe learns from the newest figures. Those that come too soon after the
// last ones are ignored.
func (p *Pacer) Observe(now time.Duration, serving []ServingSample, filling []FillingSample) {
	if p.observedAt > 0 && now-p.observedAt < minObserveInterval {
		return
	}
	p.updateLaggedShares(now-p.observedAt, filling)
	p.observedAt = now
	used := 0.0
	for _, f := range filling {
		used += f.UsedShare
	}
	if p.tailHigh && used < p.usedShare-recoveryDrop {
		p.recoveredAt = now + recoveryTime
	}
	p.usedShare = used
	p.tailHigh = slices.ContainsFunc(serving, func(s ServingSample) bool { return s.Ratio > recoveryRatio })
	p.updateOverdue(now, serving)
	images := headroomsByImage(serving)
	p.removeGoneJobs(images)
	for image, jobs := range images {
		p.observeImage(now, image, jobs)
	}
}

// follow lets the work that the tails show follow the work of the moment.
func (p *Pacer) updateLaggedShares(since time.Duration, filling []FillingSample) {
	decay := math.Exp(-float64(since) / float64(tailTimeConstant))
	for image, share := range p.laggedShare {
		if share *= decay; share < minVisibleShare {
			delete(p.laggedShare, image)
		} else {
			p.laggedShare[image] = share
		}
	}
	for _, f := range filling {
		if f.UsedShare > 0 {
			p.laggedShare[f.Image] += (1 - decay) * f.UsedShare
		}
	}
}

// notice follows which tasks are over their target.
func (p *Pacer) updateOverdue(now time.Duration, serving []ServingSample) {
	overdue := map[string]*overdueTask{}
	for _, s := range serving {
		if s.Ratio <= 1 {
			continue
		}
		since := now
		if before := p.overdue[s.Task]; before != nil {
			since = before.since
		}
		overdue[s.Task] = &overdueTask{since: since, image: s.Image, headroom: Headroom(s.Ratio)}
	}
	p.overdue = overdue
}

// byImage returns the headrooms of the tasks by serving image and job.
func headroomsByImage(serving []ServingSample) map[string]map[string][]float64 {
	images := map[string]map[string][]float64{}
	for _, s := range serving {
		if images[s.Image] == nil {
			images[s.Image] = map[string][]float64{}
		}
		images[s.Image][s.Job] = append(images[s.Image][s.Job], Headroom(s.Ratio))
	}
	return images
}

// forget drops the jobs that are gone. What was learned about their images stays.
func (p *Pacer) removeGoneJobs(images map[string]map[string][]float64) {
	for image, f := range p.filters {
		for key := range f.means {
			if images[image][jobOf(key)] == nil {
				f.removeJob(key)
			}
		}
	}
}

// learn takes the figures of the serving tasks of one image. The median of the
// tasks of a job counts as one figure: the load is that of the job, and single
// tasks deviate for a moment.
func (p *Pacer) observeImage(now time.Duration, image string, jobs map[string][]float64) {
	f := p.filters[image]
	if f == nil {
		f = newFilter(now)
		p.filters[image] = f
	}
	for filling := range p.laggedShare {
		e := p.initialEstimate(image, filling)
		f.addEntry(imageKey(filling), e.Coefficient, e.Deviation)
	}
	f.predict(now)
	for job, headrooms := range jobs {
		slices.Sort(headrooms)
		headroom := headrooms[(len(headrooms)-1)/2]
		if key := jobKey(job); f.means[key] == 0 {
			f.means[key] = DefaultHeadroom
			f.addEntry(key, DefaultHeadroom, loadDeviation)
		}
		if now >= p.recoveredAt {
			f.observe(job, p.laggedShare, headroom)
		}
	}
}

// hint returns what is known about a pair without figures of this target.
func (p *Pacer) initialEstimate(serving, filling string) job.Disturbance {
	if e, known := p.hints[serving][filling]; known {
		return e
	}
	return PriorDisturbance
}

func (p *Pacer) coefficient(serving, filling string) float64 {
	if f := p.filters[serving]; f != nil {
		if value, _, known := f.estimate(imageKey(filling)); known {
			return value
		}
	}
	return p.initialEstimate(serving, filling).Coefficient
}

// lost returns the headroom that the filling tasks are expected to take in the
// newest figures.
func (p *Pacer) expectedLoss(serving string) float64 {
	lost := 0.0
	for filling, share := range p.laggedShare {
		lost += p.coefficient(serving, filling) * share
	}
	return lost
}

// Decide sets the paces of the filling images. It slows, for each job whose
// serving tasks would have too little headroom, the image that takes most, until
// all have enough. A task that stays over its target counts by itself.
func (p *Pacer) Decide(now time.Duration, filling []FillingSample) {
	paces := map[string]float64{}
	for _, f := range filling {
		paces[f.Image] = 1
	}
	decay := math.Exp(-lookahead.Seconds() / loadTimeConstant.Seconds())
	for image, f := range p.filters {
		for key, mean := range f.means {
			p.limitPaces(image, HeadroomBudget(mean+decay*(f.state[f.index[key]]-mean)), filling, paces)
		}
	}
	for _, task := range p.overdue {
		if now-task.since >= overdueLimit {
			p.limitPaces(task.image, task.headroom+p.expectedLoss(task.image)-HeadroomReserve, filling, paces)
		}
	}
	for image, pace := range paces {
		p.setPace(image, int(pace*100))
	}
}

// set keeps the last pace of an image when the change is not worth an order.
func (p *Pacer) setPace(image string, percent int) {
	if percent < minPercent {
		percent = 0
	}
	last := p.PacePercent(image)
	if percent == 0 || percent == 100 || percent >= last+minRisePercent || percent <= last-minDropPercent {
		p.pacePercent[image] = percent
	}
}

// HeadroomBudget returns how much of the undisturbed headroom of a job filling tasks may
// take.
func HeadroomBudget(headroom float64) float64 {
	return max(headroom-HeadroomReserve, MinHeadroomBudget)
}

// fit slows filling images until they take no more than room from the image.
func (p *Pacer) limitPaces(serving string, budget float64, filling []FillingSample, paces map[string]float64) {
	for range filling {
		total, most, mostOf := 0.0, 0.0, ""
		for _, f := range filling {
			part := EffectMargin * p.coefficient(serving, f.Image) * f.FullPaceShare * paces[f.Image]
			total += part
			if part > most {
				most, mostOf = part, f.Image
			}
		}
		if total <= budget || most == 0 {
			return
		}
		paces[mostOf] *= max(0, (most-(total-budget))/most)
	}
}
