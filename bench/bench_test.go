// Package bench compares the request path with one hop of the standard
// library's reverse proxy and measures what control traffic costs.
package bench

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ibispier/ibispier/internal/testcluster"
)

// Environment variables. runVariable enables the comparison, which is not part of
// CI because its result depends on the load of the machine. proxyVariable makes
// the test binary run as the baseline proxy.
const (
	runVariable     = "IBISPIER_BENCH"
	proxyVariable   = "IBISPIER_BENCH_PROXY"
	profileVariable = "IBISPIER_BENCH_PROFILE" // folder for profiles of entry and agent
)

const (
	callers       = 64
	rounds        = 5
	roundLength   = 2 * time.Second
	maxP99Ratio   = 2.0 // design page, 1.8
	minThroughput = 0.6 // design page, 1.8
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	if spec := os.Getenv(proxyVariable); spec != "" {
		return serveProxy(spec)
	}
	defer testcluster.RemoveBinaries()
	return m.Run()
}

// serveProxy runs one hop of httputil.ReverseProxy. The spec holds the listen
// address and the target address.
func serveProxy(spec string) int {
	var listen, target string
	if _, err := fmt.Sscan(spec, &listen, &target); err != nil {
		return 2
	}
	base, err := url.Parse("http://" + target)
	if err != nil {
		return 2
	}
	proxy := httputil.NewSingleHostReverseProxy(base)
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}
	fmt.Fprintln(os.Stderr, http.ListenAndServe(listen, proxy))
	return 1
}

// TestRequestPath guards against a request path that is slower than the stated
// multiple of one proxy hop in the same run.
func TestRequestPath(t *testing.T) {
	if os.Getenv(runVariable) == "" {
		t.Skip("set " + runVariable + "=1 to run the comparison")
	}
	a := freeAddresses(t, 6)
	target, proxy, entry, agents, entryAdmin, agentAdmin := a[0], a[1], a[2], a[3], a[4], a[5]
	startAll(t, target, proxy, entry, agents, entryAdmin, agentAdmin)
	routes := []route{
		{"direct", target, "/lots/1"},
		{"proxy", proxy, "/lots/1"},
		{"ibispier", entry, "/v1/services/price-check/lots/1"},
	}
	for _, r := range routes {
		testcluster.Eventually(t, r.name, func() bool { return responds(r) })
		measure(r, roundLength/4) // opens connections and warms caches
	}
	results := map[string][]result{}
	var mallocs, requests float64
	for range rounds {
		for _, r := range routes {
			before := mallocsOf(t, entryAdmin) + mallocsOf(t, agentAdmin)
			res := measure(r, roundLength)
			if r.name == "ibispier" {
				mallocs += mallocsOf(t, entryAdmin) + mallocsOf(t, agentAdmin) - before
				requests += float64(res.requests)
			}
			results[r.name] = append(results[r.name], res)
		}
	}
	report(t, routes, results, mallocs/requests)
	if dir := os.Getenv(profileVariable); dir != "" {
		saveProfiles(t, dir, routes[2], map[string]string{"entry": entryAdmin, "agent": agentAdmin})
	}
}

// saveProfiles writes CPU and allocation profiles taken under load.
func saveProfiles(t *testing.T, dir string, r route, admins map[string]string) {
	var group sync.WaitGroup
	for name, admin := range admins {
		for _, kind := range []string{"profile?seconds=3", "allocs"} {
			group.Go(func() {
				resp, err := http.Get("http://" + admin + "/debug/pprof/" + kind)
				if err != nil {
					t.Error(err)
					return
				}
				defer resp.Body.Close()
				file, err := os.Create(filepath.Join(dir, name+"."+strings.TrimSuffix(kind, "?seconds=3")))
				if err != nil {
					t.Error(err)
					return
				}
				defer file.Close()
				_, _ = io.Copy(file, resp.Body)
			})
		}
	}
	measure(r, 4*time.Second)
	group.Wait()
}

func startAll(t *testing.T, target, proxy, entry, agents, entryAdmin, agentAdmin string) {
	testcluster.StartProcess(t, "target", "ibispier-standin", "-kind", "target", "-listen", target, "-discard")
	startProxy(t, proxy, target)
	startDaemon(t, "entry", "[daemon]", "id = entry-1", "roles = entry", "zone = a", "[entry]", "listen = "+entry,
		"agent_listen = "+agents, "standalone = true", "[admin]", "listen = "+entryAdmin)
	startDaemon(t, "agent", "[daemon]", "id = target-1", "roles = agent", "zone = a", "[cluster]", "entries = "+agents,
		"[agent]", "target = http://"+target, "service = price-check", "slots = 64", "connections = 65",
		"[admin]", "listen = "+agentAdmin)
}

