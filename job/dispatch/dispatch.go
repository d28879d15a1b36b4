// Package dispatch decides which ready tasks start on which targets. It keeps its
// view of the targets from one decision to the next and is told what has changed,
// so that the cost of a decision follows the changes and not the number of
// targets. It returns the starts to commit.
package dispatch

import (
	"time"

	"github.com/ibispier/ibispier/fairqueue"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/faults"
)

// Limits are the thresholds of the placement policy.
type Limits struct {
	// ServingCPUShare is the share of its reserved processor time that a
	// serving task is assumed to use. Filling tasks may use the rest.
	ServingCPUShare float64
	// FillingCPUShare is the share of the idle processor time that filling
	// tasks may request. Above 1 they slow each other down.
	FillingCPUShare float64
	// MinPace is the expected pace below which a filling task is not started.
	MinPace float64
	// NonServingTargetShare is the share of targets that is kept free of
	// serving tasks, for filling tasks, as long as others have room.
	NonServingTargetShare float64
	// DeviationMargin is the number of standard deviations that is added to a
	// disturbance estimate.
	DeviationMargin float64
	// LowReservationShare is the share of reserved processor time below which
	// an idle filling job is started even if the filters for filling tasks
	// reject it.
	LowReservationShare float64
	// PostponeLarge delays the jobs with most work while not all can be in time.
	PostponeLarge bool
	// AvoidDisturbance places filling tasks where they take least headroom from
	// serving tasks.
	AvoidDisturbance bool
	// MoveSlowed moves filling tasks that are slowed down to targets with room for them.
	MoveSlowed bool
	// MaxStarts bounds the starts of one pass, and so the size of a log entry.
	MaxStarts int
	// MaxTasksPerTarget bounds the tasks on one target, and so the size of its lists and
	// of the reports about it. Tasks that reserve nothing would fill it without end.
	MaxTasksPerTarget int
	// Shares are the weights of the queues; nil for no shares.
	Shares *QueueShares
}

// DefaultLimits returns the limits used in deployments.
func DefaultLimits() Limits {
	return Limits{ServingCPUShare: 0.55, FillingCPUShare: 1.0, MinPace: 0.8, NonServingTargetShare: 0.2, DeviationMargin: 0.3, LowReservationShare: 0.7, MaxStarts: 400, MaxTasksPerTarget: 8192}
}

// Dispatcher keeps the view of the targets between decisions.
//
// Invariant: a shape in misfits fits no target but those that have changed since.
type Dispatcher struct {
	limits        Limits
	targets       []*TargetState // by ID
	byIncarnation map[job.TargetIncarnation]*TargetState
	racks         []string // in the order of the targets
	byRack        map[string][]*TargetState
	stale         []*TargetState   // targets whose load must be read from the store
	misfits       map[shape]uint64 // number of the last change before the shape fitted no target
	changes       []change         // latest changes of targets
	lastChange    uint64
	postponed     int              // jobs that the latest decision has delayed
	pending       map[job.Ref]bool // tasks whose start was returned by Run and is not settled
	pendingSteps  map[stepKey]int  // number of pending tasks by step, without copies
	pendingCopies int
	// pendingOn contains the pending tasks with their steps by target, also by one that
	// was removed and may return. Steps are kept, because the job may be finished
	// meanwhile.
	pendingOn     map[job.TargetIncarnation]map[job.Ref]*job.Step
	pendingRoutes map[job.Ref]job.Route           // queues of the pending tasks, with shares
	pendingHeld   map[job.Route]fairqueue.Holding // what the pending tasks hold, with shares
	setAside      []*TargetState                  // targets that are set aside for an aged job
	deferred      map[job.Route]uint64            // passes in which tasks of the queue found no room after its turn had ended
}

// New returns a dispatcher without targets.
func New(l Limits) *Dispatcher {
	return &Dispatcher{limits: l, byIncarnation: map[job.TargetIncarnation]*TargetState{}, byRack: map[string][]*TargetState{}, misfits: map[shape]uint64{}, pending: map[job.Ref]bool{}, pendingSteps: map[stepKey]int{}, pendingOn: map[job.TargetIncarnation]map[job.Ref]*job.Step{},
		pendingRoutes: map[job.Ref]job.Route{}, pendingHeld: map[job.Route]fairqueue.Holding{}, deferred: map[job.Route]uint64{}}
}

// Input is everything that a decision depends on besides the targets.
type Input struct {
	Store *job.Store
	// Disturbs returns the estimated headroom that a filling image which uses a
	// whole target takes from a serving image.
	Disturbs func(serving, filling string) job.Disturbance
	Now      time.Time // wall clock; only deadlines and scheduled jobs depend on it
	// IdleJobs contains the jobs that have had ready tasks and none placed, or a ready
	// lasting task, for some time. One task of each is started while spare capacity
	// exists.
	IdleJobs map[string]bool
	// FailedTasks returns the lasting tasks of a step whose latest run has failed. It may
	// be nil.
	FailedTasks func(faults.Step) map[job.Ref]*faults.FailedTask
	SteadyNow   time.Time // on the clock of the holds of FailedTasks
	// WorkRate returns the processor time in millicores that is worked off in a pool while
	// work waits, or 0 if it is unknown. It is called only if Limits.PostponeLarge is set.
	WorkRate   func(Pool) float64
	Stragglers []Straggler
}

