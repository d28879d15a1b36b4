package e2e

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ibispier/ibispier/internal/testcluster"
)

// settlement is a non-idempotent request and the outcomes that its caller got.
type settlement struct {
	key      string
	outcomes []string
}

// settleUntilCertain sends a settlement and resends it through the other entry
// instance until its outcome is certain, as a caller behind a load balancer does.
func settleUntilCertain(c *testcluster.Cluster, s *settlement, first int, until time.Time) {
	httpClient := http.Client{Timeout: 5 * time.Second}
	for i := first; time.Now().Before(until); i++ {
		entry := c.Entries[i%len(c.Entries)]
		outcome := call(&httpClient, entry.CallerAddress, s.key)
		s.outcomes = append(s.outcomes, outcome)
		if outcome == "done" || outcome == "crossed" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// call returns the outcome of one call: done, not-run, unknown, lost when there was
// no response, or crossed when the response belongs to another request.
func call(httpClient *http.Client, address, key string) string {
	url := "http://" + address + "/v1/services/" + service + "/settle/" + key + "?sleep=20ms"
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("amount of "+key))
	if err != nil {
		return "lost"
	}
	req.Header.Set("Ibispier-Customer", customer)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Ibispier-Deadline-Ms", "2000")
	resp, err := httpClient.Do(req)
	if err != nil {
		return "lost"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	outcome := resp.Header.Get("Ibispier-Outcome")
	switch {
	case err != nil:
		return "lost"
	case outcome == "done" && !strings.HasSuffix(string(body), "amount of "+key):
		return "crossed"
	}
	return outcome
}

// injectFaults injects random faults into nodes, from a fixed seed, until stop is
// closed.
func injectFaults(nodes []*testcluster.Node, seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, seed))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+random.IntN(400)) * time.Millisecond):
		}
		n := nodes[random.IntN(len(nodes))]
		switch random.IntN(3) {
		case 0:
			n.Kill()
			n.Start()
		case 1:
			n.Suspend()
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			n.Resume()
		case 2:
			for _, r := range n.Relays {
				r.BlackholeOpen()
			}
		}
	}
}

// Guards against settlements that run twice, responses that belong to another
// request, and settlements that ran although their callers got not-run. Processes
// are killed and suspended, links drop all data, and callers resend through the
// other entry instance.
func TestSettlementsRunAtMostOnceUnderFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			settleUnderFaults(t, seed)
		})
	}
}

func settleUnderFaults(t *testing.T, seed uint64) {
	const callers, perCaller, duration = 16, 2000, 12 * time.Second
	c := start(t, testcluster.Options{Controls: 3, Entries: 2, Agents: 3, Relays: true})
	settlements := make([]*settlement, callers*perCaller)
	for i := range settlements {
		settlements[i] = &settlement{key: fmt.Sprintf("k%d-%d", seed, i)}
	}
	until := time.Now().Add(duration)
	stop := make(chan struct{})
	var faults, work sync.WaitGroup
	// Two concurrent sources of faults, so that two processes can fail at a time.
	var odd, even []*testcluster.Node
	for i, n := range c.Nodes() {
		if i%2 == 0 {
			even = append(even, n)
		} else {
			odd = append(odd, n)
		}
	}
	faults.Go(func() { injectFaults(even, seed, stop) })
	faults.Go(func() { injectFaults(odd, seed+100, stop) })
	for caller := range callers {
		work.Go(func() {
			for i := range perCaller {
				settleUntilCertain(c, settlements[caller*perCaller+i], caller, until)
			}
		})
	}
	work.Wait()
	close(stop)
	faults.Wait()
	checkSettlements(t, c, settlements)
}

func checkSettlements(t *testing.T, c *testcluster.Cluster, settlements []*settlement) {
	t.Helper()
	runs := map[string]int{}
	for _, n := range c.Agents {
		for _, r := range c.Runs(n) {
			runs[r.Key]++
		}
	}
	lastOutcomes, allOutcomes := map[string]int{}, map[string]int{}
	for _, s := range settlements {
		if len(s.outcomes) == 0 {
			continue
		}
		last := s.outcomes[len(s.outcomes)-1]
		lastOutcomes[last]++
		for _, o := range s.outcomes {
			allOutcomes[o]++
		}
		n := runs[s.key]
		if n > 1 {
			t.Errorf("%s ran %d times, outcomes %v", s.key, n, s.outcomes)
		}
		if last == "done" && n != 1 {
			t.Errorf("%s is done but ran %d times", s.key, n)
		}
		if last == "crossed" {
			t.Errorf("%s got the response to another request", s.key)
		}
		if onlyRefused(s.outcomes) && n > 0 {
			t.Errorf("%s ran %d times although every outcome was not-run", s.key, n)
		}
	}
	t.Logf("last outcomes %v, all outcomes %v", lastOutcomes, allOutcomes)
	if lastOutcomes["done"] == 0 {
		t.Error("no settlement is done, so nothing was checked")
	}
}

func onlyRefused(outcomes []string) bool {
	for _, o := range outcomes {
		if o != "not-run" {
			return false
		}
	}
	return true
}
