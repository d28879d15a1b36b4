package jobs

import (
	"cmp"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/dispatch"
	"github.com/ibispier/ibispier/job/faults"
)

// logOccupancy logs how many tasks are ready or paused and how many targets
// accept starts, to help find out why a job has not started.
func (e *engine) logOccupancy(now time.Time) {
	l := e.leader
	if now.Sub(l.occupancyLoggedAt) < occupancyInterval {
		return
	}
	l.occupancyLoggedAt = now
	ready, startable, paused := 0, 0, 0
	for _, j := range e.store.LiveJobs() {
		for k := range j.Occurrences {
			for s := range j.Occurrences[k] {
				if j.StepReady(k, s) {
					ready += j.Occurrences[k][s].Waiting
				}
			}
		}
	}
	for _, s := range l.sessions {
		if s.report == nil {
			continue
		}
		if e.isStartable(now, s) {
			startable++
		}
		for _, r := range s.report.Running {
			if r.Paused {
				paused++
			}
		}
	}
	e.log.Info("occupancy", zap.Int("live_jobs", len(e.store.LiveJobs())), zap.Int("ready_tasks", ready),
		zap.Int("paused_tasks", paused), zap.Int("targets", len(l.sessions)), zap.Int("startable", startable))
}

// dispatch proposes starts. Earlier starts that are not committed yet are pending at
// the dispatcher, so that each decision takes them into account.
func (e *engine) dispatch(now time.Time) {
	if !e.leader.needsDispatch || len(e.batch.command.Starts) >= e.options.Limits.MaxStarts {
		return
	}
	e.leader.needsDispatch = false
	for _, s := range e.leader.sessions {
		if s.placement != nil {
			s.placement.SetStartable(e.isStartable(now, s))
		}
	}
	starts := e.leader.dispatcher.Run(dispatch.Input{
		Store:    e.store,
		Disturbs: e.leader.disturbances.estimate,
		Now:      time.Now(),
		IdleJobs: e.leader.idleJobs(now, e.store),
		IsHeld: func(id string, step int) bool {
			return e.leader.faults.HeldUntil(faults.Step{Job: id, Index: step}).After(now)
		},
	})
	if len(starts) == 0 {
		return
	}
	l := e.leader
	e.addPart(func(c *job.Command) { c.Starts = append(c.Starts, starts...) },
		func(time.Time) { l.dispatcher.Settle(starts) },
		func() {
			l.dispatcher.Settle(starts)
			l.needsDispatch = true
		})
}

// idleJobs returns the jobs that have had ready tasks and no placed task for
// maxIdle.
func (l *leadership) idleJobs(now time.Time, st *job.Store) map[string]bool {
	idle := map[string]bool{}
	since := make(map[string]time.Time, len(l.idleSince))
	for _, j := range st.LiveJobs() {
		if !isIdle(j) {
			continue
		}
		id := j.Spec.ID
		since[id] = cmp.Or(l.idleSince[id], now)
		if now.Sub(since[id]) >= maxIdle {
			idle[id] = true
		}
	}
	l.idleSince = since
	return idle
}

// isIdle reports whether the job has ready tasks and no placed task.
func isIdle(j *job.Job) bool {
	ready := false
	for k := range j.Occurrences {
		for s := range j.Occurrences[k] {
			state := &j.Occurrences[k][s]
			if state.Open > state.Waiting {
				return false // a task is placed
			}
			ready = ready || state.Waiting > 0 && j.StepReady(k, s)
		}
	}
	return ready
}

// dispatchTarget returns the dispatcher's description of a target that has
// reported.
func (s *session) dispatchTarget() dispatch.Target {
	return dispatch.Target{
		Incarnation: s.target,
		Host:        s.report.Host,
		Service:     s.report.Service,
		Zone:        s.report.Zone,
		Rack:        s.report.Rack,
		Labels:      s.report.Labels,
		Capacity:    s.report.Capacity,
		Paused:      s.pausedTasks(),
		Headroom:    s.headroom(),
	}
}

func (s *session) pausedTasks() map[job.Ref]bool {
	paused := make(map[job.Ref]bool, len(s.pausedSince))
	for ref := range s.pausedSince {
		paused[ref] = true
	}
	return paused
}

// isStartable reports whether starts may be placed on the target.
func (e *engine) isStartable(now time.Time, s *session) bool {
	return !s.report.Draining && s.report.LeaseWanted &&
		(len(e.leader.proposedLosses) == 0 || !e.leader.proposedLosses[s.target]) &&
		now.Sub(s.reportedAt) < silenceTimeout && s.leaseExpiry.After(now) && !e.leader.faults.SuspendedUntil(s.target).After(now)
}

// forgetJobs removes finished jobs after the retention time.
func (e *engine) forgetJobs(now time.Time) {
	for id, j := range e.store.Jobs {
		if j.IsLive() {
			continue
		}
		since, known := e.leader.finishedAt[id]
		if !known {
			e.leader.finishedAt[id] = now
			continue
		}
		if now.Sub(since) >= e.options.Retention {
			delete(e.leader.finishedAt, id)
			e.addPart(func(c *job.Command) { c.Forget = append(c.Forget, id) }, nil, nil)
		}
	}
}
