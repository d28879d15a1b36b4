package interference

import "time"

// Step is a rung of the action ladder.
type Step uint8

// Steps in the order of escalation.
const (
	None Step = iota
	Throttle
	Move // checkpoint and place elsewhere
	Stop
	Restore // end the throttle
)

// String returns the name of the step.
func (s Step) String() string {
	return [...]string{"none", "throttle", "move", "stop", "restore"}[s]
}

// IsEviction reports whether the step takes the task off its worker.
func (s Step) IsEviction() bool { return s == Move || s == Stop }

// LadderOptions configure a Ladder.
type LadderOptions struct {
	High    float64       // slowdown of a service at which a worker is disturbed
	Low     float64       // slowdown below which it has recovered; the gap is the hysteresis
	Confirm int           // reports in a row that confirm either
	Settle  time.Duration // after an action, until its effect shows in reports
	Timeout time.Duration // for an action to be confirmed
	Blame   float64       // tasks with less blame are left alone
}

// WithDefaults fills in what is not set. Services that use 75% of their slots in
// a wave have no reserve at a slowdown of 1.33, so the ladder acts well before:
// with 1.3 the queues of a wave grew before the first throttles showed. Two reports in a row ignore a single
// outlier. Reports count by the time of the measurement, so the settling time
// covers only the effect of the action and not the lag.
func (o LadderOptions) WithDefaults() LadderOptions {
	if o.High == 0 {
		o.High = 1.15
	}
	if o.Low == 0 {
		o.Low = 1.05
	}
	if o.Confirm == 0 {
		o.Confirm = 2
	}
	if o.Settle == 0 {
		o.Settle = 2 * time.Second
	}
	if o.Timeout == 0 {
		o.Timeout = 10 * time.Second
	}
	if o.Blame == 0 {
		o.Blame = 0.02
	}
	return o
}

// Candidate is a task that may be acted on.
type Candidate struct {
	Task      string
	Blame     float64 // expected part in the slowdown
	Throttled bool
	Movable   bool // another worker suffers less from it
}

// Decision is the next action on a worker. Task is empty when Step is None.
type Decision struct {
	Step Step
	Task string
}

// Ladder escalates the actions on one worker.
//
// Invariant: an action starts only when no other of this worker is pending and
// the last one has settled.
type Ladder struct {
	options LadderOptions
	high    int // reports in a row above High
	low     int // reports in a row below Low
	pending Decision
	since   time.Time
	settled time.Time
}

// NewLadder returns a ladder at rest.
func NewLadder(o LadderOptions) *Ladder {
	return &Ladder{options: o.WithDefaults()}
}

// Report takes the slowdown of the most disturbed service of the worker.
// Reports measured before the last action settled are ignored.
func (l *Ladder) Report(slowdown float64, measuredAt time.Time) {
	if measuredAt.Before(l.settled) {
		return
	}
	switch {
	case slowdown > l.options.High:
		l.high++
		l.low = 0
	case slowdown < l.options.Low:
		l.low++
		l.high = 0
	default:
		l.high, l.low = 0, 0
	}
}

// Pending returns the action that is not confirmed yet.
func (l *Ladder) Pending() Decision { return l.pending }

// Confirm ends the pending action on the task.
func (l *Ladder) Confirm(task string, now time.Time) {
	if l.pending.Task != task || l.pending.Step == None {
		return
	}
	l.finish(now)
}

// IsBusy reports whether an action is pending or has not settled.
func (l *Ladder) IsBusy(now time.Time) bool {
	return l.pending.Step != None || now.Before(l.settled)
}

// Claim makes an action of another cause the pending one, and reports whether
// the worker was free for it.
func (l *Ladder) Claim(d Decision, now time.Time) bool {
	if l.IsBusy(now) {
		return false
	}
	l.start(now, d)
	return true
}

// Wants reports whether Next may propose something.
func (l *Ladder) Wants(now time.Time) bool {
	if l.pending.Step != None {
		return now.Sub(l.since) >= l.options.Timeout
	}
	return !now.Before(l.settled) && (l.high >= l.options.Confirm || l.low >= l.options.Confirm)
}

func (l *Ladder) finish(now time.Time) {
	l.pending = Decision{}
	l.settled = now.Add(l.options.Settle)
	l.high, l.low = 0, 0
}

// Next proposes an action at time now. mayEvict says whether the budget of
// evictions has room. The caller carries the action out and calls Confirm.
func (l *Ladder) Next(now time.Time, candidates []Candidate, mayEvict bool) Decision {
	if l.pending.Step != None {
		return l.escalateOverdue(now)
	}
	if now.Before(l.settled) {
		return Decision{}
	}
	switch {
	case l.high >= l.options.Confirm:
		return l.start(now, l.choose(candidates, mayEvict))
	case l.low >= l.options.Confirm:
		return l.start(now, restoreOne(candidates))
	}
	return Decision{}
}

// escalateOverdue replaces an action that was not confirmed in time by a stop,
// and repeats the stop until it is confirmed. It is the same eviction, so it
// needs no room in the budget.
func (l *Ladder) escalateOverdue(now time.Time) Decision {
	if now.Sub(l.since) < l.options.Timeout {
		return Decision{}
	}
	if !l.pending.Step.IsEviction() {
		l.finish(now)
		return Decision{}
	}
	return l.start(now, Decision{Step: Stop, Task: l.pending.Task})
}

func (l *Ladder) start(now time.Time, d Decision) Decision {
	if d.Step != None {
		l.pending, l.since = d, now
	}
	return d
}

// choose throttles the task with the most blame. Once all tasks with blame are
// throttled it moves the one with the most blame that suits another worker
// better, since any other move only carries the disturbance elsewhere.
func (l *Ladder) choose(candidates []Candidate, mayEvict bool) Decision {
	throttle, move := -1, -1
	for i, c := range candidates {
		switch {
		case c.Blame < l.options.Blame:
		case !c.Throttled:
			throttle = worse(candidates, throttle, i)
		case c.Movable && mayEvict:
			move = worse(candidates, move, i)
		}
	}
	switch {
	case throttle >= 0:
		return Decision{Step: Throttle, Task: candidates[throttle].Task}
	case move >= 0:
		return Decision{Step: Move, Task: candidates[move].Task}
	}
	return Decision{}
}

// worse returns the index with the most blame; the first counts when equal.
func worse(candidates []Candidate, i, j int) int {
	if i < 0 || candidates[j].Blame > candidates[i].Blame {
		return j
	}
	return i
}

// restoreOne ends the throttle of the least harmful task.
func restoreOne(candidates []Candidate) Decision {
	best := -1
	for i, c := range candidates {
		if c.Throttled && (best < 0 || c.Blame < candidates[best].Blame) {
			best = i
		}
	}
	if best < 0 {
		return Decision{}
	}
	return Decision{Step: Restore, Task: candidates[best].Task}
}

// Budget bounds the evictions in any hour.
type Budget struct {
	perHour int
	recent  []time.Time
	total   int
}

// NewBudget returns a budget of perHour evictions.
func NewBudget(perHour int) *Budget { return &Budget{perHour: perHour} }

// HasRoom reports whether another eviction is allowed at time now.
func (b *Budget) HasRoom(now time.Time) bool {
	for len(b.recent) > 0 && now.Sub(b.recent[0]) >= time.Hour {
		b.recent = b.recent[1:]
	}
	return len(b.recent) < b.perHour
}

// Spend counts an eviction.
func (b *Budget) Spend(now time.Time) {
	b.recent = append(b.recent, now)
	b.total++
}

// Total returns the number of all evictions.
func (b *Budget) Total() int { return b.total }
