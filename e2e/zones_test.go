package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/ibispier/ibispier/bootclock"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/testcluster"
	"github.com/ibispier/ibispier/standin/worker"
	"github.com/ibispier/ibispier/workerapi"
)

// zoneOutBound is the required bound: no task starts in a zone later than this
// after the change that takes it out was accepted.
const zoneOutBound = 3 * time.Second

// Guards against task starts in a zone that operators have taken out, including by
// an agent that is partitioned from all entry instances, and against a zone that
// gets no tasks after its return.
func TestZoneOutStopsStarts(t *testing.T) {
	c := start(t, testcluster.Options{Controls: 3, Entries: 2, Agents: 3, Workers: true, Relays: true})
	stop := make(chan struct{})
	submitted := make(chan int)
	go submitSteadily(t, c, stop, submitted)

	c.Isolate(c.Agents[0], testcluster.Blackhole) // agent-1 is the agent of zone-a
	c.ApplyChange("out", controlapi.Change{Kind: controlapi.ChangeZoneOut, Zone: "zone-a"})
	acceptedAt := bootclock.Now()
	testcluster.Eventually(t, "zone-a out in force", func() bool { return zoneInForce(c, "zone-a") })
	if took := bootclock.Now() - acceptedAt; took > zoneOutBound {
		t.Errorf("in force after %s, want at most %s", took, zoneOutBound)
	}
	c.Isolate(c.Agents[0], testcluster.Forward)
	time.Sleep(2 * time.Second) // the agent is reachable again and must not start tasks
	outageEnd := bootclock.Now()
	c.ApplyChange("in", controlapi.Change{Kind: controlapi.ChangeZoneIn, Zone: "zone-a"})
	testcluster.Eventually(t, "a start in zone-a after its return", func() bool {
		return startsIn(c, "zone-a", outageEnd, 1<<62) > 0
	})
	close(stop)
	count := <-submitted
	if n := startsIn(c, "zone-a", acceptedAt+zoneOutBound, outageEnd); n != 0 {
		t.Errorf("%d starts in zone-a while it was out", n)
	}
	for i := range count {
		awaitState(t, c, fmt.Sprintf("steady-%d", i), controlapi.TaskCompleted)
	}
	checkEvents(t, workerEvents(c))
}

func submitSteadily(t *testing.T, c *testcluster.Cluster, stop <-chan struct{}, submitted chan<- int) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			submitted <- i
			return
		case <-ticker.C:
			submit(t, c, fmt.Sprintf("steady-%d", i), controlapi.KindBatch, 300*time.Millisecond)
		}
	}
}

func zoneInForce(c *testcluster.Cluster, zone string) bool {
	status, err := c.Client.Status(c.Context())
	if err != nil {
		return false
	}
	for _, z := range status.Zones {
		if z.Zone == zone {
			return z.Out && z.InForce
		}
	}
	return false
}

func startsIn(c *testcluster.Cluster, zone string, from, to time.Duration) int {
	count := 0
	for _, e := range workerEvents(c) {
		if e.Kind == worker.EventStart && e.Zone == zone && e.At > int64(from) && e.At < int64(to) {
			count++
		}
	}
	return count
}

// Guards against running tasks that are lost, run twice or start from the
// beginning when their zone is taken out: each must be checkpointed and resumed
// once in another zone, from its checkpoint.
func TestZoneOutMovesRunningWork(t *testing.T) {
	const count, work = 6, 6 * time.Second
	c := start(t, testcluster.Options{Controls: 3, Entries: 2, Agents: 3, Workers: true})
	for i := range count {
		submit(t, c, fmt.Sprintf("long-%d", i), controlapi.KindBatch, work)
	}
	for i := range count {
		awaitState(t, c, fmt.Sprintf("long-%d", i), controlapi.TaskRunning)
	}
	zone := stateOf(t, c, "long-0").Zone
	c.ApplyChange("out", controlapi.Change{Kind: controlapi.ChangeZoneOut, Zone: zone})
	for i := range count {
		awaitState(t, c, fmt.Sprintf("long-%d", i), controlapi.TaskCompleted)
	}
	events := workerEvents(c)
	checkEvents(t, events)
	checkResumed(t, events)
}

// checkResumed fails the test if a task started with less progress than its last
// checkpoint had, or if no task was checkpointed.
func checkResumed(t *testing.T, events []worker.Event) {
	t.Helper()
	checkpoints := map[string]int64{}
	for _, e := range events {
		switch {
		case e.Kind == worker.EventEnd && e.State == workerapi.Checkpointed:
			checkpoints[e.Task] = e.Progress
		case e.Kind == worker.EventStart && e.Progress < checkpoints[e.Task]:
			t.Errorf("task %s started at %d ms, its checkpoint was at %d ms", e.Task, e.Progress, checkpoints[e.Task])
		}
	}
	if len(checkpoints) == 0 {
		t.Error("no task was checkpointed")
	}
}
