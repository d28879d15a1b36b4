package jobs

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/backlog"
	"github.com/ibispier/ibispier/resource"
)

const urgentJob = "00000000000000bb"

// leadOverloaded leads a group with one target of 64 cores. An urgent job needs all of it
// for longer than any job of the queue /q/ can wait.
func leadOverloaded(t *testing.T, enabled bool) *harness {
	h := newHarness(t)
	h.e.options.RefuseHopeless = enabled
	h.lead(1, 3)
	h.request(controlapi.OpManifest, &controlapi.ManifestRequest{Config: job.Config{
		Version: 1, Services: []job.Service{{Name: "s"}}, Source: []byte("{}"), Queues: []job.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Service: "s", TimeoutMillis: 1, Priority: 2},
			{Name: "urgent", Host: "h", Prefix: "/u/", Service: "s", TimeoutMillis: 1, SlackMillis: 3_600_000},
		},
	}})
	h.request(controlapi.OpTarget, report(0))
	h.advance(backlog.MinObservation)
	if got := h.submitSteps("u", urgentJob, job.Step{Count: 20_000, Need: resource.Vector{CPUMilli: 1000}, EstimateMillis: 100_000}).outcome(t); got != controlapi.JobOK {
		t.Fatalf("urgent job answered %s", got)
	}
	return h
}

func (h *harness) submitSteps(queue, id string, steps ...job.Step) *recorder {
	return h.request(controlapi.OpJobSubmit, &controlapi.JobSubmitRequest{Host: "h", Path: "/" + queue + "/" + id, Spec: job.Spec{ID: id, Steps: steps}})
}

var shortStep = job.Step{Count: 1, Need: resource.Vector{CPUMilli: 1000}, EstimateMillis: 100}

func (h *harness) submitShort(id string) *recorder { return h.submitSteps("q", id, shortStep) }

func (a *recorder) retryAfter() time.Duration {
	return time.Duration(a.got[0].Body.(controlapi.JobResponse).RetryAfterMillis) * time.Millisecond
}

func (h *harness) restoreFromSnapshot() {
	data, err := json.Marshal(h.e.store)
	if err != nil {
		h.Fatal(err)
	}
	index := uint64(len(h.log))
	h.restart()
	h.update(replica.Update{Snapshot: &replica.SnapshotData{Index: index, Data: data}})
	h.log = nil
}

// Guards against a job that runs although its caller was told that its submission was
// refused: a copy arrives later at another entry instance, at the same leader, a later one,
// or after a restart from a snapshot with refusing switched off. The caller who returns
// after its Retry-After is let in.
func TestCopyOfARefusedSubmission(t *testing.T) {
	for name, later := range map[string]func(h *harness){
		"same leader": func(*harness) {},
		"next leader": func(h *harness) {
			h.restart()
			h.lead(2, 3)
		},
		"snapshot": func(h *harness) {
			h.restoreFromSnapshot()
			h.lead(2, 3)
		},
	} {
		h := leadOverloaded(t, true)
		first := h.submitShort(testJob)
		if got := first.outcome(t); got != controlapi.JobNoRoom || first.retryAfter() < backlog.CopyLifetime {
			t.Fatalf("%s: answered %s, retry after %s", name, got, first.retryAfter())
		}
		h.request(controlapi.OpJobCancel, &controlapi.JobQuery{Host: "h", Path: "/u/" + urgentJob}) // there is room from now on
		later(h)
		h.advance(first.retryAfter() - backlog.CopyLifetime)
		var last *recorder
		for range 4 { // each answer promises that no copy is accepted for the lifetime of one
			last = h.submitShort(testJob)
			if got := last.outcome(t); got != controlapi.JobNoRoom || last.retryAfter() < backlog.CopyLifetime {
				t.Fatalf("%s: copy answered %s, retry after %s", name, got, last.retryAfter())
			}
			h.advance(backlog.CopyLifetime - time.Second)
		}
		if h.e.store.Jobs[testJob] != nil {
			t.Fatalf("%s: a copy was accepted", name)
		}
		h.advance(last.retryAfter())
		if got := h.submitShort(testJob).outcome(t); got != controlapi.JobOK {
			t.Errorf("%s: returning caller answered %s", name, got)
		}
	}
}

