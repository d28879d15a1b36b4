package e2e

import (
	"encoding/json"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/testcluster"
	"github.com/ibispier/ibispier/standin/worker"
	"github.com/ibispier/ibispier/workerapi"
)

func submit(t *testing.T, c *testcluster.Cluster, id, kind string, work time.Duration) {
	t.Helper()
	payload, err := json.Marshal(worker.Payload{WorkMillis: work.Milliseconds()})
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Client.Submit(c.Context(), controlapi.Task{
		ID: id, Customer: customer, Kind: kind, Class: "settlement",
		Size: controlapi.Resources{CPUMilli: 4000, MemoryMiB: 4000}, Payload: payload,
	})
	if err != nil {
		t.Fatalf("submit %s: %v", id, err)
	}
}

func stateOf(t *testing.T, c *testcluster.Cluster, id string) controlapi.TaskStatus {
	t.Helper()
	status, err := c.Client.Task(c.Context(), id)
	if err != nil {
		t.Logf("task %s: %v", id, err)
		return controlapi.TaskStatus{}
	}
	return *status
}

func awaitState(t *testing.T, c *testcluster.Cluster, id string, want controlapi.TaskState) {
	t.Helper()
	testcluster.Eventually(t, fmt.Sprintf("task %s %s", id, want), func() bool {
		return stateOf(t, c, id).State == want
	})
}

// workerEvents returns the events of all stand-in workers in the order of the boot
// clock, which all processes of a machine share.
func workerEvents(c *testcluster.Cluster) []worker.Event {
	var all []worker.Event
	for _, n := range c.Agents {
		all = append(all, c.Events(n)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// checkEvents fails the test if a task ran on two workers at once, completed
// twice, or started without a higher epoch than before.
func checkEvents(t *testing.T, events []worker.Event) {
	t.Helper()
	running := map[string]worker.Event{}
	completed := map[string]int{}
	epochs := map[string]uint64{}
	for _, e := range events {
		switch e.Kind {
		case worker.EventStart:
			if other, ok := running[e.Task]; ok {
				t.Errorf("task %s started on %s while it ran on %s", e.Task, e.Worker, other.Worker)
			}
			if e.Epoch <= epochs[e.Task] {
				t.Errorf("task %s started under epoch %d after epoch %d", e.Task, e.Epoch, epochs[e.Task])
			}
			running[e.Task], epochs[e.Task] = e, e.Epoch
		case worker.EventEnd:
			delete(running, e.Task)
			if e.State == workerapi.Completed {
				completed[e.Task]++
			}
		}
	}
	for id, n := range completed {
		if n > 1 {
			t.Errorf("task %s completed %d times", id, n)
		}
	}
}

// Guards against tasks that are lost, run twice or are never reported as
// completed.
func TestBatchTasksCompleteOnce(t *testing.T) {
	c := start(t, testcluster.Options{Controls: 3, Entries: 2, Agents: 3, Workers: true})
	const count = 30
	for i := range count {
		submit(t, c, fmt.Sprintf("batch-%d", i), controlapi.KindBatch, 200*time.Millisecond)
	}
	for i := range count {
		awaitState(t, c, fmt.Sprintf("batch-%d", i), controlapi.TaskCompleted)
	}
	events := workerEvents(c)
	checkEvents(t, events)
	starts := 0
	for _, e := range events {
		if e.Kind == worker.EventStart {
			starts++
		}
	}
	if starts != count {
		t.Errorf("%d starts for %d tasks", starts, count)
	}
}

// Guards against a watcher that is not restarted after its agent was suspended or
// killed, and against a restart before the old lease has certainly expired.
func TestWatcherSurvivesFrozenAndKilledAgents(t *testing.T) {
	c := start(t, testcluster.Options{Controls: 3, Entries: 2, Agents: 3, Workers: true})
	submit(t, c, "watcher", controlapi.KindWatcher, 0)
	awaitState(t, c, "watcher", controlapi.TaskRunning)
	for _, fault := range []string{"freeze", "kill"} {
		before := stateOf(t, c, "watcher")
		n := agentOf(t, c, before.Agent)
		if fault == "freeze" {
			n.Suspend()
		} else {
			n.Kill()
		}
		testcluster.Eventually(t, "watcher runs under a new epoch after "+fault, func() bool {
			now := stateOf(t, c, "watcher")
			return now.State == controlapi.TaskRunning && now.Epoch > before.Epoch
		})
		if fault == "freeze" {
			n.Resume()
		} else {
			n.Start()
		}
	}
	checkEvents(t, workerEvents(c))
}

func agentOf(t *testing.T, c *testcluster.Cluster, id string) *testcluster.Node {
	t.Helper()
	for _, n := range c.Agents {
		if n.ID == id {
			return n
		}
	}
	t.Fatalf("no agent %q", id)
	return nil
}

// Guards against an agent that, after its own restart, restarts or forgets tasks
// that still run under their lease.
func TestAgentRestartAdoptsRunningTasks(t *testing.T) {
	c := start(t, testcluster.Options{Controls: 3, Entries: 2, Agents: 1, Workers: true})
	submit(t, c, "long", controlapi.KindBatch, 4*time.Second)
	awaitState(t, c, "long", controlapi.TaskRunning)
	c.Agents[0].Kill()
	c.Agents[0].Start()
	awaitState(t, c, "long", controlapi.TaskCompleted)
	events := workerEvents(c)
	checkEvents(t, events)
	if len(events) != 2 {
		t.Errorf("events %+v, want one start and one end", events)
	}
}

// Guards against work that is lost or run twice when control loses its leader
// while tasks start and end.
func TestTasksSurviveLeaderLoss(t *testing.T) {
	c := start(t, testcluster.Options{Controls: 3, Entries: 2, Agents: 3, Workers: true})
	const count = 30
	for i := range count {
		submit(t, c, fmt.Sprintf("batch-%d", i), controlapi.KindBatch, 500*time.Millisecond)
		if i%10 == 5 {
			leader := leaderOf(t, c)
			leader.Kill()
			leader.Start()
		}
	}
	for i := range count {
		awaitState(t, c, fmt.Sprintf("batch-%d", i), controlapi.TaskCompleted)
	}
	checkEvents(t, workerEvents(c))
}

func leaderOf(t *testing.T, c *testcluster.Cluster) *testcluster.Node {
	t.Helper()
	var leader *testcluster.Node
	testcluster.Eventually(t, "a leader", func() bool {
		members, err := c.Client.Members(c.Context())
		if err != nil {
			return false
		}
		for _, n := range c.Controls {
			if n.ID == members.Leader && !n.Exited() {
				leader = n
			}
		}
		return leader != nil
	})
	return leader
}
