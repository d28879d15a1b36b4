package backlog

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"

	"github.com/ibispier/ibispier/job"
)

const (
	// CopyLifetime is how long a copy of a submission may be under way: an entry instance
	// works on a request for 30 s at most, whatever its caller asks for, and may be paused
	// for some seconds with the request in its socket. No submission with a refused ID is
	// accepted for this time, because a copy cannot be told from a new attempt.
	CopyLifetime = 40 * time.Second
	// MaxRetryAfter bounds the time that a caller is asked to wait, before it is spread.
	// A longer forecast of the drain is worth nothing.
	MaxRetryAfter = 5 * time.Minute
	// retrySpread is the share by which the times told to callers differ, so that those
	// refused together do not return together.
	retrySpread = 0.5
	// MaxRefusalsPerJob is the number of refusals after which a job is accepted. Callers send
	// a submission five times at most.
	MaxRefusalsPerJob = 3
	// MinObservation is how long a leader must have measured before it refuses a job.
	MinObservation = 10 * time.Second
	// enterFactor is the multiple of the drain with which a job must still miss its bound
	// for the first refusal of its kind. With exitAfter, it keeps the decision from
	// flipping with each measurement.
	enterFactor = 1.2
	// exitAfter is how long after a refusal the plain drain counts for its kind.
	exitAfter = 5 * time.Second
	// horizonPoints is the number of times at which the room left for a job is evaluated.
	horizonPoints = 12
)

// Candidate is a submission to decide on, in one pool. Times are in milliseconds from now,
// unless they are Unix times.
type Candidate struct {
	ID             string
	Queue          string
	Priority       int
	NowMillis      int64   // Unix time
	DeadlineMillis int64   // Unix time by which it is ranked
	Objective      float64 // within this time it is on time
	OnTime         float64 // latest end if it is started while it is ranked as on time
	Late           float64 // latest end if it is started while it is ranked as of use
	Bound          float64 // after this time its result is of no use, if its runs take as long as the longest do
	Path           float64 // shortest time that it takes on free targets
	Work           float64 // core-milliseconds, counted low
	ExpectedPath   float64
	ExpectedWork   float64
	Refusals       int  // how often it was refused before
	Unreliable     bool // its estimates do not tell when it is started

	age float64 // of the backlog
}

// CandidateOf returns the candidate for a submission. A job that was refused before is
// ranked by the time of its first refusal, so that it keeps its place among those that
// came after it.
func CandidateOf(s *job.Spec, q *job.Queue, filling bool, nowMillis int64, ratios Ratios, earlier job.Refusal) Candidate {
	work, objective, path := WorkMillis(s, filling), objectiveMillis(s, q, 1), pathMillis(s, ratios.Low)
	extra := path - pathMillis(s, 1) // ranks follow the estimates
	rankedFrom := nowMillis
	if earlier.Count > 0 {
		rankedFrom = min(nowMillis, earlier.FirstMillis)
	}
	return Candidate{
		ID: s.ID, Queue: q.Name, Priority: q.Priority, NowMillis: nowMillis, DeadlineMillis: rankedFrom + int64(objective),
		Objective: objective, OnTime: objective + extra, Late: lateFactor*objective + extra,
		Bound: lateFactor * objectiveMillis(s, q, max(1, ratios.High)),
		Path:  path, Work: work * ratios.Low,
		ExpectedPath: pathMillis(s, ratios.Mean), ExpectedWork: work * ratios.Mean, Refusals: earlier.Count, Unreliable: !ratios.isReliable(),
	}
}

// Decision is the decision on a candidate with the inputs that decided it.
type Decision struct {
	Hopeless   bool
	Reason     string // why it is not refused; empty if it is
	Drain      Drain
	Ahead      float64       // core-milliseconds that are started before it
	End        time.Duration // expected time until it would be done
	Late       time.Duration // its bound
	RetryAfter time.Duration
}

// Reasons for which a job is not refused.
const (
	ReasonInTime      = "in_time"
	ReasonObservation = "observed_too_briefly"
	ReasonNoCapacity  = "no_capacity"
	ReasonNoWork      = "no_work"
	ReasonEstimates   = "estimates_unreliable"
	ReasonReturned    = "refused_often"
)

// Gate decides on candidates. It remembers which kinds are being refused.
type Gate struct {
	refusedAt map[string]time.Time // latest refusal by queue
}

// NewGate returns a gate that refuses no kind yet.
func NewGate() *Gate { return &Gate{refusedAt: map[string]time.Time{}} }

