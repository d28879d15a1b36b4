package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ibispier/ibispier/internal/testcluster"
)

// shape is the size of a cluster.
type shape struct {
	controls, entries, agents int
	tolerated                 int  // disks that may be lost at once
	replaces                  bool // members are replaced at new addresses, one after another
	outages                   bool // with the faults of outages
}

// Shapes of clusters: a small one, one like the users' grown deployments, and one with
// as many processes as a test machine bears.
var (
	smallShape    = shape{controls: 3, entries: 2, agents: 4, tolerated: 1}
	platformShape = shape{controls: 5, entries: 3, agents: 10, tolerated: 2, replaces: true}
	outageShape   = shape{controls: 5, entries: 5, agents: 10, tolerated: 2, replaces: true, outages: true}
	largeShape    = shape{controls: 5, entries: 10, agents: 190, tolerated: 2, replaces: true, outages: true}
)

const (
	linkPort     = 7220
	adminPort    = 7221
	callerPort   = 8161
	readyPort    = 8167
	controlPort  = 8166
	targetPort   = 8080
	memoryMB     = 256
	controlDisk  = 64 // MB
	seedCount    = 3
	entriesInLog = 200 // between snapshots, so that runs of some seconds take some

	// confirmerWait bounds how long a replacement waits for the next confirmation.
	confirmerWait = 2 * time.Second
)

// Groups of addresses of a cluster: 127.NETWORK.GROUP.x.
const (
	relayGroup = iota
	linkGroup
	entryGroup
	agentGroup
	targetGroup
)

// member is a control member. It listens on an address that only its relay dials. All
// other processes know it by the address of the relay.
type member struct {
	*testcluster.Process
	relay   *testcluster.Relay
	ip      string
	linkIP  string
	data    string
	values  map[string]string // of its settings
	retired bool
}

// diskFile is the file that holds the state of the disk of the member.
func (m *member) diskFile() string { return m.data + ".disk" }

// cluster holds the processes of one run. Each run uses its own network of the
// loopback range.
type cluster struct {
	t         *testing.T
	shape     shape
	dir       string
	network   int
	entries   []*testcluster.Process
	agents    []*testcluster.Process
	targets   []*target
	oracle    *oracle
	disksLost bool       // loseDisks was called
	diskFault sync.Mutex // held while a disk is disturbed: one at a time

	mu       sync.Mutex
	members  []*member      // also those that were replaced
	settings []settingsFile // of entry instances and agents
}

// settingsFile is what the settings of a process are made of.
type settingsFile struct {
	role, name string
	values     map[string]string
}

const (
	firstNetwork, lastNetwork = 2, 250
	// reservationAddress is listened on for as long as a run uses its network, so that
	// runs of other test processes choose another one.
	reservationAddress = "127.%d.255.1:7000"
)

// reserveNetwork returns the number of a network that no other run uses.
func reserveNetwork(t *testing.T) int {
	t.Helper()
	for n := firstNetwork; n <= lastNetwork; n++ {
		socket, err := net.Listen("tcp", fmt.Sprintf(reservationAddress, n))
		if err == nil {
			t.Cleanup(func() { _ = socket.Close() })
			return n
		}
	}
	t.Fatal("all networks are in use")
	return 0
}

func (c *cluster) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", c.network, group, 1+i) }

func (c *cluster) entryIP(i int) string { return c.ip(entryGroup, i) }

