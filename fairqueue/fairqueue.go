package fairqueue

import (
	"container/heap"
	"time"

	"github.com/ibispier/ibispier/resource"
)

// Policy names an order of pending tasks.
type Policy string

// Policies. FIFO is the baseline for comparisons.
const (
	Fair Policy = "fair"
	FIFO Policy = "fifo"
)

// agedOfferInterval: one of four offers goes to aged tasks while urgent ones wait. It
// costs urgent tasks at most a third more offers.
const agedOfferInterval = 4

// DefaultAgingBound keeps a pending task ahead of newer work after 5 minutes.
const DefaultAgingBound = 5 * time.Minute

// Options configure a Queue.
type Options struct {
	Policy     Policy
	AgingBound time.Duration
}

// Item is a pending task.
type Item struct {
	ID           string
	Customer     string
	Urgent       bool
	Size         resource.Vector
	WaitingSince time.Time // start of the wait
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

// customer holds the pending tasks of one customer in order of arrival.
type customer struct {
	name       string
	urgent     []*entry
	normal     []*entry
	inUse      resource.Vector
	hasRemoved bool // some entry is marked as removed

	// State of the pass.
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

// SetCapacity sets the capacity that shares refer to.
func (q *Queue) SetCapacity(capacity resource.Vector) { q.capacity = capacity }

// Charge adds size to what the customer has in use. Release subtracts it.
func (q *Queue) Charge(name string, size resource.Vector) {
	c := q.customer(name)
	c.inUse = c.inUse.Add(size)
}

// Release subtracts size from what the customer has in use.
func (q *Queue) Release(name string, size resource.Vector) {
	c := q.customer(name)
	c.inUse = c.inUse.Sub(size)
	q.dropIfIdle(c)
}

// Add appends a task. A task that is already pending is not added again.
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

// Remove drops a pending task, for example a cancelled one.
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

// compact drops the removed entries.
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

// BeginPass starts a pass at time now.
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

// Next offers a task, or reports that all tasks of the pass were offered.
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

// Take removes the offered task because it was placed, and charges its size to
// the customer.
func (q *Queue) Take() {
	e := q.pass.current()
	q.Remove(e.ID)
	q.Charge(e.Customer, e.Size)
	q.Skip()
}

// Drop removes the offered task without a charge.
func (q *Queue) Drop() {
	q.Remove(q.pass.current().ID)
	q.Skip()
}

// Skip passes over the offered task until the next pass.
func (q *Queue) Skip() { q.pass.advance() }

// SkipCustomer passes over all tasks of the customer of the offered task until
// the next pass.
func (q *Queue) SkipCustomer() {
	c := q.pass.offered
	c.nextUrgent, c.nextNormal = len(c.urgent), len(c.normal)
	q.pass.reorder(c)
}
