package jobs

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/dispatch"
	"github.com/ibispier/ibispier/lease"
	"github.com/ibispier/ibispier/resource"
)

const testJob = "00000000000000aa"

var (
	testTerms  = lease.Timing{TTL: 4 * time.Second, DriftPercent: 2, ClockGranularity: 50 * time.Millisecond}
	testTarget = job.TargetIncarnation{ID: "i-1", Born: 1}
)

// harness drives an engine with a replica that commits immediately, unless held
// is set.
type harness struct {
	*testing.T
	e         *engine
	now       time.Time
	log       []consensus.Entry
	term      uint64
	held      bool // proposals and reads wait
	reads     []uint64
	proposals [][]byte
}

func newHarness(t *testing.T) *harness {
	h := &harness{T: t, now: time.Unix(1000, 0)}
	h.restart()
	return h
}

// restart creates a new engine for the same log.
func (h *harness) restart() {
	h.e = newEngine(Options{
		Lease: testTerms, Retention: time.Hour, MinVoters: 3, Limits: dispatch.DefaultLimits(), Log: zap.NewNop(),
	}, uint64(len(h.log)+1), h.submit)
}

func (h *harness) submit(in replica.Input) error {
	switch {
	case in.Propose != nil:
		h.proposals = append(h.proposals, in.Propose)
	case in.ReadContext != 0:
		h.reads = append(h.reads, in.ReadContext)
	}
	return nil
}

func voters(n int) []replica.MemberStatus {
	members := make([]replica.MemberStatus, n)
	for i := range members {
		members[i].Voter = true
	}
	return members
}

// lead makes the engine the leader. As with a real replica, the status arrives
// before the entries of earlier leaders.
func (h *harness) lead(term uint64, n int) {
	h.term = term
	h.update(replica.Update{Status: &replica.Status{IsLeader: true, Term: term, Members: voters(n)}})
	h.update(replica.Update{Entries: h.log})
	h.settle()
}

func (h *harness) update(u replica.Update) {
	h.Helper()
	if err := h.e.handleUpdate(h.now, u); err != nil {
		h.Fatal(err)
	}
	h.e.flush(h.now)
}

// settle commits proposals and confirms reads until none is left.
func (h *harness) settle() {
	for !h.held && len(h.proposals)+len(h.reads) > 0 {
		var u replica.Update
		for _, data := range h.proposals {
			entry := consensus.Entry{Index: uint64(len(h.log) + 1), Term: h.term, Data: data}
			h.log = append(h.log, entry)
			u.Entries = append(u.Entries, entry)
		}
		for _, context := range h.reads {
			u.Reads = append(u.Reads, replica.ReadReady{Context: context, Index: uint64(len(h.log))})
		}
		h.proposals, h.reads = nil, nil
		h.update(u)
	}
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.e.tick(h.now)
	h.e.flush(h.now)
	h.settle()
}

type recorder struct{ got []applier.Response }

func (a *recorder) Reply(r applier.Response) { a.got = append(a.got, r) }

func (h *harness) request(op controlapi.Operation, body any) *recorder {
	a := &recorder{}
	h.e.handleRequest(h.now, &applier.Request{Operation: op, Body: body, Replier: a})
	h.e.flush(h.now)
	h.settle()
	return a
}

func (h *harness) manifest() {
	h.request(controlapi.OpManifest, &controlapi.ManifestRequest{Config: job.Config{
		Version: 1, Queues: []job.Queue{{Host: "h", Prefix: "/q/", Service: "s", TimeoutMillis: 1, Attempts: 2}},
		Services: []job.Service{{Name: "s"}}, Source: []byte("{}"),
	}})
}

func submission() *controlapi.JobSubmitRequest {
	return &controlapi.JobSubmitRequest{Host: "h", Path: "/q/" + testJob, Spec: job.Spec{
		ID: testJob, Steps: []job.Step{{Count: 1, Need: resource.Vector{CPUMilli: 1000}}},
	}}
}

