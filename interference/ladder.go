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
func (a Action) String() string {
	return [...]string{"none", "throttle", "move", "stop", "restore"}[a]
}

// IsEviction reports whether the step takes the task off its worker.
func (a Action) IsEviction() bool { return a == Move || a == Stop }

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
	options      MitigatorOptions
	highReports  int // reports in a row above High
	lowReports   int // reports in a row below Low
	pending      Decision
	pendingSince time.Time
	settledAt    time.Time
}

// NewMitigator returns a ladder at rest.
func NewMitigator(o MitigatorOptions) *Mitigator {
	return &Mitigator{options: o.WithDefaults()}
}

// Report takes the slowdown of the most disturbed service of the worker.
// Reports measured before the last action settled are ignored.
func (m *Mitigator) Report(slowdown float64, measuredAt time.Time) {
	if measuredAt.Before(m.settledAt) {
		return
	}
	switch {
	case slowdown > m.options.DisturbedAbove:
		m.highReports++
		m.lowReports = 0
	case slowdown < m.options.RecoveredBelow:
		m.lowReports++
		m.highReports = 0
	default:
		m.highReports, m.lowReports = 0, 0
	}
}

// Pending returns the action that is not confirmed yet.
func (m *Mitigator) Pending() Decision { return m.pending }

// Confirm ends the pending action on the task.
func (m *Mitigator) Confirm(task string, now time.Time) {
	if m.pending.Task != task || m.pending.Action == None {
		return
	}
	m.settle(now)
}

// IsBusy reports whether an action is pending or has not settled.
func (m *Mitigator) IsBusy(now time.Time) bool {
	return m.pending.Action != None || now.Before(m.settledAt)
}

// TryStart makes an action of another cause the pending one, and reports whether
// the worker was free for it.
func (m *Mitigator) TryStart(d Decision, now time.Time) bool {
	if m.IsBusy(now) {
		return false
	}
	m.start(now, d)
	return true
}

// IsDue reports whether Next may propose something.
func (m *Mitigator) IsDue(now time.Time) bool {
	if m.pending.Action != None {
		return now.Sub(m.pendingSince) >= m.options.ConfirmTimeout
	}
	return !now.Before(m.settledAt) && (m.highReports >= m.options.ConsecutiveReports || m.lowReports >= m.options.ConsecutiveReports)
}

func (m *Mitigator) settle(now time.Time) {
	m.pending = Decision{}
	m.settledAt = now.Add(m.options.SettlingTime)
	m.highReports, m.lowReports = 0, 0
}

// Next proposes an action at time now. mayEvict says whether the budget of
// evictions has room. The caller carries the action out and calls Confirm.
func (m *Mitigator) Next(now time.Time, candidates []Candidate, mayEvict bool) Decision {
	if m.pending.Action != None {
		return m.escalateOverdue(now)
	}
	if now.Before(m.settledAt) {
		return Decision{}
	}
	switch {
	case m.highReports >= m.options.ConsecutiveReports:
		return m.start(now, m.chooseAction(candidates, mayEvict))
	case m.lowReports >= m.options.ConsecutiveReports:
		return m.start(now, restoreOne(candidates))
	}
	return Decision{}
}

// escalateOverdue replaces an action that was not confirmed in time by a stop,
// and repeats the stop until it is confirmed. It is the same eviction, so it
// needs no room in the budget.
func (m *Mitigator) escalateOverdue(now time.Time) Decision {
	if now.Sub(m.pendingSince) < m.options.ConfirmTimeout {
		return Decision{}
	}
	if !m.pending.Action.IsEviction() {
		m.settle(now)
		return Decision{}
	}
	return m.start(now, Decision{Action: Stop, Task: m.pending.Task})
}

func (m *Mitigator) start(now time.Time, d Decision) Decision {
	if d.Action != None {
		m.pending, m.pendingSince = d, now
	}
	return d
}

// chooseAction throttles the task with the most blame. Once all tasks with blame are
// throttled it moves the one with the most blame that suits another worker
// better, since any other move only carries the disturbance elsewhere.
func (m *Mitigator) chooseAction(candidates []Candidate, mayEvict bool) Decision {
	throttle, move := -1, -1
	for i, c := range candidates {
		switch {
		case c.CausedSlowdown < m.options.MinCausedSlowdown:
		case !c.Throttled:
			throttle = largerSlowdown(candidates, throttle, i)
		case c.Movable && mayEvict:
			move = largerSlowdown(candidates, move, i)
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

// largerSlowdown returns the index with the most blame; the first counts when equal.
func largerSlowdown(candidates []Candidate, i, j int) int {
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
