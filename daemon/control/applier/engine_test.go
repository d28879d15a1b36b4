package applier

import (
	"fmt"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/lease"
	"github.com/ibispier/ibispier/permit"
)

// startedCluster returns a cluster of three members with member 0 as leader.
func startedCluster(seed int64) *cluster {
	c := newCluster(3, seed)
	c.elect(0)
	c.settle()
	return c
}

// reportHold is the hold time in the reports of the tests.
const reportHold = 200 * time.Millisecond

func reportOf(agent string, tasks ...controlapi.ReportedTask) *controlapi.AgentReport {
	return &controlapi.AgentReport{Worker: controlapi.Worker{Agent: agent, Epoch: 1, Zone: "a",
		Capacity: controlapi.Resources{CPUMilli: 4000}}, Tasks: tasks, HoldMillis: reportHold.Milliseconds()}
}

func running(id string, epoch uint64) controlapi.ReportedTask {
	return controlapi.ReportedTask{Task: id, Epoch: epoch, State: controlapi.ReportedRunning}
}

func submitTask(t *testing.T, c *cluster, i int, id, kind string) {
	t.Helper()
	mustRequest[*controlapi.TaskStatus](t, c, i, controlapi.OpSubmit, &controlapi.Task{
		ID: id, Customer: "c", Kind: kind, Size: controlapi.Resources{CPUMilli: 1000}})
}

func (c *cluster) place(t *testing.T, i int, id, agent string) {
	t.Helper()
	m := c.members[i].engine.machine
	for range 20 {
		c.members[i].engine.handleDecision(c.now, Decision{Place: &Placement{Task: id, Epoch: m.Task(id).Epoch, Agent: agent}})
		c.settle()
		if m.Task(id).IsPlaced() {
			return
		}
	}
	t.Fatalf("%s was not placed", id)
}

// report sends a report and returns the response. It advances the time, because
// the response is held for up to reportHold if there is no command.
func (c *cluster) report(t *testing.T, i int, r *controlapi.AgentReport) *controlapi.AgentCommands {
	t.Helper()
	a := c.request(i, controlapi.OpReport, r)
	for range 20 {
		c.settle()
		if a.count > 0 {
			break
		}
		c.advance(reportHold / 4)
	}
	if a.count != 1 || a.Status != OK {
		t.Fatalf("got %d responses to a report, last %+v; want one with status OK", a.count, a.Response)
	}
	return a.Body.(*controlapi.AgentCommands)
}

// Guards against a placement that waits for the next report of its agent: the
// held response must be sent at once with the start command.
func TestPlacementReachesAHeldReport(t *testing.T) {
	c := startedCluster(1)
	c.report(t, 0, reportOf("w"))
	submitTask(t, c, 0, "t", controlapi.KindBatch)
	a := c.request(0, controlapi.OpReport, reportOf("w"))
	c.settle()
	if a.count != 0 {
		t.Fatalf("a response without commands was not held: %+v", a.Response)
	}
	c.place(t, 0, "t", "w")
	if a.count != 1 {
		t.Fatal("the held response was not sent after the placement")
	}
	got := a.Body.(*controlapi.AgentCommands)
	if len(got.Commands) != 1 || got.Commands[0].Action != controlapi.ActionStart || got.Commands[0].Epoch != 1 || len(got.Renewed) != 1 {
		t.Fatalf("got response %+v, want a start command with epoch 1 and one renewal", got)
	}
}

// Guards against a response with more start commands than fit into a message. The
// link would be closed, and the same response would be sent again after reconnect;
// the start commands must be spread over several responses.
func TestStartsAreSpreadOverAnswers(t *testing.T) {
	c := startedCluster(8)
	c.report(t, 0, reportOf("w"))
	const tasks = 40
	for i := range tasks {
		id := fmt.Sprint("t", i)
		mustRequest[*controlapi.TaskStatus](t, c, 0, controlapi.OpSubmit, &controlapi.Task{
			ID: id, Customer: "c", Kind: controlapi.KindBatch, Payload: make([]byte, 60<<10)})
		c.place(t, 0, id, "w")
	}
	var known []controlapi.ReportedTask
	for answers := 0; len(known) < tasks; answers++ {
		size := 0
		for _, x := range c.report(t, 0, reportOf("w", known...)).Commands {
			size += len(x.Task.Payload)
			known = append(known, running(x.Task.ID, x.Epoch))
		}
		if size > maxStartBytes || answers > tasks {
			t.Fatalf("response %d has payloads of %d bytes, %d of %d tasks are started", answers, size, len(known), tasks)
		}
	}
}