func report(seen uint64, running ...controlapi.RunReport) *controlapi.TargetReport {
	return &controlapi.TargetReport{
		Incarnation: testTarget, Host: "host", Service: "s", Zone: "z", Capacity: resource.Vector{CPUMilli: 64000}, Agent: 1,
		Seen: seen, LeaseWanted: true, Running: running, HoldMillis: 700,
	}
}

// placeTask submits a job and waits until its task is placed on the target.
func (h *harness) placeTask() {
	h.manifest()
	h.request(controlapi.OpTarget, report(0))
	h.advance(time.Second) // the first answer grants the lease
	h.request(controlapi.OpTarget, report(1))
	h.request(controlapi.OpJobSubmit, submission())
	h.advance(50 * time.Millisecond)
	if len(h.e.store.TasksOn(testTarget)) != 1 {
		h.Fatalf("%d tasks placed, want 1", len(h.e.store.TasksOn(testTarget)))
	}
}

// Guards against a new leader that reassigns the tasks of a target before a
// lease granted by an earlier leader has expired, and against one that never
// does because the target stays silent.
func TestNewLeaderCountsInheritedLeases(t *testing.T) {
	for _, reports := range []bool{false, true} {
		h := newHarness(t)
		h.lead(2, 3)
		h.placeTask()
		h.restart()
		h.lead(3, 3)
		h.advance(tickInterval)
		if reports {
			r := report(0, controlapi.RunReport{Task: job.Ref{Job: testJob}, Run: 1})
			r.LeaseWanted = false
			h.request(controlapi.OpTarget, r)
		}
		h.advance(testTerms.TTL - time.Second)
		if len(h.e.store.TasksOn(testTarget)) != 1 {
			t.Fatalf("reports=%v: lost before the lease expired", reports)
		}
		h.advance(testTerms.SafeExpiry() - testTerms.TTL + time.Second + tickInterval)
		h.advance(tickInterval)
		if len(h.e.store.TasksOn(testTarget)) != 0 {
			t.Fatalf("reports=%v: not lost after the lease expired", reports)
		}
	}
}

// Guards against running work that is given up or started elsewhere because the
// reports of its agent come late: up to the end of the lease, the task stays placed and
// the run that is reported afterwards is kept.
func TestLateReportsKeepRunningWork(t *testing.T) {
	for _, silence := range []time.Duration{silenceTimeout - tickInterval, silenceTimeout + tickInterval, testTerms.TTL, testTerms.SafeExpiry() - tickInterval} {
		h := newHarness(t)
		h.lead(1, 3)
		h.placeTask()
		running := controlapi.RunReport{Task: job.Ref{Job: testJob}, Run: 1}
		h.request(controlapi.OpTarget, report(2, running))
		h.advance(time.Second) // answered: the lease counts from here
		other := report(0)
		other.Incarnation, other.Host = job.TargetIncarnation{ID: "i-2", Born: 1}, "other"
		h.request(controlapi.OpTarget, other)
		for waited := time.Duration(0); waited < silence; waited += tickInterval {
			h.advance(tickInterval)
		}
		_, task := h.e.store.Find(job.Ref{Job: testJob})
		if task.State != job.Placed || task.Target != testTarget || task.Run != 1 {
			t.Errorf("after %s of silence the task is %+v, want it placed as before", silence, task)
		}
		late := h.request(controlapi.OpTarget, report(3, running))
		h.advance(time.Second)
		for _, r := range late.got {
			if o, ok := r.Body.(controlapi.TargetOrders); ok && len(o.Stops)+len(o.Starts) > 0 {
				t.Errorf("after %s of silence the late report is answered with %+v, want no orders", silence, o)
			}
		}
		if _, task := h.e.store.Find(job.Ref{Job: testJob}); task.State != job.Placed || task.Run != 1 {
			t.Errorf("after the late report the task is %+v", task)
		}
	}
}

