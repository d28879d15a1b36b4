package placement

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/fairqueue"
	"github.com/ibispier/ibispier/interference"
	"github.com/ibispier/ibispier/internal/testseed"
	"github.com/ibispier/ibispier/resource"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	// Evictions need runs of more steps than the default of 30.
	if err := flag.Set("rapid.steps", "120"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1_700_000_000, 0)

func size(cpu, memory int) resource.Vector {
	return resource.Vector{CPUMilli: int64(cpu) * 1000, MemoryMiB: int64(memory) * 1024}
}

const (
	testEvictionsPerHour = 3
	testAgingBound       = time.Minute
)

// oracle keeps its own record of what runs where, from the proposals alone.
type oracle struct {
	s         *Scheduler
	now       time.Time
	workers   map[string]Worker
	quotas    map[string]Quota
	tasks     map[string]Task
	on        map[string]string // task -> worker
	waiting   map[string]time.Time
	acting    map[string]string // worker -> task with an action that is not confirmed
	acted     map[string]time.Time
	evictions []time.Time
	out       map[string]bool
	returned  map[string]time.Time
	starts    map[string][]time.Time // in a zone that has returned
	next      int
}

func newOracle() *oracle {
	o := &oracle{
		s: New(Options{
			EvictionsPerHour: testEvictionsPerHour,
			Queue:            fairqueue.Options{AgingBound: testAgingBound},
			Mitigation:       interference.MitigatorOptions{DisturbedAbove: 1.3, RecoveredBelow: 1.1, ConsecutiveReports: 1, SettlingTime: 5 * time.Second},
			ProposalTimeout:  24 * time.Hour, // proposals end only by what the test does
		}),
		now: epoch, workers: map[string]Worker{}, quotas: map[string]Quota{}, tasks: map[string]Task{},
		on: map[string]string{}, waiting: map[string]time.Time{}, acting: map[string]string{}, acted: map[string]time.Time{},
		out: map[string]bool{}, returned: map[string]time.Time{}, starts: map[string][]time.Time{},
	}
	for i := range 6 {
		w := Worker{ID: fmt.Sprint("w", i), Zone: fmt.Sprint("z", i%3), Rack: "r", Capacity: size(16, 64)}
		o.workers[w.ID] = w
		o.s.SetWorker(w, o.now)
		service := Task{ID: "service-" + w.ID, Customer: "desk", Kind: Service, Class: "quote", Size: size(4, 8)}
		o.tasks[service.ID], o.on[service.ID] = service, w.ID
		o.s.RecordPlacement(service, w.ID, o.now)
	}
	o.quotas["desk"] = Quota{Limit: size(1000, 1000), Tasks: 100}
	o.quotas["a"] = Quota{Limit: size(40, 200), Tasks: 10}
	o.quotas["b"] = Quota{Limit: size(20, 200), Tasks: 4}
	for name, q := range o.quotas {
		o.s.SetQuota(name, q)
	}
	return o
}

func (o *oracle) submit(t *rapid.T) {
	o.next++
	task := Task{
		ID: fmt.Sprint("t", o.next), Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"),
		Class: rapid.SampledFrom([]string{"scan", "sort"}).Draw(t, "class"), Urgent: rapid.IntRange(0, 4).Draw(t, "urgent") == 4,
		Size: size(rapid.IntRange(1, 12).Draw(t, "cpu"), rapid.IntRange(1, 40).Draw(t, "memory")),
	}
	if rapid.IntRange(0, 3).Draw(t, "restricted") == 3 {
		task.Zones = []string{rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(t, "zone")}
	}
	o.tasks[task.ID], o.waiting[task.ID] = task, o.now
	o.s.Submit(task, o.now)
}

