package state

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/ledger"
	"github.com/ibispier/ibispier/plan"
)

// Error is the class of all errors of this package. They are refusals: nothing
// has changed.
var Error = errs.Class("state")

// refuse returns a refusal with a reason of package controlapi.
func refuse(reason, format string, args ...any) error {
	return Error.Wrap(&controlapi.Error{Reason: reason, Message: fmt.Sprintf(format, args...)})
}

// Options bound a Machine. All replicas need the same ones.
type Options struct {
	Ledger             ledger.Options
	MaxTasks           int           // tasks that are not finished
	MaxFinishedTasks   int           // finished tasks that are kept
	FinishedRetention  time.Duration // time for which finished tasks are kept
	MaxPayloadBytes    int           // bytes
	UnplacedAlarmDelay time.Duration // time after which a watcher without a place raises an alarm
}

// DefaultOptions returns the bounds of a deployment. A day has 44,000 jobs, and
// 46,700 tasks run at once.
func DefaultOptions() Options {
	return Options{
		Ledger:             ledger.DefaultOptions(),
		MaxTasks:           150_000,
		MaxFinishedTasks:   60_000,
		FinishedRetention:  24 * time.Hour,
		MaxPayloadBytes:    64 << 10,
		UnplacedAlarmDelay: 3 * time.Second,
	}
}

// Machine is the replicated state.
type Machine struct {
	options    Options
	now        time.Time // latest clock reading of a leader; never goes back
	book       *plan.Registry
	ledger     *ledger.Ledger
	tasks      *taskTable
	quarantine map[quarantineKey]controlapi.Quarantined
	plans      map[string]controlapi.Plan // by customer, from the configuration
}

type quarantineKey struct{ kind, name string }

// New returns an empty Machine.
func New(o Options) *Machine {
	return &Machine{
		options:    o,
		book:       plan.NewRegistry(),
		ledger:     ledger.New(o.Ledger),
		tasks:      newTaskTable(),
		quarantine: map[quarantineKey]controlapi.Quarantined{},
		plans:      map[string]controlapi.Plan{},
	}
}

// Apply carries out a command.
func (m *Machine) Apply(c *Command) Result {
	// The clock of a new leader may be behind that of its predecessor.
	if c.Now.After(m.now) {
		m.now = c.Now
	}
	m.tasks.forgetFinished(m.now.Add(-m.options.FinishedRetention), m.options.MaxFinishedTasks)
	switch {
	case c.Claim != nil:
		response, err := m.ledger.Claim(m.now, *c.Claim)
		return Result{Err: err, Claim: &response}
	case c.Resolve != nil:
		return Result{ResolveAccepted: m.ledger.Resolve(m.now, *c.Resolve)}
	case c.Propose != nil:
		return m.change(m.book.Propose(m.now, c.Propose.Request, c.Propose.Offer))
	case c.Sign != nil:
		return m.change(m.book.Sign(m.now, c.Sign.Request, c.Sign.Offer))
	case c.Quarantine != nil:
		return m.setQuarantine(*c.Quarantine)
	default:
		return m.applyTask(c)
	}
}

func (m *Machine) applyTask(c *Command) Result {
	switch {
	case c.Submit != nil:
		return m.submit(*c.Submit)
	case c.Cancel != nil:
		return m.cancel(c.Cancel.ID)
	case c.Place != nil:
		return m.place(*c.Place)
	case c.Report != nil:
		return m.report(*c.Report)
	case c.Expire != nil:
		return m.expire(*c.Expire)
	case c.Evict != nil:
		return m.evict(*c.Evict)
	default:
		return Result{Err: refuse(controlapi.ReasonBadRequest, "the command is empty")}
	}
}

// change notes a new configuration.
func (m *Machine) change(p controlapi.Proposal, err error) Result {
	if err != nil {
		return Result{Err: err}
	}
	changed := p.State == controlapi.ProposalAccepted && p.Revision == m.book.Config().Revision
	if changed {
		m.plans = plansByCustomer(m.book.Config())
	}
	return Result{Proposal: &p, ConfigChanged: changed}
}

// anyCustomer in the list of customers stands for all that are not named.
const anyCustomer = "*"

// planOf returns the plan of a customer.
func (m *Machine) planOf(customer string) (controlapi.Plan, bool) {
	if p, found := m.plans[customer]; found {
		return p, true
	}
	p, found := m.plans[anyCustomer]
	return p, found
}

func plansByCustomer(c controlapi.Config) map[string]controlapi.Plan {
	byName := make(map[string]controlapi.Plan, len(c.Plans))
	for _, p := range c.Plans {
		byName[p.Name] = p
	}
	plans := make(map[string]controlapi.Plan, len(c.Customers))
	for _, s := range c.Customers {
		plans[s.Customer] = byName[s.Plan]
	}
	return plans
}

