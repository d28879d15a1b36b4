package e2e

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/testcluster"
)

// figuresVariable enables the measurements over 30 trials, which take minutes.
const figuresVariable = "IBISPIER_FIGURES"

const trials = 30

func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if os.Getenv(figuresVariable) != "1" {
		t.Skipf("set %s=1", figuresVariable)
	}
}

// reportTimes logs a distribution and checks its p99, which for 30 trials is the
// largest value, against the required bound.
func reportTimes(t *testing.T, what string, times []time.Duration, target time.Duration) {
	t.Helper()
	slices.Sort(times)
	largest := times[len(times)-1]
	t.Logf("%s over %d trials: p50 %s, p90 %s, largest %s", what, len(times),
		times[len(times)/2].Round(time.Millisecond), times[len(times)*9/10].Round(time.Millisecond), largest.Round(time.Millisecond))
	if largest > target {
		t.Errorf("%s: largest %s, target %s", what, largest, target)
	}
}

// TestFigureZoneOut measures the time from the acceptance of a change that takes a
// zone out until control reports it as in force. The agent of the zone is
// partitioned in every second trial.
func TestFigureZoneOut(t *testing.T) {
	skipUnlessMeasuring(t)
	c := start(t, testcluster.Options{Controls: 3, Entries: 2, Agents: 3, Workers: true, Relays: true})
	var times []time.Duration
	for i := range trials {
		if i%2 == 1 {
			c.Isolate(c.Agents[0], testcluster.Blackhole)
		}
		c.ApplyChange(fmt.Sprintf("out-%d", i), controlapi.Change{Kind: controlapi.ChangeZoneOut, Zone: "zone-a"})
		accepted := time.Now()
		testcluster.Eventually(t, "zone-a out in force", func() bool { return zoneInForce(c, "zone-a") })
		times = append(times, time.Since(accepted))
		c.Isolate(c.Agents[0], testcluster.Forward)
		c.ApplyChange(fmt.Sprintf("in-%d", i), controlapi.Change{Kind: controlapi.ChangeZoneIn, Zone: "zone-a"})
		time.Sleep(time.Second) // for the entry instances to obtain a permit of the zone again
	}
	reportTimes(t, "zone out in force", times, zoneOutBound)
}

// TestFigureLeaderKilled measures the time from the kill of the leader's process
// until the submission of a task is committed.
func TestFigureLeaderKilled(t *testing.T) {
	skipUnlessMeasuring(t)
	c := start(t, testcluster.Options{Controls: 3, Entries: 1})
	var times []time.Duration
	for i := range trials {
		leader := leaderOf(t, c)
		task := controlapi.Task{
			ID: fmt.Sprintf("t%d", i), Customer: customer, Kind: controlapi.KindBatch, Class: "any",
			Size: controlapi.Resources{CPUMilli: 100, MemoryMiB: 100},
		}
		leader.Kill()
		killed := time.Now()
		if _, err := c.Client.Submit(c.Context(), task); err != nil {
			t.Fatal(err)
		}
		times = append(times, time.Since(killed))
		leader.Start()
		c.AwaitVoters(3)
	}
	reportTimes(t, "leader killed to next commit", times, 1500*time.Millisecond)
}

// TestFigureRestartAfterChanges measures the time from the start of a member
// until it is ready, after 500 accepted changes.
func TestFigureRestartAfterChanges(t *testing.T) {
	skipUnlessMeasuring(t)
	c := start(t, testcluster.Options{Controls: 3, Entries: 1})
	for i := range 500 {
		c.ApplyChange(fmt.Sprintf("change-%d", i), testcluster.UnlimitedPlanChange(fmt.Sprintf("customer-%d", i)))
	}
	before, err := c.Client.Config(c.Context())
	if err != nil {
		t.Fatal(err)
	}
	var times []time.Duration
	for i := range trials {
		n := c.Controls[i%3]
		n.Kill()
		started := time.Now()
		n.Start()
		c.AwaitReady(n)
		times = append(times, time.Since(started))
	}
	after, err := c.Client.Config(c.Context())
	if err != nil || after.Revision != before.Revision {
		t.Errorf("revision %d after restarts, %d before (%v)", after.Revision, before.Revision, err)
	}
	reportTimes(t, "restart after 500 changes", times, 2*time.Second)
}
