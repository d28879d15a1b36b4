package job

import "slices"

// Outcome tells how a run ended.
type Outcome string

// Outcomes of a run. Only Done and RunFailed count against the task.
const (
	RunDone           Outcome = "done"
	RunFailed         Outcome = "failed"   // by its own fault or that of the target
	RunStopped        Outcome = "stopped"  // on request
	RunLeaseExpired   Outcome = "lapsed"   // the lease of the target expired
	RunGangBroken     Outcome = "broken"   // another member of the gang ended
	RunGangIncomplete Outcome = "alone"    // the other members of the gang did not come
	RunRejected       Outcome = "rejected" // the target did not start it and never will
)

// Start places a task on a target under a new run number.
type Start struct {
	Task   Ref
	Run    int
	Target TargetIncarnation
	Host   string `json:",omitempty"` // instance of the target
}

// End is the end of a run. Number is 0 for a rejected start, which the target
// does not list.
type End struct {
	Target     TargetIncarnation
	Number     uint64 `json:",omitempty"`
	Task       Ref
	Run        int
	Outcome    Outcome
	Checkpoint string `json:",omitempty"`
}

// Submission is a job that was accepted for a queue.
type Submission struct {
	Spec     Spec
	Queue    Queue
	AtMillis int64 // Unix time of the acceptance, for the order of jobs only
}

// ZoneChange takes an availability zone out of service or returns it.
type ZoneChange struct {
	Zone string
	Out  bool
}

// Adoption tells that a run that was placed on an earlier life of a target works
// on its present life: the start was on its way when the target crashed.
type Adoption struct {
	Task   Ref
	Run    int
	Target TargetIncarnation
}

// Command is one entry of the log. Its parts are applied in the order of the
// fields.
type Command struct {
	Origin   uint64              `json:",omitempty"` // proposer, chosen at random
	Sequence uint64              `json:",omitempty"` // of the proposer
	Config   *Config             `json:",omitempty"` // in force when its version is higher
	Zones    []ZoneChange        `json:",omitempty"`
	Submit   []*Submission       `json:",omitempty"`
	Cancel   []string            `json:",omitempty"`
	Ends     []End               `json:",omitempty"`
	Adopted  []Adoption          `json:",omitempty"`
	Lost     []TargetIncarnation `json:",omitempty"` // their leases have expired, or they are known to be gone
	Starts   []Start             `json:",omitempty"`
	Learned  []PairEstimate      `json:",omitempty"`
	Forget   []string            `json:",omitempty"` // jobs that have been over for the retention time
}

// PairEstimate is a new estimate for a pair of images.
type PairEstimate struct {
	Serving, Filling string
	Disturbance
}

// MaxImagePairs bounds the pairs of images that the book keeps.
const MaxImagePairs = 4096

// Apply carries out a committed command.
func (b *Store) Apply(c *Command) {
	if c.Config != nil && c.Config.Version > b.Config.Version {
		b.Config = *c.Config
	}
	for _, z := range c.Zones {
		if z.Out {
			b.ZonesOut[z.Zone] = true
		} else {
			delete(b.ZonesOut, z.Zone)
		}
	}
	for _, s := range c.Submit {
		b.submit(s)
	}
	for _, id := range c.Cancel {
		b.cancel(id)
	}
	for i := range c.Ends {
		b.end(&c.Ends[i])
	}
	for _, a := range c.Adopted {
		b.adopt(a)
	}
	for _, l := range c.Lost {
		b.lose(l)
	}
	for i := range c.Starts {
		b.start(&c.Starts[i])
	}
	for _, l := range c.Learned {
		b.learn(l)
	}
	for _, id := range c.Forget {
		b.forget(id)
	}
}

// submit accepts a job once: a second submission under the id changes nothing.
func (b *Store) submit(s *Submission) {
	if b.Jobs[s.Spec.ID] != nil {
		return
	}
	b.Orders++
	j := &Job{Spec: s.Spec, Queue: s.Queue, Order: b.Orders, AtMillis: s.AtMillis}
	for range s.Spec.Occurrences() {
		steps := make([]StepState, len(s.Spec.Steps))
		for i := range steps {
			count := s.Spec.Steps[i].Count
			steps[i] = StepState{Tasks: make([]Task, count), Open: count, Waiting: count}
		}
		j.Occurrences = append(j.Occurrences, steps)
		j.OpenSteps += len(steps)
	}
	b.Jobs[s.Spec.ID] = j
	b.live = append(b.live, j)
}

func (b *Store) cancel(id string) {
	if j := b.Jobs[id]; j != nil && j.IsLive() {
		j.Cancelled = true
		b.finish(j)
	}
}

// finish ends the tasks of a job that is not live any more. Those that run are
// stopped by their targets, and hold capacity until then.
func (b *Store) finish(j *Job) {
	if i := slices.Index(b.live, j); i >= 0 {
		b.live = slices.Delete(b.live, i, i+1)
	}
	j.each(func(_ Ref, t *Task) {
		switch t.State {
		case Placed:
			t.State = Stopping
		case Ready:
			t.State = Ended
		}
	})
}

