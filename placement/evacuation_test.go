package placement

import (
	"testing"
	"time"
)

// Guards against a task that is never evacuated because the one proposal to do so was
// not committed: the committer answers rejected placements, but not lost actions.
func TestLostEvacuationIsProposedAgain(t *testing.T) {
	for _, cause := range []string{"drain", "zone"} {
		s, now := newSmallScheduler(Options{}, 4), epoch
		s.RecordPlacement(batch("t", "scan", 1), "w0", now)
		if cause == "zone" {
			s.SetZone("a", true, now)
		} else {
			s.SetWorker(Worker{ID: "w0", Zone: "a", Rack: "r", Capacity: size(8, 64), Draining: true}, now)
		}
		if n := len(s.Step(now).Actions); n != 1 {
			t.Fatalf("%s: %d actions, want 1", cause, n)
		}
		again := 0
		for range 120 { // the proposal was lost; the task stays where it is
			now = now.Add(time.Second)
			again += len(s.Step(now).Actions)
		}
		if again == 0 {
			t.Errorf("%s: not proposed again within 2 min", cause)
		}
	}
}
