package routing

import "container/heap"

// unscheduled is the index of a call that is not in the heap.
const unscheduled = -1

// timers is a heap of calls by the time of their next step.
type timers []*call

// schedule puts c at its next step.
func (r *Router) schedule(c *call) {
	c.wake = c.request.Deadline
	if !c.hedgeAt.IsZero() && c.hedgeAt.Before(c.wake) {
		c.wake = c.hedgeAt
	}
	if !c.retryAt.IsZero() && c.retryAt.Before(c.wake) {
		c.wake = c.retryAt
	}
	if c.index == unscheduled {
		heap.Push(&r.timers, c)
		return
	}
	heap.Fix(&r.timers, c.index)
}

func (r *Router) unschedule(c *call) {
	if c.index != unscheduled {
		heap.Remove(&r.timers, c.index)
	}
}

func (t timers) first() *call {
	if len(t) == 0 {
		return nil
	}
	return t[0]
}

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface. The sequence makes the order of calls with
// equal times the same in every run.
func (t timers) Less(i, j int) bool {
	if t[i].wake.Equal(t[j].wake) {
		return t[i].sequence < t[j].sequence
	}
	return t[i].wake.Before(t[j].wake)
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	c := x.(*call)
	c.index = len(*t)
	*t = append(*t, c)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	c := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	c.index = unscheduled
	return c
}

// waiting is a heap of calls that wait for a target, the most urgent first.
type waiting []*call

func (w *waiting) add(c *call) { heap.Push(w, c) }

func (w *waiting) remove(c *call) { heap.Remove(w, c.place) }

// Len implements heap.Interface.
func (w waiting) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiting) Less(i, j int) bool {
	if w[i].request.Priority != w[j].request.Priority {
		return w[i].request.Priority > w[j].request.Priority
	}
	return w[i].sequence < w[j].sequence
}

// Swap implements heap.Interface.
func (w waiting) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].place, w[j].place = i, j
}

// Push implements heap.Interface.
func (w *waiting) Push(x any) {
	c := x.(*call)
	c.place = len(*w)
	*w = append(*w, c)
}

// Pop implements heap.Interface.
func (w *waiting) Pop() any {
	last := len(*w) - 1
	c := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	return c
}
