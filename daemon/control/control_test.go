package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/datafolder"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/settings"
)

const testTimeout = 30 * time.Second

// applier is a state machine that records the commands it has applied.
type applier struct {
	inputs  *ring.Ring[replica.Input]
	updates *ring.Ring[replica.Update]
	// onMembers opens the links to the members, as the job duty does.
	onMembers func(ctx context.Context, members []replica.MemberStatus)
	keep      int // number of the newest commands to keep; 0 for all

	mu        sync.Mutex
	commands  []string
	applied   uint64
	snapshots int
	status    replica.Status
	results   map[uint64]error
	reads     map[uint64]uint64
	waiters   map[string]chan struct{}
}

func (a *applier) Run(ctx context.Context) error {
	for {
		u, err := a.updates.Take(ctx)
		if err != nil {
			return nil
		}
		a.apply(u)
		if u.Status != nil && a.onMembers != nil {
			a.onMembers(ctx, u.Status.Members)
		}
	}
}

func (a *applier) apply(u replica.Update) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u.Snapshot != nil {
		a.commands, a.applied = nil, u.Snapshot.Index
		a.snapshots++
		_ = json.Unmarshal(u.Snapshot.Data, &a.commands)
	}
	for _, e := range u.Entries {
		if e.Index != a.applied+1 {
			panic(fmt.Sprintf("entry %d after %d", e.Index, a.applied))
		}
		a.applied = e.Index
		if e.Kind == consensus.EntryNormal {
			a.commands = append(a.commands, string(e.Data))
			if n := len(a.commands) - a.keep; a.keep > 0 && n > 0 {
				a.commands = a.commands[n:]
			}
			if w := a.waiters[string(e.Data)]; w != nil {
				close(w)
				delete(a.waiters, string(e.Data))
			}
		}
	}
	for _, r := range u.Reads {
		a.reads[r.Context] = r.Index
	}
	for _, r := range u.MemberResults {
		a.results[r.Context] = r.Err
	}
	if u.Status != nil {
		a.status = *u.Status
	}
	if u.SnapshotWanted {
		data, _ := json.Marshal(a.commands)
		_ = a.inputs.Offer(replica.Input{Snapshot: &replica.SnapshotData{Index: a.applied, Data: data}})
	}
}

func (a *applier) withLock(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
}

func (a *applier) has(command string) (found bool) {
	a.withLock(func() { found = slices.Contains(a.commands, command) })
	return found
}

// process is a control member that a test can stop, start and wipe.
type process struct {
	settings *settings.Settings
	files    datafolder.FileSystem
	role     *Role
	applier  *applier
	cancel   context.CancelFunc
	done     chan error
}

type cluster struct {
	t           testing.TB
	processes   []*process
	lastContext uint64
	lastCommand int
}

func newCluster(t testing.TB, n int, adjust func(*settings.Settings)) *cluster {
	c := &cluster{t: t}
	var members []settings.Member
	for i := range n {
		members = append(members, settings.Member{ID: fmt.Sprintf("c%d", i), Address: freeAddress(t)})
	}
	for i := range n {
		s := settings.Default()
		s.Daemon.ID = members[i].ID
		s.Daemon.DataFolder = filepath.Join(t.TempDir(), members[i].ID)
		s.Control.Listen = members[i].Address
		s.Cluster.Control = members
		if adjust != nil {
			adjust(s)
		}
		c.processes = append(c.processes, &process{settings: s, files: datafolder.OS{}})
	}
	t.Cleanup(func() {
		for _, p := range c.processes {
			p.stop(t)
		}
	})
	return c
}

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (p *process) start(t testing.TB) {
	t.Helper()
	role, err := New(p.settings, zap.NewNop(), nil, p.files)
	if err != nil {
		t.Fatal(err)
	}
	p.role = role
	p.applier = &applier{
		inputs:  role.Inputs,
		updates: role.Updates,
		results: map[uint64]error{},
		reads:   map[uint64]uint64{},
		waiters: map[string]chan struct{}{},
	}
	if len(p.settings.Cluster.Seeds) > 0 {
		p.applier.onMembers = func(ctx context.Context, members []replica.MemberStatus) {
			var ids []string
			for _, m := range members {
				ids = append(ids, m.ID.ID)
			}
			_ = role.EnsureMembers(ctx, ids)
		}
	}
	role.AddCoreDuty("applier", p.applier)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	p.cancel, p.done = cancel, done
	go func() { done <- role.Run(ctx) }()
}

