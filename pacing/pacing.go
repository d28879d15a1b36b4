// Package pacing decides at which pace filling (best-effort) tasks may run
// beside serving tasks on a target, from measurements that arrive with a lag.
// It performs no I/O and reads no clock.
//
// The load of a serving task and the work of each filling task beside it each
// multiply the tail latency. Their effects add up in the logarithm, so the
// pacer computes with headroom: the logarithm of the tail latency target over
// the tail latency. It tracks the undisturbed headroom of each serving job,
// learns how much headroom each filling image takes from each serving image,
// and slows down only the images that take too much.
package pacing

import (
	"math"
	"slices"
	"time"

	"github.com/ibispier/ibispier/job"
)

const (
	// HeadroomReserve is the headroom that filling tasks leave to a serving
	// task: the tail may reach 0.85 of its target. The rest absorbs the
	// measurement lag.
	HeadroomReserve = 0.16
	// DefaultHeadroom is assumed for a serving task without samples: a tail of
	// 0.4 of its target.
	DefaultHeadroom = 0.9
	// MinHeadroomBudget is the headroom that filling tasks may always take from
	// a job: an eighth more tail latency. Without it, a serving task at peak
	// load would pause work that hardly disturbs it.
	MinHeadroomBudget = 0.12
	// EffectMargin scales the average effect of filling tasks up, because the
	// effect changes within seconds.
	EffectMargin = 1.3
	// maxHeadroom bounds the absolute headroom of a sample, so that one outlier
	// does not outweigh all other samples: the tail counts as between a twelfth
	// and twelve times its target.
	maxHeadroom = 2.5
	// lookahead is the delay between a measurement and the effect of the pace
	// derived from it.
	lookahead = 500 * time.Millisecond
	// minObserveInterval is the minimum time between samples. They cover the
	// last half second, so closer ones would count the same disturbance twice.
	minObserveInterval = 300 * time.Millisecond
	// tailTimeConstant is the time constant with which reported tails follow
	// the work that disturbs them. Reported work is instantaneous.
	tailTimeConstant = 500 * time.Millisecond
	// minVisibleShare is the share of the processors below which work has no
	// visible effect on tails.
	minVisibleShare = 0.002
	// recoveryTime is how long tails above recoveryRatio times their target
	// take to recover after filling tasks have slowed down by more than
	// recoveryDrop of the processors. The filters ignore samples meanwhile.
	recoveryTime  = time.Second
	recoveryRatio = 2.0
	recoveryDrop  = 0.04
	// overdueLimit is how long a single task may exceed its target before it
	// limits the paces by itself. It is well below the 4 s after which the
	// platform counts an exceeded target as harm.
	overdueLimit = 1200 * time.Millisecond
	// minPercent is the lowest pace above a pause. A pace is raised by at least
	// minRisePercent and lowered by at least minDropPercent: smaller changes
	// are not worth an order, but a pace that is too high does harm.
	minPercent     = 10
	minRisePercent = 10
	minDropPercent = 3
	// minHintDeviation is the lowest deviation assumed for a hint from another
	// target, because tasks of the same images differ slightly.
	minHintDeviation = 0.7
	// hintDeviationRatio is the factor by which the deviation of the local
	// estimate must exceed that of a hint for the hint to count.
	hintDeviationRatio = 2
)

// Headroom returns the headroom for a tail given as a share of its target.
func Headroom(ratio float64) float64 {
	return -math.Log(min(max(ratio, math.Exp(-maxHeadroom)), math.Exp(maxHeadroom)))
}

// ServingSample is a measurement of a serving task.
type ServingSample struct {
	Task  string
	Job   string
	Image string
	Ratio float64 // tail latency as a share of its target
}

// FillingSample is a measurement of the filling tasks of one image.
type FillingSample struct {
	Image         string
	UsedShare     float64 // share of the target's processors used in the last half second
	FullPaceShare float64 // share that they would use at full pace
}

// ImageHeadroom is the undisturbed headroom of a serving image.
type ImageHeadroom struct {
	Image    string
	Headroom float64 // lowest among its jobs
}

// PriorDisturbance is the estimate for a pair about which nothing is known.
var PriorDisturbance = job.Disturbance{Coefficient: priorCoefficient, Deviation: priorDeviation}

// Pair is a disturbance estimate for a filling and a serving image.
type Pair struct {
	Filling string
	Serving string
	job.Disturbance
}

// overdueTask is a serving task that exceeds its tail target.
type overdueTask struct {
	since    time.Duration
	image    string
	headroom float64 // latest sample
}

