package control

import (
	"testing"

	"github.com/ibispier/ibispier/daemon/control/replica"
)

// Guards against a bootstrap that is refused because it was sent again, to the same
// member or to another one, when its answer was late: the members refused each other,
// and the group was not formed.
func TestRepeatedBootstrapJoinsTheOneInProgress(t *testing.T) {
	c := newCluster(t, 3, nil)
	for _, p := range c.processes {
		p.start(t)
	}
	contexts := map[uint64]*process{}
	for i, p := range []*process{c.processes[1], c.processes[1], c.processes[0], c.processes[2]} {
		context := uint64(i + 1)
		contexts[context] = p
		change := &replica.MemberChange{Action: replica.ActionBootstrap, Context: context}
		if err := p.role.Inputs.Offer(replica.Input{MemberChange: change}); err != nil {
			t.Fatal(err)
		}
	}
	for context, p := range contexts {
		c.waitFor("answer", func() (found bool) {
			p.applier.withLock(func() { _, found = p.applier.results[context] })
			return found
		})
		p.applier.withLock(func() {
			if err := p.applier.results[context]; err != nil {
				t.Errorf("request %d to %s: %v", context, p.settings.Daemon.ID, err)
			}
		})
	}
	c.waitForVoters(3)
	c.lastContext = 10
	for _, p := range c.processes {
		if err := c.changeMembership(p, replica.ActionBootstrap, ""); err != nil {
			t.Errorf("repetition after the answer, %s: %v", p.settings.Daemon.ID, err)
		}
	}
	c.waitForAll(c.commit())
}
