package jobs

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/dispatch"
	"github.com/ibispier/ibispier/resource"
)

const (
	fleetTick     = 5 * time.Millisecond
	commitDelay   = 20 * time.Millisecond // two syncs and a hop across zones
	confirmDelay  = 8 * time.Millisecond
	reportDelay   = 8 * time.Millisecond // a hop from the leader to an agent and back
	fleetHold     = 700
	idleRoutes    = 240
	taskOfQuick   = 640 * time.Millisecond
	taskOfFilling = 2700 * time.Millisecond
	failingRun    = 200 * time.Millisecond  // life of a run that fails by itself
	stallAfter    = 1500 * time.Millisecond // time without progress after which an agent reports a run as stalled
)

// rates are the jobs that arrive each second.
type rates struct{ quick, filling, lasting float64 }

// rates of the large deployment, whose 240 instances have 64 processors each.
var largeRates = rates{quick: 25.9, filling: 4.03, lasting: 0.261}

func (r rates) scaled(x float64) rates { return rates{r.quick * x, r.filling * x, r.lasting * x} }

// fleet drives an engine that leads with the reports of simulated agents, in
// virtual time. Engine time is not part of virtual time; busy sums it up.
type fleet struct {
	e       *engine
	now     time.Time
	random  *rand.Rand
	agents  []*fakeAgent
	events  eventQueue
	planned int
	busy    time.Duration
	index   uint64
	term    uint64
	jobs    int
	starts  int

	queueOf     map[string]string // by job
	submittedAt map[string]time.Time
	firstStart  map[string]time.Duration // from submission to the first start
	lastingRuns map[job.Ref]int          // newest run that was started of each lasting task
	failAfter   map[string]time.Duration // by image, after how long each of its runs fails
	failTask    func(job.Ref) bool       // whether the runs of a task fail after failingRun; may be nil
	stall       map[string]bool          // by image, whether its runs make no progress
	refused     int
	sleep       func(time.Duration)                // advances the wall clock with virtual time; may be nil
	lifeOf      func(job.Ref, int) time.Duration   // life of a run that would last taskOfQuick; may be nil
	loseAnswer  func(controlapi.TargetOrders) bool // whether an answer to an agent is lost; may be nil
}

