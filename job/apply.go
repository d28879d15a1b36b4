package job

import "slices"

// Outcome is the result of a run.
type Outcome string

// Outcomes of a run. Only RunDone and RunFailed count against the task.
const (
	RunDone           Outcome = "done"
	RunFailed         Outcome = "failed"   // through its own fault or that of the target
	RunStopped        Outcome = "stopped"  // stopped on request
	RunLeaseExpired   Outcome = "lapsed"   // the lease of the target expired
	RunGangBroken     Outcome = "broken"   // another member of the gang ended
	RunGangIncomplete Outcome = "alone"    // the other members of the gang did not start in time
	RunRejected       Outcome = "rejected" // the target did not start it and never will
)

// Start places a task on a target under a new run number.
type Start struct {
	Task   Ref
	Run    int
	Target TargetIncarnation
	Host   string `json:",omitempty"` // instance that the target runs on
	Copy   bool   `json:",omitempty"` // a second run beside the one that is placed
}

// End reports the end of a run. Number is the target's sequence number of the
// end. It is 0 for a rejected start, which the target does not list among its
// ends.
type End struct {
	Target TargetIncarnation
	Number uint64 `json:",omitempty"`
	// Previous is the number of the end before it. An end whose predecessor was not
	// applied is ignored; otherwise the watermark would cover the missing one.
	Previous   uint64 `json:",omitempty"`
	Task       Ref
	Run        int
	Outcome    Outcome
	Checkpoint string `json:",omitempty"`
}

// Submission is a job accepted for a queue.
type Submission struct {
	Spec     Spec
	Queue    Queue
	AtMillis int64 // Unix time of acceptance; used only to order jobs
	// AfterRefusals is the number of refusals of the ID that the proposer knew of. If there
	// are more, the submission has no effect.
	AfterRefusals int `json:",omitempty"`
}

// ZoneChange takes an availability zone out of service or returns it.
type ZoneChange struct {
	Zone string
	Out  bool
}

// Adoption moves a run that was placed on an earlier incarnation of a target to
// the current one. This happens when the start was in flight while the target
// crashed, so that the new incarnation received it.
type Adoption struct {
	Task   Ref
	Run    int
	Target TargetIncarnation
}

// Command is one log entry. Its parts are applied in the order of the fields.
type Command struct {
	Origin   uint64              `json:",omitempty"` // random ID of the proposer
	Sequence uint64              `json:",omitempty"` // sequence number of the proposer
	Config   *Config             `json:",omitempty"` // replaces the current one if its version is higher
	Zones    []ZoneChange        `json:",omitempty"`
	Submit   []*Submission       `json:",omitempty"`
	Refuse   []NewRefusal        `json:",omitempty"`
	Cancel   []string            `json:",omitempty"`
	Ends     []End               `json:",omitempty"`
	Adopted  []Adoption          `json:",omitempty"`
	Lost     []TargetIncarnation `json:",omitempty"` // targets whose lease expired or that are known to have ended
	Starts   []Start             `json:",omitempty"`
	Learned  []PairEstimate      `json:",omitempty"`
	Forget   []string            `json:",omitempty"` // finished jobs and tombstones past their retention time
	Expired  []ExpiredRefusal    `json:",omitempty"`
}

// PairEstimate is a new disturbance estimate for a pair of images.
type PairEstimate struct {
	Serving, Filling string
	Disturbance
}

// MaxTombstones bounds the tombstones in the store, because callers may cancel IDs that
// they make up.
const MaxTombstones = 8192

// MaxImagePairs bounds the number of image pairs in the store.
const MaxImagePairs = 4096