// pass is the state of one decision.
type pass struct {
	Input
	*Dispatcher
	maxStarts          int
	skipFillingFilters bool // ignore the filters for filling tasks
	probing            bool // use suspended targets
	starts             []job.Start
	startedJobs        map[string]bool // jobs with starts in this pass
	postponed          int             // parts that are delayed
	onlySuspended      map[shape]bool  // whether all targets that could run a shape are suspended
	turn               *turn           // of the queue that is served, with shares; nil for no limit
	turnState          turn            // what turn points to
	marked             int             // number of starts that are marked as pending
	reserved           reservedShares
	suspension         suspension
	pools              map[string]*fairqueue.Pool // rooms at the begin of the pass, by service
}

func newPass(in Input, d *Dispatcher) *pass {
	return &pass{Input: in, Dispatcher: d, maxStarts: d.limits.MaxStarts, startedJobs: map[string]bool{}, onlySuspended: map[shape]bool{}, pools: map[string]*fairqueue.Pool{}}
}

// Run returns the starts for the ready tasks. They are pending until Settle is
// called with them: they count as load, and their tasks are not started again.
func (d *Dispatcher) Run(in Input) []job.Start {
	d.refresh(in.Store)
	p := newPass(in, d)
	parts := p.orderedParts()
	if d.limits.Shares != nil {
		p.serveByShares(parts)
	} else {
		p.serveInOrder(parts)
	}
	p.markPending()
	d.postponed = p.postponed
	copies := p.startCopies()
	p.markCopiesPending(copies)
	return append(p.starts, copies...)
}

func (p *pass) serveInOrder(parts []jobPart) {
	for _, part := range parts {
		if len(p.starts) >= p.maxStarts {
			return
		}
		p.startPart(part)
		p.startBeyondFilters(part)
	}
}

// startBeyondFilters starts one task of a part whose job is idle where the filters for
// filling tasks or the suspension of targets would forbid it.
func (p *pass) startBeyondFilters(part jobPart) {
	if p.mayStartUnfiltered(part.job) {
		p.startOneUnfiltered(part)
	}
	if p.mayProbe(part.job) {
		p.startOneSuspended(part)
	}
}

// Settle ends the pending state of starts: the store has applied or refused them, or
// they will not be committed.
func (d *Dispatcher) Settle(starts []job.Start) {
	for _, s := range starts {
		delete(d.pending, s.Task)
		if s.Copy {
			d.pendingCopies--
		} else {
			d.settleStep(stepOf(s.Task))
		}
		d.settleHeld(s)
		if delete(d.pendingOn[s.Target], s.Task); len(d.pendingOn[s.Target]) == 0 {
			delete(d.pendingOn, s.Target)
		}
		d.TasksChanged(s.Target)
	}
}

func (d *Dispatcher) settleStep(key stepKey) {
	if d.pendingSteps[key]--; d.pendingSteps[key] <= 0 {
		delete(d.pendingSteps, key)
	}
}

func (d *Dispatcher) setPending(s job.Start, step *job.Step) {
	if d.pendingOn[s.Target] == nil {
		d.pendingOn[s.Target] = map[job.Ref]*job.Step{}
	}
	d.pendingOn[s.Target][s.Task] = step
}

// ReservedCPUShare returns the share of the processor time of the targets of a service
// that is reserved.
func (d *Dispatcher) ReservedCPUShare(service string) float64 {
	var free, total int64
	for _, ts := range d.targets {
		if ts.Service != service {
			continue
		}
		free += ts.free.CPUMilli
		total += ts.Capacity.CPUMilli
	}
	if total == 0 {
		return 1
	}
	return float64(total-free) / float64(total)
}

// reservedShares holds results of ReservedCPUShare, which stay the same until the next
// start. With a backlog, hundreds of idle jobs ask for them in one pass.
type reservedShares struct {
	starts    int
	byService map[string]float64
}

func (p *pass) reservedCPUShare(service string) float64 {
	if p.reserved.byService == nil || p.reserved.starts != len(p.starts) {
		p.reserved = reservedShares{len(p.starts), map[string]float64{}}
	}
	share, known := p.reserved.byService[service]
	if !known {
		share = p.ReservedCPUShare(service)
		p.reserved.byService[service] = share
	}
	return share
}

