// Package overload decides which jobs are delayed while not all of them can be
// finished in time. It uses no clock and performs no I/O.
//
// In the order of their deadlines, overloaded jobs all finish late: each uses room
// that another one needed to be in time. Delaying the jobs that need most room lets
// the largest number of callers have their result in time.
package overload

import (
	"cmp"
	"container/heap"
	"slices"
)

// Job is what the decision depends on.
type Job struct {
	DueMillis  int64 // time by which the result is wanted
	PathMillis int64 // expected run time of the longest chain of steps that are not done
	Work       int64 // processor time that the open tasks need, in millicores times milliseconds
}

// latestStartMillis returns when the job must get room to be in time.
func (j *Job) latestStartMillis() int64 { return j.DueMillis - j.PathMillis }

// Postpone returns for each job whether it is delayed in favour of the others, which can
// then all be in time if rate, in millicores, is the processor time that is worked off at
// a time. ahead is work of the same unit as Job.Work that is done before any of the jobs.
// As few jobs as possible are delayed, and of those that compete the ones with most work.
// Without a known rate (0) none is.
func Postpone(nowMillis int64, rate float64, ahead int64, jobs []Job) []bool {
	postponed := make([]bool, len(jobs))
	if rate <= 0 {
		return postponed
	}
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(jobs[x].latestStartMillis(), jobs[y].latestStartMillis())
	})
	// The rule of Moore and Hodgson: in the order of the deadlines, whenever a job would
	// be late, the one with most work so far is taken out.
	kept := mostWork{jobs: jobs}
	work := ahead
	for _, i := range order {
		heap.Push(&kept, i)
		work += jobs[i].Work
		if float64(jobs[i].latestStartMillis()-nowMillis) < float64(work)/rate {
			out := heap.Pop(&kept).(int)
			work -= jobs[out].Work
			postponed[out] = true
		}
	}
	return postponed
}

// mostWork is a heap of indexes of jobs with most work on top. Of equal ones the last in
// the order of acceptance is on top.
type mostWork struct {
	jobs    []Job
	indexes []int
}

// Len implements heap.Interface.
func (m *mostWork) Len() int { return len(m.indexes) }

// Less implements heap.Interface.
func (m *mostWork) Less(i, j int) bool {
	x, y := m.indexes[i], m.indexes[j]
	return cmp.Or(cmp.Compare(m.jobs[y].Work, m.jobs[x].Work), cmp.Compare(y, x)) < 0
}

// Swap implements heap.Interface.
func (m *mostWork) Swap(i, j int) { m.indexes[i], m.indexes[j] = m.indexes[j], m.indexes[i] }

// Push implements heap.Interface.
func (m *mostWork) Push(x any) { m.indexes = append(m.indexes, x.(int)) }

// Pop implements heap.Interface.
func (m *mostWork) Pop() any {
	last := m.indexes[len(m.indexes)-1]
	m.indexes = m.indexes[:len(m.indexes)-1]
	return last
}
