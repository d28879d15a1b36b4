package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/settings"
)

// followers returns the running members except the leader.
func (c *cluster) followers() []*process {
	leader := c.leader()
	var followers []*process
	for _, p := range c.processes {
		if p != leader && p.cancel != nil {
			followers = append(followers, p)
		}
	}
	return followers
}

// Guards against losing a committed command when a second member loses its data
// right after a wiped member was repaired.
func TestSecondLossAfterRepair(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	wiped := c.followers()[0]
	first := c.commit()
	wiped.stop(t)
	second := c.commit()
	old := wiped.role.Self()
	wiped.wipe(t)
	wiped.start(t)
	if wiped.role.Self() == old {
		t.Fatal("a wiped member has kept its incarnation")
	}
	c.waitForVoters(3)
	lost := c.leader()
	lost.stop(t)
	lost.wipe(t)
	third := c.commit()
	for _, command := range []string{first, second, third} {
		c.waitForAll(command)
	}
	lost.start(t)
	c.waitForVoters(3)
	c.waitForAll(c.commit())
}

// Guards against missing commands on a member that is repaired from a snapshot of
// several chunks, and against a log that is never compacted.
func TestWipedMemberFromSnapshot(t *testing.T) {
	c := newCluster(t, 3, func(s *settings.Settings) { s.Control.SnapshotEntries = 100 })
	c.startAll()
	wiped := c.followers()[0]
	wiped.stop(t)
	wiped.wipe(t)
	padding := make([]byte, 4096)
	for i := range 400 {
		p := c.leader()
		_ = p.role.Inputs.Offer(replica.Input{Propose: fmt.Appendf(padding[:len(padding):len(padding)], "-%d", i)})
		if i%50 == 49 {
			c.commit()
		}
	}
	last := c.commit()
	wiped.start(t)
	c.waitForVoters(3)
	c.waitForAll(last)
	wiped.applier.withLock(func() {
		if wiped.applier.snapshots < 2 {
			t.Errorf("member was repaired without a snapshot")
		}
		if len(wiped.applier.commands) < 400 {
			t.Errorf("member has %d commands, want at least 400", len(wiped.applier.commands))
		}
	})
}

// Guards against a second group: a member without data must not form one while
// another member has state, nor without an explicit bootstrap.
func TestBootstrapIsExplicitAndRefusedBesideState(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	c.commit()
	wiped := c.followers()[0]
	wiped.stop(t)
	wiped.wipe(t)
	c.followers()[0].stop(t) // without a quorum, the wiped member cannot be admitted again
	wiped.start(t)
	if err := c.changeMembership(wiped, replica.ActionBootstrap, ""); err == nil {
		t.Fatal("bootstrap succeeded although another member has state")
	}
	if s := wiped.status(); s.Leader == wiped.settings.Daemon.ID || s.IsLeader {
		t.Fatalf("a member without data is the leader: %+v", s)
	}
}

// Guards against membership changes that are lost or reverted by the leader, and
// against a drained member that stops before another one has become the leader.
func TestRemoveAdmitTransferAndDrain(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	removed := c.followers()[0].settings.Daemon.ID
	if err := c.changeMembership(c.leader(), replica.ActionRemove, removed); err != nil {
		t.Fatal(err)
	}
	c.commit()
	if n := len(c.leader().status().Members); n != 2 {
		t.Fatalf("%d members after remove, want 2", n)
	}
	if err := c.changeMembership(c.leader(), replica.ActionAdmit, removed); err != nil {
		t.Fatal(err)
	}
	c.waitForVoters(3)
	to := c.followers()[0]
	if err := c.changeMembership(c.leader(), replica.ActionTransfer, to.settings.Daemon.ID); err != nil {
		t.Fatal(err)
	}
	c.waitFor("transfer", func() bool { return c.leader() == to })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := to.role.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	c.waitFor("new leader before the stop", func() bool {
		return c.leader() != to && c.leader().status().IsLeader
	})
	to.stop(t)
	start := time.Now()
	c.waitForAll(c.commit())
	t.Logf("commit %s after the stop of a drained member", time.Since(start))
}

// Guards against a read that is never confirmed, or that is confirmed at an outdated
// index by a member that is not the leader.
func TestReadIndex(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	c.commit()
	p := c.leader()
	var applied uint64
	p.applier.withLock(func() { applied = p.applier.applied })
	if err := p.role.Inputs.Offer(replica.Input{ReadContext: 77}); err != nil {
		t.Fatal(err)
	}
	c.waitFor("read", func() (confirmed bool) {
		p.applier.withLock(func() { confirmed = p.applier.reads[77] >= applied })
		return confirmed
	})
}
