package jobs

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/job"
)

// orders returns the orders in the answers to a report.
func (a *recorder) orders() []controlapi.StartOrder {
	var starts []controlapi.StartOrder
	for _, r := range a.got {
		if o, ok := r.Body.(controlapi.TargetOrders); ok {
			starts = append(starts, o.Starts...)
		}
	}
	return starts
}

// commit returns the update with the proposals that wait, in the term.
func (h *harness) commit(term uint64) replica.Update {
	var u replica.Update
	for _, data := range h.proposals {
		entry := consensus.Entry{Index: uint64(len(h.log) + 1), Term: term, Data: data}
		h.log = append(h.log, entry)
		u.Entries = append(u.Entries, entry)
	}
	h.proposals = nil
	return u
}

// Guards against an order that waits for a confirmation of the leadership although
// the commit of its start has confirmed it, and against orders without any
// confirmation: when another leader has committed the start, or when the report has
// arrived after the proposal.
func TestCommitConfirmsLeadership(t *testing.T) {
	// propose has a report wait, an entry of the term commit an accepted job, and the
	// start of that job proposed.
	propose := func(t *testing.T, term uint64) (*harness, *recorder) {
		h := newHarness(t)
		h.lead(1, 3)
		h.manifest()
		h.request(controlapi.OpTarget, report(0))
		h.advance(time.Second)
		waiting := h.request(controlapi.OpTarget, report(1))
		h.held = true
		h.request(controlapi.OpJobSubmit, submission())
		h.now = h.now.Add(20 * time.Millisecond)
		h.update(h.commit(term)) // accepts the job and proposes its start
		if len(h.proposals) != 1 || len(waiting.got) > 0 {
			t.Fatalf("%d proposals, %d answers, want the start and none", len(h.proposals), len(waiting.got))
		}
		return h, waiting
	}
	t.Run("own commit", func(t *testing.T) {
		h, waiting := propose(t, 1)
		h.update(h.commit(1))
		if len(waiting.orders()) != 1 {
			t.Errorf("answers %+v, want the start without a further confirmation", waiting.got)
		}
	})
	t.Run("committed by another leader", func(t *testing.T) {
		h, waiting := propose(t, 1)
		u := h.commit(1)
		u.Status = &replica.Status{Term: 2, Leader: "other", Members: voters(3)}
		h.update(u)
		if len(waiting.got) != 1 || waiting.got[0].Status != applier.Unavailable {
			t.Errorf("answers %+v, want unavailable", waiting.got)
		}
	})
	t.Run("entry of another term", func(t *testing.T) {
		h, waiting := propose(t, 2)
		h.update(h.commit(2))
		if len(waiting.got) > 0 {
			t.Errorf("answers %+v, want none before a confirmation", waiting.got)
		}
	})
	t.Run("later report", func(t *testing.T) {
		h, _ := propose(t, 1)
		h.now = h.now.Add(time.Millisecond)
		later := h.request(controlapi.OpTarget, report(1))
		h.update(h.commit(1))
		if len(later.got) > 0 {
			t.Errorf("answers %+v, want none before a confirmation", later.got)
		}
		h.held = false
		h.settle()
		if len(later.orders()) != 1 {
			t.Errorf("answers %+v after the confirmation, want the start", later.got)
		}
	})
}

// stops returns the stops in the answers to a report.
func (a *recorder) stops() []controlapi.StopOrder {
	var stops []controlapi.StopOrder
	for _, r := range a.got {
		if o, ok := r.Body.(controlapi.TargetOrders); ok {
			stops = append(stops, o.Stops...)
		}
	}
	return stops
}

// Guards against room that stays taken by a run which was never started, because its
// job was cancelled between the commit of the start and the next report.
func TestCancelledRunThatWasNeverOrderedReleasesItsRoom(t *testing.T) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	h.request(controlapi.OpTarget, report(0))
	h.advance(time.Second) // answered: no report waits from here
	h.request(controlapi.OpJobSubmit, submission())
	h.advance(tickInterval)
	if len(h.e.store.TasksOn(testTarget)) != 1 {
		t.Fatal("the task is not placed")
	}
	h.request(controlapi.OpJobCancel, &controlapi.JobQuery{Host: "h", Path: "/q/" + testJob})
	a := h.request(controlapi.OpTarget, report(1))
	h.advance(time.Second)
	if stops := a.stops(); len(a.orders()) != 0 || len(stops) != 1 || stops[0].Run != 1 {
		t.Fatalf("answers %+v, want a stop of run 1", a.got)
	}
	r := report(2)
	r.Ends = []job.End{{Task: job.Ref{Job: testJob}, Run: 1, Outcome: job.RunRejected}}
	h.request(controlapi.OpTarget, r)
	h.advance(tickInterval)
	if n := len(h.e.store.TasksOn(testTarget)); n != 0 {
		t.Fatalf("%d tasks hold room, want none", n)
	}
	h.request(controlapi.OpTarget, report(3))
	h.advance(cleanUpInterval + tickInterval)
	if l := h.e.leader; len(l.unsentStarts)+len(l.sessions[testTarget].sentStops) > 0 {
		t.Fatalf("unsent starts %v and sent stops %v are kept for an ended job", l.unsentStarts, l.sessions[testTarget].sentStops)
	}
}