func startCluster(t *testing.T, s shape, seed uint64) *cluster {
	t.Helper()
	c := &cluster{t: t, shape: s, dir: t.TempDir(), network: reserveNetwork(t), oracle: newOracle()}
	seeds := make([]string, seedCount)
	for i := range seeds {
		seeds[i] = c.ip(relayGroup, i)
	}
	for range s.controls {
		c.addMember(seeds, true)
	}
	for i := range s.entries {
		c.entries = append(c.entries, c.startProcess("entry", i, c.values(fmt.Sprintf("entry-%d", i), c.ip(entryGroup, i), seeds)))
	}
	for i := range s.agents {
		values := c.values(fmt.Sprintf("agent-%d", i), c.ip(agentGroup, i), seeds)
		values["app"] = fmt.Sprintf("%s:%d", c.ip(targetGroup, i), targetPort)
		c.agents = append(c.agents, c.startProcess("agent", i, values))
		target, err := newTarget(c.ip(targetGroup, i), fmt.Sprintf("%s:%d", c.ip(agentGroup, i), controlPort), c.oracle, seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(target.close)
		c.targets = append(c.targets, target)
	}
	return c
}

// addMember starts a control member at the next address.
func (c *cluster) addMember(seeds []string, first bool) *member {
	c.mu.Lock()
	i := len(c.members)
	m := &member{ip: c.ip(relayGroup, i), linkIP: c.ip(linkGroup, i), data: filepath.Join(c.dir, fmt.Sprintf("data-%d", i))}
	c.members = append(c.members, m)
	c.mu.Unlock()
	if err := os.MkdirAll(m.data, 0o700); err != nil {
		c.t.Fatal(err)
	}
	m.relay = testcluster.StartRelayAt(c.t, fmt.Sprintf("%s:%d", m.ip, linkPort), fmt.Sprintf("%s:%d", m.linkIP, linkPort))
	name := fmt.Sprintf("control-%d", i)
	m.values = c.memberValues(m, seeds, first)
	config := c.writeSettings("control", name, m.values)
	process := testcluster.StartTestBinary(c.t, name, configVariable+"="+config, diskVariable+"="+m.diskFile())
	c.mu.Lock()
	m.Process = process // live lists the member from here on
	c.mu.Unlock()
	return m
}

func (c *cluster) memberValues(m *member, seeds []string, first bool) map[string]string {
	values := c.values(m.ip, m.ip, seeds)
	values["dataDir"], values["link"] = m.data, m.linkIP
	values["bootstrap"] = fmt.Sprint(first)
	return values
}

// live returns the members that were not replaced.
func (c *cluster) live() []*member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []*member
	for _, m := range c.members {
		if !m.retired && m.Process != nil {
			live = append(live, m)
		}
	}
	return live
}

func (c *cluster) isRetired(m *member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return m.retired
}

// replaceMember ends a member for good, keeps its address silent, and starts a new one
// at another address. The new one gets three seeds from a list that may still name the
// lost one. It returns the lost member and a description.
func (c *cluster) replaceMember(r *rand.Rand) (*member, string) {
	listed := c.live()
	lost := pick(r, listed)
	if c.shape.outages && r.IntN(2) == 0 {
		lost = c.awaitConfirmer(listed, lost)
	}
	c.mu.Lock()
	lost.retired = true
	c.mu.Unlock()
	lost.Exclusive(func() {
		lost.relay.SetMode(testcluster.Blackhole)
		lost.relay.BlackholeOpen()
		lost.Kill()
	})
	seeds := drawSeeds(r, listed)
	added := c.addMember(seeds, false)
	return lost, fmt.Sprintf("replace %s by %s, seeds %v", lost.Name, added.Name, seeds)
}

// awaitConfirmer returns the member that confirms the next manifest, as soon as it has,
// or the other one if none is confirmed for a while.
func (c *cluster) awaitConfirmer(listed []*member, otherwise *member) *member {
	before := c.oracle.confirmedManifest()
	for end := time.Now().Add(confirmerWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c.oracle.confirmedManifest() == before {
			continue
		}
		ip := c.oracle.newestConfirmer()
		if i := slices.IndexFunc(listed, func(m *member) bool { return m.ip == ip }); i >= 0 {
			return listed[i]
		}
	}
	return otherwise
}

func drawSeeds(r *rand.Rand, from []*member) []string {
	r.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	var seeds []string
	for _, m := range from[:seedCount] {
		seeds = append(seeds, m.ip)
	}
	return seeds
}

// refreshSeeds writes new seeds into the settings of entry instances and agents,
// without a signal, as the platform does some seconds after a replacement.
func (c *cluster) refreshSeeds(r *rand.Rand) {
	live := c.live()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.settings {
		c.refreshSettings(r, s, live)
	}
}

// exchangeSeeds writes new seeds into the settings of all processes.
func (c *cluster) exchangeSeeds(r *rand.Rand) {
	c.refreshSeeds(r)
	live := c.live()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range live {
		c.refreshSettings(r, settingsFile{"control", m.Name, m.values}, live)
	}
}

func (c *cluster) refreshSettings(r *rand.Rand, s settingsFile, live []*member) {
	s.values["seeds"] = c.seedAddresses(drawSeeds(r, slices.Clone(live)))
	c.writeSettings(s.role, s.name, s.values)
}

func (c *cluster) seedAddresses(seeds []string) string {
	addresses := make([]string, len(seeds))
	for i, seed := range seeds {
		addresses[i] = fmt.Sprintf("%s:%d", seed, controlPort)
	}
	return strings.Join(addresses, ",")
}

