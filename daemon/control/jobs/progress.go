package jobs

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/job"
)

const (
	// occupancyInterval is the time between log lines about occupancy, waiting steps
	// and missing runs. What waits or is missing in two of them in a row is logged.
	occupancyInterval = 2 * time.Second
	// maxWaitingLogged bounds the waiting steps that are logged at a time. The ones
	// that have waited longest come first.
	maxWaitingLogged = 4
	// maxServicesLogged bounds the services named in an occupancy line.
	maxServicesLogged = 8
	// maxMissingLogged bounds the tasks named in one line about missing runs.
	maxMissingLogged = 8
	millicores       = 1000
)

// logOccupancy logs how many tasks are ready or paused and how many targets
// accept starts, to help find out why a job has not started.
func (e *engine) logOccupancy(now time.Time) {
	l := e.leader
	if now.Sub(l.occupancyLoggedAt) < occupancyInterval {
		return
	}
	l.occupancyLoggedAt = now
	e.logWaitingSteps(now)
	e.logMissingRuns(now)
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
	blockers := e.startBlockers(now)
	for _, s := range l.sessions {
		if s.report == nil {
			continue
		}
		if blockers[s] == "" {
			startable++
		}
		for _, r := range s.report.Running {
			if r.Paused {
				paused++
			}
		}
	}
	e.log.Info("occupancy", zap.Int("live_jobs", len(e.store.LiveJobs())), zap.Int("ready_tasks", ready),
		zap.Int("paused_tasks", paused), zap.Int("targets", len(l.sessions)), zap.Int("startable", startable),
		zap.Strings("reserved_cpu_shares", e.reservedCPUShares()), zap.Int("postponed_jobs", l.dispatcher.Postponed()),
		zap.Strings("work_rates", e.workRates(now)))
}

// reservedCPUShares returns the reserved share of the processor time by service.
func (e *engine) reservedCPUShares() []string {
	var shares []string
	for _, service := range e.store.Config.Services[:min(len(e.store.Config.Services), maxServicesLogged)] {
		share := e.leader.dispatcher.ReservedCPUShare(service.Name)
		shares = append(shares, service.Name+":"+strconv.FormatFloat(share, 'f', 3, 64))
	}
	return shares
}

// workRates returns the processors that are worked off at a time, by pool.
func (e *engine) workRates(now time.Time) []string {
	var rates []string
	for pool := range e.leader.workRates {
		kind := "reserving"
		if pool.Filling {
			kind = "filling"
		}
		cores := e.leader.workRate(now, pool) / millicores
		rates = append(rates, pool.Service+"/"+kind+":"+strconv.FormatFloat(cores, 'f', 1, 64))
	}
	slices.Sort(rates)
	return rates[:min(len(rates), maxServicesLogged)]
}

// waitingStep is a step with ready tasks that are not started.
type waitingStep struct {
	job        *job.Job
	occurrence int
	step       int
	since      time.Time // of the first occupancy line at which it was waiting
}

// logWaitingSteps logs why the steps that have been ready longest are not started.
func (e *engine) logWaitingSteps(now time.Time) {
	waiting := e.waitingSteps(now)
	slices.SortFunc(waiting, func(x, y waitingStep) int { return x.since.Compare(y.since) })
	blocked := e.blockedTargets(now)
	for _, w := range waiting[:min(len(waiting), maxWaitingLogged)] {
		if w.since.Equal(now) {
			return
		}
		x := e.leader.dispatcher.Explain(e.dispatchInput(now), w.job, w.occurrence, w.step)
		state := &w.job.Occurrences[w.occurrence][w.step]
		fields := []zap.Field{zap.String("job", w.job.Spec.ID), zap.Int("occurrence", w.occurrence), zap.Int("step", w.step),
			zap.Int("ready_tasks", state.Waiting), zap.Duration("for_at_least", now.Sub(w.since)), zap.Int("held_back", x.Held),
			zap.Int("pending_starts", x.Pending), zap.Int("accepting_targets", x.Accepting), zap.Int("candidates", x.Candidates),
			zap.Int("in_flight", len(e.inFlight)), zap.Int("overdue", len(e.overdue))}
		for _, r := range slices.Sorted(maps.Keys(x.Rejections)) {
			fields = append(fields, zap.Int(string(r), x.Rejections[r]))
		}
		e.log.Info("step waiting", append(fields, zap.Strings("blocked_targets", blocked))...)
	}
}