type event struct {
	at     time.Time
	number int // orders events of the same time, as the replica orders entries
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fakeAgent runs tasks for their run time and reports them.
type fakeAgent struct {
	f       *fleet
	target  job.TargetIncarnation
	number  int
	labels  []string
	running map[job.Ref]int
	ends    []job.End
	ended   uint64
	seen    uint64
	due     bool // a report is on its way
	stalled map[job.Ref]bool
	silent  bool      // its reports do not arrive
	sentAt  time.Time // of the newest report
	leased  time.Time // end of its lease
	crashed bool      // replaced by the next incarnation
}

func newFleetWith(targets int, limits dispatch.Limits) *fleet {
	return newFleet(targets, func(o *Options) { o.Limits = limits })
}

func newFleet(targets int, change ...func(*Options)) *fleet {
	f := &fleet{now: time.Unix(1000, 0), term: 1, random: rand.New(rand.NewPCG(1, 2)), queueOf: map[string]string{}, submittedAt: map[string]time.Time{}, firstStart: map[string]time.Duration{}, lastingRuns: map[job.Ref]int{}}
	o := Options{Lease: testTerms, Retention: 2 * time.Minute, MinVoters: 3, Limits: dispatch.DefaultLimits(), Log: zap.NewNop()}
	for _, c := range change {
		c(&o)
	}
	f.e = newEngine(o, 1, f.offer)
	f.update(replica.Update{Status: &replica.Status{IsLeader: true, Term: 1, Members: voters(5)}})
	f.runFor(time.Second)
	config := job.Config{Version: 1, Services: []job.Service{{Name: "s"}}, Source: []byte("{}")}
	for i := range idleRoutes {
		config.Queues = append(config.Queues, job.Queue{Host: "h", Prefix: fmt.Sprintf("/idle%d/", i), Service: "s", TimeoutMillis: 1})
	}
	for i, name := range []string{"quick", "filling", "lasting"} {
		q := job.Queue{Host: "h", Prefix: "/" + name + "/", Service: "s", TimeoutMillis: 3000, Attempts: 4, Stretch: 1.5, SlackMillis: 300}
		q.Priority = 2 * (i % 2)
		config.Queues = append(config.Queues, q)
	}
	f.request(controlapi.OpManifest, &controlapi.ManifestRequest{Config: config}, &recorder{})
	for i := range targets {
		f.agents = append(f.agents, f.newAgent(i, 1))
		f.agents[i].report()
	}
	f.runFor(2 * time.Second)
	return f
}

func (f *fleet) newAgent(number int, born int64) *fakeAgent {
	return &fakeAgent{f: f, target: job.TargetIncarnation{ID: fmt.Sprintf("t%04d", number), Born: born}, number: number, running: map[job.Ref]int{}, stalled: map[job.Ref]bool{}}
}

// measured adds the time of a call into the engine to busy.
func (f *fleet) measured(call func()) {
	start := time.Now()
	call()
	f.e.flush(f.now)
	f.busy += time.Since(start)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.planned++
	heap.Push(&f.events, event{f.now.Add(d), f.planned, do})
}

// offer is the replica: it commits and confirms after a delay.
func (f *fleet) offer(in replica.Input) error {
	switch {
	case in.Propose != nil:
		term := f.term
		f.after(commitDelay, func() {
			if f.term != term {
				return // lost with its leader
			}
			f.index++
			f.update(replica.Update{Entries: []consensus.Entry{{Index: f.index, Term: term, Data: in.Propose}}})
		})
	case in.ReadContext != 0:
		f.after(confirmDelay, func() {
			f.update(replica.Update{Reads: []replica.ReadReady{{Context: in.ReadContext, Index: f.index}}})
		})
	}
	return nil
}

func (f *fleet) update(u replica.Update) {
	f.measured(func() {
		if err := f.e.handleUpdate(f.now, u); err != nil {
			panic(err)
		}
	})
}

func (f *fleet) request(op controlapi.Operation, body any, reply applier.Replier) {
	f.measured(func() {
		f.e.handleRequest(f.now, &applier.Request{Operation: op, Body: body, Replier: reply})
	})
}

// runFor advances virtual time.
func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	nextTick := f.now
	for {
		next := nextTick
		if len(f.events) > 0 && f.events[0].at.Before(next) {
			next = f.events[0].at
		}
		if !next.Before(end) {
			f.setNow(end)
			return
		}
		f.setNow(next)
		if next == nextTick {
			nextTick = nextTick.Add(tickInterval)
			f.measured(func() { f.e.tick(f.now) })
			continue
		}
		heap.Pop(&f.events).(event).do()
	}
}

func (f *fleet) setNow(to time.Time) {
	if f.sleep != nil {
		f.sleep(to.Sub(f.now))
	}
	f.now = to
}

// play submits jobs at the rates for the time.
func (f *fleet) play(r rates, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.runFor(fleetTick) {
		f.submitSome("quick", r.quick, job.Step{Count: 13, Need: cpu(2600), EstimateMillis: taskOfQuick.Milliseconds()})
		f.submitSome("filling", r.filling, job.Step{Count: 40, Need: cpu(7000), EstimateMillis: taskOfFilling.Milliseconds(), Filling: true, Image: "f"})
		f.submitSome("lasting", r.lasting, lastingStep)
	}
}

var lastingStep = job.Step{Count: 24, Need: cpu(13000), Lasting: true, TailTargetMillis: 50, Image: "s"}

func cpu(milli int64) resource.Vector { return resource.Vector{CPUMilli: milli, MemoryMiB: 2 * milli} }

func (f *fleet) submitSome(queue string, perSecond float64, step job.Step) {
	if f.random.Float64() < perSecond*fleetTick.Seconds() {
		f.submit(queue, step)
	}
}

func (f *fleet) submit(queue string, step job.Step) {
	steps := []job.Step{step}
	if !step.Lasting && f.random.Float64() < 0.6 {
		step.After = []int{0}
		steps = append(steps, step)
	}
	f.submitSteps(queue, steps...)
}

func (f *fleet) submitSteps(queue string, steps ...job.Step) string {
	f.jobs++
	id := fmt.Sprintf("%016x", f.jobs)
	f.submittedAt[id], f.queueOf[id] = f.now, queue
	f.request(controlapi.OpJobSubmit, &controlapi.JobSubmitRequest{
		Host: "h", Path: "/" + queue + "/" + id, Spec: job.Spec{ID: id, Payload: "p", Steps: steps},
	}, f)
	return id
}

