package fairqueue

import (
	"container/heap"
	"time"

	"github.com/ibispier/ibispier/resource"
)

// Policy selects the order in which pending tasks are offered.
type Policy string

// Policies. FIFO is the baseline that Fair is compared against.
const (
	Fair Policy = "fair"
	FIFO Policy = "fifo"
)

// agedOfferInterval is the number of offers of which one goes to a task beyond
// the aging bound while urgent tasks are pending. With 4, urgent tasks need at
// most a third more offers.
const agedOfferInterval = 4

// customerWeight is the weight of every customer. Their plans limit them by quotas.
const customerWeight = 1

// DefaultAgingBound is the wait after which a pending task goes ahead of newer
// non-urgent tasks.
const DefaultAgingBound = 5 * time.Minute

// Options configure a Queue.
type Options struct {
	Policy     Policy        // default Fair
	AgingBound time.Duration // default DefaultAgingBound
}

// Item is a pending task.
type Item struct {
	ID           string
	Customer     string
	Urgent       bool
	Size         resource.Vector
	WaitingSince time.Time // start of the current wait
}

// Queue holds the pending tasks of all customers.
type Queue struct {
	options   Options
	items     map[string]*entry
	customers map[string]*customer
	sequence  uint64
	capacity  resource.Vector
	pass      pass
}

type entry struct {
	Item
	sequence uint64
	removed  bool
}

// customer holds the pending tasks of one customer, urgent and normal ones in
// order of arrival each.
type customer struct {
	name       string
	urgent     []*entry
	normal     []*entry
	inUse      resource.Vector
	hasRemoved bool // some entry is marked as removed

	// State of the current pass: the positions of the next tasks to offer, and
	// the place of the customer in the heap.
	nextUrgent, nextNormal int
	orderKey               orderKey
}

// New returns an empty queue.
func New(o Options) *Queue {
	if o.Policy == "" {
		o.Policy = Fair
	}
	if o.AgingBound == 0 {
		o.AgingBound = DefaultAgingBound
	}
	return &Queue{options: o, items: map[string]*entry{}, customers: map[string]*customer{}}
}

// SetCapacity sets the total capacity that dominant shares are computed from.
func (q *Queue) SetCapacity(capacity resource.Vector) { q.capacity = capacity }

// Charge adds size to the resources that the customer has in use.
func (q *Queue) Charge(name string, size resource.Vector) {
	c := q.customer(name)
	c.inUse = c.inUse.Add(size)
}

// Release subtracts size from the resources that the customer has in use.
func (q *Queue) Release(name string, size resource.Vector) {
	c := q.customer(name)
	c.inUse = c.inUse.Sub(size)
	q.dropIfIdle(c)
}

// Add appends a task to its customer's queue. It returns false, and changes
// nothing, if the task is already pending.
func (q *Queue) Add(item Item) bool {
	if _, pending := q.items[item.ID]; pending {
		return false
	}
	q.sequence++
	e := &entry{Item: item, sequence: q.sequence}
	q.items[item.ID] = e
	c := q.customer(item.Customer)
	if item.Urgent {
		c.urgent = append(c.urgent, e)
	} else {
		c.normal = append(c.normal, e)
	}
	return true
}

// Remove marks a pending task, such as a cancelled one, as removed. It returns
// false if the task is not pending.
func (q *Queue) Remove(id string) bool {
	e, pending := q.items[id]
	if !pending {
		return false
	}
	delete(q.items, id)
	e.removed = true
	q.customers[e.Customer].hasRemoved = true
	return true
}

// Len returns the number of pending tasks.
func (q *Queue) Len() int { return len(q.items) }

// Contains reports whether the task is pending.
func (q *Queue) Contains(id string) bool { return q.items[id] != nil }

func (q *Queue) customer(name string) *customer {
	c := q.customers[name]
	if c == nil {
		c = &customer{name: name}
		q.customers[name] = c
	}
	return c
}

func (q *Queue) dropIfIdle(c *customer) {
	if c.inUse == (resource.Vector{}) && len(c.urgent) == 0 && len(c.normal) == 0 {
		delete(q.customers, c.name)
	}
}

// compact drops the entries that are marked as removed.
func (c *customer) compact() {
	if !c.hasRemoved {
		return
	}
	c.urgent = withoutRemoved(c.urgent)
	c.normal = withoutRemoved(c.normal)
	c.hasRemoved = false
}

func withoutRemoved(entries []*entry) []*entry {
	kept := entries[:0]
	for _, e := range entries {
		if !e.removed {
			kept = append(kept, e)
		}
	}
	clear(entries[len(kept):])
	return kept
}

// BeginPass starts a scheduling pass at time now.
func (q *Queue) BeginPass(now time.Time) {
	q.pass = pass{queue: q, now: now, heap: q.pass.heap[:0], offerCount: q.pass.offerCount}
	for _, c := range q.customers {
		c.compact()
		if len(c.urgent)+len(c.normal) == 0 {
			q.dropIfIdle(c)
			continue
		}
		c.nextUrgent, c.nextNormal = 0, 0
		c.orderKey = q.pass.orderKeyOf(c)
		q.pass.heap = append(q.pass.heap, c)
	}
	heap.Init(&q.pass)
}

// Next offers the next task. It returns false once all tasks of the pass were
// offered.
func (q *Queue) Next() (Item, bool) {
	p := &q.pass
	p.pruneHeap()
	if len(p.heap) == 0 {
		return Item{}, false
	}
	p.offerCount++
	p.offered = p.heap[0]
	p.isAgedOffer = false
	if p.offerCount%agedOfferInterval == 0 && p.heap[0].orderKey.rank == rankUrgent {
		p.offerAged()
	}
	return p.current().Item, true
}

// Take removes the offered task after it was placed, and charges its size to
// its customer.
func (q *Queue) Take() {
	e := q.pass.current()
	q.Remove(e.ID)
	q.Charge(e.Customer, e.Size)
	q.Skip()
}

// Drop removes the offered task without charging its customer.
func (q *Queue) Drop() {
	q.Remove(q.pass.current().ID)
	q.Skip()
}

// Skip leaves the offered task pending until the next pass.
func (q *Queue) Skip() { q.pass.advance() }

// SkipCustomer leaves all remaining tasks of the offered task's customer
// pending until the next pass.
func (q *Queue) SkipCustomer() {
	c := q.pass.offered
	c.nextUrgent, c.nextNormal = len(c.urgent), len(c.normal)
	q.pass.reorder(c)
}
