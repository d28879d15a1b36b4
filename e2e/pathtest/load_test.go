package pathtest

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ibispier/ibispier/internal/testcluster"
)

const (
	callers  = 64
	customer = "veiling"
	service  = "price-check"
	deadline = 10 * time.Second
)

func TestMain(m *testing.M) {
	code := m.Run()
	testcluster.RemoveBinaries()
	os.Exit(code)
}

// balancer distributes the requests of callers over the entry instances that are
// ready, as the platform's load balancer does.
type balancer struct {
	cluster  *testcluster.Cluster
	client   *http.Client
	ready    atomic.Pointer[[]string]
	next     atomic.Uint64
	sendKeys bool // make some requests non-idempotent, which needs a quorum
	stop     chan struct{}
	deadline time.Duration // of each request
	probing  sync.WaitGroup
}

const probeInterval = 20 * time.Millisecond

func newBalancer(t *testing.T, c *testcluster.Cluster) *balancer {
	b := &balancer{cluster: c, deadline: deadline, stop: make(chan struct{}), client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: callers},
		Timeout:   2 * deadline,
	}}
	b.probe()
	b.probing.Go(func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(probeInterval):
				b.probe()
			}
		}
	})
	t.Cleanup(func() {
		close(b.stop)
		b.probing.Wait()
	})
	return b
}

func (b *balancer) probe() {
	probes := http.Client{Timeout: time.Second}
	var ready []string
	for _, e := range b.cluster.Entries {
		resp, err := probes.Get("http://" + e.AdminAddress + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, e.CallerAddress)
		}
	}
	b.ready.Store(&ready)
}

func (b *balancer) pickEntry() string {
	ready := *b.ready.Load()
	if len(ready) == 0 {
		return b.cluster.Entries[0].CallerAddress
	}
	return ready[b.next.Add(1)%uint64(len(ready))]
}

// reply is the result of one call.
type reply struct {
	id, key string
	outcome string
	reason  string
	latency time.Duration
	err     error
}

func (r reply) String() string {
	return fmt.Sprintf("id=%s key=%q outcome=%q reason=%q latency=%s err=%v", r.id, r.key, r.outcome, r.reason, r.latency, r.err)
}

// call sends one request. A request with a key is not idempotent. A complete
// response that belongs to another request is an error.
func (b *balancer) call(address, id, key, query string) reply {
	r := reply{id: id, key: key}
	path := "/lots/" + id + query
	body := "body of " + id
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/"+service+path, strings.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	req.Header.Set("Ibispier-Customer", customer)
	req.Header.Set("Ibispier-Request-Id", id)
	req.Header.Set("Ibispier-Deadline-Ms", fmt.Sprint(b.deadline.Milliseconds()))
	req.Header.Set("Ibispier-Idempotent", fmt.Sprint(key == ""))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	start := time.Now()
	resp, err := b.client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	r.latency = time.Since(start)
	r.outcome, r.reason = resp.Header.Get("Ibispier-Outcome"), resp.Header.Get("Ibispier-Reason")
	want := id + " " + path + "\n" + body
	switch {
	case err != nil:
		r.err = err
	case r.outcome == "done" && string(text) != want:
		r.err = fmt.Errorf("response %q, want %q", text, want)
	}
	return r
}

// sendWhile sends requests from all callers until keepSending returns false for
// the number of a request. Every tenth request is not idempotent if sendKeys is
// set.
func (b *balancer) sendWhile(prefix, query string, keepSending func(n int64) bool) []reply {
	var group sync.WaitGroup
	var count atomic.Int64
	replies := make([][]reply, callers)
	for i := range callers {
		group.Go(func() {
			for {
				n := count.Add(1)
				if !keepSending(n) {
					return
				}
				id, key := fmt.Sprint(prefix, "-", n), ""
				if b.sendKeys && n%10 == 0 {
					key = "key-" + id
				}
				replies[i] = append(replies[i], b.call(b.pickEntry(), id, key, query))
			}
		})
	}
	group.Wait()
	var all []reply
	for _, r := range replies {
		all = append(all, r...)
	}
	return all
}

// countRuns returns how often each request ran, by its id and by its key.
func countRuns(c *testcluster.Cluster, agents []*testcluster.Node) (byID, byKey map[string]int) {
	byID, byKey = map[string]int{}, map[string]int{}
	for _, n := range agents {
		for _, run := range c.Runs(n) {
			byID[run.RequestID]++
			if run.Key != "" {
				byKey[run.Key]++
			}
		}
	}
	return byID, byKey
}

// checkRuns fails the test if the records of the targets show a key that ran more
// than once, or a run of a request whose outcome was not-run.
func checkRuns(t *testing.T, c *testcluster.Cluster, replies []reply, agents []*testcluster.Node) {
	t.Helper()
	byID, byKey := countRuns(c, agents)
	for key, n := range byKey {
		if n > 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	for _, r := range replies {
		if r.outcome == "not-run" && byID[r.id] > 0 {
			t.Errorf("ran although its outcome is not-run: %s", r)
		}
	}
}

// failures returns the replies that are not a complete response to their request.
func failures(replies []reply) []reply {
	var failed []reply
	for _, r := range replies {
		if r.err != nil || r.outcome != "done" {
			failed = append(failed, r)
		}
	}
	return failed
}

func reportFailures(t *testing.T, failed []reply, total int) {
	t.Helper()
	for i, r := range failed {
		if i == 5 {
			t.Errorf("and %d more of %d", len(failed)-i, total)
			return
		}
		t.Errorf("failed: %s", r)
	}
}
