package placement

import (
	"slices"

	"github.com/ibispier/ibispier/fairqueue"
	"github.com/ibispier/ibispier/resource"
)

// failedSearch is a size for which the search found no worker in this step. Free
// capacity only shrinks within a step, so a task of at least that size needs no
// search of its own.
type failedSearch struct {
	size  resource.Vector
	zones []string
}

const maxFailedSearches = 16

// runPass offers the pending tasks to the workers, in the order of the queue.
func (s *Scheduler) runPass() {
	s.failedSearches = s.failedSearches[:0]
	s.queue.BeginPass(s.now)
	for range s.options.OffersPerStep {
		item, ok := s.queue.Next()
		if !ok {
			return
		}
		s.offer(s.pending[item.ID], item)
	}
}

func (s *Scheduler) offer(t *task, item fairqueue.Item) {
	if reason := s.cache.quotaRefusal(t.Customer, t.Size); reason != "" {
		t.pendingReason = pendingReason{text: reason}
		s.queue.SkipCustomer()
		return
	}
	if w := s.chooseWorker(t); w != nil {
		s.propose(t, w)
		return
	}
	if t.Urgent {
		s.preempt(t)
	}
	if s.now.Sub(t.waitingSince) > s.options.Queue.AgingBound {
		s.reserve(t)
	}
	s.queue.Skip()
}

func (s *Scheduler) propose(t *task, w *worker) {
	s.queue.Take()
	delete(s.pending, t.ID)
	s.unreserve(t)
	s.cache.place(t, w, s.now)
	w.zone.takeStartToken()
	t.proposed = true
	s.proposed[t.ID] = t
	s.decisions.Placements = append(s.decisions.Placements, Placement{Task: t.ID, Worker: w.ID})
}

// chooseWorker returns the worker for a task, or nil after it has set the task's
// pending reason.
func (s *Scheduler) chooseWorker(t *task) *worker {
	if s.matchesFailedSearch(t) {
		return nil
	}
	t.pendingReason = pendingReason{}
	if s.options.Selection == FirstFit {
		return s.firstFit(t)
	}
	s.sampleCandidates(t)
	if len(s.candidates) == 0 {
		s.recordFailedSearch(t)
		return nil
	}
	return s.bestCandidate(t)
}

func (s *Scheduler) firstFit(t *task) *worker {
	for _, w := range s.cache.workers {
		i := s.refusingFilter(t, w)
		if i < 0 {
			return w
		}
		t.pendingReason.refused[i]++
	}
	s.recordFailedSearch(t)
	return nil
}

// sampleCandidates collects workers that pass the filters. It visits the workers
// with a stride that is coprime to their number, and continues where the last
// search ended, so that the samples cover all zones and racks.
func (s *Scheduler) sampleCandidates(t *task) {
	s.candidates = s.candidates[:0]
	n := len(s.cache.workers)
	if n == 0 {
		return
	}
	stride := strideFor(n)
	index := s.sampleCursor % n
	for range n {
		w := s.cache.workers[index]
		if i := s.refusingFilter(t, w); i >= 0 {
			t.pendingReason.refused[i]++
		} else if s.candidates = append(s.candidates, w); len(s.candidates) == s.options.CandidatesPerTask {
			break
		}
		if index += stride; index >= n {
			index -= n
		}
	}
	s.sampleCursor = index
}

// strideFor returns a number coprime to n and near its golden section, which
// spreads consecutive visits evenly.
func strideFor(n int) int {
	stride := max(1, n*618/1000)
	for greatestCommonDivisor(stride, n) != 1 {
		stride++
	}
	return stride
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (s *Scheduler) bestCandidate(t *task) *worker {
	t.spreadGroup = s.cache.spreadGroup(&t.Task)
	var best *worker
	highest := 0.0
	for _, w := range s.candidates {
		total := 0.0
		for i := range scores {
			total += scores[i].weight * scores[i].rate(s, t, w)
		}
		if best == nil || total > highest {
			best, highest = w, total
		}
	}
	return best
}

func (s *Scheduler) matchesFailedSearch(t *task) bool {
	if len(t.exclusions) > 0 {
		return false
	}
	for i := range s.failedSearches {
		if s.failedSearches[i].size.FitsIn(t.Size) && slices.Equal(s.failedSearches[i].zones, t.Zones) {
			if s.ownReservation(t) == nil {
				return true
			}
		}
	}
	return false
}

// recordFailedSearch records the size of a task that found no worker. If some
// workers were refused for reasons of this task alone, its search says nothing
// about other tasks and is not recorded.
func (s *Scheduler) recordFailedSearch(t *task) {
	if len(t.exclusions) == 0 && t.pendingReason.refused[disturbedFilter] == 0 && len(s.failedSearches) < maxFailedSearches {
		s.failedSearches = append(s.failedSearches, failedSearch{size: t.Size, zones: t.Zones})
	}
}

// workersPerReservation bounds the reservations for tasks beyond the aging bound
// to one for each 20 workers, since the capacity that is kept free is idle
// meanwhile.
const workersPerReservation = 20

// reserve keeps other tasks off the worker that lacks the least capacity for the
// task, so that a stream of small tasks does not starve a large one.
func (s *Scheduler) reserve(t *task) {
	if s.ownReservation(t) != nil || s.reservations >= max(1, len(s.cache.workers)/workersPerReservation) {
		return
	}
	var nearest *worker
	least := 0.0
	for _, w := range s.cache.workers {
		if w.reservedFor != nil || s.isIneligible(t, w) {
			continue
		}
		missing := t.Size.Sub(w.free).DominantShare(w.Capacity)
		if nearest == nil || missing < least {
			nearest, least = w, missing
		}
	}
	if nearest != nil {
		s.reserveFor(nearest, t)
	}
}

func (s *Scheduler) reserveFor(w *worker, t *task) {
	w.reservedFor, t.reservedWorker = t, w
	s.reservations++
}

// ownReservation returns the worker that is reserved for the task, or nil. It
// drops the reservation of a worker on which the task may no longer run.
func (s *Scheduler) ownReservation(t *task) *worker {
	if t.reservedWorker != nil && s.isIneligible(t, t.reservedWorker) {
		s.unreserve(t)
	}
	return t.reservedWorker
}

func (s *Scheduler) unreserve(t *task) {
	if t.reservedWorker != nil {
		s.dropReservation(t.reservedWorker)
	}
}

func (s *Scheduler) dropReservation(w *worker) {
	if w.reservedFor != nil {
		w.reservedFor.reservedWorker = nil
		w.reservedFor = nil
		s.reservations--
		s.failedSearches = s.failedSearches[:0] // other tasks may now fit on the worker
	}
}
