package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/ibispier/ibispier/fairqueue"
	"github.com/ibispier/ibispier/interference"
	"github.com/ibispier/ibispier/quarantine"
	"github.com/ibispier/ibispier/resource"
)

// Selection is how a worker is chosen among those that pass the filters.
type Selection string

// Selections. FirstFit is the baseline that BestScore is compared against.
const (
	BestScore Selection = "best_score"
	FirstFit  Selection = "first_fit"
)

// Options configure a Scheduler.
type Options struct {
	Selection           Selection
	IgnoreInterference  bool // baseline: neither scores nor mitigation use the interference estimates
	DisableMitigation   bool // baseline: no action against the disturbance of services
	Queue               fairqueue.Options
	Model               interference.ModelOptions
	Mitigation          interference.MitigatorOptions
	Quarantine          quarantine.Options
	EvictionsPerHour    int
	CandidatesPerTask   int           // workers that are scored for a task
	OffersPerStep       int           // pending tasks that are offered in one step
	ProposalTimeout     time.Duration // after which an unconfirmed placement is withdrawn
	ZoneReturnStartRate float64       // starts per second and worker in a zone that has returned to service
	ZoneReturnPeriod    time.Duration // for which that rate applies
	MovedExclusion      time.Duration // how long a moved task is kept off its former worker
	FailedExclusion     time.Duration // how long a task is kept off a worker on which it failed
	FeasibilityDelay    time.Duration // from the first worker until tasks that fit no worker are held
}

