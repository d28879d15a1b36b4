package fairqueue

import (
	"container/heap"
	"time"
)

type rank uint8

const (
	rankUrgent rank = iota
	rankAged
	rankNormal
	rankExhausted
)

// orderKey is the sort key of a customer in the heap of a pass. It is derived
// from the customer's next task.
type orderKey struct {
	rank     rank
	since    time.Time
	share    float64
	sequence uint64
}

// pass is a scheduling pass: a heap of the customers that have tasks left to
// offer. It implements heap.Interface.
type pass struct {
	queue       *Queue
	now         time.Time
	heap        []*customer
	offerCount  int
	offered     *customer
	isAgedOffer bool // the offer is an aged normal task, made while urgent tasks are pending
}

func (p *pass) Len() int           { return len(p.heap) }
func (p *pass) Less(i, j int) bool { return p.heap[i].orderKey.before(p.heap[j].orderKey) }
func (p *pass) Swap(i, j int)      { p.heap[i], p.heap[j] = p.heap[j], p.heap[i] }
func (p *pass) Push(x any)         { p.heap = append(p.heap, x.(*customer)) }
func (p *pass) Pop() any {
	last := p.heap[len(p.heap)-1]
	p.heap = p.heap[:len(p.heap)-1]
	return last
}

func (k orderKey) before(other orderKey) bool {
	if k.rank != other.rank {
		return k.rank < other.rank
	}
	if k.rank == rankAged && !k.since.Equal(other.since) {
		return k.since.Before(other.since)
	}
	if k.share != other.share {
		return k.share < other.share
	}
	return k.sequence < other.sequence
}

func (p *pass) orderKeyOf(c *customer) orderKey {
	e := c.next()
	if e == nil {
		return orderKey{rank: rankExhausted}
	}
	if p.queue.options.Policy == FIFO {
		return p.fifoKey(c)
	}
	k := orderKey{rank: rankNormal, since: e.WaitingSince, sequence: e.sequence}
	k.share = Pool{Capacity: p.queue.capacity}.Level(Holding{Reserved: c.inUse.Add(e.Size)}, customerWeight)
	switch {
	case e.Urgent:
		k.rank = rankUrgent
	case p.isAged(e):
		k.rank = rankAged
	}
	return k
}

// fifoKey orders customers by the arrival of their next task alone, be it
// urgent or normal.
func (p *pass) fifoKey(c *customer) orderKey {
	return orderKey{rank: rankNormal, sequence: c.nextByArrival().sequence}
}

func (p *pass) isAged(e *entry) bool {
	return p.now.Sub(e.WaitingSince) > p.queue.options.AgingBound
}

func (e *entry) olderThan(other *entry) bool {
	if !e.WaitingSince.Equal(other.WaitingSince) {
		return e.WaitingSince.Before(other.WaitingSince)
	}
	return e.sequence < other.sequence
}

// next returns the customer's next task of the pass, urgent tasks first, or nil.
func (c *customer) next() *entry {
	if c.nextUrgent < len(c.urgent) {
		return c.urgent[c.nextUrgent]
	}
	return c.normalHead()
}

func (c *customer) normalHead() *entry {
	if c.nextNormal < len(c.normal) {
		return c.normal[c.nextNormal]
	}
	return nil
}

func (c *customer) nextByArrival() *entry {
	urgent, normal := c.next(), c.normalHead()
	if normal != nil && normal.sequence < urgent.sequence {
		return normal
	}
	return urgent
}

// pruneHeap pops customers without further tasks from the top of the heap, and
// skips tasks that were removed after BeginPass.
func (p *pass) pruneHeap() {
	for len(p.heap) > 0 {
		c := p.heap[0]
		if !c.skipRemoved() {
			return
		}
		c.orderKey = p.orderKeyOf(c)
		if c.orderKey.rank == rankExhausted {
			heap.Pop(p)
			continue
		}
		heap.Fix(p, 0)
	}
}

// skipRemoved advances past removed tasks, and reports whether the customer's
// key is out of date.
func (c *customer) skipRemoved() bool {
	stale := c.orderKey.rank == rankExhausted
	for c.nextUrgent < len(c.urgent) && c.urgent[c.nextUrgent].removed {
		c.nextUrgent++
		stale = true
	}
	for c.nextNormal < len(c.normal) && c.normal[c.nextNormal].removed {
		c.nextNormal++
		stale = true
	}
	return stale
}

// offerAged changes the offer to the task with the longest wait beyond the
// aging bound, if there is one.
func (p *pass) offerAged() {
	var oldest *customer
	for _, c := range p.heap {
		if c.skipRemoved() {
			c.orderKey = p.orderKeyOf(c)
		}
		e := c.normalHead()
		if e == nil || !p.isAged(e) {
			continue
		}
		if oldest == nil || e.olderThan(oldest.normalHead()) {
			oldest = c
		}
	}
	heap.Init(p)
	if oldest != nil {
		p.offered, p.isAgedOffer = oldest, true
	}
}

// current returns the task that is on offer.
func (p *pass) current() *entry {
	c := p.offered
	switch {
	case p.isAgedOffer:
		return c.normalHead()
	case p.queue.options.Policy == FIFO:
		return c.nextByArrival()
	default:
		return c.next()
	}
}

func (p *pass) advance() {
	e := p.current()
	if e.Urgent {
		p.offered.nextUrgent++
	} else {
		p.offered.nextNormal++
	}
	p.reorder(p.offered)
}

func (p *pass) reorder(c *customer) {
	c.orderKey = p.orderKeyOf(c)
	if p.heap[0] == c {
		heap.Fix(p, 0)
		return
	}
	heap.Init(p)
}
