package job

import (
	"maps"

	"github.com/ibispier/ibispier/fairqueue"
)

// Route identifies a queue.
type Route struct{ Host, Prefix string }

// Route returns the identity of the queue.
func (q *Queue) Route() Route { return Route{q.Host, q.Prefix} }

// Holding returns what a task of the step takes of the room of its service.
func (s *Step) Holding() fairqueue.Holding {
	h := fairqueue.Holding{Reserved: s.Reserved()}
	if s.Filling {
		h.FillingMilli = s.Need.CPUMilli
	}
	return h
}

// Held returns what the tasks of the queue hold on all targets. It follows from the
// applied entries alone, so every replica has the same.
func (st *Store) Held(r Route) fairqueue.Holding { return st.held[r] }

// HoldingQueues returns the queues whose tasks hold capacity.
func (st *Store) HoldingQueues() map[Route]fairqueue.Holding { return maps.Clone(st.held) }

// QueueAt returns the queue of the current configuration, or nil.
func (st *Store) QueueAt(r Route) *Queue { return st.queues[r] }

// addHeld accounts for a task that was placed, at the queue that its job was submitted to.
func (st *Store) addHeld(r Ref) {
	j := st.Jobs[r.Job]
	route := j.Queue.Route()
	st.held[route] = st.held[route].Add(j.Spec.Steps[r.Step].Holding())
}

// removeHeld accounts for a task that holds no capacity any more.
func (st *Store) removeHeld(r Ref) {
	j := st.Jobs[r.Job]
	route := j.Queue.Route()
	left := st.held[route].Sub(j.Spec.Steps[r.Step].Holding())
	if left == (fairqueue.Holding{}) {
		delete(st.held, route)
		return
	}
	st.held[route] = left
}