// Guards against two agents that run the same task. A task whose agent is silent
// may be queued again only after lease.Timing.SafeExpiry, which a new leader counts
// from the start of its term. An agent with an old epoch must get no renewal and a
// command to stop.
func TestSilentAgentLosesItsTaskAfterTheFence(t *testing.T) {
	c := startedCluster(2)
	c.report(t, 0, reportOf("w"))
	submitTask(t, c, 0, "t", controlapi.KindBatch)
	c.place(t, 0, "t", "w")
	c.report(t, 0, reportOf("w", running("t", 1)))
	c.advance(2 * time.Second)
	c.elect(1)
	c.settle()
	newLeaderStart := c.now
	safeExpiry := lease.DefaultTiming().SafeExpiry()
	task := func() *controlapi.TaskStatus { return &c.members[1].engine.machine.Task("t").TaskStatus }
	for task().Agent != "" {
		c.advance(50 * time.Millisecond)
		c.settle()
		if c.now.Sub(newLeaderStart) > safeExpiry+5*time.Second {
			t.Fatal("the lease never expired")
		}
	}
	if held := c.now.Sub(newLeaderStart); held < safeExpiry {
		t.Fatalf("queued again %s after the new leader started, before the safe expiry of %s", held, safeExpiry)
	}
	got := c.report(t, 1, reportOf("w", running("t", 1)))
	if len(got.Renewed) != 0 || len(got.Commands) != 1 || got.Commands[0].Action != controlapi.ActionStop {
		t.Fatalf("the old holder got %+v, want no renewal and a stop command", got)
	}
	c.place(t, 1, "t", "w")
	late := controlapi.ReportedTask{Task: "t", Epoch: 1, State: controlapi.ReportedCompleted}
	got = c.report(t, 1, reportOf("w", late))
	if task().State != controlapi.TaskPlaced || got.Commands[0].Action != controlapi.ActionForget {
		t.Fatalf("after a completion with an old epoch, the task is %s; response %+v", task().State, got)
	}
}

// Guards against a deposed leader that renews leases, grants permits or responds
// from old state: it must not respond OK unless a quorum confirms its leadership.
func TestDeposedLeaderRenewsNothing(t *testing.T) {
	c := startedCluster(3)
	c.report(t, 0, reportOf("w"))
	submitTask(t, c, 0, "t", controlapi.KindBatch)
	c.place(t, 0, "t", "w")
	c.elect(1) // member 0 has not learned of it yet
	replies := []*recordedReply{
		c.request(0, controlapi.OpReport, reportOf("w", running("t", 1))),
		c.request(0, controlapi.OpPermit, &controlapi.PermitRequest{Zone: "a", Holder: "e"}),
		c.request(0, controlapi.OpConfig, &controlapi.ConfigRequest{}),
		c.request(0, controlapi.OpTask, &controlapi.TaskQuery{ID: "t"}),
		c.request(0, controlapi.OpClaim, &controlapi.ClaimRequest{}),
	}
	for range 10 {
		c.confirmReads()
		c.advance(100 * time.Millisecond)
	}
	for i, a := range replies {
		if a.count > 0 && a.Status == OK {
			t.Errorf("request %d got OK from a deposed leader: %+v", i, a.Response)
		}
	}
	c.sendStatus(0)
	for i, a := range replies {
		if a.count != 1 {
			t.Errorf("request %d got %d responses, want 1", i, a.count)
		}
	}
}

// Guards against a zone that is reported as out of service while a permit for it
// is still valid, that gets new permits, or that takes longer than 3 s to be out
// of service.
func TestZoneOutIsInForceAfterThePermits(t *testing.T) {
	c := startedCluster(4)
	c.advance(permit.DefaultTiming().SafeExpiry())
	ask := &controlapi.PermitRequest{Zone: "a", Holder: "e"}
	if p := mustRequest[controlapi.PermitResponse](t, c, 0, controlapi.OpPermit, ask); p.TTLMillis != 2000 {
		t.Fatalf("got permit %+v, want one for 2 s", p)
	}
	granted := c.now
	mustRequest[controlapi.Proposal](t, c, 0, controlapi.OpPropose, ownersChange())
	change := zoneChange("a", 1)
	mustRequest[controlapi.Proposal](t, c, 0, controlapi.OpPropose, change)
	mustRequest[controlapi.Proposal](t, c, 0, controlapi.OpSign, signature("ann", change))
	out := mustRequest[controlapi.Proposal](t, c, 0, controlapi.OpSign, signature("ben", change))
	if out.State != controlapi.ProposalAccepted || out.InForce {
		t.Fatalf("got proposal %+v, want it accepted and not in force", out)
	}
	if p := mustRequest[controlapi.PermitResponse](t, c, 0, controlapi.OpPermit, ask); p.TTLMillis != 0 {
		t.Fatalf("got permit %+v for a zone that is out of service", p)
	}
	for {
		got := mustRequest[controlapi.ProposalsResponse](t, c, 0, controlapi.OpProposals, &controlapi.ProposalsRequest{ChangeID: "a"})
		held := c.now.Sub(granted)
		if got.Proposals[0].InForce && held < permit.DefaultTiming().TTL {
			t.Fatalf("in force %s after the last permit, which is still valid", held)
		}
		if got.Proposals[0].InForce {
			break
		}
		if held > 3*time.Second {
			t.Fatal("not in force within 3 s")
		}
		c.advance(100 * time.Millisecond)
	}
}

