package control

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/datafolder"
	"github.com/ibispier/ibispier/settings"
)

// replacementBound is the time within which a new member takes the place of a lost
// one: the silence after which a member counts as lost, two quorum checks of a new
// leader, and the time to catch up.
const replacementBound = 8 * time.Second

// seedCluster is a cluster whose members know three seeds instead of each other.
type seedCluster struct {
	*cluster
	port int
	next int // last byte of the next address
}

func newSeedCluster(t *testing.T, members int) *seedCluster {
	_, port, err := net.SplitHostPort(freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	c := &seedCluster{cluster: &cluster{t: t}, next: 1}
	if c.port, err = strconv.Atoi(port); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, p := range c.processes {
			p.stop(t)
		}
	})
	seeds := []string{c.address(1), c.address(2), c.address(3)}
	for range members {
		c.add(seeds...)
	}
	c.startAll()
	return c
}

// address returns the address of the n-th member. All members have one port.
func (c *seedCluster) address(n int) string { return fmt.Sprintf("127.77.0.%d:%d", n, c.port) }

// add adds a member at a new address.
func (c *seedCluster) add(seeds ...string) *process {
	s := settings.Default()
	s.Control.Listen = c.address(c.next)
	s.Daemon.ID = fmt.Sprintf("127.77.0.%d", c.next)
	s.Daemon.DataFolder = filepath.Join(c.t.TempDir(), s.Daemon.ID)
	s.Cluster.Port = c.port
	s.Cluster.Seeds = seeds
	s.Jobs.ToleratedDiskLosses = 2
	for _, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			c.t.Fatal(err)
		}
		s.Cluster.Control = append(s.Cluster.Control, settings.Member{ID: host, Address: seed})
	}
	c.next++
	p := &process{settings: s, files: datafolder.OS{}}
	c.processes = append(c.processes, p)
	return p
}

// replace stops a member for good and starts a new one with the seeds.
func (c *seedCluster) replace(lost *process, seeds ...*process) {
	c.t.Helper()
	lost.stop(c.t)
	var addresses []string
	for _, p := range seeds {
		addresses = append(addresses, p.settings.Control.Listen)
	}
	start := time.Now()
	c.add(addresses...).start(c.t)
	c.waitForVoters(5)
	if took := time.Since(start); took > replacementBound {
		c.t.Errorf("replacement of %s took %s, want %s at most", lost.settings.Daemon.ID, took, replacementBound)
	}
}

// Guards against a new member that is never admitted because none of its seeds leads:
// each further replacement then costs the group a voter, until it has no quorum.
func TestNewMemberWithoutTheLeaderAmongItsSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("waits until lost members count as lost")
	}
	c := newSeedCluster(t, 5)
	followers := c.followers()
	c.replace(followers[0], followers[0], followers[1])
	c.replace(c.leader(), c.followers()[0])
	for _, p := range c.processes {
		if p.cancel != nil {
			c.waitForAll(c.commit())
			break
		}
	}
}

// Guards against lost members that stay in the group as learners, so that the group
// grows with each replacement.
func TestReplacedMembersLeaveTheGroup(t *testing.T) {
	if testing.Short() {
		t.Skip("waits until lost members count as lost")
	}
	c := newSeedCluster(t, 5)
	c.replace(c.followers()[0], c.leader())
	c.replace(c.leader(), c.followers()...)
	c.waitFor("group of five", func() bool { return len(c.leader().status().Members) == 5 })
}

// Guards against a lost member that is never replaced because leaders change, as they do
// on busy machines: each new leader counted the silence of the member anew, so that
// further losses took the quorum.
func TestLostMemberIsReplacedWhileLeadersChange(t *testing.T) {
	if testing.Short() {
		t.Skip("waits until lost members count as lost")
	}
	const leaderLasts = 1500 * time.Millisecond
	c := newSeedCluster(t, 5)
	followers := c.followers()
	followers[0].stop(t)
	start := time.Now()
	added := c.add(followers[1].settings.Control.Listen)
	added.start(t)
	isVoter := func() bool {
		for _, m := range c.leader().status().Members {
			if m.ID == added.role.Self() && m.Voter {
				return true
			}
		}
		return false
	}
	transferred := start
	for ; !isVoter(); time.Sleep(10 * time.Millisecond) {
		if took := time.Since(start); took > replacementBound {
			t.Fatalf("no replacement for %s, want %s at most", took.Round(time.Millisecond), replacementBound)
		}
		if time.Since(transferred) > leaderLasts {
			transferred = time.Now()
			if err := c.changeMembership(c.leader(), replica.ActionTransfer, ""); err != nil {
				t.Logf("transfer: %v", err)
			}
		}
	}
	t.Logf("replaced after %s", time.Since(start).Round(time.Millisecond))
}

// Guards against replaced members that each new leader admits again as learners, one by
// one and before those that are needed, because it has once seen them.
func TestNewLeaderAdmitsNoReplacedMember(t *testing.T) {
	if testing.Short() {
		t.Skip("waits until lost members count as lost")
	}
	const observed = 2 * time.Second // twenty reconciliations
	c := newSeedCluster(t, 5)
	lost, next := c.followers()[0], c.followers()[1] // next has seen the lost one
	lostID := lost.role.Self()
	c.replace(lost, c.followers()...)
	c.waitFor("group of five", func() bool { return len(c.leader().status().Members) == 5 })
	if err := c.changeMembership(c.leader(), replica.ActionTransfer, next.settings.Daemon.ID); err != nil {
		t.Fatal(err)
	}
	c.waitFor("new leader", func() bool { return c.leader() == next })
	for start := time.Now(); time.Since(start) < observed; time.Sleep(5 * time.Millisecond) {
		for _, m := range c.leader().status().Members {
			if m.ID == lostID {
				t.Fatalf("%s was admitted again %s after the change of leadership", lostID, time.Since(start).Round(time.Millisecond))
			}
		}
	}
}
