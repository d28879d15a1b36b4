package placement

import (
	"time"

	"github.com/ibispier/ibispier/resource"
)

// Cache holds the workers, placed tasks, zones and quotas as placement knows them.
//
// Invariant: no proposal brings the sum of the declared sizes above the capacity
// of a worker or the quota of a customer.
type Cache struct {
	workers      []*worker
	byID         map[string]*worker
	tasks        map[string]*task // placed tasks
	zones        map[string]*zone
	spreadGroups map[string]*spreadGroup
	customers    map[string]*customer
	quota        *Quota          // of customers without one of their own
	capacity     resource.Vector // of all workers
}

type worker struct {
	Worker
	zone             *zone
	rack             string // unique across zones
	free             resource.Vector
	tasks            []*task
	measuredCPUMilli int64 // processor use of all tasks, declared where it is not measured
	lastRemoval      time.Time
	measuredSlowdown float64 // latest, of the slowest service; 0 when unknown
	expectedSlowdown float64 // by the estimates, at expectedAt; see Scheduler.expectedSlowdown
	expectedAt       time.Time
	quarantineReason string // empty unless the worker is quarantined
	onProbation      bool
	absent           bool
	reservedFor      *task
}

type task struct {
	Task
	worker         *worker
	spreadGroup    *spreadGroup
	waitingSince   time.Time // kept while a placement is proposed, for its rejection
	placedAt       time.Time
	proposed       bool      // the placement is not confirmed yet
	evicting       bool      // an eviction or evacuation is proposed
	evacuateAgain  time.Time // when an evacuation that had no effect is proposed again
	throttled      bool
	usedCPUMilli   int64 // measured, or declared until then
	exclusions     []exclusion
	pendingReason  pendingReason // valid while the task is pending or held
	reservedWorker *worker       // has capacity kept free for the task
}

// exclusion keeps a task off a worker that it was moved from or failed on.
type exclusion struct {
	worker string
	until  time.Time
}

type zone struct {
	name       string
	out        bool      // out of service
	returnedAt time.Time // zero unless the start rate is limited
	tokens     float64   // starts that the limited rate allows now
	tokensAt   time.Time
	workers    int
}

// spreadGroup counts the tasks of one customer and class by zone and rack, over
// which they are spread.
type spreadGroup struct {
	name  string
	total int
	zones map[string]int
	racks map[string]int
}

type customer struct {
	quota    Quota
	hasQuota bool
	used     resource.Vector
	tasks    int
}

func newCache() *Cache {
	return &Cache{
		byID:         map[string]*worker{},
		tasks:        map[string]*task{},
		zones:        map[string]*zone{},
		spreadGroups: map[string]*spreadGroup{},
		customers:    map[string]*customer{},
	}
}

func (c *Cache) zone(name string) *zone {
	z := c.zones[name]
	if z == nil {
		z = &zone{name: name}
		c.zones[name] = z
	}
	return z
}

func (c *Cache) customer(name string) *customer {
	u := c.customers[name]
	if u == nil {
		u = &customer{}
		c.customers[name] = u
	}
	return u
}

func (c *Cache) spreadGroup(t *Task) *spreadGroup {
	name := t.Customer + "/" + t.Class
	g := c.spreadGroups[name]
	if g == nil {
		g = &spreadGroup{name: name, zones: map[string]int{}, racks: map[string]int{}}
		c.spreadGroups[name] = g
	}
	return g
}

// setWorker adds a worker or updates it.
func (c *Cache) setWorker(info Worker) *worker {
	w := c.byID[info.ID]
	if w == nil {
		w = &worker{Worker: info}
		c.byID[info.ID] = w
		c.workers = append(c.workers, w)
	} else {
		c.capacity = c.capacity.Sub(w.Capacity)
		w.zone.workers--
		c.countInGroups(w, -1)
	}
	w.free = w.free.Add(info.Capacity)
	if w.zone != nil {
		w.free = w.free.Sub(w.Capacity)
	}
	c.capacity = c.capacity.Add(info.Capacity)
	w.Worker, w.absent = info, false
	w.zone = c.zone(info.Zone)
	w.zone.workers++
	w.rack = info.Zone + "/" + info.Rack
	c.countInGroups(w, 1)
	return w
}

