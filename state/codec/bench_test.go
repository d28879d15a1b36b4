package codec

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/state"
)

// Sizes expected in two years, from docs/design.md section 1.6.
const (
	runningTaskCount  = 46_700
	finishedTaskCount = 44_000
	proposalCount     = 2_500
	agentCount        = 4_000
)

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// applyEncoded encodes and decodes a command before it applies it, as the log
// does, so that the state shares as little memory as in a real process.
func applyEncoded(tb testing.TB, m *state.Machine, c *state.Command) state.Result {
	c.Now = time.Unix(1_000_000, 0)
	b, err := EncodeCommand(c)
	if err != nil {
		tb.Fatal(err)
	}
	decoded, err := DecodeCommand(b)
	if err != nil {
		tb.Fatal(err)
	}
	return m.Apply(decoded)
}

func addRunningTasks(tb testing.TB, m *state.Machine, n int) {
	for i := range n {
		id := fmt.Sprintf("job-%08d", i)
		agent := fmt.Sprintf("worker-%04d", i%agentCount)
		applyEncoded(tb, m, &state.Command{Submit: &controlapi.Task{ID: id, Customer: fmt.Sprintf("team-%02d", i%86), Kind: controlapi.KindBatch,
			Class: "reconcile", Size: controlapi.Resources{CPUMilli: 500, MemoryMiB: 256}, Payload: make([]byte, 64)}})
		applyEncoded(tb, m, &state.Command{Place: &state.Place{Task: id, Agent: agent, Zone: "zone-01",
			Capacity: controlapi.Resources{CPUMilli: 64_000, MemoryMiB: 250_000}}})
		r := applyEncoded(tb, m, &state.Command{Report: &state.Report{Agent: agent, Tasks: []controlapi.ReportedTask{{
			Task: id, Epoch: 1, State: controlapi.ReportedRunning, Checkpoint: "checkpoint/" + id + "/1", CheckpointSequence: 1}}}})
		if len(r.ChangedTasks) != 1 {
			tb.Fatalf("%s is not running", id)
		}
	}
}

func addFinishedTasks(tb testing.TB, m *state.Machine, n int) {
	for i := range n {
		id := fmt.Sprintf("done-%08d", i)
		applyEncoded(tb, m, &state.Command{Submit: &controlapi.Task{ID: id, Customer: fmt.Sprintf("team-%02d", i%86), Kind: controlapi.KindBatch,
			Class: "reconcile", Size: controlapi.Resources{CPUMilli: 500, MemoryMiB: 256}, Payload: make([]byte, 64)}})
		applyEncoded(tb, m, &state.Command{Cancel: &controlapi.TaskQuery{ID: id}})
	}
}

// addProposals proposes changes of both lists with 86 customers. Their base
// revision is outdated, so they end as conflicts, which are stored like accepted
// changes.
func addProposals(tb testing.TB, m *state.Machine, n int) {
	change := controlapi.Change{Kind: controlapi.ChangeLists}
	for i := range 86 {
		change.Customers = append(change.Customers, controlapi.Subscription{Customer: fmt.Sprintf("team-%02d", i), Plan: fmt.Sprintf("plan-%d", i%10)})
	}
	for i := range 10 {
		change.Plans = append(change.Plans, controlapi.Plan{Name: fmt.Sprintf("plan-%d", i), Services: []string{"a", "b"}, Concurrency: 10})
	}
	owners := controlapi.Change{Kind: controlapi.ChangeOwners, Owners: map[string]string{
		"ann": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", "ben": "AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}}
	applyEncoded(tb, m, &state.Command{Propose: &state.Propose{Request: controlapi.ProposeRequest{ChangeID: "owners", Change: owners}}})
	for i := range n {
		r := controlapi.ProposeRequest{ChangeID: fmt.Sprintf("change-%06d", i), Change: change, Force: true}
		applyEncoded(tb, m, &state.Command{Propose: &state.Propose{Request: r}})
	}
}

func addRecordedKeys(tb testing.TB, m *state.Machine, n int, body []byte) {
	for i := range n {
		key := controlapi.Key{Customer: fmt.Sprintf("team-%02d", i%86), Service: "settlement", Key: fmt.Sprintf("order-%012d", i)}
		r := applyEncoded(tb, m, &state.Command{Claim: &controlapi.ClaimRequest{Key: key, Digest: "0123456789abcdef", Target: "runner-1", Claimant: "entry-1/1"}})
		applyEncoded(tb, m, &state.Command{Resolve: &controlapi.ResolveRequest{Key: key, Epoch: r.Claim.Epoch,
			Outcome: controlapi.Recorded{Outcome: "done", Status: 200, Body: body}}})
	}
}

// BenchmarkMemory reports the heap bytes per element of each kind.
func BenchmarkMemory(b *testing.B) {
	for _, c := range []struct {
		name string
		n    int
		add  func(testing.TB, *state.Machine, int)
	}{
		{"key", 100_000, func(tb testing.TB, m *state.Machine, n int) { addRecordedKeys(tb, m, n, nil) }},
		{"key with 100 byte answer", 100_000, func(tb testing.TB, m *state.Machine, n int) { addRecordedKeys(tb, m, n, make([]byte, 100)) }},
		{"running task", runningTaskCount, addRunningTasks},
		{"finished task", finishedTaskCount, addFinishedTasks},
		{"change", proposalCount, addProposals},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				m := state.New(state.DefaultOptions())
				c.add(b, m, c.n)
				b.ReportMetric(float64(heapBytes()-before)/float64(c.n), "B/element")
				runtime.KeepAlive(m)
			}
		})
	}
}

func fullMachine(tb testing.TB) *state.Machine {
	m := state.New(state.DefaultOptions())
	addRunningTasks(tb, m, runningTaskCount)
	addFinishedTasks(tb, m, finishedTaskCount)
	addProposals(tb, m, proposalCount)
	return m
}

// BenchmarkFullState reports the heap size of the state expected in two years, the
// time in which the applier takes an image of it, and the times to encode and
// restore that image.
func BenchmarkFullState(b *testing.B) {
	before := heapBytes()
	m := fullMachine(b)
	b.Logf("heap %.1f MB", float64(heapBytes()-before)/1e6)
	data, err := EncodeImage(m.Image())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("image", func(b *testing.B) {
		for b.Loop() {
			m.Image()
		}
	})
	b.Run("encode", func(b *testing.B) {
		img := m.Image()
		for b.Loop() {
			if _, err := EncodeImage(img); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data))/1e6, "MB")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			img, err := DecodeImage(data)
			if err != nil {
				b.Fatal(err)
			}
			state.Restore(state.DefaultOptions(), img)
		}
	})
}

// BenchmarkReplay measures the replay of log entries after a restart: decoding
// and applying them.
func BenchmarkReplay(b *testing.B) {
	var entries [][]byte
	for i := range 100_000 {
		c := &state.Command{Now: time.Unix(1_000_000, 0), Claim: &controlapi.ClaimRequest{
			Key:    controlapi.Key{Customer: "team-01", Service: "settlement", Key: fmt.Sprintf("order-%012d", i)},
			Digest: "0123456789abcdef", Target: "runner-1", Claimant: "entry-1/1"}}
		data, err := EncodeCommand(c)
		if err != nil {
			b.Fatal(err)
		}
		entries = append(entries, data)
	}
	for b.Loop() {
		m := state.New(state.DefaultOptions())
		for _, data := range entries {
			c, err := DecodeCommand(data)
			if err != nil {
				b.Fatal(err)
			}
			m.Apply(c)
		}
	}
}