// Now returns the latest clock reading of a leader.
func (m *Machine) Now() time.Time { return m.now }

// Config returns the accepted configuration, which the caller must not change.
func (m *Machine) Config() controlapi.Config { return m.book.Config() }

// Proposal returns the proposal with a change id.
func (m *Machine) Proposal(changeID string) (controlapi.Proposal, bool) {
	return m.book.Proposal(changeID)
}

// Proposals returns up to limit proposals, newest first.
func (m *Machine) Proposals(limit int) []controlapi.Proposal { return m.book.Proposals(limit) }

// KeyCount returns the number of idempotency keys.
func (m *Machine) KeyCount() int { return m.ledger.Len() }

// Quarantined returns the jobs and workers in quarantine, by kind and name.
func (m *Machine) Quarantined() []controlapi.Quarantined {
	list := make([]controlapi.Quarantined, 0, len(m.quarantine))
	for _, q := range m.quarantine {
		list = append(list, q)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Kind < list[j].Kind || list[i].Kind == list[j].Kind && list[i].Name < list[j].Name
	})
	return list
}

func (m *Machine) isQuarantined(kind, name string) bool {
	_, found := m.quarantine[quarantineKey{kind, name}]
	return found
}

// setQuarantine moves a queued job out of the queue or back into it. A job that
// runs is left alone until it ends.
func (m *Machine) setQuarantine(q Quarantine) Result {
	if q.Kind != QuarantineJob && q.Kind != QuarantineWorker || q.Name == "" {
		return Result{Err: refuse(controlapi.ReasonBadRequest, "nothing of kind %q can be quarantined", q.Kind)}
	}
	key := quarantineKey{q.Kind, q.Name}
	old, found := m.quarantine[key]
	var result Result
	if q.Release {
		if !found {
			return Result{Err: refuse(controlapi.ReasonNotFound, "%s %q is not in quarantine", q.Kind, q.Name)}
		}
		delete(m.quarantine, key)
		result.Released = &old
	} else {
		entry := controlapi.Quarantined{Kind: q.Kind, Name: q.Name, Reason: q.Reason, Since: m.now}
		if found {
			entry.Since = old.Since
		}
		m.quarantine[key] = entry
		result.Quarantine = &entry
	}
	if q.Kind == QuarantineJob {
		m.moveQuarantined(q, &result)
	}
	return result
}

func (m *Machine) moveQuarantined(q Quarantine, result *Result) {
	t := m.tasks.byID[q.Name]
	switch {
	case t == nil:
		return
	case !q.Release && t.State == controlapi.TaskQueued:
		m.tasks.setState(t, controlapi.TaskQuarantined)
		t.Reason = q.Reason
	case q.Release && t.State == controlapi.TaskQuarantined:
		m.tasks.setState(t, controlapi.TaskQueued)
		t.QueuedAt = m.now
		t.Reason = ""
	default:
		return
	}
	result.ChangedTasks = append(result.ChangedTasks, t)
}

// IsZoneOut reports whether a zone is out of service.
func (m *Machine) IsZoneOut(zone string) bool { return slices.Contains(m.book.Config().ZonesOut, zone) }

// Image is the content of a Machine, for snapshots.
type Image struct {
	Now        time.Time
	Plan       plan.Image
	Ledger     ledger.Image
	Live       []Task // in no particular order
	Finished   []Task // in the order in which they finished
	Quarantine []controlapi.Quarantined
}

// Image returns the content of the Machine. Slices inside tasks and outcomes
// are shared and must not be changed; the Machine does not change them either.
func (m *Machine) Image() Image {
	live, finished := m.tasks.image()
	return Image{
		Now:        m.now,
		Plan:       m.book.Image(),
		Ledger:     m.ledger.Image(),
		Live:       live,
		Finished:   finished,
		Quarantine: m.Quarantined(),
	}
}

// Restore returns the Machine with the content of an image, which it takes over.
func Restore(o Options, img Image) *Machine {
	m := New(o)
	m.now = img.Now
	m.book = plan.Restore(img.Plan)
	m.ledger = ledger.Restore(o.Ledger, img.Ledger)
	m.plans = plansByCustomer(m.book.Config())
	m.tasks.restore(img.Live, img.Finished)
	for _, q := range img.Quarantine {
		m.quarantine[quarantineKey{q.Kind, q.Name}] = q
	}
	return m
}

// Lookup returns the state of an idempotency key.
func (m *Machine) Lookup(r controlapi.LookupRequest) controlapi.ClaimResponse {
	return m.ledger.Lookup(r)
}