// start places a task unless the decision is out of date.
func (b *Store) start(s *Start) {
	j, t := b.Find(s.Task)
	if t == nil || t.State != Ready || s.Run <= t.Run || !j.IsLive() {
		return
	}
	j.Started = true
	t.State, t.Run, t.Target, t.Host = Placed, s.Run, s.Target, s.Host
	j.Occurrences[s.Task.Occurrence][s.Task.Step].Waiting--
	b.index(s.Task, t)
}

// end takes note of the end of a run. An end of an earlier run is noted without
// effect, except that work that is done need not be done again.
func (b *Store) end(e *End) {
	if e.Number > 0 && !b.note(e) {
		return
	}
	j, t := b.Find(e.Task)
	if t == nil {
		return
	}
	switch {
	case t.HoldsCapacity() && t.Run == e.Run:
		// A run number is used once. A start that was on its way when its target
		// crashed may run under the target's next life, which then lists the end.
		b.unindex(e.Task, t)
		b.settle(j, t, e)
	case t.State == Ready && t.Run == e.Run && e.Outcome == RunDone:
		j.Occurrences[e.Task.Occurrence][e.Task.Step].Waiting--
		t.State = Placed
		b.settle(j, t, e)
	}
}

// note reports whether the end is new.
func (b *Store) note(e *End) bool {
	n := b.Noted[e.Target.ID]
	switch {
	case e.Target.Born < n.Born:
		return true // an older life; its ends are not forgotten by number any more
	case e.Target.Born > n.Born:
		n = EndWatermark{Born: e.Target.Born}
	case e.Number <= n.Number:
		return false
	}
	n.Number = e.Number
	b.Noted[e.Target.ID] = n
	return true
}

// settle moves a task whose run has ended to its next state.
func (b *Store) settle(j *Job, t *Task, e *End) {
	step := &j.Spec.Steps[e.Task.Step]
	if e.Checkpoint != "" {
		b.checkpoint(j, e, step)
	}
	if t.State == Stopping {
		t.State = Ended
		return
	}
	if e.Outcome == RunDone && !step.Lasting {
		b.done(j, e.Task, t, step)
		return
	}
	t.State = Ready
	j.Occurrences[e.Task.Occurrence][e.Task.Step].Waiting++
	if e.Outcome != RunFailed || step.Lasting {
		return
	}
	t.Failures++
	if t.Failures >= max(j.Queue.Attempts, 1) {
		j.Failed = true
		b.finish(j)
	}
}

// checkpoint keeps the newest checkpoint. That of any member of a gang is valid
// for all of them.
func (b *Store) checkpoint(j *Job, e *End, step *Step) {
	tasks := j.Occurrences[e.Task.Occurrence][e.Task.Step].Tasks
	if !step.Gang {
		tasks[e.Task.Index].Checkpoint = e.Checkpoint
		return
	}
	for i := range tasks {
		tasks[i].Checkpoint = e.Checkpoint
	}
}

// done completes a task, and a gang as a whole: one end of it represents all.
func (b *Store) done(j *Job, r Ref, t *Task, step *Step) {
	state := &j.Occurrences[r.Occurrence][r.Step]
	t.State = Done
	state.Open--
	if step.Gang {
		for i := range state.Tasks {
			b.doneMember(Ref{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Index: i}, state)
		}
	}
	if state.Open > 0 {
		return
	}
	j.OpenSteps--
	if j.OpenSteps == 0 {
		b.finish(j)
	}
}

func (b *Store) doneMember(r Ref, state *StepState) {
	t := &state.Tasks[r.Index]
	switch t.State {
	case Ready:
		state.Waiting--
	case Placed:
		b.unindex(r, t)
	default:
		return
	}
	t.State = Done
	state.Open--
}

// adopt moves a run to the life of its target that works on it.
func (b *Store) adopt(a Adoption) {
	_, t := b.Find(a.Task)
	if t == nil || !t.HoldsCapacity() || t.Run != a.Run {
		return
	}
	b.unindex(a.Task, t)
	t.Target = a.Target
	b.index(a.Task, t)
}

// lose makes the tasks of a target ready again, whose lease has expired.
func (b *Store) lose(l TargetIncarnation) {
	for r, t := range b.byTarget[l] {
		j := b.Jobs[r.Job]
		if t.State == Stopping {
			t.State = Ended
			continue
		}
		t.State = Ready
		j.Occurrences[r.Occurrence][r.Step].Waiting++
	}
	delete(b.byTarget, l)
}

// learn keeps the newest estimate for a pair.
func (b *Store) learn(l PairEstimate) {
	pairs := b.Disturbs[l.Serving]
	if pairs == nil {
		pairs = map[string]Disturbance{}
	}
	if _, known := pairs[l.Filling]; !known && b.pairCount() >= MaxImagePairs {
		return
	}
	pairs[l.Filling] = l.Disturbance
	b.Disturbs[l.Serving] = pairs
}

func (b *Store) pairCount() int {
	count := 0
	for _, pairs := range b.Disturbs {
		count += len(pairs)
	}
	return count
}

// forget drops a job that is over and of which nothing runs.
func (b *Store) forget(id string) {
	j := b.Jobs[id]
	if j == nil || j.IsLive() {
		return
	}
	held := false
	j.each(func(_ Ref, t *Task) { held = held || t.HoldsCapacity() })
	if !held {
		delete(b.Jobs, id)
	}
}
