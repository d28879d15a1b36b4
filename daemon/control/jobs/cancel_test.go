package jobs

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/job"
)

// outcome returns the outcome in the only answer.
func (a *recorder) outcome(t *testing.T) controlapi.JobOutcome {
	t.Helper()
	if len(a.got) != 1 {
		t.Fatalf("%d answers", len(a.got))
	}
	body, ok := a.got[0].Body.(controlapi.JobResponse)
	if !ok {
		t.Fatalf("answer %+v", a.got[0])
	}
	return body.Outcome
}

func (h *harness) cancel(id string) *recorder {
	return h.request(controlapi.OpJobCancel, &controlapi.JobQuery{Host: "h", Path: "/q/" + id})
}

func (h *harness) status(id string) *recorder {
	return h.request(controlapi.OpJobStatus, &controlapi.JobQuery{Host: "h", Path: "/q/" + id})
}

func (h *harness) submitTestJob() *recorder { return h.request(controlapi.OpJobSubmit, submission()) }

// Guards against a job that runs although its caller was told that its cancelling has
// succeeded because there is no such job: a copy of the submission was on its way, and was
// accepted by the same leader, by a later one, or after a restart from a snapshot.
func TestSubmissionAfterItsCancelIsRefused(t *testing.T) {
	cancelled := func() *harness {
		h := newHarness(t)
		h.lead(1, 3)
		h.manifest()
		if got := h.cancel(testJob).outcome(t); got != controlapi.JobUnknown {
			t.Fatalf("cancelling answered %s, want %s", got, controlapi.JobUnknown)
		}
		return h
	}
	for name, later := range map[string]func(h *harness){
		"same leader": func(*harness) {},
		"next leader": func(h *harness) {
			h.restart()
			h.lead(2, 3)
		},
		"snapshot": func(h *harness) {
			data, err := json.Marshal(h.e.store)
			if err != nil {
				t.Fatal(err)
			}
			index := uint64(len(h.log))
			h.restart()
			h.update(replica.Update{Snapshot: &replica.SnapshotData{Index: index, Data: data}})
			h.log = nil
			h.lead(2, 3)
		},
	} {
		h := cancelled()
		later(h)
		if got := h.submitTestJob().outcome(t); got != controlapi.JobCancelled {
			t.Errorf("%s: late submission answered %s, want %s", name, got, controlapi.JobCancelled)
		}
		if got := h.cancel(testJob).outcome(t); got != controlapi.JobUnknown {
			t.Errorf("%s: second cancelling answered %s", name, got)
		}
		if got := h.status(testJob).outcome(t); got != controlapi.JobUnknown || len(h.e.store.LiveJobs()) > 0 {
			t.Errorf("%s: state answered %s, %d live jobs", name, got, len(h.e.store.LiveJobs()))
		}
	}
}

// Guards against a cancelling that is answered before it is stored: the next leader would
// not know of it.
func TestCancelOfAnUnknownJobIsAnsweredAfterTheLog(t *testing.T) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	h.held = true
	a := h.cancel(testJob)
	reads := h.reads
	h.reads = nil
	for _, context := range reads {
		h.update(replica.Update{Reads: []replica.ReadReady{{Context: context, Index: uint64(len(h.log))}}})
	}
	if len(a.got) > 0 || len(h.proposals) != 1 {
		t.Fatalf("%d answers and %d proposals before the commit, want 0 and 1", len(a.got), len(h.proposals))
	}
	h.update(h.commit(1))
	if got := a.outcome(t); got != controlapi.JobUnknown {
		t.Errorf("answered %s", got)
	}
}

// Guards against a submission and a cancelling under way at the same time that miss each
// other: the entry that comes first in the log decides.
func TestCancelBesideASubmissionInFlight(t *testing.T) {
	for _, submitFirst := range []bool{true, false} {
		h := newHarness(t)
		h.lead(1, 3)
		h.manifest()
		h.held = true
		var submitted, cancelled *recorder
		if submitFirst {
			submitted, cancelled = h.submitTestJob(), h.cancel(testJob)
		} else {
			cancelled = h.cancel(testJob)
			for _, context := range h.reads {
				h.update(replica.Update{Reads: []replica.ReadReady{{Context: context, Index: uint64(len(h.log))}}})
			}
			h.reads = nil
			submitted = h.submitTestJob()
		}
		h.held = false
		h.settle()
		want := [2]controlapi.JobOutcome{controlapi.JobCancelled, controlapi.JobUnknown}
		if submitFirst {
			want = [2]controlapi.JobOutcome{controlapi.JobOK, controlapi.JobOK}
		}
		if got := [2]controlapi.JobOutcome{submitted.outcome(t), cancelled.outcome(t)}; got != want {
			t.Errorf("submission first %v: submission and cancelling answered %v, want %v", submitFirst, got, want)
		}
		if n := len(h.e.store.LiveJobs()); n > 0 {
			t.Errorf("submission first %v: %d live jobs", submitFirst, n)
		}
	}
}

// Guards against a client that fills the disk by cancelling made-up jobs, against an answer
// for a cancelling that is not stored, and against one that is kept for good.
func TestCancelsOfUnknownJobsAreBounded(t *testing.T) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	h.held = true
	var recorders []*recorder
	for i := range job.MaxTombstones {
		recorders = append(recorders, h.cancel(fmt.Sprintf("%016x", 0x1000+i)))
	}
	h.held = false
	h.settle()
	for i, a := range recorders {
		if got := a.outcome(t); got != controlapi.JobUnknown {
			t.Fatalf("cancelling %d answered %s", i, got)
		}
	}
	h.advance(cleanUpInterval)
	entries := len(h.log)
	a := h.cancel(testJob)
	if got := a.outcome(t); got != controlapi.JobOverloaded || len(h.log) != entries {
		t.Errorf("one more was answered %s with %d entries, want %s and none", got, len(h.log)-entries, controlapi.JobOverloaded)
	}
	if retry := time.Duration(a.got[0].Body.(controlapi.JobResponse).RetryAfterMillis) * time.Millisecond; retry <= 0 || retry > h.e.options.Retention {
		t.Errorf("may be sent again after %s, the oldest is kept for %s", retry, h.e.options.Retention)
	}
	if got := h.cancel("not-an-id").outcome(t); got != controlapi.JobUnknown {
		t.Errorf("cancelling of an ID that no job can have answered %s", got)
	}
	h.held = true // the commands that forget them are still in flight at the next clean-up
	h.advance(h.e.options.Retention)
	h.advance(cleanUpInterval)
	h.held = false
	h.settle()
	h.advance(cleanUpInterval)
	if n, known := len(h.e.store.Tombstones), len(h.e.leader.finishedAt); n != 0 || known != 0 {
		t.Errorf("%d are kept after the retention time, and the times of %d", n, known)
	}
	if got := h.cancel(testJob).outcome(t); got != controlapi.JobUnknown {
		t.Errorf("answered %s after the retention time", got)
	}
}
