package testcluster

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gopkg.in/ini.v1"

	"github.com/ibispier/ibispier/client"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/plan"
	"github.com/ibispier/ibispier/standin/target"
	"github.com/ibispier/ibispier/standin/worker"
)

// Options describes a cluster of processes.
type Options struct {
	Controls int // 0 for standalone entry instances
	Entries  int
	Agents   int
	Zones    []string // node i of each role is in zone i modulo their number
	Service  string
	Workers  bool                         // start a stand-in worker for each agent
	Relays   bool                         // put a relay on every link, for link faults
	Settings map[string]map[string]string // section and key to value, for every process
	// Announce makes the targets announce themselves and their departure to their
	// agents.
	Announce bool
	// TargetArgs returns additional arguments for the stand-in target of agent i.
	TargetArgs func(i int) []string
}

// Node is one daemon of a cluster and its stand-ins.
type Node struct {
	*Process
	ID              string
	Zone            string
	CallerAddress   string // where an entry instance listens for callers
	LinkAddress     string // where the node listens for links of other nodes
	AdminAddress    string // where the node listens for operators
	DataDir         string
	TargetAddress   string // address of the stand-in target of an agent
	TargetProcess   *Process
	AnnounceAddress string            // where an agent listens for announcements of its target; may be empty
	WorkerAddress   string            // address of the stand-in worker of an agent
	Relays          map[string]*Relay // by the id of the node that this one dials
}

// Cluster is a set of daemons and stand-ins.
type Cluster struct {
	t        testing.TB
	options  Options
	dir      string
	Controls []*Node
	Entries  []*Node
	Agents   []*Node
	Client   *client.Client
	owners   map[string]ed25519.PrivateKey
}

// Owners that sign changes in every cluster.
const (
	OwnerA = "owner-a"
	OwnerB = "owner-b"
)

// Start starts a cluster and waits until it is ready: control has a leader, the
// owners' keys are set, and every entry instance knows every target.
func Start(t testing.TB, o Options) *Cluster {
	t.Helper()
	c := &Cluster{t: t, options: o, dir: t.TempDir(), owners: map[string]ed25519.PrivateKey{}}
	for i := range o.Controls {
		c.Controls = append(c.Controls, c.newNode("control", i))
	}
	for i := range o.Entries {
		c.Entries = append(c.Entries, c.newNode("entry", i))
	}
	for i := range o.Agents {
		c.Agents = append(c.Agents, c.newNode("agent", i))
	}
	c.startStandins()
	for _, n := range c.Nodes() {
		c.startNode(n)
	}
	c.Client = c.newClient()
	if o.Controls == 0 {
		for _, n := range c.Entries {
			c.AwaitReady(n)
		}
		return c
	}
	c.bootstrap()
	c.awaitAllTargets()
	return c
}

// Nodes returns all daemons.
func (c *Cluster) Nodes() []*Node {
	var all []*Node
	all = append(all, c.Controls...)
	all = append(all, c.Entries...)
	return append(all, c.Agents...)
}

func (c *Cluster) newNode(role string, i int) *Node {
	id := fmt.Sprintf("%s-%d", role, i+1)
	return &Node{
		ID:            id,
		Zone:          c.options.Zones[i%len(c.options.Zones)],
		CallerAddress: freeAddress(c.t),
		LinkAddress:   freeAddress(c.t),
		AdminAddress:  freeAddress(c.t),
		DataDir:       filepath.Join(c.dir, id),
		Relays:        map[string]*Relay{},
	}
}

// firstPort is below the ephemeral port range, so that no outgoing connection can
// take the address of a process that is starting.
const firstPort = 20000

var nextPort atomic.Int32

// freeAddress returns a loopback address that nothing else uses: the host part
// encodes the process id of the test, and each port is returned once.
func freeAddress(t testing.TB) string {
	t.Helper()
	pid := os.Getpid()
	host := net.IPv4(127, byte(64+pid>>16&63), byte(pid>>8), byte(pid))
	port := firstPort + int(nextPort.Add(1))
	if port >= 32768 {
		t.Fatal("no ports left for this test process")
	}
	return net.JoinHostPort(host.String(), strconv.Itoa(port))
}

func (c *Cluster) startStandins() {
	for i, n := range c.Agents {
		n.TargetAddress = freeAddress(c.t)
		args := []string{"-kind", "target", "-listen", n.TargetAddress, "-id", n.ID}
		if c.options.Announce {
			n.AnnounceAddress = freeAddress(c.t)
			args = append(args, "-agent", n.AnnounceAddress)
		}
		if c.options.TargetArgs != nil {
			args = append(args, c.options.TargetArgs(i)...)
		}
		n.TargetProcess = StartProcess(c.t, "target of "+n.ID, "ibispier-standin", args...)
		if !c.options.Workers {
			continue
		}
		n.WorkerAddress = freeAddress(c.t)
		StartProcess(c.t, "worker of "+n.ID, "ibispier-standin", "-kind", "worker", "-listen", n.WorkerAddress,
			"-id", n.ID, "-zone", n.Zone, "-usage-lag", "300ms")
	}
}

