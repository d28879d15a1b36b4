package jobs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

// largeConfig returns a configuration with many queues.
func largeConfig(version uint64, queues int) job.Config {
	random := rand.New(rand.NewPCG(version, 1))
	c := job.Config{Version: version, Services: []job.Service{{Name: "s"}}}
	for i := range queues {
		c.Queues = append(c.Queues, job.Queue{
			Name: fmt.Sprintf("r-%08x", random.Uint32()), Host: fmt.Sprintf("h%08x.example", random.Uint32()), Prefix: fmt.Sprintf("/%d/", i),
			Service: "s", TimeoutMillis: 3000, Stretch: 1.5, Attempts: 4, SlackMillis: 250,
		})
	}
	source, err := json.Marshal(c.Queues)
	if err != nil {
		panic(err)
	}
	c.Source = source
	return c
}

// Guards against entries of several times the size of a configuration: 400 changes of
// one with 3,200 queues fill a disk.
func TestLargeCommandsAreCompressed(t *testing.T) {
	config := largeConfig(3, 3200)
	data, _, err := encodeCommand(&job.Command{Config: &config})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > len(config.Source)/2 {
		t.Errorf("%d bytes for a configuration of %d", len(data), len(config.Source))
	}
	c, err := decodeCommand(data)
	if err != nil || !bytes.Equal(c.Config.Source, config.Source) || len(c.Config.Queues) != 3200 {
		t.Fatalf("decoded %v, error %v", c != nil, err)
	}
	for _, damaged := range [][]byte{data[:len(data)/2], append([]byte{}, data[2:]...), nil} {
		if _, err := decodeCommand(damaged); err == nil {
			t.Error("a damaged command was decoded")
		}
	}
}

// Guards against a command above the size limit that is dropped whole while later ones
// are committed: what fits is proposed first, and the rest keeps its order.
func TestCommandsAboveTheLimitAreSplit(t *testing.T) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	h.held = true
	h.request(controlapi.OpJobSubmit, submission()) // occupies the commands in flight
	random := rand.New(rand.NewPCG(1, 2))
	const jobs = 2000
	var recorders []*recorder
	for i := range jobs {
		s := submission()
		s.Spec.ID = fmt.Sprintf("%016x", 0x1000+i)
		s.Path = "/q/" + s.Spec.ID
		payload := make([]byte, 3000)
		for j := range payload {
			payload[j] = byte(' ' + random.IntN(94))
		}
		s.Spec.Payload = string(payload)
		recorders = append(recorders, h.request(controlapi.OpJobSubmit, s))
	}
	h.held = false
	h.settle()
	for i, r := range recorders {
		if len(r.got) != 1 || r.got[0].Status != applier.OK {
			t.Fatalf("submission %d: answers %+v", i, r.got)
		}
	}
	for _, entry := range h.log {
		if len(entry.Data) > replica.MaxCommandBytes {
			t.Errorf("entry of %d bytes", len(entry.Data))
		}
	}
	order := uint64(0)
	for i := range jobs {
		j := h.e.store.Jobs[fmt.Sprintf("%016x", 0x1000+i)]
		if j.Order <= order {
			t.Fatalf("job %d is number %d after %d", i, j.Order, order)
		}
		order = j.Order
	}
}

// twoRuns returns a harness with two tasks placed on the target, and the report of
// their ends.
func twoRuns(t *testing.T) (*harness, []job.End) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	h.request(controlapi.OpTarget, report(0))
	h.advance(time.Second)
	h.request(controlapi.OpTarget, report(1))
	s := submission()
	s.Spec.Steps[0].Count = 2
	h.request(controlapi.OpJobSubmit, s)
	h.advance(50 * time.Millisecond)
	if placed := len(h.e.store.TasksOn(testTarget)); placed != 2 {
		t.Fatalf("%d tasks placed, want 2", placed)
	}
	var ends []job.End
	for i := range 2 {
		ends = append(ends, job.End{Number: uint64(i + 1), Task: job.Ref{Job: testJob, Index: i}, Run: 1, Outcome: job.RunDone})
	}
	return h, ends
}

func (h *harness) reportEnds(ends ...job.End) *recorder {
	r := report(9)
	r.Ends = ends
	return h.request(controlapi.OpTarget, r)
}

