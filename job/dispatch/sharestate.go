package dispatch

import (
	"cmp"
	"slices"

	"github.com/ibispier/ibispier/fairqueue"
	"github.com/ibispier/ibispier/job"
)

// QueueShare tells how a queue stands in relation to the others of its service and
// priority.
type QueueShare struct {
	Route    job.Route
	Service  string
	Priority int
	Held     float64 // dominant share of the room of the service
	Due      float64 // share of what the queues of the priority hold together, by weight
	Waiting  bool    // it has ready tasks
	Deferred uint64  // passes in which tasks of it found no room after another queue was given some
}

// CompetesWith reports whether the queues compete for the same room at one priority.
func (x *QueueShare) CompetesWith(other *QueueShare) bool {
	return x.Route != other.Route && x.Service == other.Service && x.Priority == other.Priority
}

// QueueShares returns the shares of the queues that hold room or have ready tasks, in the
// order of their routes. Queues without targets that have reported are left out: a leader
// that has just changed knows no room yet.
func (d *Dispatcher) QueueShares(st *job.Store) []QueueShare {
	waiting := map[job.Route]bool{}
	for _, j := range st.LiveJobs() {
		if j.HasReadyTasks() {
			waiting[j.Queue.Route()] = true
		}
	}
	routes := st.HoldingQueues()
	for r := range waiting {
		routes[r] = st.Held(r)
	}
	pools := map[string]*fairqueue.Pool{}
	var shares []QueueShare
	for r, held := range routes {
		q := st.QueueAt(r)
		if q == nil {
			continue
		}
		pool := d.pool(pools, q.Service)
		if pool.Capacity.CPUMilli == 0 {
			continue
		}
		shares = append(shares, QueueShare{
			Route: r, Service: q.Service, Priority: q.Priority,
			Held: pool.Share(held), Waiting: waiting[r], Deferred: d.deferred[r],
		})
	}
	slices.SortFunc(shares, func(x, y QueueShare) int {
		return cmp.Or(cmp.Compare(x.Route.Host, y.Route.Host), cmp.Compare(x.Route.Prefix, y.Route.Prefix))
	})
	d.setDue(shares)
	return shares
}

// setDue sets the shares that are due to the queues.
func (d *Dispatcher) setDue(shares []QueueShare) {
	members := map[group][]int{}
	for i, s := range shares {
		g := group{s.Service, s.Priority}
		members[g] = append(members[g], i)
	}
	for _, indexes := range members {
		held, weights := make([]float64, len(indexes)), make([]float64, len(indexes))
		for at, i := range indexes {
			held[at], weights[at] = shares[i].Held, d.limits.Shares.weight(shares[i].Route)
		}
		for at, due := range fairqueue.DueShares(held, weights) {
			shares[indexes[at]].Due = due
		}
	}
}
