package pathtest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/ibispier/ibispier/internal/testcluster"
)

// copies is the number of times that each request is sent, at once and through
// both entry instances.
const copies = 4

// sendDuplicates sends the request of every key several times at once. It calls
// afterKey once the copies of a key are on their way.
func (b *balancer) sendDuplicates(prefix string, keys int, afterKey func(n int)) []reply {
	var group sync.WaitGroup
	var mu sync.Mutex
	var all []reply
	slots := make(chan struct{}, callers)
	for n := range keys {
		for i := range copies {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				entry := b.cluster.Entries[i%len(b.cluster.Entries)]
				id := fmt.Sprint(prefix, "-", n)
				r := b.call(entry.CallerAddress, id, "key-"+id, "?sleep=2ms")
				mu.Lock()
				defer mu.Unlock()
				all = append(all, r)
			})
		}
		afterKey(n)
	}
	group.Wait()
	return all
}

// Guards against duplicate requests that run twice or fail when they arrive at
// several entry instances at once.
func TestDuplicatesShareOneRun(t *testing.T) {
	const keys = 200
	c, b := startCluster(t, testcluster.Options{Controls: 3, Entries: 2, Agents: 3})
	replies := b.sendDuplicates("d", keys, func(int) {})
	reportFailures(t, failures(replies), len(replies))
	_, byKey := countRuns(c, c.Agents)
	if len(byKey) != keys {
		t.Errorf("%d keys ran, want %d", len(byKey), keys)
	}
	checkRuns(t, c, replies, c.Agents)
}

// Guards against requests that run twice when an agent and a control member are
// killed while duplicates are in flight, and against a resend that does not get an
// outcome that was already known.
func TestDuplicatesUnderFaults(t *testing.T) {
	const keys = 150
	c, b := startCluster(t, testcluster.Options{Controls: 3, Entries: 2, Agents: 3})
	b.deadline = 4 * time.Second
	replies := b.sendDuplicates("f", keys, func(n int) {
		switch n {
		case keys / 3:
			c.Agents[0].Kill()
		case 2 * keys / 3:
			c.Controls[0].Kill()
		}
	})
	checkRuns(t, c, replies, c.Agents)
	done := map[string]bool{}
	for _, r := range replies {
		done[r.key] = done[r.key] || r.outcome == "done"
	}
	again := b.sendDuplicates("f", keys, func(int) {})
	checkRuns(t, c, again, c.Agents)
	unknown := 0
	for _, r := range again {
		if r.outcome != "done" {
			unknown++
		}
		if done[r.key] && r.outcome != "done" {
			t.Errorf("a request that was done is no longer: %s", r)
		}
	}
	t.Logf("%d of %d resent requests are not done", unknown, len(again))
}

// Guards against non-idempotent requests that run without a quorum, and against
// idempotent requests that fail without one.
func TestWithoutQuorum(t *testing.T) {
	c, b := startCluster(t, testcluster.Options{Controls: 3, Entries: 2, Agents: 2})
	b.deadline = time.Second
	c.Controls[0].Kill()
	c.Controls[1].Kill()
	for i := range 4 {
		claimed := b.call(b.pickEntry(), fmt.Sprint("claimed-", i), fmt.Sprint("key-", i), "")
		if claimed.outcome != "unknown" || claimed.reason != "no_quorum" {
			t.Errorf("non-idempotent without a quorum: %s", claimed)
		}
		if read := b.call(b.pickEntry(), fmt.Sprint("read-", i), "", ""); read.outcome != "done" {
			t.Errorf("idempotent without a quorum: %s", read)
		}
	}
	if _, byKey := countRuns(c, c.Agents); len(byKey) > 0 {
		t.Errorf("ran without a quorum: %v", byKey)
	}
}

// Guards against requests that start in a zone later than the bound after
// operators have taken it out.
func TestZoneOut(t *testing.T) {
	const bound = 3 * time.Second // invariant 4
	c, b := startCluster(t, testcluster.Options{Controls: 3, Entries: 2, Agents: 3})
	zone := c.Agents[0].Zone
	c.ApplyChange("out", zoneOutChange(zone))
	out := time.Now()
	b.sendWhile("z", "", func(int64) bool { return time.Since(out) < bound+time.Second })
	for _, run := range c.Runs(c.Agents[0]) {
		if late := run.Start.Sub(out); late > bound {
			t.Fatalf("started in %s %s after it was taken out", zone, late)
		}
	}
}
