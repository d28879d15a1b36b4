package bench

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/agent"
	"github.com/ibispier/ibispier/internal/testcluster"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/standin/worker"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/telemetry"
)

// TestCostOfManyAgents measures the entry and control processes with hundreds of
// agents. The agents run inside the test process, so their cost is not part of
// the figures.
func TestCostOfManyAgents(t *testing.T) {
	if os.Getenv(costVariable) != "1" {
		t.Skipf("set %s=1", costVariable)
	}
	defer testcluster.RemoveBinaries()
	c := testcluster.Start(t, testcluster.Options{
		Controls: 3, Entries: 2, Relays: false, Zones: []string{"zone-a"}, Service: "price-check",
	})
	c.ApplyChange("lists", testcluster.UnlimitedPlanChange("customer"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	running := 0
	for _, agents := range []int{0, 100, 400} {
		for ; running < agents; running++ {
			startAgent(t, ctx, c, running)
		}
		testcluster.Eventually(t, "all workers known", func() bool {
			status, err := c.Client.Status(c.Context())
			return err == nil && status.Workers >= agents
		})
		time.Sleep(3 * time.Second)
		before, _ := sample(t, c)
		time.Sleep(costWindow)
		after, _ := sample(t, c)
		for _, n := range c.Nodes() {
			used := after[n.ID].cpu - before[n.ID].cpu
			t.Logf("%3d agents: %-10s cpu %6.2f%% of a core, resident %3d MiB", agents, n.ID,
				100*used.Seconds()/costWindow.Seconds(), after[n.ID].residentKiB/1024)
		}
	}
}

// startAgent runs an agent with a stand-in worker inside this process.
func startAgent(t *testing.T, ctx context.Context, c *testcluster.Cluster, i int) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	capacity := controlapi.Resources{CPUMilli: 64_000, MemoryMiB: 250_000}
	w := worker.New(socket, worker.Options{ID: fmt.Sprint("w", i), Capacity: capacity})
	s := settings.Default()
	s.Daemon.ID, s.Daemon.Zone = fmt.Sprintf("agent-%d", i), "zone-a"
	s.Agent.Service, s.Agent.WorkerURL, s.Agent.Rack = "price-check", "http://"+socket.Addr().String(), fmt.Sprint("rack-", i/3)
	s.Agent.CPUMilli, s.Agent.MemoryMiB = capacity.CPUMilli, capacity.MemoryMiB
	for _, e := range c.Entries {
		s.Cluster.Entries = append(s.Cluster.Entries, e.LinkAddress)
	}
	role, err := agent.New(s, telemetry.Telemetry{Log: zap.NewNop()}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	root := supervise.New(s.Daemon.ID, supervise.Policy{}, nil)
	root.Add("worker", w)
	root.Add("clock", supervise.Func(w.RunClock))
	root.Add("agent", role)
	go func() { _ = root.Run(ctx) }()
}
