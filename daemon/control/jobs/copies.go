package jobs

import (
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/stragglers"
)

// findInterval is the time between two searches for stragglers. It is short beside
// stragglers.minExcess, and bounds what a search costs in large deployments.
const findInterval = 100 * time.Millisecond

func newStragglers(o Options) *stragglers.Tracker {
	if !o.Copies {
		return nil
	}
	return stragglers.NewTracker()
}

// measureStart notes the start of a run whose task may have a copy. Before this leader
// is confirmed, it applies entries of earlier leaders, long after their commit.
func (l *leadership) measureStart(now time.Time, s *job.Start) {
	if l.stragglers != nil && l.confirmed {
		l.stragglers.RecordStart(now, s.Task, s.Run)
	}
}

func (l *leadership) measureEnd(now time.Time, end *job.End) {
	if l.stragglers != nil {
		l.stragglers.RecordEnd(now, end.Task, end.Run, end.Outcome)
	}
}

// findStragglers returns the stragglers, every findInterval.
func (l *leadership) findStragglers(now time.Time, st *job.Store) []stragglers.Straggler {
	if l.stragglers == nil || now.Sub(l.stragglersFoundAt) < findInterval {
		return nil
	}
	l.stragglersFoundAt = now
	return l.stragglers.Find(now, st)
}

// recordCopies logs and counts the copies that a command has started.
func (e *engine) recordCopies(c *job.Command) {
	for i := range c.Starts {
		s := &c.Starts[i]
		if !s.Copy {
			continue
		}
		_, t := e.store.Find(s.Task)
		if t == nil || t.Copy == nil || t.Copy.Run != s.Run {
			e.log.Info("copy outdated", zap.Stringer("task", s.Task), zap.Int("run", s.Run))
			continue
		}
		e.log.Info("copy started", zap.Stringer("task", s.Task), zap.Int("run", s.Run), zap.String("target", s.Target.ID),
			zap.Int("beside_run", t.Run), zap.String("beside_target", t.Target.ID), zap.Int("copies", e.store.Copies()))
		e.options.Metrics.Counter("ibispier_copies_started_total").Inc(1)
	}
}

// recordRace logs and counts an end, which is about to be applied, by which one of two
// runs of a task ends as done before the other.
func (l *leadership) recordRace(t *job.Task, end *job.End) {
	if end.Outcome != job.RunDone || t.Copy == nil || !t.IsPlaced(end.Run) || l.settledRaces[end.Task] {
		return
	}
	l.settledRaces[end.Task] = true
	if t.Copy.Run != end.Run {
		l.log.Info("copy lost", zap.Stringer("task", end.Task), zap.Int("run", t.Copy.Run), zap.String("target", t.Copy.Target.ID))
		return
	}
	l.log.Info("copy won", zap.Stringer("task", end.Task), zap.Int("run", end.Run), zap.String("target", end.Target.ID))
	l.metrics.Counter("ibispier_copies_won_total").Inc(1)
}