// withDefaults fills in options that are not set.
//
// Scoring 32 candidates keeps a placement far below 200 microseconds with 4,000
// workers, and the best of a sample of 32 is on average among the best 3% of the
// workers. An offer that finds no worker costs about half a microsecond, so
// 200,000 offers bound a step to about 0.1 s; with 20,000 offers, tasks that fit
// were not reached behind 20,000 that did not. At half a start per second and
// worker, a worker in a returned zone fills up in 20 to 30 s.
func (o Options) withDefaults() Options {
	setDefault(&o.Selection, BestScore)
	setDefault(&o.EvictionsPerHour, 60)
	setDefault(&o.CandidatesPerTask, 32)
	setDefault(&o.OffersPerStep, 200_000)
	setDefault(&o.ProposalTimeout, 5*time.Second)
	setDefault(&o.ZoneReturnStartRate, 0.5)
	setDefault(&o.ZoneReturnPeriod, time.Minute)
	setDefault(&o.MovedExclusion, time.Minute)
	setDefault(&o.FailedExclusion, 10*time.Minute)
	o.Mitigation = o.Mitigation.WithDefaults()
	setDefault(&o.Queue.AgingBound, fairqueue.DefaultAgingBound)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Scheduler proposes placements and actions. It is not safe for concurrent use:
// one goroutine owns it.
type Scheduler struct {
	options        Options
	now            time.Time
	cache          *Cache
	queue          *fairqueue.Queue
	model          *interference.Model
	matrix         *quarantine.Matrix
	runTimes       *quarantine.RunTimes
	budget         *interference.EvictionBudget
	mitigators     map[string]*interference.Mitigator // by worker
	pending        map[string]*task                   // tasks in the queue
	held           map[string]*task                   // tasks out of the queue, with a reason
	proposed       map[string]*task                   // placed tasks whose placement is not confirmed
	evacuating     []*task                            // tasks to evacuate in the next step
	newlyHeld      []HeldTask                         // since the last step
	feasibilityAt  time.Time                          // when the workers count as known
	workersKnown   bool                               // tasks that fit no worker are held
	recheckHeld    bool                               // held tasks may be feasible again
	sampleCursor   int
	failedSearches []failedSearch
	reservations   int

	coefficients   map[[2]string]float64
	coefficientsAt time.Time

	decisions  Decisions
	candidates []*worker
	classLoads []interference.ClassLoad
}

// New returns a scheduler without workers and tasks.
func New(o Options) *Scheduler {
	o = o.withDefaults()
	return &Scheduler{
		options:    o,
		cache:      newCache(),
		queue:      fairqueue.New(o.Queue),
		model:      interference.NewModel(o.Model),
		matrix:     quarantine.New(o.Quarantine),
		runTimes:   quarantine.NewRunTimes(),
		budget:     interference.NewEvictionBudget(o.EvictionsPerHour),
		mitigators: map[string]*interference.Mitigator{},
		pending:    map[string]*task{},
		held:       map[string]*task{},
		proposed:   map[string]*task{},

		coefficients: map[[2]string]float64{},
	}
}

// EmptyCopy returns a scheduler without workers and tasks that keeps the learned
// estimates, the quarantine and the eviction budget, for an owner that rebuilds
// its state.
func (s *Scheduler) EmptyCopy() *Scheduler {
	fresh := New(s.options)
	fresh.model, fresh.matrix, fresh.runTimes, fresh.budget = s.model, s.matrix, s.runTimes, s.budget
	return fresh
}

// Step runs one scheduling step at time now. The returned decisions are valid
// until the next call.
func (s *Scheduler) Step(now time.Time) Decisions {
	s.now = now
	s.decisions = Decisions{}
	s.queue.SetCapacity(s.cache.capacity)
	s.expireProposals()
	s.applyQuarantine()
	s.holdInfeasible()
	s.reconsiderHeld()
	s.evacuate()
	s.runPass()
	s.mitigate()
	s.decisions.Held, s.newlyHeld = s.newlyHeld, nil
	return s.decisions
}

// PendingCount returns the number of tasks in the queue.
func (s *Scheduler) PendingCount() int { return s.queue.Len() }

// PendingReason returns why a task is not placed, or "" if it is placed or
// unknown.
func (s *Scheduler) PendingReason(id string) string {
	if t := s.pending[id]; t != nil {
		return t.pendingReason.String()
	}
	if t := s.held[id]; t != nil {
		return t.pendingReason.String()
	}
	return ""
}

// Quarantine lists the jobs and workers that are quarantined or on probation.
func (s *Scheduler) Quarantine() []quarantine.Entry { return s.matrix.Entries() }

// EvictionCount returns the number of evictions that were proposed.
func (s *Scheduler) EvictionCount() int { return s.budget.Total() }

// Estimate returns the estimated interference of a pair of classes.
func (s *Scheduler) Estimate(victim, aggressor string, now time.Time) interference.Estimate {
	return s.model.Estimate(victim, aggressor, now)
}

// RunTimes returns the learned run times.
func (s *Scheduler) RunTimes() *quarantine.RunTimes { return s.runTimes }

// FreeCapacity returns the capacity of a worker less the declared sizes of its
// tasks.
func (s *Scheduler) FreeCapacity(workerID string) resource.Vector {
	if w := s.cache.byID[workerID]; w != nil {
		return w.free
	}
	return resource.Vector{}
}

func (s *Scheduler) expireProposals() {
	for _, id := range sortedKeys(s.proposed) {
		if s.now.Sub(s.proposed[id].placedAt) >= s.options.ProposalTimeout {
			s.RejectPlacement(id, s.now)
		}
	}
}

// applyQuarantine evaluates the quarantine matrix, marks the workers whose state
// has changed, and takes quarantined jobs out of the queue.
func (s *Scheduler) applyQuarantine() {
	s.matrix.SetWorkerCount(len(s.cache.workers))
	for _, e := range s.matrix.Evaluate(s.now) {
		if e.Kind == quarantine.Worker {
			s.setQuarantineState(e)
			s.decisions.Quarantine = append(s.decisions.Quarantine, e)
			continue
		}
		s.recheckHeld = true
		if t := s.pending[e.Name]; t != nil && e.State == quarantine.Quarantined {
			s.queue.Remove(t.ID)
			s.hold(t, "quarantined: "+e.Reason)
		}
	}
}

func (s *Scheduler) setQuarantineState(e quarantine.Entry) {
	w := s.cache.byID[e.Name]
	if w == nil {
		return
	}
	w.quarantineReason, w.onProbation = "", e.State == quarantine.Probation
	if e.State == quarantine.Quarantined {
		w.quarantineReason = e.Reason
	}
}

func (s *Scheduler) hold(t *task, reason string) {
	delete(s.pending, t.ID)
	s.unreserve(t)
	t.pendingReason = pendingReason{text: reason}
	s.held[t.ID] = t
	s.newlyHeld = append(s.newlyHeld, HeldTask{Task: t.ID, Reason: reason})
}

// holdInfeasible holds the pending tasks that fit no worker, once, when the
// workers have had time to report.
func (s *Scheduler) holdInfeasible() {
	if s.workersKnown || len(s.cache.workers) == 0 || s.now.Before(s.feasibilityAt) {
		return
	}
	s.workersKnown = true
	for _, id := range sortedKeys(s.pending) {
		if reason := s.infeasibleReason(s.pending[id]); reason != "" {
			s.queue.Remove(id)
			s.hold(s.pending[id], reason)
		}
	}
}

// reconsiderHeld returns held tasks to the queue if the reason for holding them
// no longer applies.
func (s *Scheduler) reconsiderHeld() {
	if !s.recheckHeld {
		return
	}
	s.recheckHeld = false
	for _, id := range sortedKeys(s.held) {
		t := s.held[id]
		if s.infeasibleReason(t) != "" {
			continue
		}
		delete(s.held, id)
		s.enqueue(t)
		s.decisions.Released = append(s.decisions.Released, id)
	}
}

// sortedKeys returns the keys in sorted order, so that equal events lead to equal
// decisions.
func sortedKeys(tasks map[string]*task) []string {
	return slices.Sorted(maps.Keys(tasks))
}

// infeasibleReason returns why a task cannot be placed however long it waits, or
// "". Workers in zones that are out of service count as usable, since the zones
// may return.
func (s *Scheduler) infeasibleReason(t *task) string {
	if e := s.matrix.Status(quarantine.Job, t.ID); e.State == quarantine.Quarantined {
		return "quarantined: " + e.Reason
	}
	quota, found := s.cache.quotaOf(s.cache.customer(t.Customer))
	if found && (!t.Size.FitsIn(quota.Limit) || quota.Tasks == 0) {
		return "never runs: larger than the quota of " + t.Customer + ": " + quota.Limit.String()
	}
	if !s.workersKnown {
		return ""
	}
	var largest resource.Vector
	allowed := 0
	for _, w := range s.cache.workers {
		if !t.allows(w.Zone) {
			continue
		}
		if t.Size.FitsIn(w.Capacity) {
			return ""
		}
		allowed++
		largest = largest.Max(w.Capacity)
	}
	if allowed == 0 {
		return "never runs: no worker in an allowed zone"
	}
	return "never runs: larger than any worker in an allowed zone; largest " + largest.String()
}
