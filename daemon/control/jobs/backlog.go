package jobs

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/backlog"
	"github.com/ibispier/ibispier/resource"
)

// backlogAge is the time after which the backlog is read from the store again. Until then,
// submissions are added as they are accepted. Reading takes about 2 us for each live job.
const backlogAge = 250 * time.Millisecond

// backlogView is the leader's view of the unfinished work and of the rate at which it is
// done.
type backlogView struct {
	meter     *backlog.Meter
	gate      *backlog.Gate
	builtAt   time.Time
	pools     map[backlog.Pool]*backlog.Backlog // read from the store at builtAt
	returning map[backlog.Pool]float64          // core-milliseconds of refused jobs that may return
	fitting   map[taskShape]taskRoom            // how many such tasks the targets could run
}

// taskShape is what decides on which targets a task could ever run.
type taskShape struct {
	service, label string
	need           resource.Vector
	maxPerTarget   int
}

// taskRoom is the number of tasks of a shape that fit the empty targets.
type taskRoom struct {
	total int
	rack  int // on the rack that takes most
}

func newBacklogView(now time.Time) *backlogView {
	return &backlogView{meter: backlog.NewMeter(now), gate: backlog.NewGate()}
}

func poolOf(q *job.Queue, s *job.Step) backlog.Pool {
	return backlog.Pool{Service: q.Service, Filling: s.Filling}
}

// observeRuns tells the meter of the runs that a command is about to end and to start.
func (r *refusals) observeRuns(now time.Time, st *job.Store, c *job.Command) {
	if r.backlogs == nil {
		return
	}
	for i := range c.Ends {
		end := &c.Ends[i]
		r.backlogs.meter.Ended(now, end.Task, end.Run, end.Outcome == job.RunDone)
	}
	for i := range c.Starts {
		start := &c.Starts[i]
		j, t := st.Find(start.Task)
		if t == nil || j.Spec.Steps[start.Task.Step].Lasting {
			continue
		}
		s, q := &j.Spec.Steps[start.Task.Step], st.QueueOf(j)
		r.backlogs.meter.Started(now, start.Task, backlog.Run{
			Number: start.Run, Pool: poolOf(q, s), Queue: q.Name, Cores: float64(s.Need.CPUMilli) / 1000, EstimateMillis: s.EstimateMillis, Copy: start.Copy,
		})
	}
}

// judge decides whether the job surely cannot be done in time, and in which pool.
func (e *engine) judge(now time.Time, q *job.Queue, s *job.Spec) (backlog.Decision, backlog.Pool) {
	v := e.leader.refusals.backlogs
	if v == nil || !backlog.HasObjective(s) {
		return backlog.Decision{}, backlog.Pool{}
	}
	e.buildBacklogs(now)
	if slices.ContainsFunc(s.Steps, func(x job.Step) bool { return !e.fitsTarget(q.Service, &x) }) {
		return backlog.Decision{}, backlog.Pool{} // no drain would help it
	}
	earlier := e.store.Refusals[s.ID]
	for _, filling := range [...]bool{false, true} {
		pool := backlog.Pool{Service: q.Service, Filling: filling}
		returning := v.returning[pool]
		if earlier.Service == pool.Service && earlier.Filling == filling {
			returning = 0 // it has waited for its turn
		}
		c := backlog.CandidateOf(s, q, filling, time.Now().UnixMilli(), v.meter.Ratios(q.Name), earlier)
		d := v.gate.Decide(now, v.meter.MeasuredFor(now), v.pool(pool), v.meter.Drain(pool), returning, c)
		if d.Hopeless {
			return d, pool
		}
	}
	return backlog.Decision{}, backlog.Pool{}
}

func (v *backlogView) pool(p backlog.Pool) *backlog.Backlog {
	if v.pools[p] == nil {
		v.pools[p] = backlog.New(v.builtAt, nil)
	}
	return v.pools[p]
}

