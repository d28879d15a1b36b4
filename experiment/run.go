package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ibispier/ibispier/fairqueue"
	"github.com/ibispier/ibispier/placement"
	"github.com/ibispier/ibispier/quarantine"
)

// Policy is a named set of scheduler options.
type Policy struct {
	Name    string
	Options placement.Options
}

// Policies returns the baseline that the bounds refer to, the full policy, the
// policy with one part at a time replaced by its baseline, and plain, with every
// part replaced.
func Policies() []Policy {
	return []Policy{
		{"baseline", placement.Options{Selection: placement.FirstFit, IgnoreInterference: true, Queue: fairqueue.Options{Policy: fairqueue.FIFO}}},
		{"policy", placement.Options{}},
		{"first_fit", placement.Options{Selection: placement.FirstFit}},
		{"no_estimate", placement.Options{IgnoreInterference: true}},
		{"fifo", placement.Options{Queue: fairqueue.Options{Policy: fairqueue.FIFO}}},
		{"no_ladder", placement.Options{DisableMitigation: true}},
		{"plain", placement.Options{
			Selection: placement.FirstFit, IgnoreInterference: true, DisableMitigation: true,
			Queue: fairqueue.Options{Policy: fairqueue.FIFO},
		}},
	}
}

// Result holds the metrics of one run.
type Result struct {
	Scenario              string  `json:"scenario"`
	Policy                string  `json:"policy"`
	Seed                  uint64  `json:"seed"`
	WaveP99Ms             float64 `json:"wave_p99_ms"`
	QuietP99Ms            float64 `json:"quiet_p99_ms"`
	LostShare             float64 `json:"lost_share"` // share of requests that missed the deadline
	WorkCoreSeconds       float64 `json:"work_core_s"`
	WindowWorkCoreSeconds float64 `json:"window_work_core_s"` // from the start of the zone outage to the end of its window
	Completed             int     `json:"completed"`
	Evictions             int     `json:"evictions"`
	Throttles             int     `json:"throttles"`
	Evacuations           int     `json:"evacuations"`
	FailedAttempts        int     `json:"failed_attempts"`
	Impossible            int     `json:"impossible"` // jobs that can never run and were reported
	Unreported            int     `json:"unnoticed"`  // jobs that can never run and were not reported
	UrgentP99Seconds      float64 `json:"urgent_p99_s"`
	Quarantined           string  `json:"quarantined"`
}

// Run simulates a scenario with a policy.
func Run(s Scenario, p Policy, seed uint64) Result {
	w := newWorld(s, p.Options, seed)
	w.result = Result{Scenario: s.Name, Policy: p.Name, Seed: seed}
	for w.now < s.Duration {
		w.step()
	}
	w.summarise()
	return w.result
}

func (w *world) step() {
	w.now += tick
	w.applyEvents()
	w.arrive()
	w.advanceTasks()
	w.updateSlowdowns()
	if w.scenario.Requests {
		w.requests.advance(w.now.Seconds())
	}
	if w.now%reportInterval == 0 {
		w.sendReports()
	}
	w.apply(w.scheduler.Step(w.time()))
}

// reached reports whether time t falls into the current tick.
func (w *world) reached(t time.Duration) bool { return w.now-tick < t && t <= w.now }

// applyEvents applies the changes that the scenario schedules for this tick.
func (w *world) applyEvents() {
	if w.reached(w.scenario.Duration / 2) {
		w.interference = w.interference.withClassesSwapped()
	}
	if w.scenario.Faults && w.now%cancelInterval == 0 {
		w.cancelJobsOf(fmt.Sprint("customer-", int(w.now/cancelInterval)%customerCount))
	}
	if !w.scenario.ZoneOutage {
		return
	}
	const zone = "zone-1"
	switch {
	case w.reached(zoneOutAt):
		w.scheduler.SetZone(zone, true, w.time())
	case w.reached(zoneOutAt + zoneNotice):
		w.removeZone(zone)
	case w.reached(zoneBackAt):
		w.restoreZone(zone)
	}
}

// removeZone removes the workers of a zone. Progress that was not checkpointed is
// lost.
func (w *world) removeZone(zone string) {
	for _, m := range w.workers {
		if m.Zone != zone {
			continue
		}
		m.up, m.reports = false, nil
		for _, r := range slices.Clone(m.tasks) {
			w.discardProgress(r)
			w.detach(r)
			w.scheduler.Requeue(r.ID, w.time())
		}
		w.scheduler.Remove("service-"+m.ID, w.time())
		w.scheduler.RemoveWorker(m.ID, w.time())
	}
}

func (w *world) restoreZone(zone string) {
	w.scheduler.SetZone(zone, false, w.time())
	for _, m := range w.workers {
		if m.Zone == zone {
			m.up = true
			w.scheduler.SetWorker(m.Worker, w.time())
			w.scheduler.RecordPlacement(w.service(m), m.ID, w.time())
		}
	}
}

// cancelJobsOf cancels all pending jobs of a customer and a third of its running
// ones.
func (w *world) cancelJobsOf(customer string) {
	for i := range w.jobs[:w.arrivedCount] {
		j := &w.jobs[i]
		r := w.running[j.ID]
		if j.Customer != customer || (r != nil && i%3 != 0) {
			continue
		}
		if r != nil {
			w.detach(r)
		}
		delete(w.urgentSince, j.ID)
		w.scheduler.Remove(j.ID, w.time())
	}
}