// mayStartUnfiltered reports whether a task of the job may start although the filters for
// filling tasks reject it: the job is idle, it has no start in this pass and none is
// pending, and less than LowReservationShare of the processor time of its service is
// reserved.
func (p *pass) mayStartUnfiltered(j *job.Job) bool {
	return !p.startedJobs[j.Spec.ID] && p.IdleJobs[j.Spec.ID] && !p.hasPending(j) && p.reservedCPUShare(p.Store.QueueOf(j).Service) < p.limits.LowReservationShare
}

// hasPending reports whether a start of the job is pending.
func (d *Dispatcher) hasPending(j *job.Job) bool {
	for k := range j.Occurrences {
		for s := range j.Spec.Steps {
			if d.pendingSteps[stepKey{j.Spec.ID, k, s}] > 0 {
				return true
			}
		}
	}
	return false
}

// startOneUnfiltered starts one filling task of a job that the filters for
// filling tasks keep from starting, on the target where it disturbs least.
// Pacing protects the serving tasks, and the job makes progress whenever they
// leave headroom.
func (p *pass) startOneUnfiltered(part jobPart) {
	p.skipFillingFilters = true
	p.startOne(part)
	p.skipFillingFilters = false
}

// startOne starts one task of the part.
func (p *pass) startOne(part jobPart) {
	limit := p.maxStarts
	p.maxStarts = len(p.starts) + 1
	p.startPart(part)
	p.maxStarts = limit
}

// startPart starts the tasks of the part that fit.
func (p *pass) startPart(part jobPart) {
	before := len(p.starts)
	if part.failed {
		p.startReady(part, part.occurrence, part.step)
	} else {
		p.startJob(part)
	}
	if len(p.starts) > before {
		p.startedJobs[part.job.Spec.ID] = true
	}
}

func (p *pass) startJob(part jobPart) {
	for k := range part.job.Occurrences {
		if !p.isDue(part.job, k) {
			return
		}
		for s := range part.job.Spec.Steps {
			p.startReady(part, k, s)
		}
	}
}

func (p *pass) startReady(part jobPart, occurrence, index int) {
	if !p.hasWaiting(part.job, occurrence, index) || p.isTurnOver() {
		return
	}
	step := readyStep{jobPart: part, queue: p.Store.QueueOf(part.job), ref: job.Ref{Job: part.job.Spec.ID, Occurrence: occurrence, Step: index}}
	switch s := step.spec(); {
	case p.probing && !p.mayUseSuspended(step):
	case s.Gang:
		p.startGang(step)
	case s.Serves():
		p.startServingStep(step)
	default:
		p.startStep(step)
	}
}

// startStep places as many ready tasks of a step as fit.
func (p *pass) startStep(r readyStep) {
	q, s, ref, tasks := r.queue, r.spec(), r.ref, r.tasks()
	key := p.shapeOf(q, s, ref)
	fitting := p.rank(p.candidates(key), q, s, ref)
	for i := range p.readyTasks(r) {
		if len(p.starts) >= p.maxStarts || p.isTurnOver() {
			return
		}
		if len(fitting) == 0 {
			p.recordMisfit(key) // tasks of a step are identical, so no other fits either
			return
		}
		ref.Index = i
		p.placeTask(fitting[0].target, ref, s, tasks[i].LatestRun()+1)
		p.updateBest(&fitting, q, s, ref)
	}
}

// startServingStep places as many ready tasks of a serving step as fit. The score
// of a target depends on where the other serving tasks are, so it is computed anew
// for each task.
func (p *pass) startServingStep(r readyStep) {
	q, s, ref, tasks := r.queue, r.spec(), r.ref, r.tasks()
	key := p.shapeOf(q, s, ref)
	candidates := p.candidates(key)
	for i := range p.readyTasks(r) {
		if len(p.starts) >= p.maxStarts || p.isTurnOver() {
			return
		}
		ref.Index = i
		ts := p.selectTarget(candidates, q, s, ref)
		if ts == nil {
			p.recordMisfit(key)
			return
		}
		p.placeTask(ts, ref, s, tasks[i].LatestRun()+1)
	}
}

func (p *pass) placeTask(ts *TargetState, ref job.Ref, s *job.Step, run int) {
	ts.reserve(p.limits, ref, s)
	p.starts = append(p.starts, job.Start{Task: ref, Run: run, Target: ts.Incarnation, Host: ts.Host})
}

// selectTarget returns the highest-scoring candidate that passes every filter, or
// nil.
func (p *pass) selectTarget(candidates []*TargetState, q *job.Queue, s *job.Step, ref job.Ref) *TargetState {
	var best scored
	scarce := s.Serves() && p.nonServingTargetsScarce(q.Service)
	for _, ts := range candidates {
		if !p.passes(ts, q, s, ref) {
			continue
		}
		if x := (scored{ts, p.score(ts, s, scarce)}); best.target == nil || x.better(best) {
			best = x
		}
	}
	return best.target
}