func (o *oracle) pick(t *rapid.T) string {
	var ids []string
	for id := range o.on {
		if o.tasks[id].Kind != Service {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("nothing runs")
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "task")
}

func (o *oracle) end(id string) {
	if o.acting[o.on[id]] == id {
		delete(o.acting, o.on[id])
		o.acted[o.on[id]] = o.now
	}
	delete(o.on, id)
}

func (o *oracle) setZone(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(t, "zone")
	o.out[zone] = !o.out[zone]
	if !o.out[zone] {
		o.returned[zone], o.starts[zone] = o.now, nil
	}
	o.s.SetZone(zone, o.out[zone], o.now)
}

func (o *oracle) observe(t *rapid.T) {
	worker := rapid.SampledFrom([]string{"w0", "w1", "w2", "w3", "w4", "w5"}).Draw(t, "worker")
	o.report(t, worker, rapid.SampledFrom([]float64{1, 1.2, 3}).Draw(t, "slowdown"))
}

// disturb slows the services of two workers down until the ladder acts.
func (o *oracle) disturb(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "reports") {
		o.now = o.now.Add(3 * time.Second)
		o.report(t, "w4", 3)
		o.report(t, "w5", 3)
		o.step(t)
	}
}

func (o *oracle) report(t *rapid.T, worker string, slowdown float64) {
	usage := []Usage{{Task: "service-" + worker, Used: size(2, 8), Slowdown: slowdown, MeasuredAt: o.now}}
	for _, id := range slices.Sorted(maps.Keys(o.on)) {
		if o.on[id] == worker && o.tasks[id].Kind != Service {
			usage = append(usage, Usage{Task: id, Used: size(rapid.IntRange(0, 20).Draw(t, "used"), 1), MeasuredAt: o.now})
		}
	}
	o.s.Observe(worker, usage, o.now)
}

func (o *oracle) step(t *rapid.T) {
	o.runStep(t)
	// A reservation that ended within the step leaves room for the next one.
	if o.agedWithRoom(t) != "" {
		o.runStep(t)
	}
	if passed := o.agedWithRoom(t); passed != "" {
		t.Fatal(passed)
	}
}

func (o *oracle) runStep(t *rapid.T) {
	before := map[string]string{}
	for id, w := range o.on {
		before[id] = w
	}
	d := o.s.Step(o.now)
	for _, p := range d.Placements {
		o.checkPlacement(t, p)
	}
	for _, a := range d.Actions {
		o.checkAction(t, a, before)
	}
}

func (o *oracle) checkPlacement(t *rapid.T, p Placement) {
	task, w := o.tasks[p.Task], o.workers[p.Worker]
	if _, waits := o.waiting[p.Task]; !waits {
		t.Fatalf("%v: the task does not wait", p)
	}
	delete(o.waiting, p.Task)
	o.on[p.Task] = p.Worker
	if o.out[w.Zone] || w.Draining || !task.allows(w.Zone) {
		t.Fatalf("%v: zone out=%t draining=%t allowed=%v", p, o.out[w.Zone], w.Draining, task.Zones)
	}
	o.checkReturn(t, w.Zone)
	var onWorker, ofCustomer resource.Vector
	tasks := 0
	for id, worker := range o.on {
		if worker == w.ID {
			onWorker = onWorker.Add(o.tasks[id].Size)
		}
		if o.tasks[id].Customer == task.Customer {
			ofCustomer = ofCustomer.Add(o.tasks[id].Size)
			tasks++
		}
	}
	q := o.quotas[task.Customer]
	if !onWorker.FitsIn(w.Capacity) || !ofCustomer.FitsIn(q.Limit) || tasks > q.Tasks {
		t.Fatalf("%v: worker has %v, customer %v in %d tasks", p, onWorker, ofCustomer, tasks)
	}
}

// checkReturn: two workers to a zone start at most one task a second together
// within a minute of the return.
func (o *oracle) checkReturn(t *rapid.T, zone string) {
	since := o.now.Sub(o.returned[zone])
	if since >= time.Minute {
		return
	}
	o.starts[zone] = append(o.starts[zone], o.now)
	if n := len(o.starts[zone]); float64(n) > since.Seconds() {
		t.Fatalf("%d starts in zone %s within %s of its return", n, zone, since)
	}
}

