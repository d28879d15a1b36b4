package jobs

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/faults"
)

// provenRun is how long a run of a lasting task must have lasted to count as a
// success although it failed: lasting tasks may fail at any time, and one that
// cannot work fails soon after its start.
const provenRun = 2 * time.Second

// recordStart notes when a lasting task, or one that may have a copy, was started.
func (l *leadership) recordStart(now time.Time, st *job.Store, s *job.Start) {
	j := st.Jobs[s.Task.Job]
	if j == nil || s.Task.Step >= len(j.Spec.Steps) {
		return
	}
	switch step := &j.Spec.Steps[s.Task.Step]; {
	case step.Lasting:
		l.startedAt[s.Task] = now
	case step.MayCopy():
		l.measureStart(now, s)
	}
}

// recordOutcome attributes the outcome of a run that is about to be applied.
func (l *leadership) recordOutcome(now time.Time, st *job.Store, end *job.End) {
	l.measureEnd(now, end)
	j, t := st.Find(end.Task)
	if t == nil || t.Run != end.Run && !t.IsPlaced(end.Run) {
		return
	}
	l.recordRace(t, end)
	lasting := j.Spec.Steps[end.Task.Step].Lasting
	if end.Outcome == job.RunDone {
		l.observeWork(now, st, j, &j.Spec.Steps[end.Task.Step])
	}
	startedAt, known := l.startedAt[end.Task]
	delete(l.startedAt, end.Task)
	proven := lasting && (!known || now.Sub(startedAt) >= provenRun)
	switch {
	case end.Outcome == job.RunDone, end.Outcome == job.RunFailed && proven:
		l.faults.RecordSuccess(end.Task, end.Target)
	case end.Outcome == job.RunFailed:
		l.recordFailure(now, j, faults.Failure{Task: end.Task, Target: end.Target, Lasting: lasting})
	}
}

func (l *leadership) recordFailure(now time.Time, j *job.Job, f faults.Failure) {
	f.RunningElsewhere = targetsRunning(j, f.Task.Step, f.Target)
	suspended, held := l.faults.SuspendedUntil(f.Target), l.faults.HeldUntil(f.Task)
	l.faults.RecordFailure(now, f)
	if until := l.faults.SuspendedUntil(f.Target); until.After(now) && until != suspended {
		l.log.Info("target suspended", zap.String("target", f.Target.ID), zap.String("job", f.Task.Job),
			zap.Bool("stalled", f.Stalled), zap.Duration("for", until.Sub(now)))
	}
	if until := l.faults.HeldUntil(f.Task); until.After(now) && until != held {
		l.log.Info("task held back", zap.Stringer("task", f.Task), zap.String("target", f.Target.ID), zap.Duration("for", until.Sub(now)))
	}
}

// targetsRunning returns the number of targets, apart from one, on which tasks of the
// step are placed.
func targetsRunning(j *job.Job, step int, apart job.TargetIncarnation) int {
	targets := map[job.TargetIncarnation]struct{}{}
	for k := range j.Occurrences {
		tasks := j.Occurrences[k][step].Tasks
		for i := range tasks {
			if tasks[i].HoldsCapacity() && tasks[i].Target != apart {
				targets[tasks[i].Target] = struct{}{}
			}
			if other := tasks[i].Copy; other != nil && other.Target != apart {
				targets[other.Target] = struct{}{}
			}
		}
	}
	return len(targets)
}

// forgetEnded drops what is known of steps, starts and stops whose job has ended.
func (l *leadership) forgetEnded(st *job.Store) {
	ended := func(id string) bool { j := st.Jobs[id]; return j == nil || !j.IsLive() }
	l.faults.ForgetSteps(ended)
	maps.DeleteFunc(l.startedAt, func(ref job.Ref, _ time.Time) bool { return ended(ref.Job) })
	maps.DeleteFunc(l.unsentStarts, func(key runKey, _ bool) bool {
		_, t := st.Find(key.task)
		return ended(key.task.Job) || t == nil || !t.IsPlaced(key.run)
	})
	if l.stragglers != nil {
		l.stragglers.Forget(ended)
	}
	for target, s := range l.sessions {
		maps.DeleteFunc(s.sentStops, func(ref job.Ref, _ sentOrder) bool { return ended(ref.Job) && st.TasksOn(target)[ref] == nil })
	}
}
