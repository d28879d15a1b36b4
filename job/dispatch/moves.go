package dispatch

import (
	"cmp"
	"slices"

	"github.com/ibispier/ibispier/job"
)

// maxMoves bounds the moves of one decision. Each costs a stop, a start and a restore.
const maxMoves = 32

// Moves returns those of the slowed filling tasks for which another target has room at
// the expected pace. Each of them counts as placed there while the next one is decided
// on, so that no two count on the same room. Jobs that were accepted first come first.
func (d *Dispatcher) Moves(in Input, slowed []job.Ref) []job.Ref {
	d.refresh(in.Store)
	p := newPass(in, d)
	slices.SortFunc(slowed, func(x, y job.Ref) int {
		return cmp.Or(cmp.Compare(in.Store.Jobs[x.Job].Order, in.Store.Jobs[y.Job].Order), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
	})
	before := map[*TargetState]TargetState{}
	var moves []job.Ref
	for _, ref := range slowed {
		j, t := in.Store.Find(ref)
		q, s := in.Store.QueueOf(j), &j.Spec.Steps[ref.Step]
		to := p.bestOther(t.Target, q, s, ref)
		if to == nil {
			continue
		}
		if _, saved := before[to]; !saved {
			before[to] = to.clone()
		}
		to.reserve(d.limits, ref, s)
		if moves = append(moves, ref); len(moves) >= maxMoves {
			break
		}
	}
	for touched, state := range before {
		*touched = state
	}
	return moves
}

// bestOther returns the highest-scoring target apart from one that passes every filter, or
// nil.
func (p *pass) bestOther(apart job.TargetIncarnation, q *job.Queue, s *job.Step, ref job.Ref) *TargetState {
	var best scored
	for _, ts := range p.targets {
		if ts.Incarnation == apart || !p.passes(ts, q, s, ref) {
			continue
		}
		if x := (scored{ts, p.score(ts, s, false)}); best.target == nil || x.better(best) {
			best = x
		}
	}
	return best.target
}
