package interference

import "time"

// Action is what is done to a task to relieve the services on its worker.
type Action uint8

// Actions, in the order of escalation up to Stop.
const (
	None Action = iota
	Throttle
	Move    // checkpoint and place elsewhere
	Stop    // without a checkpoint
	Restore // end the throttle
)

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"none", "throttle", "move", "stop", "restore"}[a]
}

// IsEviction reports whether the action removes the task from its worker.
func (a Action) IsEviction() bool { return a == Move || a == Stop }

// MitigatorOptions configure a Mitigator.
type MitigatorOptions struct {
	DisturbedAbove     float64       // slowdown of a service above which its worker counts as disturbed
	RecoveredBelow     float64       // slowdown below which it has recovered; less than DisturbedAbove for hysteresis
	ConsecutiveReports int           // above or below the limits before an action is chosen
	SettlingTime       time.Duration // from an action until its effect shows in reports
	ConfirmTimeout     time.Duration // after which an unconfirmed action is escalated or given up
	MinCausedSlowdown  float64       // tasks that cause less are not acted on
}

// WithDefaults fills in options that are not set. Services that use 75% of their
// slots at peak load have no reserve left at a slowdown of 1.33. DisturbedAbove
// is well below that, since at 1.3 the queues of a load peak grow before the
// first throttles take effect. Requiring two reports ignores a single outlier.
// SettlingTime covers only the effect of an action and not the lag of reports,
// because reports are compared by the time of their measurement.
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
	CausedSlowdown float64 // slowdown of the services that the task is estimated to cause
	Throttled      bool
	Movable        bool // a move is expected to reduce the slowdown of services
}

// Decision is the next action on a worker. Task is empty if Action is None.
type Decision struct {
	Action Action
	Task   string
}

// Mitigator chooses the actions on one worker, and escalates them.
//
// Invariant: an action starts only when no other action on this worker is
// pending and the last one has settled.
type Mitigator struct {
	options      MitigatorOptions
	highReports  int // consecutive reports above DisturbedAbove
	lowReports   int // consecutive reports below RecoveredBelow
	pending      Decision
	pendingSince time.Time
	settledAt    time.Time // end of the settling time of the last action
}

// NewMitigator returns a Mitigator without a pending action.
func NewMitigator(o MitigatorOptions) *Mitigator {
	return &Mitigator{options: o.WithDefaults()}
}

// Report records the slowdown of the most disturbed service on the worker.
// Reports that were measured before the last action settled are ignored.
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

// Pending returns the action that is not yet confirmed; its Action is None if
// there is none.
func (m *Mitigator) Pending() Decision { return m.pending }

// Confirm states that the pending action on the task was carried out. The
// settling time starts at now.
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

// TryStart makes an action with another cause, such as a preemption, the pending
// one. It returns false if another action is pending or has not settled.
func (m *Mitigator) TryStart(d Decision, now time.Time) bool {
	if m.IsBusy(now) {
		return false
	}
	m.start(now, d)
	return true
}

// IsDue reports whether Next may return an action, so that a caller can avoid
// computing the candidates.
func (m *Mitigator) IsDue(now time.Time) bool {
	if m.pending.Action != None {
		return now.Sub(m.pendingSince) >= m.options.ConfirmTimeout
	}
	return !now.Before(m.settledAt) && (m.highReports >= m.options.ConsecutiveReports || m.lowReports >= m.options.ConsecutiveReports)
}

// settle ends the pending action and starts the settling time.
func (m *Mitigator) settle(now time.Time) {
	m.pending = Decision{}
	m.settledAt = now.Add(m.options.SettlingTime)
	m.highReports, m.lowReports = 0, 0
}

// Next returns the action to take at time now. mayEvict says whether the
// eviction budget allows another eviction. The caller carries the action out and
// then calls Confirm.
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

// escalateOverdue replaces an eviction that was not confirmed in time by a stop,
// and repeats the stop until it is confirmed. The stop belongs to the same
// eviction and needs no further budget. Other overdue actions are given up.
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

// chooseAction throttles the task that causes the largest slowdown. Once all
// tasks above MinCausedSlowdown are throttled, it moves the movable one that
// causes the largest slowdown. A task that is not movable would only disturb
// the services on another worker instead.
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

// largerSlowdown returns the index, i or j, of the candidate that causes the
// larger slowdown, and i if both are equal. A negative i stands for none.
func largerSlowdown(candidates []Candidate, i, j int) int {
	if i < 0 || candidates[j].CausedSlowdown > candidates[i].CausedSlowdown {
		return j
	}
	return i
}

// restoreOne ends the throttle of the task that causes the smallest slowdown.
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

// EvictionBudget bounds the number of evictions within any hour.
type EvictionBudget struct {
	perHour int
	recent  []time.Time // evictions of the last hour
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

// Spend records an eviction at time now.
func (b *EvictionBudget) Spend(now time.Time) {
	b.recent = append(b.recent, now)
	b.total++
}

// Total returns the number of evictions since the start.
func (b *EvictionBudget) Total() int { return b.total }