// Reply implements applier.Replier for submissions.
func (f *fleet) Reply(r applier.Response) {
	if answer, ok := r.Body.(controlapi.JobResponse); !ok || answer.Outcome != controlapi.JobOK {
		f.refused++
	}
}

// changeLeader has the engine lead anew. Entries that are not committed are lost.
func (f *fleet) changeLeader() {
	f.term++
	f.update(replica.Update{Status: &replica.Status{IsLeader: true, Term: f.term, Members: voters(5)}})
}

// crash replaces an agent by one with the next incarnation of its target.
func (f *fleet) crash(number int) {
	f.agents[number].crashed = true
	next := f.newAgent(number, f.agents[number].target.Born+1)
	f.agents[number] = next
	f.after(100*time.Millisecond, next.report)
}

// silence keeps an agent from reporting until its lease has expired, which ends its runs.
func (f *fleet) silence(number int) {
	a := f.agents[number]
	a.silent = true
	f.after(a.leased.Sub(f.now), func() {
		for ref, run := range a.running {
			a.end(ref, run, job.RunLeaseExpired)
		}
	})
	f.after(testTerms.SafeExpiry()+time.Second, func() { a.silent = false; a.report() })
}

// report sends what the agent knows.
func (a *fakeAgent) report() {
	if a.due || a.silent || a.crashed {
		return
	}
	a.due = true
	a.f.after(reportDelay/2, func() {
		a.due, a.sentAt = false, a.f.now
		r := &controlapi.TargetReport{
			Incarnation: a.target, Host: a.target.ID, Service: "s", Zone: fmt.Sprintf("z%d", a.number%5), Rack: fmt.Sprintf("r%d", a.number/8),
			Labels: a.labels, Capacity: resource.Vector{CPUMilli: 64_000, MemoryMiB: 256_000}, Agent: 1, Seen: a.seen, LeaseWanted: true,
			Ends: slices.Clone(a.ends), HoldMillis: fleetHold,
			Serving: []controlapi.ServingHeadroom{{Image: "s", Headroom: 1 + float64(a.f.random.IntN(8))/8}},
		}
		for ref, run := range a.running {
			r.Running = append(r.Running, controlapi.RunReport{Task: ref, Run: run, Stalled: a.stalled[ref]})
		}
		a.f.request(controlapi.OpTarget, r, a)
	})
}

// Reply implements applier.Replier for reports.
func (a *fakeAgent) Reply(r applier.Response) {
	orders, ok := r.Body.(controlapi.TargetOrders)
	if ok && orders.Number == 0 {
		return // superseded by a newer report
	}
	if a.f.loseAnswer != nil && a.f.loseAnswer(orders) {
		a.f.after(reportDelay, a.report)
		return
	}
	a.f.after(reportDelay/2, func() { a.handle(orders) })
}

func (a *fakeAgent) handle(orders controlapi.TargetOrders) {
	if a.silent || a.crashed {
		return
	}
	a.seen = max(a.seen, orders.Number)
	if orders.LeaseMillis > 0 {
		a.leased = a.sentAt.Add(testTerms.TTL)
	}
	a.ends = slices.DeleteFunc(a.ends, func(e job.End) bool { return e.Number <= orders.EndWatermark })
	for _, s := range orders.Starts {
		if a.running[s.Task] >= s.Run {
			continue
		}
		a.running[s.Task] = s.Run
		a.f.starts++
		if _, started := a.f.firstStart[s.Task.Job]; !started {
			a.f.firstStart[s.Task.Job] = a.f.now.Sub(a.f.submittedAt[s.Task.Job])
		}
		life, fails := a.f.failAfter[s.Image]
		if a.f.failTask != nil && a.f.failTask(s.Task) {
			life, fails = failingRun, true
		}
		switch {
		case a.f.stall[s.Image]:
			delete(a.stalled, s.Task)
			a.f.after(stallAfter, func() { a.stalled[s.Task] = true; a.report() })
		case fails:
			a.f.lastingRuns[s.Task] = s.Run
			a.f.after(life, func() { a.end(s.Task, s.Run, job.RunFailed) })
		case s.Filling:
			a.f.after(taskOfFilling, func() { a.end(s.Task, s.Run, job.RunDone) })
		case s.TailTargetMillis == 0:
			life := taskOfQuick
			if a.f.lifeOf != nil {
				life = a.f.lifeOf(s.Task, s.Run)
			}
			a.f.after(life, func() { a.end(s.Task, s.Run, job.RunDone) })
		default:
			a.f.lastingRuns[s.Task] = s.Run
		}
	}
	for _, s := range orders.Stops {
		if s.Unreported && a.running[s.Task] != s.Run { // its start was lost
			a.ends = append(a.ends, job.End{Task: s.Task, Run: s.Run, Outcome: job.RunRejected})
		}
		a.end(s.Task, s.Run, job.RunStopped)
	}
	a.report()
}