// countInGroups adds the tasks of a worker to the counts of its zone and rack if
// sign is 1, and subtracts them if it is -1.
func (c *Cache) countInGroups(w *worker, sign int) {
	for _, t := range w.tasks {
		t.spreadGroup.count(w, sign)
	}
}

func (g *spreadGroup) count(w *worker, sign int) {
	addCount(g.zones, w.Zone, sign)
	addCount(g.racks, w.rack, sign)
}

func addCount(counts map[string]int, key string, n int) {
	if counts[key] += n; counts[key] == 0 {
		delete(counts, key)
	}
}

// removeWorker marks a worker as absent, so that it gets no new tasks, and drops
// it once no task is left on it.
func (c *Cache) removeWorker(w *worker) {
	w.absent = true
	if len(w.tasks) > 0 {
		return
	}
	delete(c.byID, w.ID)
	c.capacity = c.capacity.Sub(w.Capacity)
	w.zone.workers--
	for i, other := range c.workers {
		if other == w {
			c.workers = append(c.workers[:i], c.workers[i+1:]...)
			return
		}
	}
}

// place puts a task on a worker.
func (c *Cache) place(t *task, w *worker, now time.Time) {
	t.worker, t.placedAt, t.usedCPUMilli = w, now, t.Size.CPUMilli
	t.spreadGroup = c.spreadGroup(&t.Task)
	c.tasks[t.ID] = t
	w.tasks = append(w.tasks, t)
	w.free = w.free.Sub(t.Size)
	w.measuredCPUMilli += t.usedCPUMilli
	w.expectedAt = time.Time{}
	u := c.customer(t.Customer)
	u.used = u.used.Add(t.Size)
	u.tasks++
	t.spreadGroup.total++
	t.spreadGroup.count(w, 1)
}

// remove removes a task from its worker.
func (c *Cache) remove(t *task, now time.Time) {
	w := t.worker
	delete(c.tasks, t.ID)
	for i, other := range w.tasks {
		if other == t {
			w.tasks[i] = w.tasks[len(w.tasks)-1]
			w.tasks[len(w.tasks)-1] = nil
			w.tasks = w.tasks[:len(w.tasks)-1]
			break
		}
	}
	w.free = w.free.Add(t.Size)
	w.measuredCPUMilli -= t.usedCPUMilli
	w.expectedAt = time.Time{}
	w.lastRemoval = now
	u := c.customer(t.Customer)
	u.used = u.used.Sub(t.Size)
	u.tasks--
	c.removeFromGroup(t, w)
	t.worker, t.proposed, t.evicting, t.throttled, t.evacuateAgain = nil, false, false, false, time.Time{}
	if w.absent {
		c.removeWorker(w)
	}
}

func (c *Cache) removeFromGroup(t *task, w *worker) {
	g := t.spreadGroup
	g.total--
	g.count(w, -1)
	if g.total == 0 {
		delete(c.spreadGroups, g.name)
	}
}

// quotaOf returns the customer's own quota or the default one, or false if there
// is neither.
func (c *Cache) quotaOf(u *customer) (Quota, bool) {
	if !u.hasQuota && c.quota != nil {
		return *c.quota, true
	}
	return u.quota, u.hasQuota
}

// quotaRefusal returns why the customer's quota does not allow another task of
// the given size, or "".
func (c *Cache) quotaRefusal(name string, size resource.Vector) string {
	u := c.customer(name)
	quota, found := c.quotaOf(u)
	switch {
	case !found:
		return "customer has no plan"
	case u.tasks >= quota.Tasks:
		return "quota: task limit reached"
	case !u.used.Add(size).FitsIn(quota.Limit):
		return "quota: resource limit reached"
	}
	return ""
}