// Decide decides on a candidate. Returning is the core-milliseconds of refused jobs that
// may return to the pool; they come before those refused later.
//
// Without capacity nothing is refused: nobody knows when targets return, so there is
// neither a bound to miss nor a time after which to send again, and accepted work is kept.
func (g *Gate) Decide(now time.Time, measuredFor time.Duration, b *Backlog, drain Drain, returning float64, c Candidate) Decision {
	d := Decision{Drain: drain, Late: millis(c.Bound)}
	switch {
	case measuredFor < MinObservation:
		d.Reason = ReasonObservation
	case drain.Upper <= 0:
		d.Reason = ReasonNoCapacity
	case c.Work <= 0:
		d.Reason = ReasonNoWork
	case c.Unreliable:
		d.Reason = ReasonEstimates
	case c.Refusals >= MaxRefusalsPerJob:
		d.Reason = ReasonReturned
	}
	if d.Reason != "" {
		return d
	}
	factor := enterFactor
	if refused, known := g.refusedAt[c.Queue]; known && now.Sub(refused) < exitAfter {
		factor = 1
	}
	c.age = float64(now.Sub(b.builtAt).Milliseconds())
	if b.fits(c, factor*drain.Upper) {
		d.Reason = ReasonInTime
		return d
	}
	g.refusedAt[c.Queue] = now
	d.Hopeless = true
	d.Ahead = b.ahead(c)
	end := max(c.ExpectedPath, (d.Ahead+c.ExpectedWork)/drain.Expected)
	d.End = millis(end)
	d.RetryAfter = retryAfter(c.ID, end-c.Objective+returning/drain.Expected)
	return d
}

// phase is the rank that a candidate has at some time: while it can still be on time, while
// it can still be of use, and afterwards. In each, package dispatch starts the jobs of the
// same or a better phase first that have an earlier deadline.
type phase uint8

const (
	onTime phase = iota
	late
	missed
)

// fits reports whether the job may still be done in time: on time behind the jobs that can
// be on time too, late behind those that can be of use, or behind all within its bound.
func (b *Backlog) fits(c Candidate, drain float64) bool {
	return b.hasRoom(c, drain, c.OnTime, onTime) || b.hasRoom(c, drain, c.Late, late) || b.hasRoom(c, drain, c.Bound, missed)
}

// hasRoom reports whether, at some time up to the horizon, the drain can have done the work
// that comes first and that of the job. It looks at some times only, and at each takes the
// room until the next.
func (b *Backlog) hasRoom(c Candidate, drain, horizon float64, of phase) bool {
	if c.Path > horizon {
		return false
	}
	step := (horizon - c.Path) / horizonPoints
	for i := range horizonPoints {
		at := c.Path + float64(i)*step
		if b.busyUntil(c, drain, at, of)+c.Work/drain <= at+step {
			return true
		}
	}
	return b.busyUntil(c, drain, horizon, of)+c.Work/drain <= horizon
}

// busyUntil returns the time, in milliseconds from now, for which the drain is taken by the
// work that comes before the candidate and can run until at. No job takes it beyond the
// time from which it is ranked behind the candidate. Since the backlog was read, the drain
// may have done a part of it.
func (b *Backlog) busyUntil(c Candidate, drain, at float64, of phase) float64 {
	busy := -c.age
	for i := range b.items {
		x := &b.items[i]
		if !x.isBefore(c) {
			break
		}
		end, counts := x.rankedUntil(c, of)
		if !counts {
			continue
		}
		work := 0.0
		for _, p := range x.Parts {
			work += p.within(at + c.age)
		}
		busy = min(busy+work/drain, max(busy, end))
	}
	return max(0, busy)
}

// rankedUntil returns the time, in milliseconds from now, until which the job is ranked
// before a candidate in the phase, and whether it is now.
func (x *Item) rankedUntil(c Candidate, of phase) (float64, bool) {
	until := x.LateMillis
	if of == onTime {
		until = x.DeadlineMillis
	}
	if of == missed || x.Priority < c.Priority {
		return math.Inf(1), true
	}
	return float64(until + x.ExtraMillis - c.NowMillis), x.EndMillis+int64(c.age) <= until
}

func (x *Item) isBefore(c Candidate) bool {
	return x.Priority < c.Priority || x.Priority == c.Priority && x.DeadlineMillis < c.DeadlineMillis
}

// ahead returns the core-milliseconds of all work that comes before the candidate.
func (b *Backlog) ahead(c Candidate) float64 {
	work := 0.0
	for i := range b.items {
		if !b.items[i].isBefore(c) {
			break
		}
		for _, p := range b.items[i].Parts {
			work += p.Cores * p.Length
		}
	}
	return work
}

// retryAfter returns the time after which a caller may return: a wait within the bounds,
// and a part of it that follows from the ID.
func retryAfter(id string, wait float64) time.Duration {
	base := min(max(millis(wait), CopyLifetime), MaxRetryAfter)
	hash := sha256.Sum256([]byte(id)) // similar IDs must differ too
	share := float64(binary.BigEndian.Uint32(hash[:])) / (1 << 32)
	return base + time.Duration(retrySpread*share*float64(base))
}

func millis(x float64) time.Duration {
	return time.Duration(min(x, float64(math.MaxInt64/2)/float64(time.Millisecond)) * float64(time.Millisecond))
}