func (o *oracle) checkAction(t *rapid.T, a Action, before map[string]string) {
	if before[a.Task] != a.Worker || o.tasks[a.Task].Kind == Service {
		t.Fatalf("%+v on a task that did not run there or must not be acted on", a)
	}
	if a.Cause == Evacuation {
		if w := o.workers[a.Worker]; !o.out[w.Zone] && !w.Draining {
			t.Fatalf("%+v although the worker stays", a)
		}
		return
	}
	escalates := a.Kind == Stop && o.acting[a.Worker] == a.Task
	if other := o.acting[a.Worker]; other != "" && !escalates {
		t.Fatalf("%+v while the action on %s is not confirmed", a, other)
	}
	if last, acted := o.acted[a.Worker]; acted && o.now.Sub(last) < 5*time.Second && !escalates {
		t.Fatalf("%+v %s after the last action", a, o.now.Sub(last))
	}
	if !a.IsEviction() {
		o.acted[a.Worker] = o.now
		return
	}
	o.acting[a.Worker] = a.Task
	if escalates {
		return
	}
	o.evictions = append(o.evictions, o.now)
	if n := len(o.evictions); n > testEvictionsPerHour && o.now.Sub(o.evictions[n-1-testEvictionsPerHour]) < time.Hour {
		t.Fatalf("more than %d evictions within an hour", testEvictionsPerHour)
	}
}

// agedWithRoom: a task that waits beyond the aging bound waits only for its
// quota or for room: it fits no worker that is open to it.
func (o *oracle) agedWithRoom(t *rapid.T) string {
	for id, since := range o.waiting {
		if o.now.Sub(since) <= testAgingBound || o.s.held[id] != nil {
			continue
		}
		task := o.s.pending[id]
		if task == nil {
			t.Fatalf("task %s is neither pending nor held", id)
		}
		if o.s.cache.quotaRefusal(task.Customer, task.Size) != "" || o.quotaBlocked(task) {
			continue
		}
		for _, w := range o.s.cache.workers {
			if o.s.refusal(task, w) < 0 {
				return fmt.Sprintf("task %s waits since %s although %s has room", id, o.now.Sub(since), w.ID)
			}
		}
	}
	return ""
}

// quotaBlocked: an earlier task of the customer waits for the quota.
func (o *oracle) quotaBlocked(task *task) bool {
	for _, other := range o.s.pending {
		if other.Customer == task.Customer && o.s.cache.quotaRefusal(task.Customer, other.Size) != "" {
			return true
		}
	}
	return false
}

// Guards against overcommitted workers and quotas, starts in zones that are out
// or draining, returns of a zone without a bound, two actions at once on a
// worker, more evictions than the bound, and starvation beyond the aging bound.
func TestSchedulerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		t.Repeat(map[string]func(*rapid.T){
			"submit":       o.submit,
			"submit more":  o.submit,
			"submit again": o.submit,
			"zone":         o.setZone,
			"observe":      o.observe,
			"observe more": o.observe,
			"disturb":      o.disturb,
			"step":         o.step,
			"step again":   o.step,
			"wait": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"finish": func(t *rapid.T) {
				id := o.pick(t)
				o.end(id)
				o.s.RecordEnd(id, false, o.now)
			},
			"evicted": func(t *rapid.T) {
				id := o.pick(t)
				o.end(id)
				o.waiting[id] = o.now
				o.s.Requeue(id, o.now)
			},
			"refuse": func(t *rapid.T) {
				id := o.pick(t)
				if o.s.proposed[id] == nil {
					t.Skip("confirmed")
				}
				o.end(id)
				o.waiting[id] = o.s.proposed[id].since
				o.s.RejectPlacement(id, o.now)
			},
			"confirm": func(t *rapid.T) {
				id := o.pick(t)
				o.s.RecordPlacement(o.tasks[id], o.on[id], o.now)
			},
			"drain": func(t *rapid.T) {
				w := o.workers[rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "worker")]
				w.Draining = !w.Draining
				o.workers[w.ID] = w
				o.s.SetWorker(w, o.now)
			},
		})
	})
}
