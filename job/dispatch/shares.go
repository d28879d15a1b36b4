package dispatch

import (
	"slices"

	"github.com/ibispier/ibispier/fairqueue"
	"github.com/ibispier/ibispier/job"
)

// QueueShares are the weights of the queues that compete for the targets of a service.
type QueueShares struct {
	// Weights contains the weights by path prefix, or by host and path prefix, which
	// goes first. All other queues have the weight 1.
	Weights map[string]float64
}

func (s *QueueShares) weight(r job.Route) float64 {
	if w, set := s.Weights[r.Host+r.Prefix]; set {
		return w
	}
	if w, set := s.Weights[r.Prefix]; set {
		return w
	}
	return 1
}

// group identifies the queues that compete: those of a lower priority get only what
// the others leave.
type group struct {
	service  string
	priority int
}

func groupOf(q *job.Queue) group { return group{q.Service, q.Priority} }

// contender is a queue with parts that are not served yet.
type contender struct {
	*fairqueue.Contender
	contenderKey
	parts    partList
	starts   int  // in this pass
	tried    bool // it had a turn in this pass
	passed   bool // a competitor was given room before all ready tasks of the queue were tried
	deferred bool // the pass is counted in Dispatcher.deferred
}

// partList is the parts of a contender, as indexes into the parts of the pass. With a
// backlog there are thousands, so they are not copied.
type partList struct {
	first, last int
	following   []int // of all parts: the next part of the same contender, or -1
}

func (l *partList) isEmpty() bool { return l.first < 0 }

func (l *partList) removeFirst() { l.first = l.following[l.first] }

func (l *partList) add(i int) {
	l.following[l.last] = i
	l.last = i
}

// contenderKey identifies a contender. The restarts of lasting tasks contend apart from
// the rest of their queue and have no limit: they ask only for room that their queue
// held before, and the platform expects these tasks to run all the time.
type contenderKey struct {
	route    job.Route
	restarts bool
}

// turn is the state of the turn of one queue within a pass.
type turn struct {
	*contender
	limit   float64 // level above which the queue gets nothing more
	counted int     // number of starts of the pass that are in Held
	cut     bool    // the limit ended the turn although tasks were left
}

// serveByShares serves the parts by the shares of their queues. Within a queue their
// order stays. Each part is tried until a task of it fits nowhere, as without shares,
// so no room stays empty that the work of any queue could use.
func (p *pass) serveByShares(parts []jobPart) {
	aged := p.agedJobs()
	p.setRoomAside(aged)
	parts = p.agedFirst(parts, aged)
	contenders := p.contenders(parts)
	byBase := map[*fairqueue.Contender]*contender{}
	bases := make([]*fairqueue.Contender, len(contenders))
	for i, c := range contenders {
		bases[i], byBase[c.Contender] = c.Contender, c
	}
	turns := fairqueue.NewTurns(bases)
	for next := turns.Next(); next != nil && len(p.starts) < p.maxStarts; next = turns.Next() {
		c := byBase[next]
		if !c.tried {
			c.tried = true
			c.passed = slices.ContainsFunc(contenders, func(other *contender) bool {
				return other.starts > 0 && other.CompetesWith(next)
			})
		}
		p.takeTurn(c, parts[c.parts.first], turns.Limit(next))
		if c.parts.isEmpty() {
			turns.Remove(next)
		}
	}
}

// takeTurn serves a part, the first one of the queue, up to the limit.
func (p *pass) takeTurn(c *contender, part jobPart, limit float64) {
	before := len(p.starts)
	p.turnState = turn{contender: c, limit: limit, counted: before}
	t := &p.turnState
	p.turn = t
	p.startPart(part)
	p.turn = nil
	t.cut = t.cut && len(p.starts) > before // a turn without a start must not be repeated
	if !t.cut {
		p.startBeyondFilters(part)
		c.parts.removeFirst()
	}
	p.count(t)
	p.markPending()
	c.starts += len(p.starts) - before
	c.passed = c.passed || t.cut
	if !t.cut && c.passed && !c.deferred && p.partWaits(part) {
		c.deferred = true
		p.deferred[c.route]++
	}
}

// isTurnOver reports whether the queue whose turn it is has reached its limit.
func (p *pass) isTurnOver() bool {
	t := p.turn
	if t == nil || t.Pool == nil {
		return false
	}
	p.count(t)
	t.cut = t.cut || t.Level() > t.limit
	return t.cut
}