// Guards against a watermark that covers ends which were never applied: their command
// was dropped, a later one was committed, the target forgot the ends, and their tasks
// were started again.
func TestDroppedCommandLosesNoEnds(t *testing.T) {
	h, ends := twoRuns(t)
	h.held = true
	h.reportEnds(ends[0])
	h.reportEnds(ends...)
	if len(h.proposals) != 2 {
		t.Fatalf("%d commands in flight, want 2", len(h.proposals))
	}
	h.proposals = h.proposals[1:] // the replica has dropped the first
	h.held = false
	h.settle()
	if n := h.e.store.LastEndNumber(testTarget); n != 0 {
		t.Fatalf("watermark %d covers an end that was not applied", n)
	}
	h.reportEnds(ends...)
	h.settle()
	if n := h.e.store.LastEndNumber(testTarget); n != 2 || h.e.store.Jobs[testJob].State() != job.Completed {
		t.Fatalf("watermark %d, job %s, want 2 and completed", n, h.e.store.Jobs[testJob].State())
	}
}

// Guards against ends that are taken for dropped because they follow another one in the
// same command: their outcomes were not counted, and they were proposed again.
func TestEndsOfOneCommandFollowEachOther(t *testing.T) {
	h, ends := twoRuns(t)
	for i := range ends {
		ends[i].Outcome = job.RunFailed
	}
	entries := len(h.log)
	h.held = true
	h.reportEnds(ends...)
	h.update(h.commit(1))
	if n := h.e.store.LastEndNumber(testTarget); n != 2 || h.e.leader.sessions[testTarget].proposedWatermark != 2 {
		t.Fatalf("watermark %d, proposed %d, want 2 of both", n, h.e.leader.sessions[testTarget].proposedWatermark)
	}
	h.held = false
	h.settle()
	h.reportEnds(ends...)
	repeated := 0
	for _, entry := range h.log[entries:] {
		c, err := decodeCommand(entry.Data)
		if err != nil {
			t.Fatal(err)
		}
		repeated += len(c.Ends)
	}
	if repeated != 2 {
		t.Errorf("%d ends in the log, want 2", repeated)
	}
	fail := func(number uint64) {
		h.e.leader.recordOutcome(h.now, h.e.store, &job.End{Number: number, Target: testTarget, Task: ends[0].Task, Run: h.e.store.Jobs[testJob].Task(ends[0].Task).Run, Outcome: job.RunFailed})
	}
	fail(3)
	fail(4)
	if !h.e.leader.faults.SuspendedUntil(testTarget).After(h.now) {
		t.Error("four failures in a row do not suspend the target, so that some were not counted")
	}
}

// Guards against starts that are forgotten while their entry may still be committed:
// the room was given away again, and the target was started beyond its capacity.
func TestOverdueCommandKeepsItsStarts(t *testing.T) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	reportWith := func(seen uint64, labels ...string) {
		r := report(seen)
		r.Labels = labels
		h.request(controlapi.OpTarget, r)
	}
	submit := func(id uint64, label string) {
		s := submission()
		s.Spec.ID = fmt.Sprintf("%016x", id)
		s.Path = "/q/" + s.Spec.ID
		s.Spec.Steps[0] = job.Step{Count: 4, Need: resource.Vector{CPUMilli: 16_000}, Label: label}
		h.request(controlapi.OpJobSubmit, s)
	}
	reportWith(0, "a")
	h.advance(time.Second)
	reportWith(1, "a")
	h.held = true
	submit(1, "a")
	submit(2, "")
	h.now = h.now.Add(10 * time.Millisecond)
	h.update(h.commit(1)) // accepts the jobs and proposes starts of the first
	late := h.proposals
	h.proposals = nil
	if len(late) != 1 {
		t.Fatalf("%d proposals, want the starts", len(late))
	}
	h.now = h.now.Add(proposalTimeout + 100*time.Millisecond)
	h.e.tick(h.now)
	reportWith(2) // the first job fits no more
	h.e.tick(h.now.Add(time.Millisecond))
	h.e.flush(h.now.Add(time.Millisecond))
	h.proposals = append(late, h.proposals...)
	h.held = false
	h.settle()
	used := int64(0)
	for ref := range h.e.store.TasksOn(testTarget) {
		used += h.e.store.Jobs[ref.Job].Spec.Steps[ref.Step].Need.CPUMilli
	}
	if used != 64_000 {
		t.Fatalf("%d thousandths of a core placed on a target with 64,000", used)
	}
}

