// Package dispatch decides which ready tasks start on which targets. It is a
// pure function of the store, the targets and the time, and returns the starts
// to commit.
package dispatch

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

// Target is the leader's view of one incarnation of a target.
type Target struct {
	Incarnation job.TargetIncarnation
	Host        string // instance that the target runs on
	Service     string
	Zone        string
	Rack        string
	Labels      []string
	Capacity    resource.Vector
	// Startable is false for a target that is draining, silent, or suspended
	// because its runs fail or stall.
	Startable bool
	// Paused contains the filling tasks that are paused on the target. They use
	// no processor time and disturb no serving task.
	Paused map[job.Ref]bool
	// Headroom is the undisturbed headroom by serving image: the logarithm of
	// the tail latency target over the undisturbed tail latency. Images without
	// measurements are missing.
	Headroom map[string]float64
}

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
	// MaxStarts bounds the starts of one pass, and so the size of a log entry.
	MaxStarts int
}

// DefaultLimits returns the limits used in deployments.
func DefaultLimits() Limits {
	return Limits{ServingCPUShare: 0.55, FillingCPUShare: 1.0, MinPace: 0.8, NonServingTargetShare: 0.2, DeviationMargin: 0.3, LowReservationShare: 0.7, MaxStarts: 400}
}

// targetState tracks the load of a target during a pass.
type targetState struct {
	*Target
	free         resource.Vector    // unreserved capacity
	idleCPU      int64              // millicores that filling tasks may still request
	serving      map[string]int     // number of serving tasks by image
	fillingShare map[string]float64 // share of the processors requested by filling tasks, by image
	pausedImages map[string]bool    // images with paused filling tasks
	perStep      map[stepKey]int    // number of tasks by step, for MaxPerTarget
}

type stepKey struct {
	job        string
	occurrence int
	step       int
}

// Pass is the state of one dispatch decision.
type Pass struct {
	limits             Limits
	store              *job.Store
	disturbs           func(serving, filling string) job.Disturbance
	targets            []*targetState
	now                time.Time // wall clock
	idleJobs           map[string]bool
	skipFillingFilters bool // ignore the filters for filling tasks
	starts             []job.Start
}

// Input is everything that a decision depends on.
type Input struct {
	Store   *job.Store
	Targets []*Target
	// Disturbs returns the estimated headroom that a filling image which uses a
	// whole target takes from a serving image.
	Disturbs func(serving, filling string) job.Disturbance
	Now      time.Time // wall clock; only deadlines and scheduled jobs depend on it
	// IdleJobs contains the jobs that have had ready tasks and none placed for
	// some time. One task of each is started while spare capacity exists.
	IdleJobs map[string]bool
	Limits   Limits
}

// Run returns the starts for the ready tasks.
func Run(in Input) []job.Start {
	p := &Pass{limits: in.Limits, store: in.Store, disturbs: in.Disturbs, now: in.Now, idleJobs: in.IdleJobs}
	for _, t := range in.Targets {
		p.targets = append(p.targets, p.newTargetState(t))
	}
	sort.Slice(p.targets, func(i, j int) bool { return p.targets[i].Incarnation.ID < p.targets[j].Incarnation.ID })
	for _, j := range p.orderedJobs() {
		if len(p.starts) >= p.limits.MaxStarts {
			break
		}
		before := len(p.starts)
		p.startJob(j)
		if len(p.starts) == before && p.idleJobs[j.Spec.ID] && p.hasSpareCapacity() {
			p.startOneUnfiltered(j)
		}
	}
	return p.starts
}

// hasSpareCapacity reports whether less than LowReservationShare of the
// processor time is reserved.
func (p *Pass) hasSpareCapacity() bool {
	var free, total int64
	for _, ts := range p.targets {
		free += ts.free.CPUMilli
		total += ts.Capacity.CPUMilli
	}
	return float64(total-free) < p.limits.LowReservationShare*float64(total)
}

// startOneUnfiltered starts one filling task of a job that the filters for
// filling tasks keep from starting, on the target where it disturbs least.
// Pacing protects the serving tasks, and the job makes progress whenever they
// leave headroom.
func (p *Pass) startOneUnfiltered(j *job.Job) {
	p.skipFillingFilters = true
	defer func() { p.skipFillingFilters = false }()
	limit := p.limits.MaxStarts
	p.limits.MaxStarts = len(p.starts) + 1
	defer func() { p.limits.MaxStarts = limit }()
	p.startJob(j)
}

func (p *Pass) newTargetState(t *Target) *targetState {
	ts := &targetState{Target: t, free: t.Capacity, perStep: map[stepKey]int{}, serving: map[string]int{}, fillingShare: map[string]float64{}, pausedImages: map[string]bool{}}
	ts.idleCPU = t.Capacity.CPUMilli
	for ref := range p.store.TasksOn(t.Incarnation) {
		step := &p.store.Jobs[ref.Job].Spec.Steps[ref.Step]
		if t.Paused[ref] {
			ts.free = ts.free.Sub(step.Reserved())
			ts.pausedImages[step.Image] = true
			continue
		}
		ts.reserve(p.limits, ref, step)
	}
	return ts
}

