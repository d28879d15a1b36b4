package dispatch

import (
	"testing"

	"github.com/ibispier/ibispier/job"
)

// Guards against a slowed task that is stopped although no other target has room for it,
// against two moves that count on the same room, and against a decision that changes the
// view of the targets.
func TestMovesOnlyToRoomElsewhere(t *testing.T) {
	for _, tc := range []struct {
		name         string
		busy, slowed int // tasks on the other target, slowed tasks
		want         int
	}{{"room for all", 0, 2, 2}, {"room for one", 8, 2, 1}, {"no room", 9, 2, 0}} {
		w := newFixture(2)
		own, other := w.targets[0].Incarnation, w.targets[1].Incarnation
		moving, filler := w.submit(2, 0, fillingStep(tc.slowed)), w.submit(2, 0, fillingStep(9))
		var placed []job.Start
		var slowed []job.Ref
		for i := range tc.slowed {
			ref := job.Ref{Job: moving, Index: i}
			slowed = append(slowed, ref)
			placed = append(placed, job.Start{Task: ref, Run: 1, Target: own})
		}
		for i := range tc.busy {
			placed = append(placed, job.Start{Task: job.Ref{Job: filler, Index: i}, Run: 1, Target: other})
		}
		w.store.Apply(&job.Command{Starts: placed})
		d := New(DefaultLimits())
		w.describe(d)
		for range 2 { // the first decision leaves no trace
			if moves := d.Moves(w.input(), slowed); len(moves) != tc.want {
				t.Errorf("%s: %d moves, want %d", tc.name, len(moves), tc.want)
			}
		}
	}
}