// buildBacklogs reads the backlog from the store and the submissions under way.
func (e *engine) buildBacklogs(now time.Time) {
	v := e.leader.refusals.backlogs
	if v.pools != nil && now.Sub(v.builtAt) < backlogAge {
		return
	}
	v.builtAt, v.fitting = now, map[taskShape]taskRoom{}
	items := map[backlog.Pool][]backlog.Item{}
	for _, j := range e.store.LiveJobs() {
		q := e.store.QueueOf(j)
		o := e.backlogOptions(now, q)
		for _, filling := range [...]bool{false, true} {
			if x, useful := backlog.ItemOf(j, q, filling, o); useful {
				p := backlog.Pool{Service: q.Service, Filling: filling}
				items[p] = append(items[p], x)
			}
		}
	}
	v.pools = map[backlog.Pool]*backlog.Backlog{}
	for p, of := range items {
		v.pools[p] = backlog.New(now, of)
	}
	for _, s := range e.submissionsUnderWay() {
		e.noteAccepted(s)
	}
	v.returning = e.returningWork(now)
}

// submissionsUnderWay returns the submissions that are proposed or about to be, and are not
// in the store.
func (e *engine) submissionsUnderWay() []*job.Submission {
	all := slices.Clone(e.batch.command.Submit)
	for _, waiting := range []map[uint64]*batch{e.inFlight, e.overdue} {
		for _, b := range waiting {
			all = append(all, b.command.Submit...)
		}
	}
	return slices.DeleteFunc(all, func(s *job.Submission) bool { return e.store.Jobs[s.Spec.ID] != nil })
}

func (e *engine) backlogOptions(now time.Time, q *job.Queue) backlog.Options {
	v := e.leader.refusals.backlogs
	return backlog.Options{
		NowMillis: time.Now().UnixMilli(),
		Ratios:    v.meter.Ratios(q.Name),
		Elapsed:   func(ref job.Ref, run int) (int64, bool) { return v.meter.ElapsedMillis(now, ref, run) },
		Fits:      func(s *job.Step) bool { return e.fitsTarget(q.Service, s) },
	}
}

// noteAccepted adds a submission that is about to be proposed to the backlog.
func (e *engine) noteAccepted(s *job.Submission) {
	v := e.leader.refusals.backlogs
	if v == nil || v.pools == nil {
		return
	}
	for _, filling := range [...]bool{false, true} {
		if x, useful := backlog.ItemOfSubmission(s, filling, e.backlogOptions(v.builtAt, &s.Queue)); useful {
			v.pool(backlog.Pool{Service: s.Queue.Service, Filling: filling}).Insert(x)
		}
	}
}

// noteRefused adds the work of a refused job to that which may return.
func (e *engine) noteRefused(p backlog.Pool, work int64) {
	if v := e.leader.refusals.backlogs; v != nil && v.returning != nil {
		v.returning[p] += float64(work)
	}
}

// returningWork returns the work of the refused jobs whose hold has not ended. Others have
// returned or given up.
func (e *engine) returningWork(now time.Time) map[backlog.Pool]float64 {
	work := map[backlog.Pool]float64{}
	for id, record := range e.store.Refusals {
		if e.refusalHold(now, id).until.After(now) {
			work[backlog.Pool{Service: record.Service, Filling: record.Filling}] += float64(record.Work)
		}
	}
	return work
}

// fitsTarget reports whether the targets that have reported could run the tasks of the step
// if they were empty: one of them, or the whole gang.
func (e *engine) fitsTarget(service string, s *job.Step) bool {
	shape := taskShape{service, s.Label, s.Reserved(), s.MaxPerTarget}
	fitting := e.leader.refusals.backlogs.fitting
	room, known := fitting[shape]
	if !known {
		room = e.roomFor(shape)
		fitting[shape] = room
	}
	switch {
	case s.Gang && s.SameRack:
		return room.rack >= s.Count
	case s.Gang:
		return room.total >= s.Count
	default:
		return room.total > 0
	}
}

// roomFor counts the tasks of the shape that fit the empty targets.
func (e *engine) roomFor(shape taskShape) taskRoom {
	room, racks := taskRoom{}, map[string]int{}
	for _, session := range e.leader.sessions {
		r := session.report
		if r == nil || r.Draining || r.Service != shape.service || shape.label != "" && !slices.Contains(r.Labels, shape.label) {
			continue
		}
		tasks := e.options.Limits.MaxTasksPerTarget
		if shape.maxPerTarget > 0 {
			tasks = min(tasks, shape.maxPerTarget)
		}
		tasks = min(tasks, tasksIn(r.Capacity.CPUMilli, shape.need.CPUMilli), tasksIn(r.Capacity.MemoryMiB, shape.need.MemoryMiB), tasksIn(r.Capacity.Accelerators, shape.need.Accelerators))
		room.total += tasks
		racks[r.Rack] += tasks
		room.rack = max(room.rack, racks[r.Rack])
	}
	return room
}