// Guards against a refusal that is answered before it is stored, and against a refusal and
// an acceptance of one ID that miss each other: the entry that comes first decides.
func TestRefusalBesideAnAcceptanceInFlight(t *testing.T) {
	for _, acceptFirst := range []bool{true, false} {
		h := leadOverloaded(t, true)
		h.held = true
		accept, refuse := &recorder{}, &recorder{}
		request := &controlapi.JobSubmitRequest{Host: "h", Path: "/q/" + testJob, Spec: job.Spec{ID: testJob, Steps: []job.Step{shortStep}}}
		queue, _ := h.e.store.Config.Match("h", request.Path)
		acceptJob := func() { h.e.acceptJob(asRequest(accept), request, queue) }
		if acceptFirst {
			acceptJob()
			h.e.flush(h.now)
		}
		refuse = h.submitShort(testJob)
		if !acceptFirst {
			acceptJob()
			h.e.flush(h.now)
		}
		if len(refuse.got)+len(accept.got) > 0 {
			t.Fatal("answered before the entry was applied")
		}
		h.held = false
		h.settle()
		want := controlapi.JobNoRoom
		if acceptFirst {
			want = controlapi.JobOK
		}
		if a, r := accept.outcome(t), refuse.outcome(t); a != want || r != want || (h.e.store.Jobs[testJob] != nil) != acceptFirst {
			t.Errorf("acceptance first %v: answered %s and %s, want %s; accepted %v", acceptFirst, a, r, want, h.e.store.Jobs[testJob] != nil)
		}
	}
}

// Guards against records that grow without a bound under a burst, against a refusal
// without a record, and against records that are kept for good.
func TestRefusalsOfABurstAreBounded(t *testing.T) {
	h := leadOverloaded(t, true)
	h.held = true
	var answers []*recorder
	for i := range job.MaxRefusals + 5 {
		answers = append(answers, h.submitShort(fmt.Sprintf("%016x", 0x1000+i)))
	}
	h.held = false
	h.settle()
	counts := map[controlapi.JobOutcome]int{}
	for _, a := range answers {
		counts[a.outcome(t)]++
	}
	if counts[controlapi.JobNoRoom] != job.MaxRefusals || counts[controlapi.JobOK] != 5 || len(h.e.store.Refusals) != job.MaxRefusals {
		t.Errorf("answers %v, %d records", counts, len(h.e.store.Refusals))
	}
	h.advance(backlog.MaxRetryAfter + backlog.MaxRetryAfter/2 + returnWindow)
	h.advance(cleanUpInterval)
	if n := len(h.e.store.Refusals) + len(h.e.leader.refusals.holds); n > 0 {
		t.Errorf("%d records and holds left", n)
	}
}

// Guards against refusals that are not asked for: by a leader without the setting, by one
// that has just begun to measure, or of lasting, scheduled, urgent or impossible jobs; and against a
// job that is refused again and again.
func TestSubmissionsThatAreNotRefused(t *testing.T) {
	h := leadOverloaded(t, false)
	if got := h.submitShort(testJob).outcome(t); got != controlapi.JobOK {
		t.Errorf("without the setting: %s", got)
	}
	h = leadOverloaded(t, true)
	lasting := shortStep
	lasting.Lasting = true
	if got := h.submitSteps("q", "00000000000000c1", lasting).outcome(t); got != controlapi.JobOK {
		t.Errorf("lasting: %s", got)
	}
	scheduled := &controlapi.JobSubmitRequest{Host: "h", Path: "/q/00000000000000c2", Spec: job.Spec{ID: "00000000000000c2", Steps: []job.Step{shortStep}, OccurrenceCount: 1}}
	if got := h.request(controlapi.OpJobSubmit, scheduled).outcome(t); got != controlapi.JobOK {
		t.Errorf("scheduled: %s", got)
	}
	if got := h.submitSteps("u", "00000000000000c3", shortStep).outcome(t); got != controlapi.JobOK {
		t.Errorf("urgent: %s", got)
	}
	gang := job.Step{Count: 65, Need: resource.Vector{CPUMilli: 1000}, EstimateMillis: 100, Gang: true}
	if got := h.submitSteps("q", "00000000000000c5", gang).outcome(t); got != controlapi.JobOK {
		t.Errorf("a gang for which there is no drain: %s", got)
	}
	gang.Count = 64
	if got := h.submitSteps("q", "00000000000000c6", gang).outcome(t); got != controlapi.JobNoRoom {
		t.Errorf("a gang that fits the target: %s", got)
	}
	for refusals := 0; ; refusals++ {
		h.request(controlapi.OpTarget, report(0))
		a := h.submitShort(testJob)
		if a.outcome(t) == controlapi.JobOK {
			if refusals != backlog.MaxRefusalsPerJob {
				t.Errorf("accepted after %d refusals", refusals)
			}
			break
		}
		for waited := time.Duration(0); waited <= a.retryAfter(); waited += time.Second {
			h.advance(time.Second)
			h.request(controlapi.OpTarget, report(0))
		}
	}
	h.restart()
	h.e.options.RefuseHopeless = true
	h.lead(2, 3)
	h.request(controlapi.OpTarget, report(0))
	if got := h.submitShort("00000000000000c4").outcome(t); got != controlapi.JobOK {
		t.Errorf("new leader: %s", got)
	}
}

func asRequest(a *recorder) *applier.Request {
	return &applier.Request{Operation: controlapi.OpJobSubmit, Replier: a}
}
