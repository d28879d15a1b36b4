package job

import (
	"maps"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/fairqueue"
)

// checkHeld compares what the queues hold with a sum over all tasks. It guards against an
// account that misses a task or counts it twice, when a run ends, a gang completes, a
// target is lost or a run moves to another incarnation.
func checkHeld(t *rapid.T, st *Store) {
	want := map[Route]fairqueue.Holding{}
	for _, target := range st.OccupiedTargets() {
		for r := range st.TasksOn(target) {
			j := st.Jobs[r.Job]
			want[j.Queue.Route()] = want[j.Queue.Route()].Add(j.Spec.Steps[r.Step].Holding())
		}
	}
	if got := st.HoldingQueues(); !maps.Equal(got, want) {
		t.Fatalf("queues hold %v, the tasks on the targets %v", got, want)
	}
}
