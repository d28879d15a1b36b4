package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/testcluster"
	"github.com/ibispier/ibispier/standin/worker"
)

// costVariable enables the measurements of control overhead, which take about two
// minutes.
const costVariable = "IBISPIER_COST"

const (
	costWindow = 15 * time.Second
	clockTicks = 100 // kernel clock ticks per second in /proc
)

// usage is the CPU time and resident memory of a process.
type usage struct {
	cpu         time.Duration
	residentKiB int64
}

func usageOf(t *testing.T, n *testcluster.Node) usage {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.PID()))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{
		cpu:         time.Duration(user+system) * time.Second / clockTicks,
		residentKiB: pages * int64(os.Getpagesize()) / 1024,
	}
}

// linkBytes returns the traffic in bytes on the links that a node has dialed.
func linkBytes(n *testcluster.Node) int64 {
	var sum int64
	for _, r := range n.Relays {
		sum += r.Bytes()
	}
	return sum
}

// TestCostOfControl measures the CPU time, memory and traffic that each process
// spends on control without requests, with and without tasks. It prints the
// figures from which docs/CAPACITY.md derives the cost per agent and per task.
func TestCostOfControl(t *testing.T) {
	if os.Getenv(costVariable) != "1" {
		t.Skipf("set %s=1", costVariable)
	}
	defer testcluster.RemoveBinaries()
	for _, agents := range []int{4, 24} {
		for _, tasks := range []int{0, 10} {
			t.Run(fmt.Sprintf("agents=%d/tasks=%d", agents, tasks), func(t *testing.T) {
				measureCost(t, agents, tasks)
			})
		}
	}
}

func measureCost(t *testing.T, agents, tasksPerAgent int) {
	c := testcluster.Start(t, testcluster.Options{
		Controls: 3, Entries: 2, Agents: agents, Workers: true, Relays: true,
		Zones: []string{"zone-a", "zone-b", "zone-c"}, Service: "price-check",
	})
	c.ApplyChange("lists", testcluster.UnlimitedPlanChange("customer"))
	submitWatchers(t, c, agents*tasksPerAgent)
	time.Sleep(3 * time.Second)
	before, beforeBytes := sample(t, c)
	time.Sleep(costWindow)
	after, afterBytes := sample(t, c)
	for _, n := range c.Nodes() {
		used := after[n.ID].cpu - before[n.ID].cpu
		share := 100 * used.Seconds() / costWindow.Seconds()
		rate := float64(afterBytes[n.ID]-beforeBytes[n.ID]) / costWindow.Seconds()
		t.Logf("%-10s cpu %5.2f%% of a core, resident %3d MiB, dialed links %6.0f B/s",
			n.ID, share, after[n.ID].residentKiB/1024, rate)
	}
}

func sample(t *testing.T, c *testcluster.Cluster) (map[string]usage, map[string]int64) {
	t.Helper()
	usages, traffic := map[string]usage{}, map[string]int64{}
	for _, n := range c.Nodes() {
		usages[n.ID], traffic[n.ID] = usageOf(t, n), linkBytes(n)
	}
	return usages, traffic
}

func submitWatchers(t *testing.T, c *testcluster.Cluster, count int) {
	t.Helper()
	payload, err := json.Marshal(worker.Payload{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range count {
		_, err := c.Client.Submit(c.Context(), controlapi.Task{
			ID: fmt.Sprintf("watcher-%d", i), Customer: "customer", Kind: controlapi.KindWatcher, Class: "watch",
			Size: controlapi.Resources{CPUMilli: 1000, MemoryMiB: 1000}, Payload: payload,
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	testcluster.Eventually(t, "all watchers running", func() bool {
		status, err := c.Client.Status(c.Context())
		return err == nil && status.Tasks[string(controlapi.TaskRunning)] == count
	})
}