// Pacer controls the paces on one target.
type Pacer struct {
	filters     map[string]*filter                    // by serving image
	hints       map[string]map[string]job.Disturbance // by serving and filling image
	overdue     map[string]*overdueTask               // by serving task
	pacePercent map[string]int                        // by filling image
	laggedShare map[string]float64                    // processor share as reflected in the tails, by filling image
	observedAt  time.Duration
	usedShare   float64       // of all filling tasks, in the last samples
	tailHigh    bool          // a tail exceeded recoveryRatio in the last samples
	recoveredAt time.Duration // when the tails are expected to have recovered
}

// New returns a pacer that lets all filling tasks run at full pace.
func New() *Pacer {
	return &Pacer{
		filters:     map[string]*filter{},
		hints:       map[string]map[string]job.Disturbance{},
		overdue:     map[string]*overdueTask{},
		pacePercent: map[string]int{},
		laggedShare: map[string]float64{},
	}
}

// Hint supplies an estimate that other targets have learned about a pair.
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
	// Hints are repeated with each order. Merging only into a much less certain
	// estimate counts a hint once.
	if _, deviation, known := f.estimate(imageKey(filling)); known && deviation > hintDeviationRatio*e.Deviation {
		f.mergeEstimate(imageKey(filling), e.Coefficient, e.Deviation)
	}
}

// PacePercent returns the pace of an image in percent of full pace.
func (p *Pacer) PacePercent(image string) int {
	if percent, known := p.pacePercent[image]; known {
		return percent
	}
	return 100
}

// Headrooms returns the undisturbed headroom of each serving image.
func (p *Pacer) Headrooms() []ImageHeadroom {
	var all []ImageHeadroom
	for image, f := range p.filters {
		if len(f.means) > 0 {
			all = append(all, ImageHeadroom{Image: image, Headroom: f.minHeadroom()})
		}
	}
	return all
}

// minHeadroom returns the lowest headroom among the jobs.
func (f *filter) minHeadroom() float64 {
	least := math.Inf(1)
	for key := range f.means {
		least = min(least, f.state[f.index[key]])
	}
	return least
}

// Pairs returns the estimates that are more certain than the prior.
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

// Observe updates the estimates from new samples. Samples that arrive less than
// minObserveInterval after the last ones are ignored.
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

// updateLaggedShares applies the lag of the tails to the reported work.
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

// updateOverdue tracks which tasks exceed their target, and since when.
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

// headroomsByImage groups the headrooms of the tasks by serving image and job.
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

// removeGoneJobs removes jobs that no longer have tasks here. The estimates for
// their images are kept.
func (p *Pacer) removeGoneJobs(images map[string]map[string][]float64) {
	for image, f := range p.filters {
		for key := range f.means {
			if images[image][jobOf(key)] == nil {
				f.removeJob(key)
			}
		}
	}
}

// observeImage updates the filter of one serving image. The median over the
// tasks of a job is one sample, because the tasks share the load of the job and
// single tasks deviate for a moment.
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

// initialEstimate returns the hint for a pair, or the prior if there is none.
func (p *Pacer) initialEstimate(serving, filling string) job.Disturbance {
	if e, known := p.hints[serving][filling]; known {
		return e
	}
	return PriorDisturbance
}

// coefficient returns the estimated disturbance coefficient of a pair.
func (p *Pacer) coefficient(serving, filling string) float64 {
	if f := p.filters[serving]; f != nil {
		if value, _, known := f.estimate(imageKey(filling)); known {
			return value
		}
	}
	return p.initialEstimate(serving, filling).Coefficient
}

// expectedLoss returns the headroom that filling tasks are estimated to take
// from the image in the latest samples.
func (p *Pacer) expectedLoss(serving string) float64 {
	lost := 0.0
	for filling, share := range p.laggedShare {
		lost += p.coefficient(serving, filling) * share
	}
	return lost
}

// Decide sets the paces of the filling images. For each job whose serving tasks
// would have too little headroom, it slows the image that takes most until the
// headroom suffices. A task that exceeds its target for overdueLimit is
// considered by itself.
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

// setPace sets the pace of an image, unless the change is too small to be worth
// an order.
func (p *Pacer) setPace(image string, percent int) {
	if percent < minPercent {
		percent = 0
	}
	last := p.PacePercent(image)
	if percent == 0 || percent == 100 || percent >= last+minRisePercent || percent <= last-minDropPercent {
		p.pacePercent[image] = percent
	}
}

// HeadroomBudget returns how much of a job's undisturbed headroom filling tasks
// may take.
func HeadroomBudget(headroom float64) float64 {
	return max(headroom-HeadroomReserve, MinHeadroomBudget)
}

// limitPaces slows filling images until together they take at most budget from
// the serving image.
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
