package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/ibispier/ibispier/internal/testcluster"
)

const (
	controls = 3
	entries  = 2
	agents   = 4
	linkPort = 7220
)

// cluster holds the processes of one run. Each run uses its own network of the
// loopback range: 127.NETWORK.0.x. A control member listens on an address that
// only its relay dials. All other processes know it by the address of the relay.
type cluster struct {
	t         *testing.T
	dir       string
	network   int
	controls  []*testcluster.Process
	entries   []*testcluster.Process
	agents    []*testcluster.Process
	relays    []*testcluster.Relay
	targets   []*target
	oracle    *oracle
	disksLost bool // loseTwoDisks was called
}

// lastNetwork numbers the networks of the runs of this process. There are 250
// networks, and a process runs fewer seeds.
var lastNetwork atomic.Int64

func (c *cluster) relayIP(i int) string  { return fmt.Sprintf("127.%d.0.%d", c.network, 10+i) }
func (c *cluster) linkIP(i int) string   { return fmt.Sprintf("127.%d.0.%d", c.network, 30+i) }
func (c *cluster) entryIP(i int) string  { return fmt.Sprintf("127.%d.0.%d", c.network, 50+i) }
func (c *cluster) agentIP(i int) string  { return fmt.Sprintf("127.%d.0.%d", c.network, 70+i) }
func (c *cluster) targetIP(i int) string { return fmt.Sprintf("127.%d.0.%d", c.network, 110+i) }

func startCluster(t *testing.T, seed uint64) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), network: 1 + int(lastNetwork.Add(1)), oracle: newOracle()}
	for i := range controls {
		relay := testcluster.StartRelayAt(t, fmt.Sprintf("%s:%d", c.relayIP(i), linkPort), fmt.Sprintf("%s:%d", c.linkIP(i), linkPort))
		c.relays = append(c.relays, relay)
		c.controls = append(c.controls, c.startProcess("control", i, c.controlSettings(i, true)))
	}
	for i := range entries {
		c.entries = append(c.entries, c.startProcess("entry", i, c.commonSettings(fmt.Sprintf("entry-%d", i), "entry")+
			fmt.Sprintf("[platform]\nfront = %s:8161\nready = %s:8167\n", c.entryIP(i), c.entryIP(i))))
	}
	for i := range agents {
		c.agents = append(c.agents, c.startProcess("agent", i, c.commonSettings(fmt.Sprintf("agent-%d", i), "agent")+
			fmt.Sprintf("[platform]\ncontrol = %s:8166\ntarget = %s:8080\n", c.agentIP(i), c.targetIP(i))))
		target, err := newTarget(c.targetIP(i), c.agentIP(i)+":8166", c.oracle, seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(target.close)
		c.targets = append(c.targets, target)
	}
	return c
}

// commonSettings returns the settings that entry instances and agents share.
func (c *cluster) commonSettings(id, role string) string {
	return fmt.Sprintf("[daemon]\nid = %s\nroles = %s\nzone = z\nmemory = 256\ngrace = 200ms\ndrain_timeout = 1s\n"+
		"[cluster]\nseeds = %s:%d,%s:%d,%s:%d\nport = %d\nheartbeat = 200ms\nsilence = 1s\n[jobs]\nenabled = true\n[admin]\nlisten = 127.0.0.1:0\n",
		id, role, c.relayIP(0), linkPort, c.relayIP(1), linkPort, c.relayIP(2), linkPort, linkPort)
}

func (c *cluster) controlSettings(i int, first bool) string {
	data := filepath.Join(c.dir, fmt.Sprintf("data-%d", i))
	if err := os.MkdirAll(data, 0o700); err != nil {
		c.t.Fatal(err)
	}
	return fmt.Sprintf("[daemon]\nid = %s\nroles = control\nzone = z\nmemory = 256\ndata = %s\ngrace = 200ms\ndrain_timeout = 1s\n"+
		"[cluster]\nseeds = %s:%d,%s:%d,%s:%d\nport = %d\nheartbeat = 200ms\nsilence = 1s\n[jobs]\nenabled = true\nbootstrap = %t\ntolerated = 1\n"+
		"[admin]\nlisten = 127.0.0.1:0\n[platform]\ncontrol = %s:8166\n[control]\nlisten = %s:%d\nsnapshot_entries = 200\n",
		c.relayIP(i), data, c.relayIP(0), linkPort, c.relayIP(1), linkPort, c.relayIP(2), linkPort, linkPort, first,
		c.relayIP(i), c.linkIP(i), linkPort)
}

func (c *cluster) settingsPath(role string, i int) string {
	return filepath.Join(c.dir, fmt.Sprintf("%s-%d.ini", role, i))
}

func (c *cluster) startProcess(role string, i int, settings string) *testcluster.Process {
	path := c.settingsPath(role, i)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return testcluster.StartProcess(c.t, fmt.Sprintf("%s-%d", role, i), "ibispierd", "-config", path)
}

// loseDisk kills a control member, deletes its data folder and starts it again.
func (c *cluster) loseDisk(i int) {
	c.controls[i].Kill()
	if err := os.RemoveAll(filepath.Join(c.dir, fmt.Sprintf("data-%d", i))); err != nil {
		c.t.Error(err)
	}
	if err := os.WriteFile(c.settingsPath("control", i), []byte(c.controlSettings(i, false)), 0o600); err != nil {
		c.t.Error(err)
	}
	c.controls[i].Start()
}

// processes returns all processes.
func (c *cluster) processes() []*testcluster.Process {
	all := append([]*testcluster.Process{}, c.controls...)
	all = append(all, c.entries...)
	return append(all, c.agents...)
}

// keepLogs saves the output of the processes in the folder that IBISPIER_SOAK_LOGS
// names, if it is set.
func (c *cluster) keepLogs(seed uint64) {
	dir := os.Getenv("IBISPIER_SOAK_LOGS")
	if dir == "" {
		return
	}
	for _, p := range c.processes() {
		path := filepath.Join(dir, fmt.Sprintf("%d-%s.log", seed, p.Name))
		if err := os.WriteFile(path, []byte(p.Output()), 0o600); err != nil {
			c.t.Error(err)
		}
	}
}