// reserve accounts for one task.
func (ts *targetState) reserve(l Limits, ref job.Ref, s *job.Step) {
	ts.free = ts.free.Sub(s.Reserved())
	ts.perStep[stepKey{ref.Job, ref.Occurrence, ref.Step}]++
	switch {
	case s.Filling:
		ts.idleCPU -= s.Need.CPUMilli
		ts.fillingShare[s.Image] += ts.cpuShare(s)
	case s.Serves():
		ts.idleCPU -= int64(l.ServingCPUShare * float64(s.Need.CPUMilli))
		ts.serving[s.Image]++
	default:
		ts.idleCPU -= s.Need.CPUMilli
	}
}

// cpuShare returns the share of the target's processors that a task requests.
func (ts *targetState) cpuShare(s *job.Step) float64 {
	if ts.Capacity.CPUMilli <= 0 {
		return 0
	}
	return float64(s.Need.CPUMilli) / float64(ts.Capacity.CPUMilli)
}

func (p *Pass) startJob(j *job.Job) {
	q := p.store.QueueOf(j)
	for k := range j.Occurrences {
		if due := j.Spec.DueMillis(k); due > p.now.UnixMilli() {
			return
		}
		for s := range j.Spec.Steps {
			state := &j.Occurrences[k][s]
			if state.Waiting == 0 || !j.StepReady(k, s) {
				continue
			}
			if j.Spec.Steps[s].Gang {
				p.startGang(j, q, k, s)
			} else {
				p.startStep(j, q, k, s)
			}
		}
	}
}

// startStep places as many ready tasks of a step as fit.
func (p *Pass) startStep(j *job.Job, q *job.Queue, occurrence, index int) {
	s := &j.Spec.Steps[index]
	tasks := j.Occurrences[occurrence][index].Tasks
	for i := range tasks {
		if tasks[i].State != job.Ready {
			continue
		}
		if len(p.starts) >= p.limits.MaxStarts {
			return
		}
		ref := job.Ref{Job: j.Spec.ID, Occurrence: occurrence, Step: index, Index: i}
		ts := p.selectTarget(q, s, ref, "")
		if ts == nil {
			return // tasks of a step are identical, so no other fits either
		}
		p.placeTask(ts, ref, s, tasks[i].Run+1)
	}
}

func (p *Pass) placeTask(ts *targetState, ref job.Ref, s *job.Step, run int) {
	ts.reserve(p.limits, ref, s)
	p.starts = append(p.starts, job.Start{Task: ref, Run: run, Target: ts.Incarnation, Host: ts.Host})
}

// startGang places all tasks of a gang or none. They share one run number that
// no member has used before. A gang waits until no member of an earlier run is
// left.
func (p *Pass) startGang(j *job.Job, q *job.Queue, occurrence, index int) {
	s := &j.Spec.Steps[index]
	state := &j.Occurrences[occurrence][index]
	if state.Waiting < len(state.Tasks) || len(p.starts)+len(state.Tasks) > max(p.limits.MaxStarts, len(state.Tasks)) {
		return
	}
	run := 0
	for i := range state.Tasks {
		run = max(run, state.Tasks[i].Run+1)
	}
	for _, rack := range p.gangRacks(s) {
		if p.startGangOnRack(j, q, occurrence, index, run, rack) {
			return
		}
	}
}

// gangRacks returns the racks to try. A gang that is slow across racks tries
// each rack alone before it is spread over all; "" stands for any rack.
func (p *Pass) gangRacks(s *job.Step) []string {
	var racks []string
	if s.SameRack {
		for _, ts := range p.targets {
			if !slices.Contains(racks, ts.Rack) {
				racks = append(racks, ts.Rack)
			}
		}
	}
	return append(racks, "")
}

func (p *Pass) startGangOnRack(j *job.Job, q *job.Queue, occurrence, index, run int, rack string) bool {
	s := &j.Spec.Steps[index]
	before := make([]targetState, len(p.targets))
	for i, ts := range p.targets {
		before[i] = *ts
		before[i].perStep = maps.Clone(ts.perStep)
		before[i].serving = maps.Clone(ts.serving)
		before[i].fillingShare = maps.Clone(ts.fillingShare)
	}
	started := len(p.starts)
	for i := range j.Occurrences[occurrence][index].Tasks {
		ref := job.Ref{Job: j.Spec.ID, Occurrence: occurrence, Step: index, Index: i}
		ts := p.selectTarget(q, s, ref, rack)
		if ts == nil {
			for k := range p.targets {
				*p.targets[k] = before[k]
			}
			p.starts = p.starts[:started]
			return false
		}
		p.placeTask(ts, ref, s, run)
	}
	return true
}

// selectTarget returns the highest-scoring target that passes every filter, or
// nil.
func (p *Pass) selectTarget(q *job.Queue, s *job.Step, ref job.Ref, rack string) *targetState {
	var best *targetState
	var bestScore float64
	for _, ts := range p.targets {
		if !p.passes(ts, q, s, ref) || rack != "" && ts.Rack != rack {
			continue
		}
		if score := p.score(ts, s); best == nil || score > bestScore {
			best, bestScore = ts, score
		}
	}
	return best
}