// Guards against a leader that waits for good after its only command was dropped: with
// nothing else to propose, the outcome stayed open.
func TestOverdueCommandIsSettledByAnEmptyOne(t *testing.T) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	h.held = true
	r := h.request(controlapi.OpJobSubmit, submission())
	h.proposals = nil // dropped
	h.held = false
	h.advance(proposalTimeout + time.Second)
	h.advance(time.Second)
	if len(r.got) != 1 || r.got[0].Status != applier.Unavailable {
		t.Fatalf("answers %+v, want unavailable", r.got)
	}
	if len(h.e.overdue)+len(h.e.inFlight) > 0 {
		t.Fatal("the dropped command is still in flight")
	}
}

// Guards against a leader that takes an own command of an earlier leadership for one
// of the current.
func TestCommandsOfAnEarlierLeadershipAreNotSettled(t *testing.T) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	h.held = true
	r := h.request(controlapi.OpJobSubmit, submission())
	late := h.proposals
	h.proposals = nil
	h.update(replica.Update{Status: &replica.Status{Term: 2, Members: voters(3)}})
	if len(r.got) != 1 || r.got[0].Status != applier.Unavailable {
		t.Fatalf("answers %+v, want unavailable", r.got)
	}
	h.held = false
	h.update(replica.Update{Entries: []consensus.Entry{{Index: uint64(len(h.log) + 1), Term: 1, Data: late[0]}}})
	if h.e.store.Jobs[testJob] == nil || len(r.got) != 1 {
		t.Fatalf("job %v, answers %+v", h.e.store.Jobs[testJob], r.got)
	}
}

// Measures a change of a configuration with 3,200 queues: the bytes of its entry, and
// the processor time to encode and to decode it.
func BenchmarkLargeConfiguration(b *testing.B) {
	config := largeConfig(3, 3200)
	var data []byte
	for b.Loop() {
		encoded, _, err := encodeCommand(&job.Command{Config: &config})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := decodeCommand(encoded); err != nil {
			b.Fatal(err)
		}
		data = encoded
	}
	b.ReportMetric(float64(len(config.Source)), "source-bytes")
	b.ReportMetric(float64(len(data)), "entry-bytes")
}

// Guards against a leader that proposes nothing for the rest of its term after the replica
// has dropped as many commands as may be overdue.
func TestLeaderProposesAfterManyDroppedCommands(t *testing.T) {
	h := newHarness(t)
	h.lead(2, 3)
	h.manifest()
	h.held = true
	for range 40 {
		h.advance(time.Second)
		h.request(controlapi.OpJobSubmit, submission())
		h.proposals = nil // dropped: a transfer of leadership is in progress
	}
	h.held = false
	for range 10 {
		h.advance(time.Second)
	}
	a := h.request(controlapi.OpJobSubmit, submission())
	h.advance(time.Second)
	if len(a.got) != 1 {
		t.Fatalf("the leader has not answered; %d commands overdue, %d parts wait", len(h.e.overdue), len(h.e.batch.parts))
	}
}

// Guards against a command that compresses well and that no member can decode: its entry
// was committed, and then ended every member again and again.
func TestCommandsThatCompressWellCanBeDecoded(t *testing.T) {
	h := newHarness(t)
	h.lead(1, 3)
	h.manifest()
	h.held = true
	h.request(controlapi.OpJobSubmit, submission()) // occupies the commands in flight
	const jobs = maxDecodedBytes/(6*job.MaxPayloadBytes) + 100
	for i := range jobs {
		h.submitTasks(uint64(0x1000+i), 1, escapedPayload)
	}
	h.held = false
	h.settle()
	submitted := 0
	for _, entry := range h.log {
		c, err := decodeCommand(entry.Data)
		if err != nil {
			t.Fatalf("entry %d of %d bytes cannot be decoded: %v", entry.Index, len(entry.Data), err)
		}
		submitted += len(c.Submit)
	}
	if submitted != jobs+1 {
		t.Errorf("%d submissions in the log, want %d", submitted, jobs+1)
	}
}