func (w *world) arrive() {
	for w.arrivedCount < len(w.jobs) && w.jobs[w.arrivedCount].arrival <= w.now {
		j := &w.jobs[w.arrivedCount]
		w.arrivedCount++
		w.jobsByID[j.ID] = j
		if j.Urgent {
			w.urgentSince[j.ID] = w.now
		}
		w.scheduler.Submit(j.Task, w.time())
	}
}

// advanceTasks advances every task by one tick.
func (w *world) advanceTasks() {
	for _, m := range w.workers {
		for _, r := range slices.Clone(m.tasks) {
			w.advanceTask(m, r)
		}
	}
}

func (w *world) advanceTask(m *workerModel, r *runningJob) {
	age := (w.now - r.started).Seconds()
	switch {
	case r.evictsAt > 0 && w.now >= r.evictsAt:
		w.finishEviction(r)
		return
	case r.evictsAt > 0:
		return
	case age >= failAfterSeconds && (r.faulty || w.isFaulty(m)):
		w.result.FailedAttempts++
		w.discardProgress(r)
		w.detach(r)
		w.scheduler.RecordEnd(r.ID, true, w.time())
		return
	}
	rate := 1 / max(1, r.slowdown)
	if r.throttled {
		rate *= throttleFactor
	}
	done := min(rate*tick.Seconds(), r.runSeconds-w.progress[r.ID])
	w.progress[r.ID] += done
	r.uncheckpointed += done
	w.addWork(done * r.cores)
	if w.progress[r.ID] >= r.runSeconds {
		w.result.Completed++
		w.detach(r)
		w.scheduler.RecordEnd(r.ID, false, w.time())
	}
}

func (w *world) isFaulty(m *workerModel) bool {
	return w.scenario.Faults && m.index == 0 && w.now >= faultyFrom && w.now < faultyUntil
}

// addWork adds to the work done. It takes a negative amount when progress is lost.
func (w *world) addWork(work float64) {
	w.result.WorkCoreSeconds += work
	if w.now > zoneOutAt && w.now <= zoneWindowEnd {
		w.result.WindowWorkCoreSeconds += work
	}
}

// discardProgress subtracts the progress since the last checkpoint.
func (w *world) discardProgress(r *runningJob) {
	w.progress[r.ID] -= r.uncheckpointed
	w.addWork(-r.uncheckpointed * r.cores)
}

func (w *world) finishEviction(r *runningJob) {
	if r.evictionKind == placement.Stop {
		w.discardProgress(r)
	}
	w.progress[r.ID] -= restoreSeconds
	w.detach(r)
	w.scheduler.Requeue(r.ID, w.time())
}

func (w *world) detach(r *runningJob) {
	m := r.worker
	m.tasks = slices.DeleteFunc(m.tasks, func(other *runningJob) bool { return other == r })
	delete(w.running, r.ID)
}

// apply executes the decisions of the scheduler.
func (w *world) apply(d placement.Decisions) {
	for _, p := range d.Placements {
		j, m := w.jobsByID[p.Task], w.workersByID[p.Worker]
		r := &runningJob{job: j, started: w.now, slowdown: 1, worker: m}
		m.tasks = append(m.tasks, r)
		w.running[j.ID] = r
		w.scheduler.RecordPlacement(j.Task, m.ID, w.time())
		if since, urgent := w.urgentSince[j.ID]; urgent {
			w.urgentWaits = append(w.urgentWaits, (w.now - since).Seconds())
			delete(w.urgentSince, j.ID)
		}
	}
	for _, a := range d.Actions {
		w.applyAction(a)
	}
	for _, h := range d.Held {
		if strings.HasPrefix(h.Reason, "never runs") {
			w.reportedImpossible[h.Task] = true
		}
		delete(w.urgentSince, h.Task)
	}
}

func (w *world) applyAction(a placement.Action) {
	r := w.running[a.Task]
	switch {
	case a.Cause == placement.Evacuation:
		w.result.Evacuations++
	case a.IsEviction():
		w.result.Evictions++
	case a.Kind == placement.Throttle:
		w.result.Throttles++
	}
	switch a.Kind {
	case placement.Throttle:
		r.throttled = true
	case placement.Restore:
		r.throttled = false
	case placement.Checkpoint:
		r.evictionKind, r.evictsAt = a.Kind, w.now+time.Duration(checkpointSeconds*float64(time.Second))
	case placement.Stop:
		r.evictionKind, r.evictsAt = a.Kind, w.now+tick
	}
}

// summarise computes the metrics that need the whole run.
func (w *world) summarise() {
	r := &w.result
	r.WaveP99Ms = 1000 * percentile(w.requests.waveLatencies, 0.99)
	r.QuietP99Ms = 1000 * percentile(w.requests.quietLatencies, 0.99)
	if n := len(w.requests.waveLatencies) + len(w.requests.quietLatencies); n > 0 {
		r.LostShare = float64(w.requests.lost) / float64(n)
	}
	for _, since := range w.urgentSince {
		w.urgentWaits = append(w.urgentWaits, (w.now - since).Seconds())
	}
	r.UrgentP99Seconds = percentile(w.urgentWaits, 0.99)
	for i := range w.jobs[:w.arrivedCount] {
		j := &w.jobs[i]
		if j.cores <= float64(w.scenario.Cores) {
			continue
		}
		if w.reportedImpossible[j.ID] {
			r.Impossible++
		} else {
			r.Unreported++
		}
	}
	var names []string
	for _, e := range w.scheduler.Quarantine() {
		if e.Kind == quarantine.Worker {
			names = append(names, e.Name)
		}
	}
	r.Quarantined = strings.Join(names, " ")
}
