package routing

import "container/heap"

// deadlines is a heap of attempts by the deadline of their request.
type deadlines []*attempt

func (d *deadlines) add(a *attempt) { heap.Push(d, a) }

func (d *deadlines) remove(a *attempt) { heap.Remove(d, a.index) }

func (d deadlines) first() *attempt {
	if len(d) == 0 {
		return nil
	}
	return d[0]
}

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, j int) bool {
	return d[i].Request.Deadline.Before(d[j].Request.Deadline)
}

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	a := x.(*attempt)
	a.index = len(*d)
	*d = append(*d, a)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	a := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return a
}
