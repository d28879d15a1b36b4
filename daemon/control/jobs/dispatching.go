package jobs

import (
	"cmp"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/dispatch"
)

// noteOccupancy logs what waits and what works, for the question why a job has
// not started.
func (e *engine) noteOccupancy(now time.Time) {
	l := e.leader
	if now.Sub(l.noted) < occupancyInterval {
		return
	}
	l.noted = now
	ready, startable, paused := 0, 0, 0
	for _, j := range e.book.LiveJobs() {
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
		if e.startable(now, s) {
			startable++
		}
		for _, r := range s.report.Running {
			if r.Paused {
				paused++
			}
		}
	}
	e.log.Info("occupancy", zap.Int("live_jobs", len(e.book.LiveJobs())), zap.Int("ready_tasks", ready),
		zap.Int("paused_tasks", paused), zap.Int("targets", len(l.sessions)), zap.Int("startable", startable))
}

// dispatch proposes starts. One proposal is under way at a time, so that each
// decision sees the starts of the one before.
func (e *engine) dispatch(now time.Time) {
	if e.leader.starting || !e.leader.dirty {
		return
	}
	e.leader.dirty = false
	starts := dispatch.Run(dispatch.Input{
		Store:    e.book,
		Targets:  e.targets(now),
		Disturbs: e.leader.disturbs.estimate,
		Now:      time.Now(),
		IdleJobs: e.leader.idleJobs(now, e.book),
		Limits:   e.options.Limits,
	})
	if len(starts) == 0 {
		return
	}
	l := e.leader
	l.starting = true
	e.add(func(c *job.Command) { c.Starts = starts },
		func(time.Time) { l.starting = false },
		func() { l.starting, l.dirty = false, true })
}

// idleJobs returns the jobs that have had ready tasks and nothing placed for
// idleLimit.
func (l *leadership) idleJobs(now time.Time, b *job.Store) map[string]bool {
	idle := map[string]bool{}
	since := make(map[string]time.Time, len(l.idleSince))
	for _, j := range b.LiveJobs() {
		if !isIdle(j) {
			continue
		}
		id := j.Spec.ID
		since[id] = cmp.Or(l.idleSince[id], now)
		if now.Sub(since[id]) >= idleLimit {
			idle[id] = true
		}
	}
	l.idleSince = since
	return idle
}

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

func (e *engine) targets(now time.Time) []*dispatch.Target {
	targets := make([]*dispatch.Target, 0, len(e.leader.sessions))
	for _, s := range e.leader.sessions {
		if s.report == nil {
			continue
		}
		targets = append(targets, &dispatch.Target{
			Life:      s.life,
			Host:      s.report.Host,
			Service:   s.report.Service,
			Zone:      s.report.Zone,
			Rack:      s.report.Rack,
			Labels:    s.report.Labels,
			Capacity:  s.report.Capacity,
			Startable: e.startable(now, s),
			Paused:    s.pausedTasks(),
			Headroom:  s.headroom(),
		})
	}
	return targets
}

func (s *session) pausedTasks() map[job.Ref]bool {
	paused := make(map[job.Ref]bool, len(s.paused))
	for ref := range s.paused {
		paused[ref] = true
	}
	return paused
}

func (e *engine) startable(now time.Time, s *session) bool {
	if s.streak >= failStreak {
		s.suspended = now.Add(min(suspension<<s.suspensions, maxSuspension))
		s.suspensions = min(s.suspensions+1, 4)
		s.streak = 0
		e.log.Info("target suspended", zap.String("target", s.life.ID), zap.Duration("for", s.suspended.Sub(now)))
	}
	return !s.report.Draining && s.report.LeaseWanted && !e.leader.losing[s.life] &&
		now.Sub(s.seenAt) < silentAfter && s.expiry.After(now) && !s.suspended.After(now)
}

// forgetJobs drops jobs that have been over for the retention time.
func (e *engine) forgetJobs(now time.Time) {
	if len(e.book.Jobs) == len(e.book.LiveJobs()) {
		return
	}
	for id, j := range e.book.Jobs {
		if j.IsLive() {
			continue
		}
		since, known := e.leader.over[id]
		if !known {
			e.leader.over[id] = now
			continue
		}
		if now.Sub(since) >= e.options.Retention {
			delete(e.leader.over, id)
			e.add(func(c *job.Command) { c.Forget = append(c.Forget, id) }, nil, nil)
		}
	}
}
