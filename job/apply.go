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
func (st *Store) Apply(c *Command) {
	if c.Config != nil && c.Config.Version > st.Config.Version {
		st.Config = *c.Config
	}
	for _, z := range c.Zones {
		if z.Out {
			st.ZonesOut[z.Zone] = true
		} else {
			delete(st.ZonesOut, z.Zone)
		}
	}
	for _, s := range c.Submit {
		st.submitJob(s)
	}
	for _, id := range c.Cancel {
		st.cancelJob(id)
	}
	for i := range c.Ends {
		st.endRun(&c.Ends[i])
	}
	for _, a := range c.Adopted {
		st.adoptRun(a)
	}
	for _, target := range c.Lost {
		st.loseTarget(target)
	}
	for i := range c.Starts {
		st.startRun(&c.Starts[i])
	}
	for _, l := range c.Learned {
		st.setEstimate(l)
	}
	for _, id := range c.Forget {
		st.forgetJob(id)
	}
}

// submit accepts a job once: a second submission under the id changes nothing.
func (st *Store) submitJob(s *Submission) {
	if st.Jobs[s.Spec.ID] != nil {
		return
	}
	st.Orders++
	j := &Job{Spec: s.Spec, Queue: s.Queue, Order: st.Orders, AtMillis: s.AtMillis}
	for range s.Spec.Occurrences() {
		steps := make([]StepState, len(s.Spec.Steps))
		for i := range steps {
			count := s.Spec.Steps[i].Count
			steps[i] = StepState{Tasks: make([]Task, count), Open: count, Waiting: count}
		}
		j.Occurrences = append(j.Occurrences, steps)
		j.OpenSteps += len(steps)
	}
	st.Jobs[s.Spec.ID] = j
	st.liveJobs = append(st.liveJobs, j)
}

func (st *Store) cancelJob(id string) {
	if j := st.Jobs[id]; j != nil && j.IsLive() {
		j.Cancelled = true
		st.finishJob(j)
	}
}

// finish ends the tasks of a job that is not live any more. Those that run are
// stopped by their targets, and hold capacity until then.
func (st *Store) finishJob(j *Job) {
	if i := slices.Index(st.liveJobs, j); i >= 0 {
		st.liveJobs = slices.Delete(st.liveJobs, i, i+1)
	}
	j.eachTask(func(_ Ref, t *Task) {
		switch t.State {
		case Placed:
			t.State = Stopping
		case Ready:
			t.State = Ended
		}
	})
}

// startRun places a task unless the decision is out of date.
func (st *Store) startRun(s *Start) {
	j, t := st.Find(s.Task)
	if t == nil || t.State != Ready || s.Run <= t.Run || !j.IsLive() {
		return
	}
	j.Started = true
	t.State, t.Run, t.Target, t.Host = Placed, s.Run, s.Target, s.Host
	j.Occurrences[s.Task.Occurrence][s.Task.Step].Waiting--
	st.addPlaced(s.Task, t)
}

// endRun takes note of the endRun of a run. An endRun of an earlier run is noted without
// effect, except that work that is done need not be done again.
func (st *Store) endRun(e *End) {
	if e.Number > 0 && !st.advanceWatermark(e) {
		return
	}
	j, t := st.Find(e.Task)
	if t == nil {
		return
	}
	switch {
	case t.HoldsCapacity() && t.Run == e.Run:
		// A run number is used once. A start that was on its way when its target
		// crashed may run under the target's next life, which then lists the end.
		st.removePlaced(e.Task, t)
		st.finishRun(j, t, e)
	case t.State == Ready && t.Run == e.Run && e.Outcome == RunDone:
		j.Occurrences[e.Task.Occurrence][e.Task.Step].Waiting--
		t.State = Placed
		st.finishRun(j, t, e)
	}
}

// advanceWatermark reports whether the end is new.
func (st *Store) advanceWatermark(e *End) bool {
	n := st.Noted[e.Target.ID]
	switch {
	case e.Target.Born < n.Born:
		return true // an older life; its ends are not forgotten by number any more
	case e.Target.Born > n.Born:
		n = EndWatermark{Born: e.Target.Born}
	case e.Number <= n.Number:
		return false
	}
	n.Number = e.Number
	st.Noted[e.Target.ID] = n
	return true
}

// finishRun moves a task whose run has ended to its next state.
func (st *Store) finishRun(j *Job, t *Task, e *End) {
	step := &j.Spec.Steps[e.Task.Step]
	if e.Checkpoint != "" {
		st.setCheckpoint(j, e, step)
	}
	if t.State == Stopping {
		t.State = Ended
		return
	}
	if e.Outcome == RunDone && !step.Lasting {
		st.completeTask(j, e.Task, t, step)
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
		st.finishJob(j)
	}
}

// checkpoint keeps the newest checkpoint. That of any member of a gang is valid
// for all of them.
func (st *Store) setCheckpoint(j *Job, e *End, step *Step) {
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
func (st *Store) completeTask(j *Job, r Ref, t *Task, step *Step) {
	state := &j.Occurrences[r.Occurrence][r.Step]
	t.State = Done
	state.Open--
	if step.Gang {
		for i := range state.Tasks {
			st.completeGangMember(Ref{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Index: i}, state)
		}
	}
	if state.Open > 0 {
		return
	}
	j.OpenSteps--
	if j.OpenSteps == 0 {
		st.finishJob(j)
	}
}

func (st *Store) completeGangMember(r Ref, state *StepState) {
	t := &state.Tasks[r.Index]
	switch t.State {
	case Ready:
		state.Waiting--
	case Placed:
		st.removePlaced(r, t)
	default:
		return
	}
	t.State = Done
	state.Open--
}

// adopt moves a run to the life of its target that works on it.
func (st *Store) adoptRun(a Adoption) {
	_, t := st.Find(a.Task)
	if t == nil || !t.HoldsCapacity() || t.Run != a.Run {
		return
	}
	st.removePlaced(a.Task, t)
	t.Target = a.Target
	st.addPlaced(a.Task, t)
}

// loseTarget makes the tasks of a target ready again, whose lease has expired.
func (st *Store) loseTarget(target TargetIncarnation) {
	for r, t := range st.byTarget[target] {
		j := st.Jobs[r.Job]
		if t.State == Stopping {
			t.State = Ended
			continue
		}
		t.State = Ready
		j.Occurrences[r.Occurrence][r.Step].Waiting++
	}
	delete(st.byTarget, target)
}

// setEstimate keeps the newest estimate for a pair.
func (st *Store) setEstimate(l PairEstimate) {
	pairs := st.Disturbs[l.Serving]
	if pairs == nil {
		pairs = map[string]Disturbance{}
	}
	if _, known := pairs[l.Filling]; !known && st.pairCount() >= MaxImagePairs {
		return
	}
	pairs[l.Filling] = l.Disturbance
	st.Disturbs[l.Serving] = pairs
}

func (st *Store) pairCount() int {
	count := 0
	for _, pairs := range st.Disturbs {
		count += len(pairs)
	}
	return count
}

// forgetJob drops a job that is over and of which nothing runs.
func (st *Store) forgetJob(id string) {
	j := st.Jobs[id]
	if j == nil || j.IsLive() {
		return
	}
	running := false
	j.eachTask(func(_ Ref, t *Task) { running = running || t.HoldsCapacity() })
	if !running {
		delete(st.Jobs, id)
	}
}
