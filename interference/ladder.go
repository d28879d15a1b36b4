package interference

import "time"

// Action is a rung of the action ladder.
type Action uint8

// Steps in the order of escalation.
const (
	None Action = iota
	Throttle
	Move // checkpoint and place elsewhere
	Stop
	Restore // end the throttle
)

// String returns the name of the step.
func (s Action) String() string {
	return [...]string{"none", "throttle", "move", "stop", "restore"}[s]
}

// IsEviction reports whether the step takes the task off its worker.
func (s Action) IsEviction() bool { return s == Move || s == Stop }

// MitigatorOptions configure a Ladder.
type MitigatorOptions struct {
	DisturbedAbove     float64       // slowdown of a service at which a worker is disturbed
	RecoveredBelow     float64       // slowdown below which it has recovered; the gap is the hysteresis
	ConsecutiveReports int           // reports in a row that confirm either
	SettlingTime       time.Duration // after an action, until its effect shows in reports
	ConfirmTimeout     time.Duration // for an action to be confirmed
	MinCausedSlowdown  float64       // tasks with less blame are left alone
}

// WithDefaults fills in what is not set. Services that use 75% of their slots in
// a wave have no reserve at a slowdown of 1.33, so the ladder acts well before:
// with 1.3 the queues of a wave grew before the first throttles showed. Two reports in a row ignore a single
// outlier. Reports count by the time of the measurement, so the settling time
// covers only the effect of the action and not the lag.
func (o MitigatorOptions) WithDefaults() MitigatorOptions {
	if o.DisturbedAbove == 0 {
		o.DisturbedAbove = 1.15
	}
	if o.RecoveredBelow == 0 {
		o.RecoveredBelow = 1.05
	}
	if o.ConsecutiveReports == 0 {
		o.ConsecutiveReports = 2
	}
	if o.SettlingTime == 0 {
		o.SettlingTime = 2 * time.Second
	}
	if o.ConfirmTimeout == 0 {
		o.ConfirmTimeout = 10 * time.Second
	}
	if o.MinCausedSlowdown == 0 {
		o.MinCausedSlowdown = 0.02
	}
	return o
}

// Candidate is a task that may be acted on.
type Candidate struct {
	Task           string
	CausedSlowdown float64 // expected part in the slowdown
	Throttled      bool
	Movable        bool // another worker suffers less from it
}

// Decision is the next action on a worker. Task is empty when Step is None.
type Decision struct {
	Action Action
	Task   string
}

// Mitigator escalates the actions on one worker.
//
// Invariant: an action starts only when no other of this worker is pending and
// the last one has settled.
type Mitigator struct {
	options MitigatorOptions
	high    int // reports in a row above High
	low     int // reports in a row below Low
	pending Decision
	since   time.Time
	settled time.Time
}

// NewMitigator returns a ladder at rest.
func NewMitigator(o MitigatorOptions) *Mitigator {
	return &Mitigator{options: o.WithDefaults()}
}

// Report takes the slowdown of the most disturbed service of the worker.
// Reports measured before the last action settled are ignored.
func (l *Mitigator) Report(slowdown float64, measuredAt time.Time) {
	if measuredAt.Before(l.settled) {
		return
	}
	switch {
	case slowdown > l.options.DisturbedAbove:
		l.high++
		l.low = 0
	case slowdown < l.options.RecoveredBelow:
		l.low++
		l.high = 0
	default:
		l.high, l.low = 0, 0
	}
}

// Pending returns the action that is not confirmed yet.
func (l *Mitigator) Pending() Decision { return l.pending }

// Confirm ends the pending action on the task.
func (l *Mitigator) Confirm(task string, now time.Time) {
	if l.pending.Task != task || l.pending.Action == None {
		return
	}
	l.finish(now)
}

// IsBusy reports whether an action is pending or has not settled.
func (l *Mitigator) IsBusy(now time.Time) bool {
	return l.pending.Action != None || now.Before(l.settled)
}

// TryStart makes an action of another cause the pending one, and reports whether
// the worker was free for it.
func (l *Mitigator) TryStart(d Decision, now time.Time) bool {
	if l.IsBusy(now) {
		return false
	}
	l.start(now, d)
	return true
}