// Apply applies a committed command.
func (st *Store) Apply(c *Command) {
	if c.Config != nil && c.Config.Version > st.Config.Version {
		st.Config = *c.Config
		st.indexQueues()
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
	for i := range c.Refuse {
		st.refuseJob(&c.Refuse[i])
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
	for _, x := range c.Expired {
		st.expireRefusal(x)
	}
}

// submitJob adds a job. A repeated submission with the same ID has no effect, nor has
// one that arrives after its cancelling, or after a refusal that its proposer did not know.
func (st *Store) submitJob(s *Submission) {
	if st.Jobs[s.Spec.ID] != nil || st.HasTombstone(s.Spec.ID) || st.RefusalCount(s.Spec.ID) > s.AfterRefusals {
		return
	}
	delete(st.Refusals, s.Spec.ID)
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

// cancelJob cancels a live job. An ID that no job has becomes a tombstone, unless there are
// too many of them.
func (st *Store) cancelJob(id string) {
	j := st.Jobs[id]
	switch {
	case j == nil && len(st.Tombstones) < MaxTombstones:
		st.Tombstones[id] = struct{}{}
		delete(st.Refusals, id)
	case j != nil && j.IsLive():
		j.Cancelled = true
		st.finishJob(j)
	}
}

// finishJob ends the tasks of a job that is no longer live. Running tasks are
// marked Stopping and hold capacity until their targets have stopped them.
// Finished jobs are kept for callers that ask for their state; most of the jobs in
// the store are finished, so their tasks are dropped as soon as none runs.
func (st *Store) finishJob(j *Job) {
	if i := slices.Index(st.liveJobs, j); i >= 0 {
		st.liveJobs = slices.Delete(st.liveJobs, i, i+1)
	}
	j.eachTask(func(_ Ref, t *Task) {
		switch t.State {
		case Placed:
			t.State = Stopping
			st.markChanged(t.Target)
			if t.Copy != nil {
				st.markChanged(t.Copy.Target)
			}
		case Ready:
			t.State = Ended
		}
	})
	st.dropEndedTasks(j)
}

// dropEndedTasks drops the tasks and steps of a finished job of which no task runs.
func (st *Store) dropEndedTasks(j *Job) {
	if !j.IsLive() && !j.isRunning() {
		j.Occurrences, j.Spec = nil, Spec{ID: j.Spec.ID}
	}
}

// isRunning reports whether a run of the job holds capacity.
func (j *Job) isRunning() bool {
	running := false
	j.eachTask(func(_ Ref, t *Task) { running = running || t.HoldsCapacity() || t.Copy != nil })
	return running
}

// startRun places a task, unless the start is outdated.
func (st *Store) startRun(s *Start) {
	j, t := st.Find(s.Task)
	if t == nil || s.Run <= t.LatestRun() || !j.IsLive() {
		return
	}
	if s.Copy {
		st.startCopy(j, t, s)
		return
	}
	if t.State != Ready {
		return
	}
	j.Started = true
	t.State, t.Run, t.Target, t.Host = Placed, s.Run, s.Target, s.Host
	j.Occurrences[s.Task.Occurrence][s.Task.Step].Waiting--
	st.addPlaced(s.Task, t, t.Target, t.Host)
}

// endRun applies the end of a run. The end of an earlier run has no effect,
// except that a task whose latest run is done is not run again even if it has
// become ready since.
func (st *Store) endRun(e *End) {
	if e.Number > 0 && !st.advanceWatermark(e) {
		return
	}
	j, t := st.Find(e.Task)
	if t == nil {
		return
	}
	switch {
	case t.Copy != nil:
		st.endRunOfTwo(j, t, e)
	case t.HoldsCapacity() && t.Run == e.Run:
		// Run numbers are never reused, so the target need not match: a start in
		// flight during a crash may run on the target's next incarnation, which
		// then reports the end.
		st.removePlaced(e.Task, t.Target, t.Host)
		st.finishRun(j, t, e)
	case t.State == Ready && e.Outcome == RunDone && t.maySettle(e.Run):
		j.Occurrences[e.Task.Occurrence][e.Task.Step].Waiting--
		t.State = Placed
		st.finishRun(j, t, e)
	}
}

// Follows reports whether a numbered end is new and follows the ends up to last.
func (e *End) Follows(last uint64) bool { return e.Number > last && e.Previous <= last }

// advanceWatermark records the number of an end and reports whether the end is to be
// applied.
func (st *Store) advanceWatermark(e *End) bool {
	if !e.Follows(st.LastEndNumber(e.Target)) {
		return false
	}
	st.EndWatermarks[st.watermarkKey(e.Target)] = EndWatermark{Born: e.Target.Born, Number: e.Number}
	st.markChanged(e.Target)
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
		st.dropEndedTasks(j)
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

// setCheckpoint stores the checkpoint of a run. A checkpoint of one gang member
// is valid for all members.
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

// completeTask marks a task done. The end of one gang member completes the
// whole gang.
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
		st.removePlaced(r, t.Target, t.Host)
	default:
		return
	}
	t.State = Done
	state.Open--
}

// adoptRun moves a run to the incarnation of its target that executes it.
func (st *Store) adoptRun(a Adoption) {
	_, t := st.Find(a.Task)
	switch {
	case t == nil:
	case t.Copy != nil:
		st.adoptRunOfTwo(a, t)
	case t.HoldsCapacity() && t.Run == a.Run:
		st.removePlaced(a.Task, t.Target, t.Host)
		t.Target = a.Target
		st.addPlaced(a.Task, t, t.Target, t.Host)
	}
}

// loseTarget makes the tasks of a target whose lease has expired ready again.
func (st *Store) loseTarget(target TargetIncarnation) {
	host := ""
	for r, t := range st.byTarget[target] {
		st.removeHeld(r)
		j := st.Jobs[r.Job]
		if t.Copy != nil {
			host = st.loseRunOfTwo(j, t, target)
			continue
		}
		host = t.Host
		if t.State == Stopping {
			t.State = Ended
			st.dropEndedTasks(j)
			continue
		}
		t.State = Ready
		j.Occurrences[r.Occurrence][r.Step].Waiting++
	}
	st.removeTarget(target, host)
	st.markChanged(target)
}

// setEstimate stores the latest estimate for a pair. New pairs are ignored once
// MaxImagePairs are stored.
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

// forgetJob removes a finished job of which no run is active, or a tombstone.
func (st *Store) forgetJob(id string) {
	delete(st.Tombstones, id)
	j := st.Jobs[id]
	if j == nil || j.IsLive() {
		return
	}
	if !j.isRunning() {
		delete(st.Jobs, id)
	}
}
