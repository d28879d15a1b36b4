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
	rankDone
)

// key orders the customers of a pass by their next task.
type key struct {
	rank     rank
	since    time.Time
	share    float64
	sequence uint64
}

// pass is a heap of the customers that have tasks left to offer.
type pass struct {
	queue         *Queue
	now           time.Time
	heap          []*customer
	turn          int
	offered       *customer
	offeredNormal bool // the offer is the aged normal task although urgent ones wait
}

func (p *pass) Len() int           { return len(p.heap) }
func (p *pass) Less(i, j int) bool { return p.heap[i].key.before(p.heap[j].key) }
func (p *pass) Swap(i, j int)      { p.heap[i], p.heap[j] = p.heap[j], p.heap[i] }
func (p *pass) Push(x any)         { p.heap = append(p.heap, x.(*customer)) }
func (p *pass) Pop() any {
	last := p.heap[len(p.heap)-1]
	p.heap = p.heap[:len(p.heap)-1]
	return last
}

func (k key) before(other key) bool {
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

func (p *pass) keyOf(c *customer) key {
	e := c.next()
	if e == nil {
		return key{rank: rankDone}
	}
	if p.queue.options.Policy == FIFO {
		return p.fifoKey(c)
	}
	k := key{rank: rankNormal, since: e.WaitingSince, sequence: e.sequence}
	k.share = c.inUse.Add(e.Size).DominantShare(p.queue.total)
	switch {
	case e.Urgent:
		k.rank = rankUrgent
	case p.isAged(e):
		k.rank = rankAged
	}
	return k
}

// fifoKey orders by arrival only, across urgent and other tasks.
func (p *pass) fifoKey(c *customer) key {
	return key{rank: rankNormal, sequence: c.nextInOrder().sequence}
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

// next returns the next task of the pass: urgent ones first.
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

func (c *customer) nextInOrder() *entry {
	urgent, normal := c.next(), c.normalHead()
	if normal != nil && normal.sequence < urgent.sequence {
		return normal
	}
	return urgent
}

// settle removes customers without tasks from the heap, and passes over tasks
// that were removed after Begin.
func (p *pass) settle() {
	for len(p.heap) > 0 {
		c := p.heap[0]
		if !c.skipRemoved() {
			return
		}
		c.key = p.keyOf(c)
		if c.key.rank == rankDone {
			heap.Pop(p)
			continue
		}
		heap.Fix(p, 0)
	}
}

// skipRemoved reports whether the key of the customer is out of date.
func (c *customer) skipRemoved() bool {
	moved := c.key.rank == rankDone
	for c.nextUrgent < len(c.urgent) && c.urgent[c.nextUrgent].removed {
		c.nextUrgent++
		moved = true
	}
	for c.nextNormal < len(c.normal) && c.normal[c.nextNormal].removed {
		c.nextNormal++
		moved = true
	}
	return moved
}

// offerAged turns the offer to the longest wait beyond the aging bound.
func (p *pass) offerAged() {
	var oldest *customer
	for _, c := range p.heap {
		if c.skipRemoved() {
			c.key = p.keyOf(c)
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
		p.offered, p.offeredNormal = oldest, true
	}
}

// current returns the offered task.
func (p *pass) current() *entry {
	c := p.offered
	switch {
	case p.offeredNormal:
		return c.normalHead()
	case p.queue.options.Policy == FIFO:
		return c.nextInOrder()
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
	c.key = p.keyOf(c)
	if p.heap[0] == c {
		heap.Fix(p, 0)
		return
	}
	heap.Init(p)
}
