package jobs

import (
	"cmp"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
)

const (
	// minSlowed is how long a filling task must have been slowed down before it is moved.
	// Paces follow measurements over half a second, so shorter ones may end by themselves.
	minSlowed = 500 * time.Millisecond
	// moveInterval is the time between two decisions on moves. It is short beside a run
	// and long beside the time in which the stop of a move is reported.
	moveInterval = 200 * time.Millisecond
	// moveRest is how long a task stays after a move before it is moved again, so that one
	// that is slowed down everywhere works in between.
	moveRest = 2 * time.Second
	// maxMovesLogged bounds the tasks named in one line.
	maxMovesLogged = 8
)

// slowedTasks returns since when the reported filling tasks are slowed down.
func (s *session) slowedTasks(now time.Time, report *controlapi.TargetReport) map[job.Ref]time.Time {
	slowed := map[job.Ref]time.Time{}
	for _, run := range report.Running {
		if run.Slowed {
			slowed[run.Task] = cmp.Or(s.slowedSince[run.Task], now)
		}
	}
	return slowed
}

// planMoves decides which slowed filling tasks are stopped in order to start on another
// target. Without room elsewhere they stay where they are, because a stop would only make
// them wait, unless a paused one holds memory that others need.
func (e *engine) planMoves(now time.Time) {
	l := e.leader
	if !e.options.Limits.MoveSlowed || now.Sub(l.movesPlannedAt) < moveInterval {
		return
	}
	l.movesPlannedAt = now
	slowed := e.movableTasks(now)
	if len(slowed) == 0 {
		clear(l.moves)
		return
	}
	moves := map[job.Ref]int{}
	var started []string
	for _, ref := range append(l.dispatcher.Moves(e.dispatchInput(now), slowed), e.memoryHolders(now)...) {
		_, t := e.store.Find(ref)
		moves[ref] = t.Run
		if s := l.sessions[t.Target]; s != nil {
			l.queueCheck(s)
		}
		if l.moves[ref] == t.Run {
			continue
		}
		l.movedAt[ref] = now
		started = append(started, ref.String())
	}
	l.moves = moves
	maps.DeleteFunc(l.movedAt, func(_ job.Ref, at time.Time) bool { return now.Sub(at) >= moveRest })
	if len(started) > 0 {
		e.options.Metrics.Counter("ibispier_jobs_moves_total").Inc(int64(len(started)))
		e.log.Info("slowed tasks moved", zap.Int("slowed", len(slowed)), zap.Int("moved", len(started)),
			zap.Strings("tasks", started[:min(len(started), maxMovesLogged)]))
	}
}

// movableTasks returns the tasks that have been slowed down for long enough. One without
// checkpoints loses its work by a move, a member of a gang that of the others, and one that
// lasts counts as away meanwhile, so only a pause of maxPause is reason enough for those.
func (e *engine) movableTasks(now time.Time) []job.Ref {
	var movable []job.Ref
	for _, s := range e.leader.sessions {
		for ref, since := range s.slowedSince {
			j, t := e.store.Find(ref)
			if t == nil || t.State != job.Placed || t.Target != s.target || t.Run != s.runs[ref] {
				continue
			}
			if _, rests := e.leader.movedAt[ref]; rests && e.leader.moves[ref] != t.Run {
				continue
			}
			step := &j.Spec.Steps[ref.Step]
			mayLeave := step.Checkpoints && !step.Gang && !step.Lasting
			pausedSince, paused := s.pausedSince[ref]
			if mayLeave && now.Sub(since) >= minSlowed || paused && now.Sub(pausedSince) >= maxPause {
				movable = append(movable, ref)
			}
		}
	}
	return movable
}

// memoryHolders returns the tasks that have been paused for maxPause on targets that are
// short of memory for others.
func (e *engine) memoryHolders(now time.Time) []job.Ref {
	var holders []job.Ref
	for _, s := range e.leader.sessions {
		if s.placement == nil || !s.placement.IsShortOfMemory() {
			continue
		}
		for ref, since := range s.pausedSince {
			if _, t := e.store.Find(ref); now.Sub(since) >= maxPause && t != nil && t.State == job.Placed && t.Target == s.target && t.Run == s.runs[ref] {
				holders = append(holders, ref)
			}
		}
	}
	return holders
}

// isPausedTooLong reports whether a filling task is stopped because it is slowed down or
// paused.
func (e *engine) isPausedTooLong(now time.Time, s *session, ref job.Ref, run int) bool {
	if e.options.Limits.MoveSlowed {
		return e.leader.moves[ref] == run
	}
	since, paused := s.pausedSince[ref]
	return paused && now.Sub(since) >= maxPause
}