// count adds the starts of the turn to what the queue holds.
func (p *pass) count(t *turn) {
	for ; t.counted < len(p.starts); t.counted++ {
		t.Held = t.Held.Add(p.stepOf(p.starts[t.counted].Task).Holding())
	}
}

func (p *pass) stepOf(ref job.Ref) *job.Step { return &p.Store.Jobs[ref.Job].Spec.Steps[ref.Step] }

// contenders returns the queues of the parts in the order of their first parts.
func (p *pass) contenders(parts []jobPart) []*contender {
	byKey := map[contenderKey]*contender{}
	var all []*contender
	queues := map[group]int{} // number of contenders
	following := make([]int, len(parts))
	for i, part := range parts {
		following[i] = -1
		key := contenderKey{part.job.Queue.Route(), isRestart(part)}
		c := byKey[key]
		if c == nil {
			q := p.Store.QueueOf(part.job)
			if !key.restarts {
				queues[groupOf(q)]++
			}
			c = &contender{contenderKey: key, parts: partList{i, i, following}, Contender: &fairqueue.Contender{
				Rank: q.Priority, Order: len(all), Weight: p.limits.Shares.weight(key.route), Held: p.heldBy(p.Store, key.route),
			}}
			byKey[key] = c
			all = append(all, c)
			continue
		}
		c.parts.add(i)
	}
	p.setPools(all, parts, queues)
	return all
}

// isRestart reports whether all tasks of the part are lasting and ran before, and their
// latest runs have not failed.
func isRestart(part jobPart) bool {
	if part.failed || !part.job.Started || !part.job.Spec.Steps[0].Lasting {
		return false
	}
	for k := range part.job.Occurrences {
		for s := range part.job.Occurrences[k] {
			if slices.ContainsFunc(part.job.Occurrences[k][s].Tasks, func(t job.Task) bool { return t.State == job.Ready && t.Run == 0 }) {
				return false
			}
		}
	}
	return true
}

// setPools sets the pools of the contenders that have a competitor. Without one, the
// room need not be summed up over the targets.
func (p *pass) setPools(all []*contender, parts []jobPart, queues map[group]int) {
	for _, c := range all {
		q := p.Store.QueueOf(parts[c.parts.first].job)
		if queues[groupOf(q)] > 1 && !c.restarts {
			c.Pool = p.pool(p.pools, q.Service)
		}
	}
}

// pool returns the room of the service, computed once.
func (d *Dispatcher) pool(pools map[string]*fairqueue.Pool, service string) *fairqueue.Pool {
	if pool := pools[service]; pool != nil {
		return pool
	}
	pool := &fairqueue.Pool{}
	for _, ts := range d.targets {
		if ts.Service == service {
			pool.Capacity = pool.Capacity.Add(ts.Capacity)
			pool.FillingMilli += ts.idleCPU + ts.fillingMilli
		}
	}
	pools[service] = pool
	return pool
}

// heldBy returns what the queue holds with the starts that are pending.
func (d *Dispatcher) heldBy(st *job.Store, r job.Route) fairqueue.Holding {
	return st.Held(r).Add(d.pendingHeld[r])
}

// markPending marks the starts of the pass as pending that are not yet.
func (p *pass) markPending() {
	for ; p.marked < len(p.starts); p.marked++ {
		s := p.starts[p.marked]
		p.pending[s.Task] = true
		p.pendingSteps[stepOf(s.Task)]++
		p.setPending(s, p.stepOf(s.Task))
		if p.limits.Shares != nil {
			route := p.Store.Jobs[s.Task.Job].Queue.Route()
			p.pendingRoutes[s.Task] = route
			p.pendingHeld[route] = p.pendingHeld[route].Add(p.stepOf(s.Task).Holding())
		}
	}
}

// settleHeld ends the account of a pending start.
func (d *Dispatcher) settleHeld(s job.Start) {
	route, counted := d.pendingRoutes[s.Task]
	step := d.pendingOn[s.Target][s.Task]
	if !counted || step == nil {
		return
	}
	delete(d.pendingRoutes, s.Task)
	left := d.pendingHeld[route].Sub(step.Holding())
	if left == (fairqueue.Holding{}) {
		delete(d.pendingHeld, route)
		return
	}
	d.pendingHeld[route] = left
}

// partWaits reports whether ready tasks of the part are left.
func (p *pass) partWaits(part jobPart) bool {
	for k := range part.job.Occurrences {
		if !p.isDue(part.job, k) {
			return false
		}
		for s := range part.job.Spec.Steps {
			if p.hasWaiting(part.job, k, s) {
				return true
			}
		}
	}
	return false
}
