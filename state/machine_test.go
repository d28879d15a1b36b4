package state

import (
	"fmt"
	"os"
	"reflect"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/internal/testseed"
	"github.com/ibispier/ibispier/lease"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

var unlimited = controlapi.Resources{CPUMilli: 1 << 40, MemoryMiB: 1 << 40, Accelerators: 1 << 40}

func task(id, kind string) controlapi.Task {
	return controlapi.Task{ID: id, Customer: "c", Kind: kind, Class: "k", Size: controlapi.Resources{CPUMilli: 1000}, Payload: []byte("p")}
}

func Example() {
	m := New(DefaultOptions())
	now := time.Unix(0, 0)
	submit := controlapi.Task{ID: "reconcile-7", Customer: "fleet", Kind: controlapi.KindBatch}
	m.Apply(&Command{Now: now, Submit: &submit})
	placed := m.Apply(&Command{Now: now, Place: &Place{Task: "reconcile-7", Agent: "worker-1", Zone: "a"}})
	fmt.Println(placed.Task.State, placed.Task.Epoch)

	report := func(epoch uint64, s controlapi.ReportedState) controlapi.TaskState {
		m.Apply(&Command{Now: now, Report: &Report{Agent: "worker-1", Tasks: []controlapi.ReportedTask{{Task: "reconcile-7", Epoch: epoch, State: s}}}})
		return m.Task("reconcile-7").State
	}
	fmt.Println(report(0, controlapi.ReportedCompleted)) // an old epoch
	fmt.Println(report(1, controlapi.ReportedCompleted))
	// Output:
	// placed 1
	// placed
	// completed
}

// Guards against a watcher that silently stops running: when it ends, fails or
// loses its agent, it must be queued again at once, and an alarm must be raised
// after 3 s in the queue.
func TestWatcherIsQueuedAgain(t *testing.T) {
	for _, end := range []controlapi.ReportedState{controlapi.ReportedCompleted, controlapi.ReportedFailed,
		controlapi.ReportedRefused, controlapi.ReportedStopped, ""} {
		m := New(DefaultOptions())
		w := task("w", controlapi.KindWatcher)
		m.Apply(&Command{Now: start, Submit: &w})
		m.Apply(&Command{Now: start, Place: &Place{Task: "w", Agent: "a", Capacity: unlimited}})
		c := &Command{Now: start.Add(time.Minute)}
		if end == "" {
			c.Expire = &Expire{Leases: []lease.Lease{{Task: "w", Epoch: 1}}}
		} else {
			c.Report = &Report{Agent: "a", Tasks: []controlapi.ReportedTask{{Task: "w", Epoch: 1, State: end}}}
		}
		m.Apply(c)
		got := m.Task("w")
		if got.State != controlapi.TaskQueued || !got.QueuedAt.Equal(c.Now) || got.Epoch != 2 {
			t.Errorf("after %q: %s since %s with epoch %d", end, got.State, got.QueuedAt, got.Epoch)
		}
		if a := m.Alarms(c.Now.Add(2999 * time.Millisecond)); len(a) != 0 {
			t.Errorf("alarm before 3 s: %v", a)
		}
		if a := m.Alarms(c.Now.Add(3 * time.Second)); len(a) != 1 || a[0].Subject != "w" {
			t.Errorf("alarms after 3 s: %v", a)
		}
	}
}

// Guards against a placement on a quarantined worker, in a zone that the task does
// not allow, with an outdated epoch, or beyond the free capacity of the worker.
func TestPlacementLimits(t *testing.T) {
	m := New(DefaultOptions())
	for _, id := range []string{"t1", "t2"} {
		r := task(id, controlapi.KindBatch)
		r.Zones = []string{"a", "b"}
		m.Apply(&Command{Now: start, Submit: &r})
	}
	capacity := controlapi.Resources{CPUMilli: 1500}
	m.Apply(&Command{Now: start, Quarantine: &Quarantine{Kind: QuarantineWorker, Name: "bad"}})
	for _, c := range []struct {
		place Place
		ok    bool
	}{
		{Place{Task: "t1", Agent: "bad", Zone: "a", Capacity: capacity}, false},
		{Place{Task: "t1", Agent: "w", Zone: "c", Capacity: capacity}, false},
		{Place{Task: "t1", Epoch: 1, Agent: "w", Zone: "a", Capacity: capacity}, false},
		{Place{Task: "t1", Agent: "w", Zone: "a", Capacity: controlapi.Resources{CPUMilli: 999}}, false},
		{Place{Task: "t1", Agent: "w", Zone: "a", Capacity: capacity}, true},
		{Place{Task: "t2", Agent: "w", Zone: "a", Capacity: capacity}, false},
		{Place{Task: "t2", Agent: "v", Zone: "b", Capacity: capacity}, true},
	} {
		if r := m.Apply(&Command{Now: start, Place: &c.place}); (r.Err == nil) != c.ok {
			t.Errorf("%+v: %v, want accepted %v", c.place, r.Err, c.ok)
		}
	}
}

// Guards against placements beyond the plan of a customer, and against accepting a
// task that exceeds the plan by itself and would be queued forever.
func TestPlanLimitsTasks(t *testing.T) {
	m := New(DefaultOptions())
	owners := controlapi.Change{Kind: controlapi.ChangeOwners, Owners: map[string]string{
		"ann": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", "ben": "AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}}
	m.Apply(&Command{Now: start, Propose: &Propose{Request: controlapi.ProposeRequest{ChangeID: "o", Change: owners}}})
	m.plans = map[string]controlapi.Plan{"c": {CPUMilli: 2500, Tasks: 2}, anyCustomer: {CPUMilli: 1000, Tasks: 1}}
	submit := func(id, customer string, cpu int64) error {
		r := task(id, controlapi.KindBatch)
		r.Customer, r.Size.CPUMilli = customer, cpu
		return m.Apply(&Command{Now: start, Submit: &r}).Err
	}
	place := func(id string) error {
		return m.Apply(&Command{Now: start, Place: &Place{Task: id, Agent: id, Capacity: unlimited}}).Err
	}
	for _, c := range []struct {
		id, customer string
		cpu          int64
		accepted     bool
		placed       bool
	}{
		{"large", "c", 2501, false, false},
		{"c1", "c", 2000, true, true},
		{"c2", "c", 501, true, false},
		{"c3", "c", 500, true, true},
		{"c4", "c", 0, true, false},
		{"d1", "d", 1000, true, true},
		{"d2", "d", 1001, false, false},
		{"e1", "e", 1000, true, true},
	} {
		if err := submit(c.id, c.customer, c.cpu); (err == nil) != c.accepted {
			t.Errorf("%s submitted: %v", c.id, err)
		}
		if err := place(c.id); (err == nil) != c.placed {
			t.Errorf("%s placed: %v", c.id, err)
		}
	}
}

// Guards against unbounded memory use by finished tasks.
func TestFinishedTasksAreBounded(t *testing.T) {
	o := DefaultOptions()
	o.MaxFinishedTasks, o.FinishedRetention = 5, time.Hour
	m := New(o)
	for i := range 20 {
		r := task(fmt.Sprint(i), controlapi.KindBatch)
		m.Apply(&Command{Now: start, Submit: &r})
		m.Apply(&Command{Now: start, Cancel: &controlapi.TaskQuery{ID: r.ID}})
	}
	m.Apply(&Command{Now: start, Quarantine: &Quarantine{Kind: QuarantineJob, Name: "x"}})
	if got := m.TaskCounts()[string(controlapi.TaskCancelled)]; got != 5 {
		t.Errorf("%d finished tasks retained, want 5", got)
	}
	m.Apply(&Command{Now: start.Add(61 * time.Minute), Quarantine: &Quarantine{Kind: QuarantineJob, Name: "x"}})
	if got := len(m.TaskCounts()); got != 0 {
		t.Errorf("%d states after the window, want none", got)
	}
}

// Guards against a listing that is too large for a message, or that omits the
// tasks submitted first.
func TestListingIsBounded(t *testing.T) {
	m := New(DefaultOptions())
	for i := range MaxListedTasks + 100 {
		r := task(fmt.Sprint(i), controlapi.KindBatch)
		m.Apply(&Command{Now: start.Add(time.Duration(i) * time.Second), Submit: &r})
	}
	for _, limit := range []int{0, 1, 10, MaxListedTasks + 50} {
		list := m.Tasks(controlapi.TasksQuery{Limit: limit, Customer: "c"})
		want := min(limit, MaxListedTasks)
		if limit == 0 {
			want = MaxListedTasks
		}
		if len(list) != want || list[0].ID != "0" || list[want-1].ID != fmt.Sprint(want-1) || list[0].Payload != nil {
			t.Errorf("limit %d: %d tasks from %s to %s", limit, len(list), list[0].ID, list[len(list)-1].ID)
		}
	}
	if list := m.Tasks(controlapi.TasksQuery{Customer: "other"}); len(list) != 0 {
		t.Errorf("%d tasks of another customer", len(list))
	}
}

// taskModel is the expected state of one task: its valid placement, if any, and
// how many placements began and ended.
type taskModel struct {
	body               controlapi.Task
	agent              string // holder of the valid lease, "" without one
	epoch              uint64
	placementCount     int
	endCount           int
	checkpointSequence uint64
	final              controlapi.TaskState
	cancelling         bool
}

type oracle map[string]*taskModel

// Compares random commands with a model of each task. Guards against two valid
// leases of one task, an effect of a report with an old epoch, a task that is
// resumed twice or never, a completion that is recorded twice or lost, a
// checkpoint that is replaced by an earlier one, and a snapshot that loses state.
func TestTasksAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(DefaultOptions())
		o := oracle{}
		id := func(t *rapid.T) string { return rapid.SampledFrom([]string{"t1", "t2", "w1"}).Draw(t, "task") }
		agent := func(t *rapid.T) string { return rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "agent") }
		place := func(t *rapid.T) { o.place(t, m, id(t), agent(t)) }
		report := func(t *rapid.T) { o.report(t, m, id(t), agent(t)) }
		t.Repeat(map[string]func(*rapid.T){
			"submit":  func(t *rapid.T) { o.submit(t, m, id(t)) },
			"place":   place,
			"place2":  place,
			"report":  report,
			"report2": report,
			"report3": report,
			"expire":  func(t *rapid.T) { o.expire(t, m, id(t)) },
			"cancel":  func(t *rapid.T) { o.cancel(m, id(t)) },
			"restore": func(t *rapid.T) {
				img := sorted(m.Image())
				m = Restore(DefaultOptions(), m.Image())
				if !reflect.DeepEqual(sorted(m.Image()), img) {
					t.Fatal("the restored state differs from the original")
				}
			},
			"": func(t *rapid.T) { o.compare(t, m) },
		})
	})
}

