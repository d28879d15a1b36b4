package jobs

import (
	"testing"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/control/replica"
)

// Guards against a log that fills with copies of a configuration which operators send
// again until it is acknowledged.
func TestResentManifestIsNotLogged(t *testing.T) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	entries := len(h.log)
	put := func() *recorder {
		return h.request(controlapi.OpManifest, &controlapi.ManifestRequest{Config: largeConfig(7, 10)})
	}
	h.held = true
	waiting := []*recorder{put(), put(), put()}
	h.held = false
	h.settle()
	waiting = append(waiting, put(), put())
	for i, r := range waiting {
		if len(r.got) != 1 || r.got[0].Status != applier.OK {
			t.Errorf("copy %d: answers %+v", i, r.got)
		}
	}
	if got := len(h.log) - entries; got != 1 {
		t.Errorf("%d entries for one configuration, want 1", got)
	}
}

// Guards against an acknowledgement of a resent configuration by a member that no
// longer leads, and against one while the first copy may still be lost.
func TestResentManifestWaitsForConfirmation(t *testing.T) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	h.held = true
	r := h.request(controlapi.OpManifest, &controlapi.ManifestRequest{Config: largeConfig(1, 3)})
	if len(r.got) > 0 {
		t.Fatalf("answered %+v without a confirmation", r.got)
	}
	h.update(replica.Update{Status: &replica.Status{Term: 2, Members: voters(3)}})
	if len(r.got) != 1 || r.got[0].Status != applier.Unavailable {
		t.Fatalf("answers %+v, want unavailable", r.got)
	}
}