// values returns what the platform fills into the templates.
func (c *cluster) values(name, ip string, seeds []string) map[string]string {
	return map[string]string{
		"nodeName": name, "ip": ip, "zone": "z", "seeds": c.seedAddresses(seeds),
		"internalPorts.0": fmt.Sprint(linkPort), "internalPorts.1": fmt.Sprint(adminPort),
		"limits.memoryMb": fmt.Sprint(memoryMB), "limits.diskMb": fmt.Sprint(controlDisk),
		"faultTolerance.machines": fmt.Sprint(c.shape.tolerated), "bounds.holdMaxMs": fmt.Sprint(maxLease.Milliseconds()),
		"bindAddrs.front": fmt.Sprintf("%s:%d", ip, callerPort), "bindAddrs.ready": fmt.Sprintf("%s:%d", ip, readyPort),
		"bindAddrs.control": fmt.Sprintf("%s:%d", ip, controlPort),
	}
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`)

// writeSettings fills in the template of a role. A control member listens behind its
// relay, and takes snapshots more often.
func (c *cluster) writeSettings(role, name string, values map[string]string) string {
	template, err := os.ReadFile(filepath.Join("..", "deploy", role+".ini"))
	if err != nil {
		c.t.Fatal(err)
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string { return values[p[2:len(p)-2]] })
	if role == "control" {
		text = strings.Replace(text, "[control]\nlisten = "+values["ip"], "[control]\nlisten = "+values["link"], 1)
		text = strings.Replace(text, "snapshot_entries = 4000", fmt.Sprintf("snapshot_entries = %d", entriesInLog), 1)
	}
	path := filepath.Join(c.dir, name+".ini")
	err = os.WriteFile(path+".new", []byte(text), 0o600)
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		c.t.Error(err)
	}
	return path
}

func (c *cluster) startProcess(role string, i int, values map[string]string) *testcluster.Process {
	name := fmt.Sprintf("%s-%d", role, i)
	c.settings = append(c.settings, settingsFile{role, name, values})
	return testcluster.StartProcess(c.t, name, "ibispierd", "-config", c.writeSettings(role, name, values))
}

// loseDisk kills a control member, deletes its data folder and starts it again.
func (c *cluster) loseDisk(m *member) {
	m.Kill()
	c.clearDisk(m)
	m.Start()
}

// clearDisk deletes the data folder of a member that is down.
func (c *cluster) clearDisk(m *member) {
	if err := os.RemoveAll(m.data); err != nil {
		c.t.Error(err)
	}
	if err := os.MkdirAll(m.data, 0o700); err != nil {
		c.t.Error(err)
	}
	var seeds []string
	for _, other := range c.live()[:seedCount] {
		seeds = append(seeds, other.ip)
	}
	m.values = c.memberValues(m, seeds, false)
	c.writeSettings("control", m.Name, m.values)
}

// processes returns all processes but those of replaced members.
func (c *cluster) processes() []*testcluster.Process {
	var all []*testcluster.Process
	for _, m := range c.live() {
		all = append(all, m.Process)
	}
	all = append(all, c.entries...)
	return append(all, c.agents...)
}

// checkProcesses reports processes that have ended by themselves, without a failing
// disk, and those whose output tells of a panic or a data race.
func (c *cluster) checkProcesses() {
	for _, p := range c.processes() {
		if p.Exited() {
			c.oracle.addViolation("%s has ended by itself", p.Name)
		}
		for _, sign := range []string{"panic:", "WARNING: DATA RACE"} {
			if strings.Contains(p.Output(), sign) {
				c.oracle.addViolation("output of %s contains %q", p.Name, sign)
			}
		}
	}
}

// keepLogs saves the output of the processes in the folder that IBISPIER_SOAK_LOGS
// names, if it is set.
func (c *cluster) keepLogs(seed uint64) {
	dir := os.Getenv("IBISPIER_SOAK_LOGS")
	if dir == "" {
		return
	}
	processes := append([]*testcluster.Process{}, c.entries...)
	processes = append(processes, c.agents...)
	for _, m := range c.members {
		processes = append(processes, m.Process)
	}
	for _, p := range processes {
		path := filepath.Join(dir, fmt.Sprintf("%d-%s.log", seed, p.Name))
		if err := os.WriteFile(path, []byte(p.Output()), 0o600); err != nil {
			c.t.Error(err)
		}
	}
}
