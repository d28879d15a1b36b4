// Package dispatch decides which ready tasks start on which targets. It is a
// pure step: the book, the targets and the time go in, starts come out.
package dispatch

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

// Target is what the leader knows about one life of a target.
type Target struct {
	Life     job.TargetIncarnation
	Host     string // its instance
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity resource.Vector
	// Startable is false for a target that drains, that is silent or that fails
	// what it starts.
	Startable bool
	// Paused names the filling tasks that may not work there now. They neither use
	// processors nor disturb anything.
	Paused map[job.Ref]bool
	// Headroom is the logarithm of the tail target over the undisturbed tail, by
	// serving image. An image that is missing has no figures yet.
	Headroom map[string]float64
}

// Limits are the thresholds of the policy.
type Limits struct {
	// ServingCPUShare is the share of its reserved processor time that a serving
	// task is assumed to use; filling tasks get the rest.
	ServingCPUShare float64
	// FillingCPUShare is the share of the idle processor time that filling tasks may
	// ask for. Above 1 they slow each other down.
	FillingCPUShare float64
	// MinPace is the expected pace below which a filling task rather waits.
	MinPace float64
	// NonServingTargetShare is the share of the targets that serving tasks leave to filling
	// tasks as long as there is room elsewhere.
	NonServingTargetShare float64
	// DeviationMargin is how many standard deviations an estimate of disturbance is
	// raised by.
	DeviationMargin float64
	// LowReservationShare is the share of reserved processors below which a filling job
	// may not stay idle.
	LowReservationShare float64
	// MaxStarts bounds the starts of one pass and so the size of one log entry.
	MaxStarts int
}

// DefaultLimits returns the limits of a deployment.
func DefaultLimits() Limits {
	return Limits{ServingCPUShare: 0.55, FillingCPUShare: 1.0, MinPace: 0.8, NonServingTargetShare: 0.2, DeviationMargin: 0.3, LowReservationShare: 0.7, MaxStarts: 400}
}

// room is the state of a target during a pass.
type room struct {
	*Target
	free    resource.Vector    // not reserved
	idleCPU int64              // processor time that filling tasks may still ask for
	serving map[string]int     // serving tasks by image
	filling map[string]float64 // share of the processors that filling tasks ask for, by image
	paused  map[string]bool    // filling images that may not work there now
	perStep map[stepKey]int    // tasks of a step, for the limit per target
}

type stepKey struct {
	job        string
	occurrence int
	step       int
}

// Pass is the state of one decision.
type Pass struct {
	limits   Limits
	book     *job.Store
	disturbs func(serving, filling string) job.Disturbance
	rooms    []*room
	now      time.Time // of day
	idle     map[string]bool
	forced   bool // the filters for filling tasks do not count
	starts   []job.Start
}

// Input is what a decision depends on.
type Input struct {
	Store   *job.Store
	Targets []*Target
	// Disturbs estimates how much headroom a filling image that uses a whole
	// target takes from a serving image.
	Disturbs func(serving, filling string) job.Disturbance
	Now      time.Time // of day; only deadlines and jobs with times depend on it
	// IdleJobs names the jobs that have had ready tasks and nothing at work for a
	// while. They get one start each where room is plentiful.
	IdleJobs map[string]bool
	Limits   Limits
}

// Run returns the starts for the ready tasks.
func Run(in Input) []job.Start {
	p := &Pass{limits: in.Limits, book: in.Store, disturbs: in.Disturbs, now: in.Now, idle: in.IdleJobs}
	for _, t := range in.Targets {
		p.rooms = append(p.rooms, p.newRoom(t))
	}
	sort.Slice(p.rooms, func(i, j int) bool { return p.rooms[i].Life.ID < p.rooms[j].Life.ID })
	for _, j := range p.ordered() {
		if len(p.starts) >= p.limits.MaxStarts {
			break
		}
		before := len(p.starts)
		p.job(j)
		if len(p.starts) == before && p.idle[j.Spec.ID] && p.plentiful() {
			p.startOne(j)
		}
	}
	return p.starts
}

// plentiful reports whether less than PlentyShare of the processors is reserved.
func (p *Pass) plentiful() bool {
	var free, total int64
	for _, r := range p.rooms {
		free += r.free.CPUMilli
		total += r.Capacity.CPUMilli
	}
	return float64(total-free) < p.limits.LowReservationShare*float64(total)
}

