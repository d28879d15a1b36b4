package dispatch

import (
	"container/heap"

	"github.com/ibispier/ibispier/job"
)

// scored is a target with its score for a task.
type scored struct {
	target *TargetState
	score  float64
}

// better orders by score; of equal scores, the first target wins.
func (x scored) better(y scored) bool {
	if x.score != y.score {
		return x.score > y.score
	}
	return x.target.position < y.target.position
}

// ranking is a heap of the targets that fit a task, with the best on top. It is
// valid while the score of a target depends on that target alone, which holds for
// all but serving tasks.
type ranking []scored

// Len implements heap.Interface.
func (r ranking) Len() int { return len(r) }

// Less implements heap.Interface.
func (r ranking) Less(i, j int) bool { return r[i].better(r[j]) }

// Swap implements heap.Interface.
func (r ranking) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *ranking) Push(x any) { *r = append(*r, x.(scored)) }

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// rank returns the candidates that pass every filter.
func (p *pass) rank(candidates []*TargetState, q *job.Queue, s *job.Step, ref job.Ref) ranking {
	var r ranking
	for _, ts := range candidates {
		if p.passes(ts, q, s, ref) {
			r = append(r, scored{ts, p.score(ts, s, false)})
		}
	}
	heap.Init(&r)
	return r
}

// updateBest moves the best target to its new place after a task was placed on it.
func (p *pass) updateBest(r *ranking, q *job.Queue, s *job.Step, ref job.Ref) {
	best := (*r)[0].target
	if !p.passes(best, q, s, ref) {
		heap.Pop(r)
		return
	}
	(*r)[0].score = p.score(best, s, false)
	heap.Fix(r, 0)
}