// stop ends the supervisor tree without a drain, which the other members observe
// like a crash.
func (p *process) stop(t testing.TB) {
	if p.cancel == nil {
		return
	}
	p.cancel()
	p.cancel = nil
	if err := <-p.done; err != nil {
		t.Errorf("member %s: %v", p.settings.Daemon.ID, err)
	}
}

// wipe deletes the data folder.
func (p *process) wipe(t testing.TB) {
	if err := os.RemoveAll(p.settings.Daemon.DataFolder); err != nil {
		t.Fatal(err)
	}
}

func (p *process) status() (s replica.Status) {
	p.applier.withLock(func() { s = p.applier.status })
	return s
}

func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			for _, p := range c.processes {
				if p.cancel != nil {
					c.t.Logf("%s: %+v", p.settings.Daemon.ID, p.status())
				}
			}
			c.t.Fatalf("no %s within %s", what, testTimeout)
		}
		time.Sleep(time.Millisecond)
	}
}

// changeMembership requests a membership change from p and returns its result.
func (c *cluster) changeMembership(p *process, action, id string) error {
	c.t.Helper()
	c.lastContext++
	changeContext := c.lastContext
	if err := p.role.Inputs.Offer(replica.Input{
		MemberChange: &replica.MemberChange{Action: action, ID: id, Context: changeContext},
	}); err != nil {
		c.t.Fatal(err)
	}
	var result error
	c.waitFor("result of "+action, func() (found bool) {
		p.applier.withLock(func() { result, found = p.applier.results[changeContext] })
		return found
	})
	return result
}

func (c *cluster) startAll() {
	for _, p := range c.processes {
		p.start(c.t)
	}
	if err := c.changeMembership(c.processes[0], replica.ActionBootstrap, ""); err != nil {
		c.t.Fatal(err)
	}
	c.waitForVoters(len(c.processes))
}

// leader waits until a running member is the leader and returns the leader with the
// highest term.
func (c *cluster) leader() *process {
	var leader *process
	c.waitFor("leader", func() bool {
		var term uint64
		leader = nil
		for _, p := range c.processes {
			if p.cancel == nil {
				continue
			}
			if s := p.status(); s.IsLeader && s.Term > term {
				leader, term = p, s.Term
			}
		}
		return leader != nil
	})
	return leader
}

// waitForVoters waits until n voters at the leader are current incarnations of
// running members.
func (c *cluster) waitForVoters(n int) {
	c.t.Helper()
	c.waitFor(fmt.Sprintf("%d voters", n), func() bool {
		voters := 0
		for _, m := range c.leader().status().Members {
			for _, p := range c.processes {
				if m.Voter && p.cancel != nil && m.ID == p.role.Self() {
					voters++
				}
			}
		}
		return voters == n
	})
}

// commit proposes a new command, repeatedly if necessary, until the leader has
// applied it.
func (c *cluster) commit() string {
	c.t.Helper()
	c.lastCommand++
	command := fmt.Sprintf("command-%d", c.lastCommand)
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		p := c.leader()
		_ = p.role.Inputs.Offer(replica.Input{Propose: []byte(command)})
		for range 200 {
			if p.applier.has(command) {
				return command
			}
			time.Sleep(time.Millisecond)
		}
	}
	c.t.Fatalf("%s not committed within %s", command, testTimeout)
	return ""
}

func (c *cluster) waitForAll(command string) {
	c.t.Helper()
	for _, p := range c.processes {
		if p.cancel != nil {
			c.waitFor(command+" at "+p.settings.Daemon.ID, func() bool { return p.applier.has(command) })
		}
	}
}

// Guards against losing a committed command when the leader stops, and against a
// restarted member that does not apply it.
func TestLeaderChangeAndRestart(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	first := c.commit()
	c.waitForAll(first)
	old := c.leader()
	old.stop(t)
	second := c.commit()
	old.start(t)
	c.waitForAll(first)
	c.waitForAll(second)
}
