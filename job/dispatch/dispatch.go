// Package dispatch decides which ready tasks start on which targets. It is a
// pure step: the book, the targets and the time go in, starts come out.
package dispatch

import (
	"slices"
	"sort"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

// Target is what the leader knows about one life of a target.
type Target struct {
	Life     job.Life
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity resource.Vector
	// Startable is false for a target that drains, that is silent or that fails
	// what it starts.
	Startable bool
	// Slots bounds the starts of one pass, so that the target is not flooded.
	Strained bool // a serving task is over its tail target or close to it
}

// Limits are the thresholds of the policy.
type Limits struct {
	// ServingShare is the share of its reserved processor time that a serving
	// task is assumed to use; filling tasks get the rest.
	ServingShare float64
	// FillShare is the share of the idle processor time that filling tasks may
	// ask for. Above 1 they slow each other down.
	FillShare float64
	// MaxStarts bounds the starts of one pass and so the size of one log entry.
	MaxStarts int
}

// DefaultLimits returns the limits of a deployment.
func DefaultLimits() Limits {
	return Limits{ServingShare: 0.55, FillShare: 1.0, MaxStarts: 400}
}

// room is the state of a target during a pass.
type room struct {
	*Target
	free    resource.Vector // not reserved
	idleCPU int64           // processor time that filling tasks may still ask for
	serving int             // serving tasks
	filling int             // filling tasks
	perStep map[stepKey]int // tasks of a step, for the limit per target
}

type stepKey struct {
	job        string
	occurrence int
	step       int
}

// Pass is the state of one decision.
type Pass struct {
	limits Limits
	book   *job.Book
	rooms  []*room
	nowMS  int64
	starts []job.Start
}

// Run returns the starts for the ready tasks. unixMillis is the time of day,
// which only jobs with times depend on.
func Run(b *job.Book, targets []*Target, unixMillis int64, limits Limits) []job.Start {
	p := &Pass{limits: limits, book: b, nowMS: unixMillis}
	for _, t := range targets {
		p.rooms = append(p.rooms, p.newRoom(t))
	}
	sort.Slice(p.rooms, func(i, j int) bool { return p.rooms[i].Life.ID < p.rooms[j].Life.ID })
	for _, j := range p.ordered() {
		if len(p.starts) >= limits.MaxStarts {
			break
		}
		p.job(j)
	}
	return p.starts
}

// ordered returns the live jobs with ready tasks by priority and, within a
// priority, in the order of their acceptance.
func (p *Pass) ordered() []*job.Job {
	jobs := slices.Clone(p.book.Live())
	priority := make(map[*job.Job]int, len(jobs))
	for _, j := range jobs {
		priority[j] = p.book.QueueOf(j).Priority
	}
	sort.SliceStable(jobs, func(x, y int) bool { return priority[jobs[x]] < priority[jobs[y]] })
	return jobs
}

func (p *Pass) newRoom(t *Target) *room {
	r := &room{Target: t, free: t.Capacity, perStep: map[stepKey]int{}}
	r.idleCPU = t.Capacity.CPUMilli
	for ref := range p.book.On(t.Life) {
		j := p.book.Jobs[ref.Job]
		r.take(p.limits, ref, &j.Spec.Steps[ref.Step])
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
		r.filling++
	case s.Serves():
		r.idleCPU -= int64(l.ServingShare * float64(s.Need.CPUMilli))
		r.serving++
	default:
		r.idleCPU -= s.Need.CPUMilli
	}
}

func (p *Pass) job(j *job.Job) {
	q := p.book.QueueOf(j)
	for k := range j.Occurrences {
		if due := j.Spec.DueMillis(k); due > p.nowMS {
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
	p.starts = append(p.starts, job.Start{Task: ref, Run: run, Target: r.Life})
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
		before[i].perStep = cloneCounts(r.perStep)
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

func cloneCounts(m map[stepKey]int) map[stepKey]int {
	c := make(map[stepKey]int, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
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