// startProxy starts this test binary as the baseline proxy.
func startProxy(t *testing.T, proxy, target string) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), proxyVariable+"="+proxy+" "+target)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

func startDaemon(t *testing.T, name string, lines ...string) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	testcluster.StartProcess(t, name, "ibispierd", "-config", path)
}

// freeAddresses returns n free loopback addresses.
func freeAddresses(t *testing.T, n int) []string {
	var found []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		found = append(found, l.Addr().String())
	}
	return found
}

type route struct{ name, address, path string }

type result struct {
	requests, failed int
	callsPerSecond   float64
	p50, p99         time.Duration
}

func responds(r route) bool {
	c, err := dial(r)
	if err != nil {
		return false
	}
	defer c.Close()
	return c.call() == nil
}

// measure sends requests on a route from all callers for d.
func measure(r route, d time.Duration) result {
	var group sync.WaitGroup
	latencies := make([][]time.Duration, callers)
	failed := make([]int, callers)
	start := time.Now()
	for i := range callers {
		group.Go(func() { latencies[i], failed[i] = callUntil(r, start.Add(d)) })
	}
	group.Wait()
	elapsed := time.Since(start).Seconds()
	all := slices.Concat(latencies...)
	slices.Sort(all)
	res := result{requests: len(all)}
	for _, f := range failed {
		res.failed += f
	}
	if len(all) > 0 {
		res.callsPerSecond = float64(len(all)) / elapsed
		res.p50, res.p99 = all[len(all)/2], all[len(all)*99/100]
	}
	return res
}

func callUntil(r route, until time.Time) (latencies []time.Duration, failed int) {
	c, err := dial(r)
	if err != nil {
		return nil, 1
	}
	defer c.Close()
	for time.Now().Before(until) {
		start := time.Now()
		if err := c.call(); err != nil {
			return latencies, failed + 1
		}
		latencies = append(latencies, time.Since(start))
	}
	return latencies, failed
}

// connection is one keep-alive connection of a caller. It uses less CPU than
// http.Client, so the load generator distorts the measurement less.
type connection struct {
	net.Conn
	reader      *bufio.Reader
	requestText []byte
}

func dial(r route) (*connection, error) {
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		return nil, err
	}
	text := "GET " + r.path + " HTTP/1.1\r\nHost: bench\r\nIbispier-Customer: demo\r\n\r\n"
	return &connection{Conn: conn, reader: bufio.NewReader(conn), requestText: []byte(text)}, nil
}

func (c *connection) call() error {
	if _, err := c.Write(c.requestText); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

var mallocsLine = regexp.MustCompile(`(?m)^# Mallocs = (\d+)$`)

// mallocsOf reads the total allocation count of a process from its allocation
// profile.
func mallocsOf(t *testing.T, admin string) float64 {
	resp, err := http.Get("http://" + admin + "/debug/pprof/allocs?debug=1")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	match := mallocsLine.FindSubmatch(text)
	if match == nil {
		t.Fatalf("no allocation count in the profile of %s", admin)
	}
	n, _ := strconv.ParseFloat(string(match[1]), 64)
	return n
}

func report(t *testing.T, routes []route, results map[string][]result, mallocs float64) {
	medians := map[string]result{}
	for _, r := range routes {
		m := median(results[r.name])
		medians[r.name] = m
		t.Logf("%-9s %8.0f/s p50 %8s p99 %8s failed %d", r.name, m.callsPerSecond, m.p50, m.p99, m.failed)
		if m.failed > 0 {
			t.Errorf("%s: %d callers failed", r.name, m.failed)
		}
	}
	p99 := float64(medians["ibispier"].p99) / float64(medians["proxy"].p99)
	throughput := medians["ibispier"].callsPerSecond / medians["proxy"].callsPerSecond
	t.Logf("ibispier/proxy: p99 %.2f throughput %.2f; allocations per request in entry and agent %.1f", p99, throughput, mallocs)
	if p99 > maxP99Ratio || throughput < minThroughput {
		t.Errorf("p99 ratio %.2f (at most %.1f), throughput ratio %.2f (at least %.1f)", p99, maxP99Ratio, throughput, minThroughput)
	}
}

// median returns the median of each metric over the rounds, and the sum of the
// failures.
func median(rounds []result) result {
	var m result
	by := func(f func(result) float64) float64 {
		var values []float64
		for _, r := range rounds {
			values = append(values, f(r))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	m.callsPerSecond = by(func(r result) float64 { return r.callsPerSecond })
	m.p50 = time.Duration(by(func(r result) float64 { return float64(r.p50) }))
	m.p99 = time.Duration(by(func(r result) float64 { return float64(r.p99) }))
	for _, r := range rounds {
		m.failed += r.failed
	}
	return m
}