// IsDue reports whether Next may propose something.
func (l *Mitigator) IsDue(now time.Time) bool {
	if l.pending.Action != None {
		return now.Sub(l.since) >= l.options.ConfirmTimeout
	}
	return !now.Before(l.settled) && (l.high >= l.options.ConsecutiveReports || l.low >= l.options.ConsecutiveReports)
}

func (l *Mitigator) finish(now time.Time) {
	l.pending = Decision{}
	l.settled = now.Add(l.options.SettlingTime)
	l.high, l.low = 0, 0
}

// Next proposes an action at time now. mayEvict says whether the budget of
// evictions has room. The caller carries the action out and calls Confirm.
func (l *Mitigator) Next(now time.Time, candidates []Candidate, mayEvict bool) Decision {
	if l.pending.Action != None {
		return l.escalateOverdue(now)
	}
	if now.Before(l.settled) {
		return Decision{}
	}
	switch {
	case l.high >= l.options.ConsecutiveReports:
		return l.start(now, l.choose(candidates, mayEvict))
	case l.low >= l.options.ConsecutiveReports:
		return l.start(now, restoreOne(candidates))
	}
	return Decision{}
}

// escalateOverdue replaces an action that was not confirmed in time by a stop,
// and repeats the stop until it is confirmed. It is the same eviction, so it
// needs no room in the budget.
func (l *Mitigator) escalateOverdue(now time.Time) Decision {
	if now.Sub(l.since) < l.options.ConfirmTimeout {
		return Decision{}
	}
	if !l.pending.Action.IsEviction() {
		l.finish(now)
		return Decision{}
	}
	return l.start(now, Decision{Action: Stop, Task: l.pending.Task})
}

func (l *Mitigator) start(now time.Time, d Decision) Decision {
	if d.Action != None {
		l.pending, l.since = d, now
	}
	return d
}

// choose throttles the task with the most blame. Once all tasks with blame are
// throttled it moves the one with the most blame that suits another worker
// better, since any other move only carries the disturbance elsewhere.
func (l *Mitigator) choose(candidates []Candidate, mayEvict bool) Decision {
	throttle, move := -1, -1
	for i, c := range candidates {
		switch {
		case c.CausedSlowdown < l.options.MinCausedSlowdown:
		case !c.Throttled:
			throttle = worse(candidates, throttle, i)
		case c.Movable && mayEvict:
			move = worse(candidates, move, i)
		}
	}
	switch {
	case throttle >= 0:
		return Decision{Action: Throttle, Task: candidates[throttle].Task}
	case move >= 0:
		return Decision{Action: Move, Task: candidates[move].Task}
	}
	return Decision{}
}

// worse returns the index with the most blame; the first counts when equal.
func worse(candidates []Candidate, i, j int) int {
	if i < 0 || candidates[j].CausedSlowdown > candidates[i].CausedSlowdown {
		return j
	}
	return i
}

// restoreOne ends the throttle of the least harmful task.
func restoreOne(candidates []Candidate) Decision {
	best := -1
	for i, c := range candidates {
		if c.Throttled && (best < 0 || c.CausedSlowdown < candidates[best].CausedSlowdown) {
			best = i
		}
	}
	if best < 0 {
		return Decision{}
	}
	return Decision{Action: Restore, Task: candidates[best].Task}
}

// EvictionBudget bounds the evictions in any hour.
type EvictionBudget struct {
	perHour int
	recent  []time.Time
	total   int
}

// NewEvictionBudget returns a budget of perHour evictions.
func NewEvictionBudget(perHour int) *EvictionBudget { return &EvictionBudget{perHour: perHour} }

// Allows reports whether another eviction is allowed at time now.
func (b *EvictionBudget) Allows(now time.Time) bool {
	for len(b.recent) > 0 && now.Sub(b.recent[0]) >= time.Hour {
		b.recent = b.recent[1:]
	}
	return len(b.recent) < b.perHour
}

// Spend counts an eviction.
func (b *EvictionBudget) Spend(now time.Time) {
	b.recent = append(b.recent, now)
	b.total++
}

// Total returns the number of all evictions.
func (b *EvictionBudget) Total() int { return b.total }