// Guards against a job that is acknowledged before its entry is applied, and
// against a second job with the same ID.
func TestAcceptanceIsAnsweredAfterTheLog(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.manifest()
	h.held = true
	first := h.request(controlapi.OpJobSubmit, submission())
	if len(first.got) != 0 {
		t.Fatal("answered before the entry was applied")
	}
	h.held = false
	h.settle()
	again := h.request(controlapi.OpJobSubmit, submission())
	if len(first.got) != 1 || first.got[0].Status != applier.OK || len(again.got) != 1 || again.got[0].Status != applier.OK {
		t.Fatalf("answers %v and %v", first.got, again.got)
	}
	if h.e.store.Orders != 1 {
		t.Fatalf("%d jobs accepted, want 1", h.e.store.Orders)
	}
}

// Guards against a submission that is refused although its outcome is unknown.
func TestLostLeadershipLeavesTheOutcomeOpen(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.manifest()
	h.held = true
	a := h.request(controlapi.OpJobSubmit, submission())
	h.update(replica.Update{Status: &replica.Status{Term: 3, Members: voters(3)}})
	if len(a.got) != 1 || a.got[0].Status != applier.Unavailable {
		t.Fatalf("answers %v, want one with status unavailable", a.got)
	}
}

// Guards against a new group that accepts requests before it can tolerate the
// loss of a disk.
func TestNewGroupWaitsForItsMembers(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 2)
	if a := h.request(controlapi.OpManifest, &controlapi.ManifestRequest{}); len(a.got) != 1 || a.got[0].Status != applier.NotLeader {
		t.Fatalf("answers %v with two voters", a.got)
	}
	h.update(replica.Update{Status: &replica.Status{IsLeader: true, Term: 2, Members: voters(3)}})
	h.manifest()
	if h.e.store.Config.Version != 1 {
		t.Fatal("nothing accepted with three voters")
	}
}

// Guards against an answer from a state that a later leader may have changed.
func TestReadsWaitForAConfirmation(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.manifest()
	h.held = true
	a := h.request(controlapi.OpJobStatus, &controlapi.JobQuery{Host: "h", Path: "/q/" + testJob})
	if len(a.got) != 0 {
		t.Fatal("answered without confirmation by a quorum")
	}
	h.held = false
	h.settle()
	if len(a.got) != 1 || a.got[0].Body.(controlapi.JobResponse).Outcome != controlapi.JobUnknown {
		t.Fatalf("answers %v", a.got)
	}
}

// Guards against work that waits for the lease of a target that has ended:
// after a power failure, its agent does not know the earlier incarnation
// either.
func TestLaterLifeOnAHostEndsTheEarlierOne(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.placeTask()
	h.restart()
	h.lead(3, 3)
	other := report(0)
	other.Incarnation, other.Host = job.TargetIncarnation{ID: "i-3", Born: 9}, "another host"
	h.request(controlapi.OpTarget, other)
	h.advance(tickInterval)
	if len(h.e.store.TasksOn(testTarget)) != 1 {
		t.Fatal("lost because of a target on another host")
	}
	later := report(0)
	later.Incarnation, later.Agent = job.TargetIncarnation{ID: "i-2", Born: 2}, 2
	h.request(controlapi.OpTarget, later)
	h.advance(tickInterval)
	if len(h.e.store.TasksOn(testTarget)) != 0 {
		t.Fatal("the tasks of the earlier incarnation are not given up")
	}
}

// Guards against filling tasks that disturb serving tasks without limit after a
// restart of the agent: it finds the runs on its target, but without an order
// it cannot tell which of them are filling tasks.
func TestAdoptedRunsAreDescribed(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.placeTask()
	task := job.Ref{Job: testJob}
	again := report(0, controlapi.RunReport{Task: task, Run: 1, Adopted: true})
	again.Agent = 2
	a := h.request(controlapi.OpTarget, again)
	if len(a.got) != 1 || len(a.got[0].Body.(controlapi.TargetOrders).Starts) != 1 {
		t.Fatalf("answers %v, want one with the order of the adopted run", a.got)
	}
	known := report(2, controlapi.RunReport{Task: task, Run: 1})
	known.Agent = 2
	if a := h.request(controlapi.OpTarget, known); len(a.got) != 0 {
		t.Fatalf("answers %v, want none for a run that the agent knows", a.got)
	}
}

