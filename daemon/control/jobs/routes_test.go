package jobs

import (
	"testing"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
)

// Guards against an accepted job that callers can neither see nor cancel any more,
// because the route under which it came was removed, moved, or covered by another one:
// its tasks went on without end.
func TestJobStaysKnownWhateverBecomesOfItsRoute(t *testing.T) {
	id := testJob
	for name, prefixes := range map[string][]string{
		"kept":                       {"/q/"},
		"removed":                    {"/other/"},
		"no routes":                  {},
		"removed, a shorter matches": {"/"},
		"covered by a longer one":    {"/q/", "/q/" + id[:4]},
		"moved":                      {"/moved/"},
	} {
		for _, putBack := range []bool{false, true} {
			h := newHarness(t)
			h.lead(1, 3)
			h.manifest()
			h.request(controlapi.OpJobSubmit, submission())
			config := job.Config{Version: 2, Services: []job.Service{{Name: "s"}}, Source: []byte("{}")}
			for _, prefix := range prefixes {
				config.Queues = append(config.Queues, job.Queue{Host: "h", Prefix: prefix, Service: "s", TimeoutMillis: 1})
			}
			h.request(controlapi.OpManifest, &controlapi.ManifestRequest{Config: config})
			if putBack {
				config.Version = 3
				config.Queues = []job.Queue{{Host: "h", Prefix: "/q/", Service: "s", TimeoutMillis: 1}}
				h.request(controlapi.OpManifest, &controlapi.ManifestRequest{Config: config})
			}
			query := &controlapi.JobQuery{Host: "h", Path: "/q/" + id}
			for _, op := range []controlapi.Operation{controlapi.OpJobStatus, controlapi.OpJobCancel, controlapi.OpJobStatus} {
				got := h.request(op, query).got
				if len(got) != 1 || got[0].Body.(controlapi.JobResponse).Outcome != controlapi.JobOK {
					t.Errorf("%s, put back %t: %s answered %+v", name, putBack, op, got)
				}
			}
			if !h.e.store.Jobs[id].Cancelled {
				t.Errorf("%s, put back %t: not cancelled", name, putBack)
			}
			unknown := &controlapi.JobQuery{Host: "h", Path: "/q/00000000000000ff"}
			if got := h.request(controlapi.OpJobStatus, unknown).got[0].Body.(controlapi.JobResponse); got.Outcome == controlapi.JobOK {
				t.Errorf("%s: a job that nobody submitted is known", name)
			}
		}
	}
}

// Guards against a refusal of a submission whose earlier attempt is still on its way
// into the log: it was answered "never runs" and then ran.
func TestRefusalWaitsForEarlierAttempts(t *testing.T) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	h.held = true
	first := h.request(controlapi.OpJobSubmit, submission())
	invalid := submission()
	invalid.Spec.Steps = nil
	second := h.request(controlapi.OpJobSubmit, invalid)
	if len(second.got) > 0 {
		t.Fatalf("answered %+v before a confirmation", second.got)
	}
	h.held = false
	h.settle()
	for i, r := range []*recorder{first, second} {
		if len(r.got) != 1 || r.got[0].Body.(controlapi.JobResponse).Outcome != controlapi.JobOK {
			t.Errorf("attempt %d: answers %+v, want accepted", i+1, r.got)
		}
	}
}