// Guards against a configuration that reaches a process only with its next poll
// instead of the held one, and against a change that is reported as in force while
// a process uses an earlier revision.
func TestConfigurationIsPushedAndCounted(t *testing.T) {
	c := startedCluster(5)
	poll := func(known uint64) *controlapi.ConfigRequest {
		return &controlapi.ConfigRequest{KnownRevision: known, WaitMillis: 5000, Process: "e"}
	}
	if first := mustRequest[controlapi.ConfigResponse](t, c, 0, controlapi.OpConfig, poll(0)); first.Changed {
		t.Fatalf("the first poll of a process got %+v, want no change", first)
	}
	held := c.request(0, controlapi.OpConfig, poll(0))
	c.settle()
	if held.count != 0 {
		t.Fatal("a poll without a newer configuration was not held")
	}
	mustRequest[controlapi.Proposal](t, c, 0, controlapi.OpPropose, ownersChange())
	if held.count != 1 || held.Body.(controlapi.ConfigResponse).Config.Revision != 1 {
		t.Fatalf("the held poll did not get the change: %+v", held.Response)
	}
	proposal := func() controlapi.Proposal {
		return mustRequest[controlapi.ProposalsResponse](t, c, 0, controlapi.OpProposals, &controlapi.ProposalsRequest{}).Proposals[0]
	}
	if p := proposal(); p.InForce || len(p.LaggingBy) != 1 {
		t.Fatalf("in force while e uses revision 0: %+v", p)
	}
	c.request(0, controlapi.OpConfig, poll(1))
	c.settle()
	if p := proposal(); !p.InForce {
		t.Fatalf("not in force although e uses revision 1: %+v", p)
	}
}

// Guards against a watcher that remains queued without an alarm, and against an
// agent process with an old epoch that replaces its successor.
func TestAlarmsAndFencedAgents(t *testing.T) {
	c := startedCluster(6)
	submitTask(t, c, 0, "w", controlapi.KindWatcher)
	c.advance(2900 * time.Millisecond)
	status := func() controlapi.StatusResponse {
		return mustRequest[controlapi.StatusResponse](t, c, 0, controlapi.OpStatus, &controlapi.Empty{})
	}
	if s := status(); len(s.Alarms) != 0 {
		t.Fatalf("alarms %v before 3 s", s.Alarms)
	}
	c.advance(200 * time.Millisecond)
	if s := status(); len(s.Alarms) != 1 || s.Tasks[string(controlapi.TaskQueued)] != 1 {
		t.Fatalf("got status %+v, want one alarm and one queued task", s)
	}
	successor := reportOf("a")
	successor.Worker.Epoch = 2
	c.report(t, 0, successor)
	old := c.request(0, controlapi.OpReport, reportOf("a"))
	c.settle()
	if old.Status != Refused {
		t.Fatalf("the agent with the old epoch got %+v, want a refusal", old.Response)
	}
}

// Guards against changes that the scheduler misses because its ring is full: it
// must get the whole state once it has emptied the ring.
func TestFeedStartsOverAfterAFullRing(t *testing.T) {
	c := startedCluster(7)
	e := c.members[0].engine
	tasks := 0
	for i := 0; i < 20; i++ { // the ring is not drained meanwhile
		id := fmt.Sprint("t", i)
		e.handleRequest(c.now, &Request{Operation: controlapi.OpSubmit, Deadline: c.now.Add(time.Second), Replier: new(recordedReply),
			Body: &controlapi.Task{ID: id, Customer: "c", Kind: controlapi.KindBatch}})
		c.commit(len(c.pending))
		c.deliver(0, len(c.log))
		e.flush(c.now)
		if e.machine.Task(id) != nil {
			tasks++
		}
	}
	if e.feed.out.Drain(nil, 100); !e.feed.resetNeeded {
		t.Fatal("the ring was never full")
	}
	e.flush(c.now)
	got := e.feed.out.Drain(nil, 100)
	if len(got) != 1 || !got[0].Reset || len(got[0].Tasks) != tasks {
		t.Fatalf("%d changes, first %+v, want a reset with %d tasks", len(got), got, tasks)
	}
}

// Guards against a leader that renews leases for a report that refers to one that
// the leader does not have, and against leases that expire because a report refers
// to an earlier one instead of listing its tasks.
func TestReportThatRefersToAnEarlierOne(t *testing.T) {
	c := startedCluster(1)
	c.report(t, 0, reportOf("w"))
	submitTask(t, c, 0, "t", controlapi.KindBatch)
	c.place(t, 0, "t", "w")
	full := reportOf("w", running("t", 1))
	full.Sequence = 7
	if got := c.report(t, 0, full); !got.RenewedAll || got.Sequence != 7 {
		t.Fatalf("response to a full report: %+v", got)
	}
	short := reportOf("w")
	short.Sequence, short.SameTasksAs = 8, 7
	if got := c.report(t, 0, short); !got.RenewedAll || got.Resend || len(got.Commands) != 0 {
		t.Fatalf("response to a report with the same tasks: %+v", got)
	}
	short.Sequence, short.SameTasksAs = 9, 6
	if got := c.report(t, 0, short); !got.Resend || got.RenewedAll {
		t.Fatalf("response to a report that refers to an unknown one: %+v", got)
	}
}
