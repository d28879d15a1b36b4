package jobs

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/resource"
)

// newObservedHarness returns a harness that leads, and what its engine logs.
func newObservedHarness(t *testing.T) (*harness, *observer.ObservedLogs) {
	h := newHarness(t)
	core, logs := observer.New(zap.InfoLevel)
	h.e.log = zap.New(core)
	h.lead(1, 3)
	return h, logs
}

// Guards against a ready task that is not started without a line that tells why.
func TestWaitingStepIsLoggedWithTheRejectingFilter(t *testing.T) {
	h, logs := newObservedHarness(t)
	h.manifest()
	large := submission()
	large.Spec.Steps[0].Need = resource.Vector{CPUMilli: 65_000}
	h.request(controlapi.OpJobSubmit, large)
	for seen := range uint64(9) {
		h.request(controlapi.OpTarget, report(seen))
		h.advance(time.Second)
	}
	lines := logs.FilterMessage("step waiting").All()
	if len(lines) == 0 {
		t.Fatal("no line about the step")
	}
	if got := lines[len(lines)-1].ContextMap(); got["job"] != testJob || got["no_room"] != int64(1) || got["accepting_targets"] != int64(0) {
		t.Fatalf("logged %v, want one target without room", got)
	}
}

// Guards against a task that counts as placed while its target does not show it,
// without a line that tells so.
func TestMissingRunIsLogged(t *testing.T) {
	h, logs := newObservedHarness(t)
	h.placeTask()
	for range 9 {
		h.request(controlapi.OpTarget, report(2))
		h.advance(time.Second)
	}
	lines := logs.FilterMessage("runs missing").All()
	if len(lines) == 0 {
		t.Fatal("no line about the run")
	}
	if got := lines[0].ContextMap(); got["target"] != testTarget.ID || !slices.Equal(got["runs"].([]any), []any{testJob + ".0.0.0#1:due"}) {
		t.Fatalf("logged %v, want the run", got)
	}
}