func (c *Cluster) startNode(n *Node) {
	path := filepath.Join(c.dir, n.ID+".ini")
	if err := c.settingsFile(n).SaveTo(path); err != nil {
		c.t.Fatal(err)
	}
	n.Process = StartProcess(c.t, n.ID, "ibispierd", "-config", path)
}

func (c *Cluster) settingsFile(n *Node) *ini.File {
	role, _, _ := strings.Cut(n.ID, "-")
	file := ini.Empty()
	set := func(section, key, value string) {
		file.Section(section).Key(key).SetValue(value)
	}
	set("daemon", "id", n.ID)
	set("daemon", "roles", role)
	set("daemon", "zone", n.Zone)
	set("daemon", "data", n.DataDir)
	set("daemon", "grace", "0s")
	set("admin", "listen", n.AdminAddress)
	set("cluster", "control", c.memberList(n))
	switch role {
	case "control":
		set("control", "listen", n.LinkAddress)
	case "entry":
		set("entry", "listen", n.CallerAddress)
		set("entry", "agent_listen", n.LinkAddress)
		set("entry", "standalone", strconv.FormatBool(c.options.Controls == 0))
	case "agent":
		set("cluster", "entries", c.entryList(n))
		c.setAgentKeys(set, n)
	}
	for section, keys := range c.options.Settings {
		for key, value := range keys {
			set(section, key, value)
		}
	}
	return file
}

func (c *Cluster) setAgentKeys(set func(section, key, value string), n *Node) {
	set("agent", "target", "http://"+n.TargetAddress)
	set("agent", "listen", n.AnnounceAddress)
	set("agent", "service", c.options.Service)
	set("agent", "rack", "rack-"+n.Zone)
	if n.WorkerAddress != "" {
		set("agent", "worker", "http://"+n.WorkerAddress)
		set("agent", "cpu_milli", "64000")
		set("agent", "memory_mib", "250000")
	}
}

func (c *Cluster) memberList(from *Node) string {
	var items []string
	for _, m := range c.Controls {
		items = append(items, m.ID+"@"+c.address(from, m))
	}
	return strings.Join(items, ", ")
}

func (c *Cluster) entryList(from *Node) string {
	var items []string
	for _, e := range c.Entries {
		items = append(items, c.address(from, e))
	}
	return strings.Join(items, ", ")
}

// address returns the address at which a node reaches another one: the relay of
// the pair if the cluster has relays.
func (c *Cluster) address(from, to *Node) string {
	if !c.options.Relays || from == to {
		return to.LinkAddress
	}
	if from.Relays[to.ID] == nil {
		from.Relays[to.ID] = StartRelay(c.t, to.LinkAddress)
	}
	return from.Relays[to.ID].Address()
}

// Isolate sets the mode of every link between a node and all others.
func (c *Cluster) Isolate(n *Node, m Mode) {
	for _, r := range n.Relays {
		r.SetMode(m)
	}
	for _, other := range c.Nodes() {
		if r := other.Relays[n.ID]; r != nil {
			r.SetMode(m)
		}
	}
}

func (c *Cluster) newClient() *client.Client {
	o := client.Options{Timeout: WaitTimeout}
	for _, n := range c.Controls {
		o.Admin = append(o.Admin, n.AdminAddress)
	}
	for _, n := range c.Entries {
		o.Entry = append(o.Entry, n.CallerAddress)
	}
	return client.New(o)
}

// Context returns a context with a deadline of WaitTimeout.
func (c *Cluster) Context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	c.t.Cleanup(cancel)
	return ctx
}

func (c *Cluster) bootstrap() {
	c.t.Helper()
	first := client.New(client.Options{Admin: []string{c.Controls[0].AdminAddress}, Timeout: WaitTimeout})
	if _, err := first.ChangeMembership(c.Context(), controlapi.MembershipRequest{Action: "bootstrap", ID: c.Controls[0].ID}); err != nil {
		c.t.Fatalf("bootstrap: %v", err)
	}
	c.AwaitVoters(len(c.Controls))
	c.setOwners()
}

// AwaitVoters waits until the consensus group has exactly that many active voters.
func (c *Cluster) AwaitVoters(want int) {
	c.t.Helper()
	Eventually(c.t, fmt.Sprintf("%d active voters", want), func() bool {
		members, err := c.Client.Members(c.Context())
		if err != nil {
			return false
		}
		voters := 0
		for _, m := range members.Members {
			if m.Voter && m.Active {
				voters++
			}
		}
		return voters == want
	})
}

// Member returns the status of a member as control reports it.
func (c *Cluster) Member(id string) (controlapi.Member, bool) {
	members, err := c.Client.Members(c.Context())
	if err != nil {
		return controlapi.Member{}, false
	}
	for _, m := range members.Members {
		if m.ID == id {
			return m, true
		}
	}
	return controlapi.Member{}, false
}

