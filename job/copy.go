package job

// Copy is the second run of a task. It is on another instance than the run on
// Task.Target, so that a fault of one instance does not slow both.
type Copy struct {
	Run    int
	Target TargetIncarnation
	Host   string `json:",omitempty"`
}

// LatestRun returns the number of the latest start of the task. Numbers are never
// reused, also after a copy has ended before the run that it was started beside.
func (t *Task) LatestRun() int { return max(t.Run, t.CopiedRun) }

// RunOn returns the number and the state of the task's run that holds capacity on the
// target: Placed or Stopping. Without such a run, it returns Ended.
func (t *Task) RunOn(target TargetIncarnation) (run int, state TaskState) {
	switch {
	case t.HoldsCapacity() && t.Target == target:
		return t.Run, t.State
	case t.Copy == nil || t.Copy.Target != target:
		return 0, Ended
	case t.State == Placed:
		return t.Copy.Run, Placed
	default:
		return t.Copy.Run, Stopping
	}
}

// IsPlaced reports whether the run is Placed.
func (t *Task) IsPlaced(run int) bool {
	return t.State == Placed && (t.Run == run || t.Copy != nil && t.Copy.Run == run)
}

// maySettle reports whether a late end as done settles a Ready task: that of its
// latest run, or of any earlier one if the task had a copy, of which either may have
// been the last to be lost.
func (t *Task) maySettle(run int) bool {
	return t.Run == run || t.CopiedRun > 0 && run > 0 && run <= t.LatestRun()
}

// MayCopy reports whether a copy of the task may start. Both runs may fail, and a task
// whose attempts are used up must not have an active run: its start could still be
// carried out.
func (j *Job) MayCopy(step *Step, t *Task) bool {
	return step.MayCopy() && j.IsLive() && t.State == Placed && t.Copy == nil && t.Failures+2 <= max(j.Queue.Attempts, 1)
}

// Copies returns the number of copies that hold capacity.
func (st *Store) Copies() int { return st.copies }

// startCopy places a second run of a task, unless the start is outdated.
func (st *Store) startCopy(j *Job, t *Task, s *Start) {
	if !j.MayCopy(&j.Spec.Steps[s.Task.Step], t) || s.Target.ID == t.Target.ID || s.Host != "" && s.Host == t.Host {
		return
	}
	t.Copy = &Copy{Run: s.Run, Target: s.Target, Host: s.Host}
	t.CopiedRun = s.Run
	st.addCopy(s.Task, t)
}

func (st *Store) addCopy(r Ref, t *Task) {
	st.copies++
	st.addPlaced(r, t, t.Copy.Target, t.Copy.Host)
}

// swapRuns exchanges the copy and the run on Target.
func (t *Task) swapRuns() {
	earlier := Copy{Run: t.Run, Target: t.Target, Host: t.Host}
	t.Run, t.Target, t.Host = t.Copy.Run, t.Copy.Target, t.Copy.Host
	*t.Copy = earlier
}

// endRunOfTwo applies the end of a run of a task that has a copy. The other run goes
// on, unless the end is the first one as done.
func (st *Store) endRunOfTwo(j *Job, t *Task, e *End) {
	if t.HoldsCapacity() && t.Run == e.Run {
		t.swapRuns()
	}
	if t.Copy.Run != e.Run {
		return
	}
	st.removePlaced(e.Task, t.Copy.Target, t.Copy.Host)
	st.dropCopy(t)
	if t.State != Placed {
		st.dropEndedTasks(j)
		return
	}
	step := &j.Spec.Steps[e.Task.Step]
	if e.Checkpoint != "" {
		st.setCheckpoint(j, e, step)
	}
	switch e.Outcome {
	case RunDone:
		st.stopOther(t, e.Run)
		st.completeTask(j, e.Task, t, step)
	case RunFailed:
		t.Failures++ // never the last attempt, see MayCopy
	}
}

// stopOther makes the run on Target the one that is being stopped, because the other
// has ended as done.
func (st *Store) stopOther(t *Task, done int) {
	t.Copy = &Copy{Run: t.Run, Target: t.Target, Host: t.Host}
	st.copies++
	t.Run = done
	st.markChanged(t.Copy.Target)
}

func (st *Store) dropCopy(t *Task) {
	t.Copy = nil
	st.copies--
}

// loseRunOfTwo drops the run that a task with a copy has on a lost target. The other
// one goes on. It returns the instance of the lost run.
func (st *Store) loseRunOfTwo(j *Job, t *Task, target TargetIncarnation) (host string) {
	if t.HoldsCapacity() && t.Target == target {
		t.swapRuns()
	}
	host = t.Copy.Host
	st.dropCopy(t)
	st.dropEndedTasks(j)
	return host
}

// adoptRunOfTwo moves a run of a task that has a copy to the incarnation that executes
// it, unless the other run is there.
func (st *Store) adoptRunOfTwo(a Adoption, t *Task) {
	if run, _ := t.RunOn(a.Target); run != 0 {
		return
	}
	switch {
	case t.HoldsCapacity() && t.Run == a.Run:
		st.removePlaced(a.Task, t.Target, t.Host)
		t.Target = a.Target
		st.addPlaced(a.Task, t, t.Target, t.Host)
	case t.Copy.Run == a.Run:
		st.removePlaced(a.Task, t.Copy.Target, t.Copy.Host)
		t.Copy.Target = a.Target
		st.addPlaced(a.Task, t, t.Copy.Target, t.Copy.Host)
	}
}
