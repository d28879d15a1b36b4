package pathtest

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/testcluster"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	return socket.Addr().String()
}

func startDaemon(t *testing.T, name string, lines ...string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), name+".ini")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	testcluster.StartProcess(t, name, "ibispierd", "-config", path)
}

// Guards against an agent that works only with a configured target, and against a
// target that still gets requests after it has left or was killed.
func TestTargetAnnouncesItself(t *testing.T) {
	if testing.Short() {
		t.Skip("starts many processes")
	}
	const bound = 2 * time.Second // invariant 8
	callersAt, links, announcements, targetAt := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	entryAdmin := freeAddress(t)
	startDaemon(t, "entry", "[daemon]", "id = entry-1", "roles = entry", "zone = a", "[entry]", "standalone = true",
		"listen = "+callersAt, "agent_listen = "+links, "[admin]", "listen = "+entryAdmin)
	startDaemon(t, "agent", "[daemon]", "id = agent-1", "roles = agent", "zone = a", "[cluster]", "entries = "+links,
		"[agent]", "service = "+service, "listen = "+announcements, "[admin]", "listen = "+freeAddress(t))
	b := newBalancer(t, &testcluster.Cluster{Entries: []*testcluster.Node{{CallerAddress: callersAt, AdminAddress: entryAdmin}}})
	b.deadline = time.Second
	serves := func(want string) func() bool {
		return func() bool { return b.call(callersAt, "probe", "", "").outcome == want }
	}
	testcluster.Eventually(t, "a service without a target is refused", serves("not-run"))
	target := testcluster.StartProcess(t, "target", "ibispier-standin", "-kind", "target", "-listen", targetAt, "-agent", announcements)
	testcluster.Eventually(t, "the announced target serves", serves("done"))
	if code := target.Stop(); code != 0 {
		t.Errorf("exit code %d of a target that left", code)
	}
	if r := b.call(callersAt, "left", "", ""); r.outcome != "not-run" {
		t.Errorf("after the leave: %s", r)
	}
	target.Start()
	testcluster.Eventually(t, "the target serves again", serves("done"))
	target.Kill()
	killed := time.Now()
	testcluster.Eventually(t, "a dead target is refused", serves("not-run"))
	if took := time.Since(killed); took > bound+b.deadline {
		t.Errorf("refused after %s", took)
	}
}

// Guards against entry instances that together admit more than a plan allows.
func TestPlanLimitOverThreeEntries(t *testing.T) {
	const (
		rate   = 200
		burst  = 30
		period = 4 * time.Second
	)
	c, b := startCluster(t, testcluster.Options{Controls: 1, Entries: 3, Agents: 2})
	lists := testcluster.UnlimitedPlanChange(customer)
	lists.Plans[0].RequestsPerSecond, lists.Plans[0].Burst = rate, burst
	c.ApplyChange("limits", lists)
	time.Sleep(time.Second) // for the instances to apply the change and the token buckets to fill
	b.sendKeys = false
	start := time.Now()
	replies := b.sendWhile("l", "", func(int64) bool { return time.Since(start) < period })
	took := time.Since(start)
	done := 0
	for _, r := range replies {
		switch {
		case r.outcome == "done":
			done++
		case r.reason != "over_limit":
			t.Errorf("neither done nor over the limit: %s", r)
		}
	}
	allowed := rate*took.Seconds() + burst
	t.Logf("%d of %d admitted, %.0f allowed, ratio %.3f", done, len(replies), allowed, float64(done)/allowed)
	if float64(done) > allowed {
		t.Errorf("%d admitted, %.0f allowed", done, allowed)
	}
}

func zoneOutChange(zone string) controlapi.Change {
	return controlapi.Change{Kind: controlapi.ChangeZoneOut, Zone: zone}
}
