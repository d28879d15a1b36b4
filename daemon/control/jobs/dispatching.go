package jobs

import (
	"cmp"
	"time"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/dispatch"
	"github.com/ibispier/ibispier/job/faults"
)

// dispatch proposes starts. Earlier starts that are not committed yet are pending at
// the dispatcher, so that each decision takes them into account.
func (e *engine) dispatch(now time.Time) {
	if !e.leader.needsDispatch || len(e.batch.command.Starts) >= e.options.Limits.MaxStarts {
		return
	}
	e.leader.needsDispatch = false
	blockers := e.startBlockers(now)
	for _, s := range e.leader.sessions {
		if s.placement != nil {
			s.placement.SetStartable(blockers[s] == "" || blockers[s] == blockedSuspended)
			s.placement.SetSuspended(blockers[s] == blockedSuspended)
		}
	}
	in := e.dispatchInput(now)
	in.IdleJobs = e.leader.idleJobs(now, e.store)
	in.Stragglers = e.leader.findStragglers(now, e.store)
	starts := e.leader.dispatcher.Run(in)
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

// dispatchInput returns the input of a decision, without idle jobs.
func (e *engine) dispatchInput(now time.Time) dispatch.Input {
	return dispatch.Input{
		Store:       e.store,
		Disturbs:    e.leader.disturbances.estimate,
		Now:         time.Now(),
		FailedTasks: e.leader.faults.FailedTasks,
		SteadyNow:   now,
		WorkRate:    func(pool dispatch.Pool) float64 { return e.leader.workRate(now, pool) },
	}
}

// idleJobs returns the jobs that have been idle for maxIdle.
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

// isIdle reports whether the job has ready tasks and no placed task. A ready lasting task
// is enough: the platform expects each of them to run, whether others of its job run or
// not.
func isIdle(j *job.Job) bool {
	ready, placed := false, false
	for k := range j.Occurrences {
		for s := range j.Occurrences[k] {
			state := &j.Occurrences[k][s]
			placed = placed || state.Open > state.Waiting
			if state.Waiting == 0 || !j.StepReady(k, s) {
				continue
			}
			if j.Spec.Steps[s].Lasting {
				return true
			}
			ready = true
		}
	}
	return ready && !placed
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

// blockedSuspended is the blocker of a target whose runs fail. The dispatcher uses such a
// target where no other fits.
const blockedSuspended = "suspended"

// startBlockers returns why no starts may be placed on the targets that have reported,
// for those to which that applies.
func (e *engine) startBlockers(now time.Time) map[*session]string {
	blockers := map[*session]string{}
	anySuspended := e.leader.faults.AnySuspended(now)
	byService := map[string][]job.TargetIncarnation{} // if any is suspended
	for _, s := range e.leader.sessions {
		if s.report == nil {
			continue
		}
		if blocker := e.startBlocker(now, s); blocker != "" {
			blockers[s] = blocker
		} else if anySuspended {
			byService[s.report.Service] = append(byService[s.report.Service], s.target)
		}
	}
	for _, targets := range byService {
		for target, reason := range e.leader.faults.Suspended(now, targets) {
			blocker := blockedSuspended
			if reason == faults.StalledRun {
				blocker = "stalled"
			}
			blockers[e.leader.sessions[target]] = blocker
		}
	}
	return blockers
}

// startBlocker returns why no starts may be placed on the target that has reported, apart
// from failed runs, or "" if they may.
func (e *engine) startBlocker(now time.Time, s *session) string {
	switch {
	case s.report.Draining:
		return "draining"
	case !s.report.LeaseWanted:
		return "wants_no_lease"
	case len(e.leader.proposedLosses) > 0 && e.leader.proposedLosses[s.target]:
		return "loss_proposed"
	case now.Sub(s.reportedAt) >= silenceTimeout:
		return "silent"
	case !s.seenLeaseExpiry.After(now):
		return "lease_expired"
	default:
		return ""
	}
}