func (a *fakeAgent) end(task job.Ref, run int, outcome job.Outcome) {
	if a.running[task] != run || a.crashed {
		return
	}
	delete(a.running, task)
	a.ended++
	a.ends = append(a.ends, job.End{Number: a.ended, Task: task, Run: run, Outcome: outcome})
	a.report()
}

// percentile returns the time within which the share of the jobs of the queue has
// started. Jobs that have not started count as taking until now.
func (f *fleet) percentile(queue string, share float64) time.Duration {
	var times []time.Duration
	for id, at := range f.submittedAt {
		if f.queueOf[id] != queue {
			continue
		}
		first, started := f.firstStart[id]
		if !started {
			first = f.now.Sub(at)
		}
		times = append(times, first)
	}
	slices.Sort(times)
	return times[int(share*float64(len(times)-1))]
}

// Plays twice the load of the large deployment, without a network and without
// counting the time of the engine. Guards against decisions that wait for each other:
// jobs that start late although there is room, and lasting tasks that are not started
// again soon after they have failed (on 05e4601, one waited for 11 s on scale-2 of the
// large deployment, because the leader was beyond its rate).
func TestTwiceTheLoadOfTheLargeDeployment(t *testing.T) {
	const (
		firstStartHalf = 60 * time.Millisecond // target of the calm day
		firstStartMost = 250 * time.Millisecond
		restartBound   = 3 * time.Second // the platform's bound for a lasting task
	)
	f := newFleet(240)
	load := largeRates.scaled(2)
	const lastingJobs = 10 // they run from the start
	for range lastingJobs {
		f.submit("lasting", lastingStep)
	}
	f.play(load, 4*time.Second)
	failed := map[job.Ref]int{}
	for _, a := range f.agents {
		for ref, run := range a.running {
			if f.lastingRuns[ref] == run {
				failed[ref] = run
				a.end(ref, run, job.RunFailed)
			}
		}
	}
	f.play(load, restartBound)
	if f.refused > 0 {
		t.Errorf("%d submissions were refused", f.refused)
	}
	for ref, run := range failed {
		if f.lastingRuns[ref] <= run {
			t.Errorf("lasting task %v was not started again within %s", ref, restartBound)
		}
	}
	if len(failed) == 0 {
		t.Error("no lasting task has failed")
	}
	if half, most := f.percentile("quick", 0.5), f.percentile("quick", 0.95); half > firstStartHalf || most > firstStartMost {
		t.Errorf("first start after %s (half) and %s (95 of 100), want %s and %s", half, most, firstStartHalf, firstStartMost)
	}
}

// Measures the processor time of the duty for each second of the load of the large
// deployment, and of fleets that are larger by some factors.
func BenchmarkFleet(b *testing.B) { benchmarkFleet(b, dispatch.DefaultLimits()) }

// Like BenchmarkFleet, with the settings for too little room.
func BenchmarkFleetOverload(b *testing.B) {
	limits := dispatch.DefaultLimits()
	limits.PostponeLarge, limits.AvoidDisturbance, limits.MoveSlowed, limits.FillingCPUShare = true, true, true, 1.35
	benchmarkFleet(b, limits)
}

func benchmarkFleet(b *testing.B, limits dispatch.Limits) {
	for _, targets := range []int{11, 75, 240, 1000, 4000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			const played = 10 * time.Second
			var busy time.Duration
			for range b.N {
				f := newFleetWith(targets, limits)
				load := largeRates.scaled(float64(targets) / 240)
				f.play(load, played)
				f.busy, f.starts = 0, 0
				f.play(load, played)
				busy += f.busy
				b.ReportMetric(float64(f.starts)/played.Seconds(), "starts/s")
				b.ReportMetric(float64(f.percentile("quick", 0.95).Milliseconds()), "p95-first-start-ms")
			}
			b.ReportMetric(busy.Seconds()/float64(b.N)/played.Seconds(), "core")
			b.ReportMetric(0, "ns/op")
		})
	}
}
