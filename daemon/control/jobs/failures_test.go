package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/ibispier/ibispier/job"
)

// Guards against one lasting job whose tasks fail soon after each start and that
// keeps all targets suspended or occupied: a later job that would work did not start
// for as long as the first one lasted.
func TestFailingLastingJobLeavesTheTargetsToOthers(t *testing.T) {
	const (
		targets      = 3
		startBound   = 3 * time.Second // the platform's bound for a task whose turn has come
		restartBound = 6 * time.Second // the platform's bound for a lasting task that has ended
	)
	f := newFleet(targets)
	f.failAfter = map[string]time.Duration{"bad": 100 * time.Millisecond}
	f.submit("lasting", job.Step{Count: 8, Need: cpu(16_000), Lasting: true, TailTargetMillis: 50, Image: "bad"})
	f.runFor(17 * time.Second)
	f.submit("lasting", job.Step{Count: 3, Need: cpu(16_000), Lasting: true, TailTargetMillis: 50, Image: "s"})
	f.runFor(startBound)
	sound := 0
	for _, a := range f.agents {
		for ref := range a.running {
			if ref.Job == "0000000000000002" {
				sound++
			}
		}
	}
	if sound != 3 {
		t.Errorf("%d of 3 tasks of the later job run after %s", sound, startBound)
	}
	before := map[job.Ref]int{}
	for ref, run := range f.lastingRuns {
		before[ref] = run
	}
	f.runFor(restartBound)
	for ref, run := range before {
		if ref.Job == "0000000000000001" && f.lastingRuns[ref] <= run {
			t.Errorf("task %v of the failing job was not started again within %s", ref, restartBound)
		}
	}
	if limit := 8 * 26; f.starts > limit {
		t.Errorf("%d starts in 26 s, want one a second for each failing task at most", f.starts)
	}
}

// Guards against the same by a job whose runs make no progress: they were stopped,
// and each of their targets was suspended.
func TestStalledJobLeavesTheTargetsToOthers(t *testing.T) {
	f := newFleet(3)
	f.stall = map[string]bool{"hung": true}
	f.submit("lasting", job.Step{Count: 12, Need: cpu(16_000), Lasting: true, TailTargetMillis: 50, Image: "hung"})
	f.runFor(17 * time.Second)
	f.submit("lasting", job.Step{Count: 3, Need: cpu(16_000), Lasting: true, TailTargetMillis: 50, Image: "s"})
	f.runFor(3 * time.Second)
	if _, started := f.firstStart["0000000000000002"]; !started {
		t.Error("the later job has not started within 3 s")
	}
}

// Guards against a sound job that waits because jobs of one task, which fail in all their
// attempts on one target each, have suspended all targets.
func TestFailingJobsOfOneTaskLeaveTargetsToOthers(t *testing.T) {
	const startBound = 3 * time.Second // the platform's bound for a task whose turn has come
	f := newFleet(3)
	f.failAfter = map[string]time.Duration{"bad": 50 * time.Millisecond}
	for range 30 {
		f.submit("quick", job.Step{Count: 1, Need: cpu(1000), EstimateMillis: 100, Image: "bad"})
		f.runFor(800 * time.Millisecond)
	}
	f.submit("quick", job.Step{Count: 1, Need: cpu(1000), EstimateMillis: 100})
	begin := f.now
	id := fmt.Sprintf("%016x", f.jobs)
	for f.now.Sub(begin) < startBound {
		f.runFor(fleetTick)
		if _, started := f.firstStart[id]; started {
			return
		}
	}
	t.Fatalf("not started in %s on three targets without load", startBound)
}
