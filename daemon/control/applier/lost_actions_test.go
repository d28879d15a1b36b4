package applier

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
)

// Guards against a task that stays throttled because the one response with the command
// to end it did not reach its agent.
func TestLostThrottleIsSentAgain(t *testing.T) {
	c := startedCluster(3)
	c.report(t, 0, reportOf("w"))
	submitTask(t, c, 0, "t", controlapi.KindBatch)
	c.place(t, 0, "t", "w")
	c.report(t, 0, reportOf("w", running("t", 1)))
	c.members[0].engine.handleDecision(c.now, Decision{Action: &TaskAction{Task: "t", Epoch: 1, Action: controlapi.ActionThrottle}})
	throttles := func() int {
		n := 0
		for _, x := range c.report(t, 0, reportOf("w", running("t", 1))).Commands {
			if x.Action == controlapi.ActionThrottle {
				n++
			}
		}
		return n
	}
	if throttles() != 1 {
		t.Fatal("not sent")
	}
	again := 0 // that response was lost
	for range 20 {
		c.advance(time.Second)
		again += throttles()
	}
	if again == 0 {
		t.Fatal("not sent again within 20 s although its response was lost")
	}
}

// Guards against an eviction that is lost without anybody knowing while the disk of the
// leader is full.
func TestRefusedEvictionIsKnownToTheScheduler(t *testing.T) {
	c := startedCluster(5)
	c.report(t, 0, reportOf("w"))
	submitTask(t, c, 0, "t", controlapi.KindBatch)
	c.place(t, 0, "t", "w")
	e := c.members[0].engine
	e.status.ReadOnly = true
	e.feed.clear()
	e.handleDecision(c.now, Decision{Action: &TaskAction{Task: "t", Epoch: 1, Action: controlapi.ActionCheckpoint}})
	if len(e.feed.pending.Rejected) == 0 && !e.feed.resetNeeded {
		t.Fatal("the eviction is dropped and the scheduler is not told")
	}
}
