package e2e

import (
	"fmt"
	"testing"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/testcluster"
)

// Guards against an accepted change that is lost, reverted or accepted twice, when
// two changes with the same base compete, the winner is proposed again, and
// members restart.
func TestAcceptedConfigurationNeverReverts(t *testing.T) {
	c := start(t, testcluster.Options{Controls: 3, Entries: 1})
	var accepted uint64
	for i := range 20 {
		cfg, err := c.Client.Config(c.Context())
		if err != nil {
			t.Fatal(err)
		}
		if cfg.Revision < accepted {
			t.Fatalf("revision %d after revision %d was accepted", cfg.Revision, accepted)
		}
		accepted = proposeConflicting(t, c, i, cfg.Revision)
		if i%5 == 3 {
			n := c.Controls[i%3]
			n.Kill()
			n.Start()
		}
	}
	for _, n := range c.Controls {
		n.Kill()
	}
	for _, n := range c.Controls {
		n.Start()
	}
	testcluster.Eventually(t, "the last accepted revision after a restart of all members", func() bool {
		cfg, err := c.Client.Config(c.Context())
		return err == nil && cfg.Revision == accepted
	})
}

// proposeConflicting proposes two changes with the same base, has both owners sign
// both, and returns the revision of the one that was accepted.
func proposeConflicting(t *testing.T, c *testcluster.Cluster, round int, base uint64) uint64 {
	t.Helper()
	var proposals [2]*controlapi.Proposal
	for i := range proposals {
		id := fmt.Sprintf("change-%d-%d", round, i)
		p, err := c.Propose(id, base, testcluster.UnlimitedPlanChange(fmt.Sprintf("customer-%d-%d", round, i)))
		if err != nil {
			t.Fatalf("propose %s: %v", id, err)
		}
		proposals[i] = p
	}
	var winner, loser *controlapi.Proposal
	for _, owner := range []string{testcluster.OwnerA, testcluster.OwnerB} {
		for _, p := range proposals {
			signed, err := c.Sign(p, owner)
			switch {
			case err != nil:
				t.Logf("sign %s as %s: %v", p.ChangeID, owner, err)
			case signed.State == controlapi.ProposalAccepted:
				winner = signed
			}
		}
	}
	if winner == nil {
		t.Fatalf("no change was accepted in round %d", round)
	}
	for _, p := range proposals {
		state, err := c.Client.Proposal(c.Context(), p.ChangeID)
		if err != nil {
			t.Fatal(err)
		}
		if p.ChangeID != winner.ChangeID {
			loser = state
		}
	}
	if loser.State != controlapi.ProposalConflict || loser.Winner != winner.ChangeID {
		t.Fatalf("losing change is %s with winner %q, want a conflict that names %s", loser.State, loser.Winner, winner.ChangeID)
	}
	resent, err := c.Propose(winner.ChangeID, base, winner.Change)
	if err != nil || resent.Revision != winner.Revision {
		t.Fatalf("accepted change proposed again: %+v, %v", resent, err)
	}
	return winner.Revision
}

// Guards against a member that votes after it has lost its log: an accepted change
// must survive the loss of one disk and, right after the repair, of another.
func TestSecondDiskLossAfterRepair(t *testing.T) {
	c := start(t, testcluster.Options{Controls: 3, Entries: 1})
	var last uint64
	for round, n := range []*testcluster.Node{c.Controls[2], c.Controls[1], c.Controls[0]} {
		p := c.ApplyChange(fmt.Sprintf("before-loss-%d", round), testcluster.UnlimitedPlanChange(fmt.Sprintf("customer-%d", round)))
		last = p.Revision
		c.ReplaceDisk(n)
	}
	cfg, err := c.Client.Config(c.Context())
	if err != nil || cfg.Revision != last {
		t.Fatalf("revision %d, want %d (%v)", cfg.Revision, last, err)
	}
}