// waitingSteps returns the steps that are due and have ready tasks, and notes since when.
func (e *engine) waitingSteps(now time.Time) []waitingStep {
	l := e.leader
	var waiting []waitingStep
	since := map[job.Ref]time.Time{} // by the first task of the step
	for _, j := range e.store.LiveJobs() {
		for k := range j.Occurrences {
			if j.Spec.DueMillis(k) > time.Now().UnixMilli() {
				break
			}
			for s := range j.Occurrences[k] {
				if j.Occurrences[k][s].Waiting == 0 || !j.StepReady(k, s) {
					continue
				}
				ref := job.Ref{Job: j.Spec.ID, Occurrence: k, Step: s}
				since[ref] = cmp.Or(l.waitingSince[ref], now)
				waiting = append(waiting, waitingStep{job: j, occurrence: k, step: s, since: since[ref]})
			}
		}
	}
	l.waitingSince = since
	return waiting
}

// blockedTargets returns the number of targets that accept no starts, by reason.
func (e *engine) blockedTargets(now time.Time) []string {
	counts := map[string]int{}
	for _, reason := range e.startBlockers(now) {
		counts[reason]++
	}
	for _, s := range e.leader.sessions {
		if s.report == nil {
			counts["no_report"]++
		}
	}
	var blocked []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		blocked = append(blocked, reason+":"+strconv.Itoa(counts[reason]))
	}
	return blocked
}

// logMissingRuns logs the targets on which tasks hold capacity whose runs their reports
// do not show, with what this leader believes of the target.
func (e *engine) logMissingRuns(now time.Time) {
	missing := map[runKey]bool{}
	for _, target := range e.store.OccupiedTargets() {
		s := e.leader.session(now, target)
		var tasks []string
		for ref, t := range e.store.TasksOn(target) {
			run, state := t.RunOn(target)
			if s.runs[ref] == run {
				continue
			}
			key := runKey{ref, run}
			missing[key] = true
			if e.leader.missingRuns[key] {
				tasks = append(tasks, ref.String()+"#"+strconv.Itoa(run)+e.missingState(now, s, key, state))
			}
		}
		if len(tasks) > 0 {
			e.logMissing(now, s, tasks)
		}
	}
	e.leader.missingRuns = missing
}

func (e *engine) logMissing(now time.Time, s *session, tasks []string) {
	slices.Sort(tasks)
	fields := []zap.Field{zap.String("target", s.target.ID), zap.Int64("born", s.target.Born), zap.Bool("connected", s.report != nil)}
	if s.report != nil {
		fields = append(fields, zap.Duration("silent_for", now.Sub(s.reportedAt)))
	}
	e.log.Info("runs missing", append(fields, zap.Duration("lease", s.leaseExpiry.Sub(now)),
		zap.Bool("loss_proposed", e.leader.proposedLosses[s.target]), zap.Uint64("watermark", e.store.LastEndNumber(s.target)),
		zap.Uint64("proposed_watermark", s.proposedWatermark), zap.Int("count", len(tasks)),
		zap.Strings("runs", tasks[:min(len(tasks), maxMissingLogged)]))...)
}

// missingState tells why the start of a missing run is not ordered again now.
func (e *engine) missingState(now time.Time, s *session, key runKey, state job.TaskState) string {
	switch {
	case state == job.Stopping:
		return ":stopping"
	case e.leader.proposedEnds[key]:
		return ":end_proposed"
	case s.sentStarts[key.task].isPending(now, key.run):
		return ":ordered"
	default:
		return ":due"
	}
}
