package routing

import "container/heap"

// unscheduled is the index of a call that is not in the heap.
const unscheduled = -1

// timers is a heap of calls, ordered by the time of their next step.
type timers []*call

// schedule inserts or moves c to the time of its next step.
func (r *Router) schedule(c *call) {
	c.wakeAt = c.request.Deadline
	if !c.hedgeAt.IsZero() && c.hedgeAt.Before(c.wakeAt) {
		c.wakeAt = c.hedgeAt
	}
	if !c.retryAt.IsZero() && c.retryAt.Before(c.wakeAt) {
		c.wakeAt = c.retryAt
	}
	if c.timerIndex == unscheduled {
		heap.Push(&r.timers, c)
		return
	}
	heap.Fix(&r.timers, c.timerIndex)
}

func (r *Router) unschedule(c *call) {
	if c.timerIndex != unscheduled {
		heap.Remove(&r.timers, c.timerIndex)
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

// Less implements heap.Interface. The sequence number gives calls with equal
// times the same order in every run.
func (t timers) Less(i, j int) bool {
	if t[i].wakeAt.Equal(t[j].wakeAt) {
		return t[i].sequence < t[j].sequence
	}
	return t[i].wakeAt.Before(t[j].wakeAt)
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timerIndex, t[j].timerIndex = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	c := x.(*call)
	c.timerIndex = len(*t)
	*t = append(*t, c)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	c := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	c.timerIndex = unscheduled
	return c
}

// waitQueue is a heap of calls that wait for a target, ordered by priority and
// then by arrival.
type waitQueue []*call

func (w *waitQueue) add(c *call) { heap.Push(w, c) }

func (w *waitQueue) remove(c *call) { heap.Remove(w, c.waitingIndex) }

// Len implements heap.Interface.
func (w waitQueue) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waitQueue) Less(i, j int) bool {
	if w[i].request.Priority != w[j].request.Priority {
		return w[i].request.Priority > w[j].request.Priority
	}
	return w[i].sequence < w[j].sequence
}

// Swap implements heap.Interface.
func (w waitQueue) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].waitingIndex, w[j].waitingIndex = i, j
}

// Push implements heap.Interface.
func (w *waitQueue) Push(x any) {
	c := x.(*call)
	c.waitingIndex = len(*w)
	*w = append(*w, c)
}

// Pop implements heap.Interface.
func (w *waitQueue) Pop() any {
	last := len(*w) - 1
	c := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	return c
}