// ReplaceDisk kills a control member, deletes its data folder, starts it again and
// waits until the group has admitted it under a new incarnation.
func (c *Cluster) ReplaceDisk(n *Node) {
	c.t.Helper()
	before, ok := c.Member(n.ID)
	if !ok {
		c.t.Fatalf("%s is not a member", n.ID)
	}
	n.Kill()
	c.DeleteData(n)
	n.Start()
	Eventually(c.t, n.ID+" repaired", func() bool {
		now, ok := c.Member(n.ID)
		return ok && now.Incarnation != before.Incarnation && now.Voter && now.Active
	})
	c.AwaitVoters(len(c.Controls))
}

func (c *Cluster) setOwners() {
	c.t.Helper()
	public := map[string]string{}
	for i, owner := range []string{OwnerA, OwnerB} {
		seed := bytes.Repeat([]byte{byte(i + 1)}, ed25519.SeedSize)
		key := ed25519.NewKeyFromSeed(seed)
		c.owners[owner] = key
		public[owner] = base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
	}
	_, err := c.Client.Propose(c.Context(), controlapi.ProposeRequest{
		ChangeID: "owners", Change: controlapi.Change{Kind: controlapi.ChangeOwners, Owners: public},
	})
	if err != nil {
		c.t.Fatalf("set the owners: %v", err)
	}
}

// Propose proposes a change to revision base.
func (c *Cluster) Propose(id string, base uint64, change controlapi.Change) (*controlapi.Proposal, error) {
	return c.Client.Propose(c.Context(), controlapi.ProposeRequest{ChangeID: id, Base: base, Change: change, Force: true})
}

// Sign signs a proposal as an owner.
func (c *Cluster) Sign(p *controlapi.Proposal, owner string) (*controlapi.Proposal, error) {
	return c.Client.Sign(c.Context(), controlapi.SignRequest{
		ChangeID:  p.ChangeID,
		Owner:     owner,
		Signature: plan.Signature(c.owners[owner], p.Digest, false),
	})
}

// ApplyChange proposes a change to the current revision, signs it as both owners
// and returns the accepted proposal.
func (c *Cluster) ApplyChange(id string, change controlapi.Change) *controlapi.Proposal {
	c.t.Helper()
	cfg, err := c.Client.Config(c.Context())
	if err != nil {
		c.t.Fatalf("read the configuration: %v", err)
	}
	p, err := c.Propose(id, cfg.Revision, change)
	if err != nil {
		c.t.Fatalf("propose %s: %v", id, err)
	}
	for _, owner := range []string{OwnerA, OwnerB} {
		if p, err = c.Sign(p, owner); err != nil {
			c.t.Fatalf("sign %s: %v", id, err)
		}
	}
	if p.State != controlapi.ProposalAccepted {
		c.t.Fatalf("change %s is %s: %s", id, p.State, p.Reason)
	}
	return p
}

// UnlimitedPlanChange returns a change to the lists with one customer, whose plan
// allows every service and has limits too high to matter.
func UnlimitedPlanChange(customer string) controlapi.Change {
	return controlapi.Change{
		Kind:      controlapi.ChangeLists,
		Customers: []controlapi.Subscription{{Customer: customer, Plan: "large"}},
		Plans: []controlapi.Plan{{
			Name: "large", Services: []string{"*"}, RequestsPerSecond: 1e6, Concurrency: 1e5, Burst: 1e5,
			CPUMilli: 1 << 40, MemoryMiB: 1 << 40, Accelerators: 1 << 20, Tasks: 1 << 20,
		}},
	}
}

func (c *Cluster) awaitAllTargets() {
	c.t.Helper()
	for _, n := range c.Entries {
		c.AwaitReady(n)
	}
	if len(c.Agents) == 0 {
		return
	}
	Eventually(c.t, "every target announced", func() bool {
		status, err := c.Client.Status(c.Context())
		return err == nil && len(status.Targets) >= len(c.Agents)
	})
}

// AwaitReady waits until a daemon is ready.
func (c *Cluster) AwaitReady(n *Node) {
	c.t.Helper()
	Eventually(c.t, n.ID+" ready", func() bool {
		resp, err := http.Get("http://" + n.AdminAddress + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// DeleteData deletes the data folder of a node that is not running.
func (c *Cluster) DeleteData(n *Node) {
	c.t.Helper()
	if err := os.RemoveAll(n.DataDir); err != nil {
		c.t.Fatal(err)
	}
}

// Runs returns the requests that the stand-in target of an agent has recorded.
func (c *Cluster) Runs(n *Node) []target.Run {
	c.t.Helper()
	return fetch[[]target.Run](c.t, "http://"+n.TargetAddress+"/runs")
}

// Events returns the events that the stand-in worker of an agent has recorded.
func (c *Cluster) Events(n *Node) []worker.Event {
	c.t.Helper()
	return fetch[[]worker.Event](c.t, "http://"+n.WorkerAddress+"/v1/events")
}

func fetch[T any](t testing.TB, url string) T {
	t.Helper()
	var v T
	httpClient := http.Client{Timeout: 10 * time.Second}
	resp, err := httpClient.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		t.Fatal(err)
	}
	return v
}