// startOne starts one filling task of a job that the tails of serving tasks keep
// from starting, where it disturbs least. The pace protects the serving tasks,
// and the job makes progress whenever they leave room.
func (p *Pass) startOne(j *job.Job) {
	p.forced = true
	defer func() { p.forced = false }()
	limit := p.limits.MaxStarts
	p.limits.MaxStarts = len(p.starts) + 1
	defer func() { p.limits.MaxStarts = limit }()
	p.job(j)
}

func (p *Pass) newRoom(t *Target) *room {
	r := &room{Target: t, free: t.Capacity, perStep: map[stepKey]int{}, serving: map[string]int{}, filling: map[string]float64{}, paused: map[string]bool{}}
	r.idleCPU = t.Capacity.CPUMilli
	for ref := range p.book.TasksOn(t.Life) {
		step := &p.book.Jobs[ref.Job].Spec.Steps[ref.Step]
		if t.Paused[ref] {
			r.free = r.free.Sub(step.Reserved())
			r.paused[step.Image] = true
			continue
		}
		r.take(p.limits, ref, step)
	}
	return r
}

// take accounts for one task.
func (r *room) take(l Limits, ref job.Ref, s *job.Step) {
	r.free = r.free.Sub(s.Reserved())
	r.perStep[stepKey{ref.Job, ref.Occurrence, ref.Step}]++
	switch {
	case s.Filling:
		r.idleCPU -= s.Need.CPUMilli
		r.filling[s.Image] += r.share(s)
	case s.Serves():
		r.idleCPU -= int64(l.ServingCPUShare * float64(s.Need.CPUMilli))
		r.serving[s.Image]++
	default:
		r.idleCPU -= s.Need.CPUMilli
	}
}

// share returns the share of the target's processors that a task asks for.
func (r *room) share(s *job.Step) float64 {
	if r.Capacity.CPUMilli <= 0 {
		return 0
	}
	return float64(s.Need.CPUMilli) / float64(r.Capacity.CPUMilli)
}

func (p *Pass) job(j *job.Job) {
	q := p.book.QueueOf(j)
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
				p.gang(j, q, k, s)
			} else {
				p.step(j, q, k, s)
			}
		}
	}
}

// step places as many ready tasks of a step as fit.
func (p *Pass) step(j *job.Job, q *job.Queue, occurrence, index int) {
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
		r := p.choose(q, s, ref, "")
		if r == nil {
			return // the tasks of a step are alike: the others do not fit either
		}
		p.place(r, ref, s, tasks[i].Run+1)
	}
}

func (p *Pass) place(r *room, ref job.Ref, s *job.Step, run int) {
	r.take(p.limits, ref, s)
	p.starts = append(p.starts, job.Start{Task: ref, Run: run, Target: r.Life, Host: r.Host})
}

// gang places all tasks of a gang or none, under one run number that none of
// them has had. A gang waits until no member of an earlier run is left.
func (p *Pass) gang(j *job.Job, q *job.Queue, occurrence, index int) {
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
		if p.gangOn(j, q, occurrence, index, run, rack) {
			return
		}
	}
}

// gangRacks returns the racks to try: each one alone for a gang that is slow
// across racks, and then any.
func (p *Pass) gangRacks(s *job.Step) []string {
	var racks []string
	if s.SameRack {
		for _, r := range p.rooms {
			if !slices.Contains(racks, r.Rack) {
				racks = append(racks, r.Rack)
			}
		}
	}
	return append(racks, "")
}

func (p *Pass) gangOn(j *job.Job, q *job.Queue, occurrence, index, run int, rack string) bool {
	s := &j.Spec.Steps[index]
	before := make([]room, len(p.rooms))
	for i, r := range p.rooms {
		before[i] = *r
		before[i].perStep = maps.Clone(r.perStep)
		before[i].serving = maps.Clone(r.serving)
		before[i].filling = maps.Clone(r.filling)
	}
	started := len(p.starts)
	for i := range j.Occurrences[occurrence][index].Tasks {
		ref := job.Ref{Job: j.Spec.ID, Occurrence: occurrence, Step: index, Index: i}
		r := p.choose(q, s, ref, rack)
		if r == nil {
			for k := range p.rooms {
				*p.rooms[k] = before[k]
			}
			p.starts = p.starts[:started]
			return false
		}
		p.place(r, ref, s, run)
	}
	return true
}

// choose returns the best target that passes every filter, or nil.
func (p *Pass) choose(q *job.Queue, s *job.Step, ref job.Ref, rack string) *room {
	var best *room
	var bestScore float64
	for _, r := range p.rooms {
		if !p.passes(r, q, s, ref) || rack != "" && r.Rack != rack {
			continue
		}
		if score := p.score(r, s); best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}
