package jobs

import (
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/dispatch"
	"github.com/ibispier/ibispier/job/overload"
)

// endingJob is what is kept of a job while a command is applied that may finish it. The
// store drops the steps of finished jobs.
type endingJob struct {
	queue     string
	objective time.Duration
}

// observeWork adds the work of a task that is done to the rate of its pool.
func (l *leadership) observeWork(now time.Time, st *job.Store, j *job.Job, step *job.Step) {
	pool := dispatch.Pool{Service: st.QueueOf(j).Service, Filling: step.Filling}
	rate := l.workRates[pool]
	if rate == nil {
		rate = &overload.Rate{}
		l.workRates[pool] = rate
	}
	rate.Observe(steady(now), dispatch.OpenWork(step, 1))
}

// workRate returns how much work of the pool is done at a time, or 0 if it is unknown.
func (l *leadership) workRate(now time.Time, pool dispatch.Pool) float64 {
	if rate := l.workRates[pool]; rate != nil {
		return rate.PerMilli(steady(now))
	}
	return 0
}

// steady returns a time of the duty's clock as a duration.
func steady(now time.Time) time.Duration { return time.Duration(now.UnixNano()) }

// noteEnding notes a job with an objective that an end may finish.
func (l *leadership) noteEnding(st *job.Store, id string) {
	j := st.Jobs[id]
	if _, noted := l.ending[id]; noted || j == nil || !j.IsLive() {
		return
	}
	if objective, ok := dispatch.Objective(st, j); ok {
		l.ending[id] = endingJob{queue: st.QueueOf(j).Name, objective: objective}
	}
}

// recordFinished counts and logs the noted jobs that are finished, by whether they met
// their objective.
func (e *engine) recordFinished(wall time.Time) {
	for id, ending := range e.leader.ending {
		delete(e.leader.ending, id)
		j := e.store.Jobs[id]
		if j == nil || j.IsLive() {
			continue
		}
		took := wall.Sub(time.UnixMilli(j.AtMillis))
		result := dispatch.ResultOf(j, took, ending.objective)
		e.options.Metrics.Counter("ibispier_jobs_finished_total", "queue", ending.queue, "result", result).Inc(1)
		e.log.Info("job finished", zap.String("job", id), zap.String("queue", ending.queue), zap.String("state", string(j.State())),
			zap.String("result", result), zap.Duration("took", took), zap.Duration("objective", ending.objective))
	}
}