func sorted(img Image) Image {
	sort.Slice(img.Live, func(i, j int) bool { return img.Live[i].ID < img.Live[j].ID })
	return img
}

func (o oracle) submit(t *rapid.T, m *Machine, id string) {
	body := task(id, map[byte]string{'t': controlapi.KindBatch, 'w': controlapi.KindWatcher}[id[0]])
	if rapid.IntRange(0, 4).Draw(t, "body") == 0 {
		body.Payload = []byte("other")
	}
	r := m.Apply(&Command{Now: start, Submit: &body})
	submitted := o[id]
	switch {
	case submitted == nil:
		o[id] = &taskModel{body: body}
		if !r.Created {
			t.Fatalf("not created: %v", r.Err)
		}
	case reflect.DeepEqual(submitted.body, body):
		if r.Err != nil || r.Created || !r.Task.Resent {
			t.Fatalf("resent: %+v", r)
		}
	case r.Err == nil:
		t.Fatal("two different tasks were accepted under one id")
	}
}

func (o oracle) place(t *rapid.T, m *Machine, id, agent string) {
	current := m.Task(id)
	if current == nil {
		return
	}
	behind := min(rapid.Uint64Range(0, 1).Draw(t, "behind"), current.Epoch)
	r := m.Apply(&Command{Now: start, Place: &Place{Task: id, Epoch: current.Epoch - behind, Agent: agent, Capacity: unlimited}})
	expected := o[id]
	wantAccepted := expected.agent == "" && expected.final == "" && behind == 0
	if (r.Err == nil) != wantAccepted {
		t.Fatalf("place: %v, want accepted %v (%+v)", r.Err, wantAccepted, expected)
	}
	if !wantAccepted {
		return
	}
	if r.Task.Epoch <= expected.epoch {
		t.Fatalf("placement with epoch %d after %d", r.Task.Epoch, expected.epoch)
	}
	expected.agent, expected.epoch = agent, r.Task.Epoch
	expected.placementCount++
}

