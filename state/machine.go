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

// Error is the class of all errors of this package. Each one is a refusal: the
// command left the state unchanged.
var Error = errs.Class("state")

// refusalf returns a refusal with one of the reasons of package controlapi and a
// formatted message.
func refusalf(reason, format string, args ...any) error {
	return Error.Wrap(&controlapi.Error{Reason: reason, Message: fmt.Sprintf(format, args...)})
}

// Options limits the size of a Machine. All replicas must use the same values,
// or they would accept different commands.
type Options struct {
	Ledger             ledger.Options
	MaxTasks           int           // unfinished tasks
	MaxFinishedTasks   int           // finished tasks that are retained
	FinishedRetention  time.Duration // how long finished tasks are retained
	MaxPayloadBytes    int           // per task
	UnplacedAlarmDelay time.Duration // how long a watcher may be queued before an alarm is raised
}

// DefaultOptions returns the limits for a deployment with 44,000 jobs a day and
// 46,700 tasks that run at the same time.
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

// Machine holds the replicated state and applies commands to it.
type Machine struct {
	options       Options
	now           time.Time // latest clock reading in a command; never decreases
	configuration *plan.Registry
	ledger        *ledger.Ledger
	tasks         *taskTable
	quarantine    map[quarantineKey]controlapi.Quarantined
	plans         map[string]controlapi.Plan // by customer, from the configuration
}

type quarantineKey struct{ kind, name string }

// New returns an empty Machine.
func New(o Options) *Machine {
	return &Machine{
		options:       o,
		configuration: plan.NewRegistry(),
		ledger:        ledger.New(o.Ledger),
		tasks:         newTaskTable(),
		quarantine:    map[quarantineKey]controlapi.Quarantined{},
		plans:         map[string]controlapi.Plan{},
	}
}

// Apply executes a committed command.
func (m *Machine) Apply(c *Command) Result {
	// The clock of a new leader may lag behind that of its predecessor.
	if c.Now.After(m.now) {
		m.now = c.Now
	}
	m.tasks.dropOldFinished(m.now.Add(-m.options.FinishedRetention), m.options.MaxFinishedTasks)
	switch {
	case c.Claim != nil:
		response, err := m.ledger.Claim(m.now, *c.Claim)
		return Result{Err: err, Claim: &response}
	case c.Resolve != nil:
		return Result{ResolveAccepted: m.ledger.Resolve(m.now, *c.Resolve)}
	case c.Propose != nil:
		return m.proposalResult(m.configuration.Propose(m.now, c.Propose.Request, c.Propose.Offer))
	case c.Sign != nil:
		return m.proposalResult(m.configuration.Sign(m.now, c.Sign.Request, c.Sign.Offer))
	case c.Quarantine != nil:
		return m.applyQuarantine(*c.Quarantine)
	default:
		return m.applyTask(c)
	}
}

func (m *Machine) applyTask(c *Command) Result {
	switch {
	case c.Submit != nil:
		return m.submitTask(*c.Submit)
	case c.Cancel != nil:
		return m.cancelTask(c.Cancel.ID)
	case c.Place != nil:
		return m.placeTask(*c.Place)
	case c.Report != nil:
		return m.applyReport(*c.Report)
	case c.Expire != nil:
		return m.expireLeases(*c.Expire)
	case c.Evict != nil:
		return m.evictTask(*c.Evict)
	default:
		return Result{Err: refusalf(controlapi.ReasonBadRequest, "empty command: no operation is set")}
	}
}

// proposalResult returns the result of a Propose or Sign command. If it put a new
// configuration in force, the plans by customer are rebuilt.
func (m *Machine) proposalResult(p controlapi.Proposal, err error) Result {
	if err != nil {
		return Result{Err: err}
	}
	changed := p.State == controlapi.ProposalAccepted && p.Revision == m.configuration.Config().Revision
	if changed {
		m.plans = plansByCustomer(m.configuration.Config())
	}
	return Result{Proposal: &p, ConfigChanged: changed}
}

// anyCustomer in the list of customers matches every customer without an entry
// of its own.
const anyCustomer = "*"

// planFor returns the plan of a customer, or false if it has none.
func (m *Machine) planFor(customer string) (controlapi.Plan, bool) {
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

// Now returns the latest clock reading in an applied command.
func (m *Machine) Now() time.Time { return m.now }

// Config returns the accepted configuration. The caller must not modify it.
func (m *Machine) Config() controlapi.Config { return m.configuration.Config() }

// Proposal returns the proposal with a change id.
func (m *Machine) Proposal(changeID string) (controlapi.Proposal, bool) {
	return m.configuration.Proposal(changeID)
}

// Proposals returns up to limit proposals, newest first.
func (m *Machine) Proposals(limit int) []controlapi.Proposal { return m.configuration.Proposals(limit) }

// KeyCount returns the number of idempotency keys.
func (m *Machine) KeyCount() int { return m.ledger.Len() }

// Quarantined returns the quarantined jobs and workers, sorted by kind and name.
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

// applyQuarantine adds a job or worker to the quarantine list or removes it. A
// queued job leaves the queue or returns to it; a running job is not interrupted.
func (m *Machine) applyQuarantine(q Quarantine) Result {
	if q.Kind != QuarantineJob && q.Kind != QuarantineWorker || q.Name == "" {
		return Result{Err: refusalf(controlapi.ReasonBadRequest, "a quarantine entry needs a name and kind job or worker, not %q", q.Kind)}
	}
	key := quarantineKey{q.Kind, q.Name}
	old, found := m.quarantine[key]
	var result Result
	if q.Release {
		if !found {
			return Result{Err: refusalf(controlapi.ReasonNotFound, "%s %q is not in quarantine", q.Kind, q.Name)}
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
		m.updateQuarantinedTask(q, &result)
	}
	return result
}

// updateQuarantinedTask moves the task of a job out of the queue or back into it.
func (m *Machine) updateQuarantinedTask(q Quarantine, result *Result) {
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
func (m *Machine) IsZoneOut(zone string) bool {
	return slices.Contains(m.configuration.Config().ZonesOut, zone)
}

// Image is the content of a Machine in a snapshot. It is encoded with gob, which
// stores the field names.
type Image struct {
	Now        time.Time
	Plan       plan.Image
	Ledger     ledger.Image
	Live       []Task // in no particular order
	Finished   []Task // in the order in which they finished
	Quarantine []controlapi.Quarantined
}

// Image returns the content of the Machine. Slices inside tasks and outcomes are
// shared with the Machine, which never modifies them; the caller must not either.
func (m *Machine) Image() Image {
	live, finished := m.tasks.image()
	return Image{
		Now:        m.now,
		Plan:       m.configuration.Image(),
		Ledger:     m.ledger.Image(),
		Live:       live,
		Finished:   finished,
		Quarantine: m.Quarantined(),
	}
}

// Restore returns a Machine with the content of an image. The image must not be
// used afterwards.
func Restore(o Options, img Image) *Machine {
	m := New(o)
	m.now = img.Now
	m.configuration = plan.Restore(img.Plan)
	m.ledger = ledger.Restore(o.Ledger, img.Ledger)
	m.plans = plansByCustomer(m.configuration.Config())
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