// tasksIn returns how many tasks that need an amount of a resource fit the capacity.
func tasksIn(capacity, need int64) int {
	if need == 0 {
		return math.MaxInt
	}
	return int(capacity / need)
}

// sampleDrain closes an interval of the measurement.
func (e *engine) sampleDrain(now time.Time) {
	v := e.leader.refusals.backlogs
	if v == nil {
		return
	}
	v.fitting = map[taskShape]taskRoom{}
	samples := map[backlog.Pool]backlog.Sample{}
	waiting := e.waitingPools()
	for _, s := range e.store.Config.Services {
		total, lasting := e.serviceCores(s.Name)
		share := e.leader.dispatcher.ReservedCPUShare(s.Name)
		for p, cores := range map[backlog.Pool]float64{{Service: s.Name}: total - lasting, {Service: s.Name, Filling: true}: total} {
			samples[p] = backlog.Sample{Cores: max(cores, 0), Saturated: backlog.IsSaturated(p, waiting[p], share)}
		}
	}
	v.meter.Sample(now, samples, func(ref job.Ref, run int) bool {
		_, t := e.store.Find(ref)
		return t != nil && (t.IsPlaced(run) || t.HoldsCapacity() && t.Run == run)
	})
	e.showDrain(samples)
}

// waitingPools returns the pools that have ready tasks which only lack room. Tasks with
// further conditions may wait although there is some.
func (e *engine) waitingPools() map[backlog.Pool]bool {
	waiting := map[backlog.Pool]bool{}
	for _, j := range e.store.LiveJobs() {
		q := e.store.QueueOf(j)
		if !backlog.HasObjective(&j.Spec) || q.DecisionMillis > 0 {
			continue
		}
		for i := range j.Spec.Steps {
			s := &j.Spec.Steps[i]
			if j.Occurrences[0][i].Waiting > 0 && !s.Gang && !s.SameRack && s.MaxPerTarget == 0 && j.StepReady(0, i) && e.fitsTarget(q.Service, s) {
				waiting[poolOf(q, s)] = true
			}
		}
	}
	return waiting
}

// serviceCores returns the processors of the targets of a service that have reported, and
// those reserved by lasting tasks.
func (e *engine) serviceCores(service string) (total, lasting float64) {
	for target, session := range e.leader.sessions {
		r := session.report
		if r == nil || r.Draining || r.Service != service {
			continue
		}
		total += float64(r.Capacity.CPUMilli) / 1000
		for ref := range e.store.TasksOn(target) {
			if s := &e.store.Jobs[ref.Job].Spec.Steps[ref.Step]; s.Lasting {
				lasting += float64(s.Reserved().CPUMilli) / 1000
			}
		}
	}
	return total, lasting
}

// refusalGauges hold figures of the duty for the metrics, which other goroutines read.
type refusalGauges struct {
	records atomic.Int64
	drains  map[backlog.Pool]*atomic.Uint64 // bits of a float64
}

// showDrain exports the drain of each pool and the number of records.
func (e *engine) showDrain(samples map[backlog.Pool]backlog.Sample) {
	g := &e.gauges
	if g.drains == nil {
		g.drains = map[backlog.Pool]*atomic.Uint64{}
		e.options.Metrics.Gauge("ibispier_refusal_records", func() float64 { return float64(g.records.Load()) })
	}
	g.records.Store(int64(len(e.store.Refusals)))
	for p := range samples {
		if g.drains[p] == nil {
			bits := new(atomic.Uint64)
			g.drains[p] = bits
			kind := "reserved"
			if p.Filling {
				kind = "filling"
			}
			e.options.Metrics.Gauge("ibispier_drain_cores", func() float64 { return math.Float64frombits(bits.Load()) }, "service", p.Service, "kind", kind)
		}
		g.drains[p].Store(math.Float64bits(e.leader.refusals.backlogs.meter.Drain(p).Expected))
	}
}

func (e *engine) countRefusal(q *job.Queue) {
	e.options.Metrics.Counter("ibispier_jobs_refused_total", "queue", q.Name).Inc(1)
}