// Guards against one log entry per request: under load, slow disks and members
// that catch up could not keep pace with the entries.
func TestRequestsShareCommandsWhileSomeAreUnderWay(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.manifest()
	h.held = true
	entries := len(h.log)
	var recorders []*recorder
	for i := range 10 {
		s := submission()
		s.Spec.ID = fmt.Sprintf("%016x", 0xa0+i)
		s.Path = "/q/" + s.Spec.ID
		recorders = append(recorders, h.request(controlapi.OpJobSubmit, s))
	}
	if len(h.proposals) != maxInFlight {
		t.Errorf("%d commands in flight, want %d", len(h.proposals), maxInFlight)
	}
	h.held = false
	h.settle()
	for i, a := range recorders {
		if len(a.got) != 1 || a.got[0].Status != applier.OK {
			t.Errorf("submission %d: answers %v", i, a.got)
		}
	}
	if got := len(h.log) - entries; got != maxInFlight+1 {
		t.Errorf("%d entries for 10 submissions, want %d", got, maxInFlight+1)
	}
}

// Guards against a task that is started elsewhere while the next incarnation of
// its target executes it.
func TestRunOfTheNextLifeIsAdopted(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.placeTask()
	next := job.TargetIncarnation{ID: testTarget.ID, Born: testTarget.Born + 1}
	r := report(0, controlapi.RunReport{Task: job.Ref{Job: testJob}, Run: 1})
	r.Incarnation, r.Gone = next, []job.TargetIncarnation{testTarget}
	h.request(controlapi.OpTarget, r)
	h.advance(tickInterval)
	if len(h.e.store.TasksOn(next)) != 1 || len(h.e.store.TasksOn(testTarget)) != 0 {
		t.Fatalf("%d tasks on the next incarnation, %d on the previous one", len(h.e.store.TasksOn(next)), len(h.e.store.TasksOn(testTarget)))
	}
	if task := h.e.store.Jobs[testJob].Task(job.Ref{Job: testJob}); task.Run != 1 {
		t.Fatalf("run %d, want 1, which the target executes", task.Run)
	}
}

// Guards against tasks of an earlier incarnation that are started elsewhere
// while the next one may still execute a start that was in flight.
func TestUnsettledLifeKeepsTheTasksOfTheEarlierOne(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.placeTask()
	r := report(0)
	r.Incarnation, r.Unsettled = job.TargetIncarnation{ID: testTarget.ID, Born: testTarget.Born + 1}, true
	h.request(controlapi.OpTarget, r)
	h.advance(tickInterval)
	if len(h.e.store.TasksOn(testTarget)) != 1 {
		t.Fatal("the task of the earlier incarnation is given up")
	}
	settled := report(0)
	settled.Incarnation = r.Incarnation
	h.request(controlapi.OpTarget, settled)
	h.advance(tickInterval)
	if len(h.e.store.TasksOn(testTarget)) != 0 {
		t.Fatal("the task of the earlier incarnation is kept")
	}
}

// Guards against tasks that stay on a target that hangs while other targets
// have capacity.
func TestStalledRunsMove(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.placeTask()
	a := h.request(controlapi.OpTarget, report(2, controlapi.RunReport{Task: job.Ref{Job: testJob}, Run: 1, Stalled: true}))
	if len(a.got) != 1 || len(a.got[0].Body.(controlapi.TargetOrders).Stops) != 1 {
		t.Fatalf("answers %v, want one that stops the run", a.got)
	}
	end := report(3)
	end.Ends = []job.End{{Target: testTarget, Number: 1, Task: job.Ref{Job: testJob}, Run: 1, Outcome: job.RunStopped}}
	h.request(controlapi.OpTarget, end)
	h.advance(tickInterval)
	if len(h.e.store.TasksOn(testTarget)) != 0 {
		t.Fatal("started again on the target that hangs")
	}
}
