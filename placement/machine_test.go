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

// oracle tracks which task runs on which worker from the proposals alone, and
// checks every proposal against its record.
type oracle struct {
	s                 *Scheduler
	now               time.Time
	workers           map[string]Worker
	quotas            map[string]Quota
	tasks             map[string]Task
	workerOf          map[string]string // worker by task
	waitingSince      map[string]time.Time
	pendingAction     map[string]string // task with an unconfirmed action, by worker
	lastActionAt      map[string]time.Time
	evictions         []time.Time
	zonesOut          map[string]bool
	returnedAt        map[string]time.Time
	startsAfterReturn map[string][]time.Time // by zone that has returned
	nextID            int
}

func newOracle() *oracle {
	o := &oracle{
		s: New(Options{
			EvictionsPerHour: testEvictionsPerHour,
			Queue:            fairqueue.Options{AgingBound: testAgingBound},
			Mitigation:       interference.MitigatorOptions{DisturbedAbove: 1.3, RecoveredBelow: 1.1, ConsecutiveReports: 1, SettlingTime: 5 * time.Second},
			ProposalTimeout:  24 * time.Hour, // proposals do not expire during the test
		}),
		now: epoch, workers: map[string]Worker{}, quotas: map[string]Quota{}, tasks: map[string]Task{},
		workerOf: map[string]string{}, waitingSince: map[string]time.Time{}, pendingAction: map[string]string{}, lastActionAt: map[string]time.Time{},
		zonesOut: map[string]bool{}, returnedAt: map[string]time.Time{}, startsAfterReturn: map[string][]time.Time{},
	}
	for i := range 6 {
		w := Worker{ID: fmt.Sprint("w", i), Zone: fmt.Sprint("z", i%3), Rack: "r", Capacity: size(16, 64)}
		o.workers[w.ID] = w
		o.s.SetWorker(w, o.now)
		service := Task{ID: "service-" + w.ID, Customer: "desk", Kind: Service, Class: "quote", Size: size(4, 8)}
		o.tasks[service.ID], o.workerOf[service.ID] = service, w.ID
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
	o.nextID++
	task := Task{
		ID: fmt.Sprint("t", o.nextID), Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"),
		Class: rapid.SampledFrom([]string{"scan", "sort"}).Draw(t, "class"), Urgent: rapid.IntRange(0, 4).Draw(t, "urgent") == 4,
		Size: size(rapid.IntRange(1, 12).Draw(t, "cpu"), rapid.IntRange(1, 40).Draw(t, "memory")),
	}
	if rapid.IntRange(0, 3).Draw(t, "restricted") == 3 {
		task.Zones = []string{rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(t, "zone")}
	}
	o.tasks[task.ID], o.waitingSince[task.ID] = task, o.now
	o.s.Submit(task, o.now)
}

func (o *oracle) drawRunning(t *rapid.T) string {
	var ids []string
	for id := range o.workerOf {
		if o.tasks[id].Kind != Service {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("no running task")
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "task")
}

func (o *oracle) endTask(id string) {
	if o.pendingAction[o.workerOf[id]] == id {
		delete(o.pendingAction, o.workerOf[id])
		o.lastActionAt[o.workerOf[id]] = o.now
	}
	delete(o.workerOf, id)
}

func (o *oracle) setZone(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(t, "zone")
	o.zonesOut[zone] = !o.zonesOut[zone]
	if !o.zonesOut[zone] {
		o.returnedAt[zone], o.startsAfterReturn[zone] = o.now, nil
	}
	o.s.SetZone(zone, o.zonesOut[zone], o.now)
}

func (o *oracle) observe(t *rapid.T) {
	worker := rapid.SampledFrom([]string{"w0", "w1", "w2", "w3", "w4", "w5"}).Draw(t, "worker")
	o.observeWorker(t, worker, rapid.SampledFrom([]float64{1, 1.2, 3}).Draw(t, "slowdown"))
}

// disturb reports slow services on two workers, until the mitigators act.
func (o *oracle) disturb(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "reports") {
		o.now = o.now.Add(3 * time.Second)
		o.observeWorker(t, "w4", 3)
		o.observeWorker(t, "w5", 3)
		o.step(t)
	}
}

func (o *oracle) observeWorker(t *rapid.T, worker string, slowdown float64) {
	usage := []Usage{{Task: "service-" + worker, Used: size(2, 8), Slowdown: slowdown, MeasuredAt: o.now}}
	for _, id := range slices.Sorted(maps.Keys(o.workerOf)) {
		if o.workerOf[id] == worker && o.tasks[id].Kind != Service {
			usage = append(usage, Usage{Task: id, Used: size(rapid.IntRange(0, 20).Draw(t, "used"), 1), MeasuredAt: o.now})
		}
	}
	o.s.Observe(worker, usage, o.now)
}

func (o *oracle) step(t *rapid.T) {
	o.runStep(t)
	// Capacity that is freed by a reservation that ends within the step is used
	// in the next one.
	if o.starvedTask(t) != "" {
		o.runStep(t)
	}
	if starved := o.starvedTask(t); starved != "" {
		t.Fatal(starved)
	}
}

func (o *oracle) runStep(t *rapid.T) {
	before := map[string]string{}
	for id, w := range o.workerOf {
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
	if _, isPending := o.waitingSince[p.Task]; !isPending {
		t.Fatalf("%v: the task is not pending", p)
	}
	delete(o.waitingSince, p.Task)
	o.workerOf[p.Task] = p.Worker
	if o.zonesOut[w.Zone] || w.Draining || !task.allows(w.Zone) {
		t.Fatalf("%v: zone out=%t draining=%t allowed=%v", p, o.zonesOut[w.Zone], w.Draining, task.Zones)
	}
	o.checkReturnRate(t, w.Zone)
	var onWorker, ofCustomer resource.Vector
	tasks := 0
	for id, worker := range o.workerOf {
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

// checkReturnRate checks the starts within a minute of a zone's return: at 0.5 per
// second and worker, a zone of two workers starts at most one task per second.
func (o *oracle) checkReturnRate(t *rapid.T, zone string) {
	since := o.now.Sub(o.returnedAt[zone])
	if since >= time.Minute {
		return
	}
	o.startsAfterReturn[zone] = append(o.startsAfterReturn[zone], o.now)
	if n := len(o.startsAfterReturn[zone]); float64(n) > since.Seconds() {
		t.Fatalf("%d starts in zone %s within %s of its return", n, zone, since)
	}
}

func (o *oracle) checkAction(t *rapid.T, a Action, before map[string]string) {
	if before[a.Task] != a.Worker || o.tasks[a.Task].Kind == Service {
		t.Fatalf("%+v on a service or on a task that does not run there", a)
	}
	if a.Cause == Evacuation {
		if w := o.workers[a.Worker]; !o.zonesOut[w.Zone] && !w.Draining {
			t.Fatalf("%+v although the worker is not draining and its zone is in service", a)
		}
		return
	}
	escalates := a.Kind == Stop && o.pendingAction[a.Worker] == a.Task
	if other := o.pendingAction[a.Worker]; other != "" && !escalates {
		t.Fatalf("%+v while the action on %s is not confirmed", a, other)
	}
	if last, acted := o.lastActionAt[a.Worker]; acted && o.now.Sub(last) < 5*time.Second && !escalates {
		t.Fatalf("%+v %s after the last action", a, o.now.Sub(last))
	}
	if !a.IsEviction() {
		o.lastActionAt[a.Worker] = o.now
		return
	}
	o.pendingAction[a.Worker] = a.Task
	if escalates {
		return
	}
	o.evictions = append(o.evictions, o.now)
	if n := len(o.evictions); n > testEvictionsPerHour && o.now.Sub(o.evictions[n-1-testEvictionsPerHour]) < time.Hour {
		t.Fatalf("more than %d evictions within an hour", testEvictionsPerHour)
	}
}

// starvedTask returns a message about a task that is pending beyond the aging
// bound although its quota and a worker would allow its placement, or "".
func (o *oracle) starvedTask(t *rapid.T) string {
	for id, since := range o.waitingSince {
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
			if o.s.refusingFilter(task, w) < 0 {
				return fmt.Sprintf("task %s has been pending for %s although it fits on %s", id, o.now.Sub(since), w.ID)
			}
		}
	}
	return ""
}

// quotaBlocked reports whether a pending task of the same customer exceeds the
// quota, since the queue then skips all tasks of the customer.
func (o *oracle) quotaBlocked(task *task) bool {
	for _, other := range o.s.pending {
		if other.Customer == task.Customer && o.s.cache.quotaRefusal(task.Customer, other.Size) != "" {
			return true
		}
	}
	return false
}

// Guards against overcommitted workers and quotas, placements in zones that are
// out of service or on draining workers, an unbounded start rate in a returned
// zone, two actions at once on a worker, more evictions per hour than the budget,
// and starvation beyond the aging bound.
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
				id := o.drawRunning(t)
				o.endTask(id)
				o.s.RecordEnd(id, false, o.now)
			},
			"evicted": func(t *rapid.T) {
				id := o.drawRunning(t)
				o.endTask(id)
				o.waitingSince[id] = o.now
				o.s.Requeue(id, o.now)
			},
			"refuse": func(t *rapid.T) {
				id := o.drawRunning(t)
				if o.s.proposed[id] == nil {
					t.Skip("the placement is confirmed")
				}
				o.endTask(id)
				o.waitingSince[id] = o.s.proposed[id].waitingSince
				o.s.RejectPlacement(id, o.now)
			},
			"confirm": func(t *rapid.T) {
				id := o.drawRunning(t)
				o.s.RecordPlacement(o.tasks[id], o.workerOf[id], o.now)
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