func (o oracle) report(t *rapid.T, m *Machine, id, agent string) {
	expected := o[id]
	if expected == nil {
		return
	}
	r := controlapi.ReportedTask{Task: id,
		Epoch: expected.epoch - min(expected.epoch, rapid.SampledFrom([]uint64{0, 0, 0, 1, 2}).Draw(t, "behind")),
		State: rapid.SampledFrom([]controlapi.ReportedState{controlapi.ReportedStarting, controlapi.ReportedRunning, controlapi.ReportedRunning,
			controlapi.ReportedCompleted, controlapi.ReportedFailed, controlapi.ReportedRefused, controlapi.ReportedCheckpointed,
			controlapi.ReportedStopped}).Draw(t, "state"),
		CheckpointSequence: rapid.Uint64Range(0, 5).Draw(t, "sequence"),
	}
	r.Checkpoint = fmt.Sprint("checkpoint ", r.CheckpointSequence)
	m.Apply(&Command{Now: start, Report: &Report{Agent: agent, Tasks: []controlapi.ReportedTask{r}}})
	if expected.agent != agent || expected.epoch != r.Epoch {
		return // an outdated report: compare checks that it had no effect
	}
	expected.checkpointSequence = max(expected.checkpointSequence, r.CheckpointSequence)
	if !IsFinal(r.State) {
		return
	}
	if r.State == controlapi.ReportedCompleted && expected.body.Kind == controlapi.KindBatch {
		expected.agent, expected.final = "", controlapi.TaskCompleted
		expected.endCount++
		return
	}
	expected.endPlacement()
}

