package applier

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/ring"
)

// loopback is an engine that leads, with a fake replica that commits immediately.
// It encodes responses, because the server does so on the goroutine of the applier.
type loopback struct {
	engine       *engine
	update       replica.Update
	index        uint64
	now          time.Time
	encodedBytes int
}

// Reply implements Replier.
func (l *loopback) Reply(r Response) {
	b, err := json.Marshal(r.Body)
	if err != nil || r.Status != OK {
		panic(fmt.Sprint(err, r))
	}
	l.encodedBytes += len(b)
}

func newLoopback() *loopback {
	l := &loopback{now: time.Unix(1_000_000, 0)}
	l.engine = newEngine(DefaultOptions(zap.NewNop()), func(in replica.Input) error {
		if in.Propose != nil {
			l.index++
			l.update.Entries = append(l.update.Entries, consensus.Entry{Index: l.index, Data: in.Propose})
		}
		if in.ReadContext != 0 {
			l.update.Reads = append(l.update.Reads, replica.ReadReady{Context: in.ReadContext, Index: l.index})
		}
		return nil
	})
	l.engine.feed.out = ring.New[SchedulerUpdate]("scheduler.in", schedulerUpdateCapacity)
	l.update.Status = &replica.Status{IsLeader: true, Term: 1}
	l.commitBatch()
	return l
}

// commitBatch commits the pending commands and confirms the pending reads.
func (l *loopback) commitBatch() {
	l.engine.flush(l.now)
	u := l.update
	l.update = replica.Update{}
	if err := l.engine.handleUpdate(l.now, u); err != nil {
		panic(err)
	}
	l.engine.flush(l.now)
	l.engine.feed.out.Drain(nil, schedulerUpdateCapacity)
}

func (l *loopback) request(op controlapi.Operation, body any) {
	l.engine.handleRequest(l.now, &Request{Operation: op, Body: body, Deadline: l.now.Add(time.Second), Replier: l})
}

// requestsPerCommit is the number of requests between two calls of commitBatch.
const requestsPerCommit = 64

// BenchmarkClaims measures claims from the request to the encoded response.
func BenchmarkClaims(b *testing.B) {
	l := newLoopback()
	n := 0
	for b.Loop() {
		if n%300_000 == 0 && n > 0 {
			l = newLoopback() // before the limit on keys is reached
		}
		n++
		l.request(controlapi.OpClaim, &controlapi.ClaimRequest{
			Key:    controlapi.Key{Customer: "team-01", Service: "settlement", Key: fmt.Sprintf("order-%012d", n)},
			Digest: "0123456789abcdef", Target: "runner-1", Claimant: "entry-1/1"})
		if n%requestsPerCommit == 0 {
			l.commitBatch()
		}
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "claims/s")
}

// BenchmarkReports measures reports without changes by 4,000 agents with 12 running
// tasks each. That corresponds to the 46,700 running tasks of a deployment.
func BenchmarkReports(b *testing.B) {
	const agents, tasks = 4000, 12
	l := newLoopback()
	reports := make([]*controlapi.AgentReport, agents)
	for a := range agents {
		id := fmt.Sprintf("worker-%04d", a)
		r := &controlapi.AgentReport{Worker: controlapi.Worker{Agent: id, Epoch: 1, Zone: "z", Capacity: controlapi.Resources{CPUMilli: 64_000}}}
		l.request(controlapi.OpReport, r)
		for i := range tasks {
			task := fmt.Sprintf("%s-%02d", id, i)
			l.request(controlapi.OpSubmit, &controlapi.Task{ID: task, Customer: "c", Kind: controlapi.KindBatch, Class: "k", Size: controlapi.Resources{CPUMilli: 500}})
			l.commitBatch()
			l.engine.handleDecision(l.now, Decision{Place: &Placement{Task: task, Agent: id}})
		}
		l.commitBatch()
		reports[a] = &controlapi.AgentReport{Worker: r.Worker}
		for i := range tasks {
			reports[a].Tasks = append(reports[a].Tasks, running(fmt.Sprintf("%s-%02d", id, i), 1))
		}
	}
	n := 0
	for b.Loop() {
		l.request(controlapi.OpReport, reports[n%agents])
		n++
		if n%requestsPerCommit == 0 {
			l.commitBatch()
		}
		if n%agents == 0 { // every agent reports once in 250 ms
			l.now = l.now.Add(250 * time.Millisecond)
			l.engine.tick(l.now)
		}
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "reports/s")
	b.ReportMetric(float64(n)*tasks/b.Elapsed().Seconds(), "renewals/s")
}

// BenchmarkPlacements measures placements from the decision of the scheduler to
// the committed state.
func BenchmarkPlacements(b *testing.B) {
	l := newLoopback()
	l.request(controlapi.OpReport, &controlapi.AgentReport{Worker: controlapi.Worker{Agent: "w", Epoch: 1, Capacity: controlapi.Resources{CPUMilli: 1 << 40}}})
	b.StopTimer()
	b.ResetTimer()
	for i := range b.N {
		id := fmt.Sprintf("job-%08d", i)
		l.request(controlapi.OpSubmit, &controlapi.Task{ID: id, Customer: "c", Kind: controlapi.KindBatch, Class: "k", Size: controlapi.Resources{CPUMilli: 500}})
		l.commitBatch()
		b.StartTimer()
		l.engine.handleDecision(l.now, Decision{Place: &Placement{Task: id, Agent: "w"}})
		l.commitBatch()
		b.StopTimer()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "placements/s")
}
