package backlog

import (
	"time"

	"github.com/ibispier/ibispier/job"
)

const (
	// window is the time over which the drain is measured. It covers several runs of
	// the usual length.
	window = 30 * time.Second
	// minSaturated is the saturated time within the window below which the capacity
	// stands for the drain: a pool that has had no work to wait for was not measured.
	minSaturated = 5 * time.Second
	// drainMargin is the factor by which the drain may exceed its measurement. It covers
	// the lumps in which work ends and the room that another mix of tasks would use.
	drainMargin = 1.25
	// comparableCores is the share of the present capacity below which a measurement is
	// dropped: it was made before targets arrived or returned.
	comparableCores = 0.8
	// minDoneShare is the share of the work that must not fail. Below it, a fault keeps the
	// targets from working, and the measurement says nothing about the time after it.
	minDoneShare = 0.5
	// saturatedShare is the reserved share of the processors below which waiting work does
	// not show a lack of room. Tasks may wait for a label, a rack or a place in a gang.
	saturatedShare = 0.7
)

// Pool is the room that the work of a kind competes for: the targets of a service, and of
// them the reserved processors or, for filling tasks, the rest.
type Pool struct {
	Service string
	Filling bool
}

// Sample describes a pool at one moment.
type Sample struct {
	Cores     float64 // processors that its work may use
	Saturated bool    // see IsSaturated
}

// IsSaturated reports whether a pool lacks room: ready tasks that would fit a target wait,
// and the share of the processors of the service is reserved. Filling tasks need no
// reservation.
func IsSaturated(p Pool, waiting bool, reservedShare float64) bool {
	return waiting && (p.Filling || reservedShare >= saturatedShare)
}

// Drain is the rate at which a pool does work, in processors.
type Drain struct {
	Upper    float64 // more than this is not done
	Expected float64
	Measured bool // Expected was measured; otherwise it is the capacity
}

// Run describes a run to the meter.
type Run struct {
	Number         int
	Pool           Pool
	Queue          string
	Cores          float64
	EstimateMillis int64
	Copy           bool // of a task with another run
}

// Meter measures the drain of each pool and the ratio of real to estimated run times of
// each queue. It belongs to one leadership.
type Meter struct {
	since   time.Time
	pools   map[Pool]*poolMeter
	ratios  map[string]*ratioMeter // by queue
	running map[job.Ref]*activeRun
}

type activeRun struct {
	Run
	startedAt  time.Time
	creditedAt time.Time
	credited   float64 // core-milliseconds counted as done so far
}

type poolMeter struct {
	intervals []interval // the oldest first
	work      float64    // core-milliseconds since the last sample
	failed    float64    // of all work, the part that was found to have failed since
	last      Sample
	sampledAt time.Time
}

type interval struct {
	end       time.Time
	length    time.Duration
	work      float64
	failed    float64
	cores     float64
	saturated bool
}

// NewMeter returns a meter that begins to measure now.
func NewMeter(now time.Time) *Meter {
	return &Meter{since: now, pools: map[Pool]*poolMeter{}, ratios: map[string]*ratioMeter{}, running: map[job.Ref]*activeRun{}}
}

// MeasuredFor returns for how long the meter has measured.
func (m *Meter) MeasuredFor(now time.Time) time.Duration { return now.Sub(m.since) }

// Started notes that a run was started. A copy beside an active run is not measured: the
// first run tells how long the task takes, also if the copy ends before it.
func (m *Meter) Started(now time.Time, ref job.Ref, r Run) {
	if r.Copy && m.running[ref] != nil {
		return
	}
	m.running[ref] = &activeRun{Run: r, startedAt: now, creditedAt: now}
}

// Ended notes the end of a run. The work of a run that is not done is no drain.
func (m *Meter) Ended(now time.Time, ref job.Ref, number int, done bool) {
	r := m.running[ref]
	if r == nil || r.Number != number {
		return
	}
	delete(m.running, ref)
	if !done {
		m.pool(r.Pool).failed += r.credited
		return
	}
	m.credit(now, r)
	if r.EstimateMillis > 0 {
		ratio := m.ratios[r.Queue]
		if ratio == nil {
			ratio = &ratioMeter{}
			m.ratios[r.Queue] = ratio
		}
		ratio.add(float64(now.Sub(r.startedAt).Milliseconds()) / float64(r.EstimateMillis))
	}
}

// credit counts the work of an active run up to now, so that long runs do not show as
// lumps at their ends.
func (m *Meter) credit(now time.Time, r *activeRun) {
	work := r.Cores * float64(now.Sub(r.creditedAt).Milliseconds())
	r.creditedAt = now
	r.credited += work
	m.pool(r.Pool).work += work
}

// ElapsedMillis returns for how long the run has been active, and whether it is known.
func (m *Meter) ElapsedMillis(now time.Time, ref job.Ref, number int) (int64, bool) {
	r := m.running[ref]
	if r == nil || r.Number != number {
		return 0, false
	}
	return now.Sub(r.startedAt).Milliseconds(), true
}

// Sample closes the current interval of every pool. Runs for which isActive is false are
// dropped: they ended without a report, such as on a target that was lost.
func (m *Meter) Sample(now time.Time, samples map[Pool]Sample, isActive func(ref job.Ref, number int) bool) {
	for ref, r := range m.running {
		if !isActive(ref, r.Number) {
			m.Ended(now, ref, r.Number, false)
			continue
		}
		m.credit(now, r)
	}
	for p, s := range samples {
		m.pool(p).sample(now, s)
	}
	for p := range m.pools {
		if _, known := samples[p]; !known {
			delete(m.pools, p)
		}
	}
}

func (m *Meter) pool(p Pool) *poolMeter {
	if m.pools[p] == nil {
		m.pools[p] = &poolMeter{}
	}
	return m.pools[p]
}

func (p *poolMeter) sample(now time.Time, s Sample) {
	if !p.sampledAt.IsZero() {
		p.intervals = append(p.intervals, interval{
			end: now, length: now.Sub(p.sampledAt), work: p.work, failed: p.failed, cores: min(p.last.Cores, s.Cores), saturated: p.last.Saturated && s.Saturated,
		})
	}
	p.work, p.failed, p.last, p.sampledAt = 0, 0, s, now
	for len(p.intervals) > 0 && now.Sub(p.intervals[0].end) > window {
		p.intervals = p.intervals[1:]
	}
}

// Drain returns the drain of the pool. Without a measurement it is the capacity. A pool
// whose work fails counts as not measured.
func (m *Meter) Drain(p Pool) Drain {
	pm := m.pools[p]
	if pm == nil {
		return Drain{}
	}
	work, failed, length := 0.0, 0.0, time.Duration(0)
	for _, x := range pm.intervals {
		if x.saturated && x.cores >= comparableCores*pm.last.Cores {
			work += x.work
			failed += x.failed
			length += x.length
		}
	}
	done := work - failed
	if length < minSaturated || done <= minDoneShare*work {
		return Drain{Upper: pm.last.Cores, Expected: pm.last.Cores}
	}
	measured := min(done/float64(length.Milliseconds()), pm.last.Cores)
	return Drain{Upper: min(drainMargin*measured, pm.last.Cores), Expected: measured, Measured: true}
}

// Ratios returns the ratios of real to estimated run times of the queue.
func (m *Meter) Ratios(queue string) Ratios {
	if r := m.ratios[queue]; r != nil {
		return r.ratios()
	}
	return unknownRatios
}