func (expected *taskModel) endPlacement() {
	expected.agent = ""
	expected.endCount++
	if expected.cancelling {
		expected.final = controlapi.TaskCancelled
	}
}

func (o oracle) expire(t *rapid.T, m *Machine, id string) {
	expected := o[id]
	if expected == nil {
		return
	}
	epoch := expected.epoch - min(expected.epoch, rapid.Uint64Range(0, 1).Draw(t, "behind"))
	l := lease.Lease{Task: id, Epoch: epoch}
	m.Apply(&Command{Now: start, Expire: &Expire{Leases: []lease.Lease{l, l}}})
	if expected.agent != "" && epoch == expected.epoch {
		expected.endPlacement()
	}
}

func (o oracle) cancel(m *Machine, id string) {
	m.Apply(&Command{Now: start, Cancel: &controlapi.TaskQuery{ID: id}})
	if expected := o[id]; expected != nil && expected.final == "" {
		expected.cancelling = true
		if expected.agent == "" {
			expected.final = controlapi.TaskCancelled
		}
	}
}

func (o oracle) compare(t *rapid.T, m *Machine) {
	placed := 0
	for id, expected := range o {
		got := m.Task(id)
		if expected.final != "" && got.State != expected.final || expected.final == "" && got.IsFinished() {
			t.Fatalf("%s is %s, want %q", id, got.State, expected.final)
		}
		if got.IsPlaced() != (expected.agent != "") || got.Agent != expected.agent || got.CheckpointSequence != expected.checkpointSequence {
			t.Fatalf("%s: %+v, want %+v", id, got.TaskStatus, expected)
		}
		if got.IsPlaced() {
			placed++
			if got.Epoch != expected.epoch || m.TasksOnAgent(expected.agent)[id] != got {
				t.Fatalf("%s: the valid lease is epoch %d on %s, want %+v", id, got.Epoch, got.Agent, expected)
			}
		}
		if open := expected.placementCount - expected.endCount; open != 0 && open != 1 || (open == 1) != got.IsPlaced() {
			t.Fatalf("%s: %d placements, %d ends, state %s", id, expected.placementCount, expected.endCount, got.State)
		}
	}
	if onAgents := len(m.TasksOnAgent("a1")) + len(m.TasksOnAgent("a2")); onAgents != placed {
		t.Fatalf("%d tasks on agents, want %d", onAgents, placed)
	}
	if u := usageOrZero(m.tasks.usageByCustomer, "c"); u.tasks != placed || u.size.CPUMilli != int64(placed)*1000 {
		t.Fatalf("usage %+v with %d tasks placed", u, placed)
	}
}
