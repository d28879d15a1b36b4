package fairqueue

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/internal/testseed"
	"github.com/ibispier/ibispier/resource"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

var epoch = time.Unix(1_700_000_000, 0)

func cpu(milli int64) resource.Vector { return resource.Vector{CPUMilli: milli} }

func ExampleQueue() {
	q := New(Options{})
	q.SetCapacity(cpu(10_000))
	q.Charge("busy", cpu(4_000))
	q.Add(Item{ID: "first", Customer: "busy", Size: cpu(1_000), WaitingSince: epoch})
	q.Add(Item{ID: "second", Customer: "idle", Size: cpu(1_000), WaitingSince: epoch})
	q.Add(Item{ID: "third", Customer: "busy", Size: cpu(1_000), WaitingSince: epoch, Urgent: true})
	q.BeginPass(epoch)
	for item, ok := q.Next(); ok; item, ok = q.Next() {
		fmt.Println(item.ID)
		q.Take()
	}
	// Output:
	// third
	// second
	// first
}

// Guards against offers that break the order given in the package comment. A
// plain list of pending tasks is the oracle for every offer, while tasks arrive,
// are cancelled and are placed.
func TestOrderAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{queue: New(Options{AgingBound: time.Minute}), now: epoch, inUse: map[string]int64{}}
		m.queue.SetCapacity(cpu(100_000))
		t.Repeat(map[string]func(*rapid.T){
			"add":    m.add,
			"remove": m.remove,
			"pass":   m.runPass,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			},
		})
	})
}

type stateMachine struct {
	queue        *Queue
	now          time.Time
	pending      []Item
	inUse        map[string]int64
	nextID       int
	urgentStreak int // consecutive urgent offers while an aged task was pending
}

func (m *stateMachine) add(t *rapid.T) {
	m.nextID++
	item := Item{
		ID:           fmt.Sprint(m.nextID),
		Customer:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
		Urgent:       rapid.IntRange(0, 3).Draw(t, "urgent") == 0,
		Size:         cpu(int64(rapid.IntRange(1, 5_000).Draw(t, "size"))),
		WaitingSince: m.now,
	}
	m.queue.Add(item)
	m.pending = append(m.pending, item)
}

func (m *stateMachine) remove(t *rapid.T) {
	if len(m.pending) == 0 {
		t.Skip("no pending task")
	}
	m.delete(rapid.IntRange(0, len(m.pending)-1).Draw(t, "index"), m.queue.Remove)
}

func (m *stateMachine) delete(i int, remove func(string) bool) {
	remove(m.pending[i].ID)
	m.pending = append(m.pending[:i:i], m.pending[i+1:]...)
}

func (m *stateMachine) runPass(t *rapid.T) {
	m.queue.BeginPass(m.now)
	offered := map[string]bool{}
	for item, ok := m.queue.Next(); ok; item, ok = m.queue.Next() {
		i := m.checkOffer(t, item, offered)
		offered[item.ID] = true
		if rapid.Bool().Draw(t, "take") {
			m.inUse[item.Customer] += item.Size.CPUMilli
			m.delete(i, func(string) bool { m.queue.Take(); return true })
			continue
		}
		m.queue.Skip()
	}
	for _, item := range m.pending {
		if !offered[item.ID] {
			t.Fatalf("task %s was not offered in the pass", item.ID)
		}
	}
	if m.queue.Len() != len(m.pending) {
		t.Fatalf("queue has %d tasks, want %d", m.queue.Len(), len(m.pending))
	}
}

// checkOffer fails unless item is an allowed offer, and returns its index in
// pending.
func (m *stateMachine) checkOffer(t *rapid.T, item Item, offered map[string]bool) int {
	index := -1
	var urgentLeft, agedLeft bool
	var oldest time.Time
	best := map[string]float64{}
	for i, p := range m.pending {
		if p.ID == item.ID {
			index = i
		}
		if offered[p.ID] {
			continue
		}
		urgentLeft = urgentLeft || p.Urgent
		if !p.Urgent && m.now.Sub(p.WaitingSince) > time.Minute {
			if !agedLeft || p.WaitingSince.Before(oldest) {
				oldest = p.WaitingSince
			}
			agedLeft = true
		}
		if _, seen := best[p.Customer]; !seen {
			best[p.Customer] = float64(m.inUse[p.Customer] + p.Size.CPUMilli)
		}
	}
	if index < 0 || offered[item.ID] {
		t.Fatalf("task %s is not pending or was offered twice", item.ID)
	}
	m.checkRank(t, item, urgentLeft, agedLeft, oldest)
	if !urgentLeft && !agedLeft {
		for customer, share := range best {
			if share < best[item.Customer] {
				t.Fatalf("offered a task of %s although %s has a smaller dominant share", item.Customer, customer)
			}
		}
	}
	return index
}

func (m *stateMachine) checkRank(t *rapid.T, item Item, urgentLeft, agedLeft bool, oldest time.Time) {
	switch {
	case urgentLeft && agedLeft && item.Urgent:
		if m.urgentStreak++; m.urgentStreak >= agedOfferInterval {
			t.Fatalf("%d urgent tasks in a row were offered before an aged one", m.urgentStreak)
		}
	case urgentLeft && !item.Urgent && !agedLeft:
		t.Fatalf("task %s was offered before an urgent one", item.ID)
	case !agedLeft:
		m.urgentStreak = 0
	case agedLeft && !item.Urgent:
		m.urgentStreak = 0
		if !item.WaitingSince.Equal(oldest) {
			t.Fatalf("task %s was offered before an aged task that has waited longer", item.ID)
		}
	}
}

// Guards against a scan of the queue for each cancelled task: 200,000
// cancellations must leave the entries in place until one scan in BeginPass.
func TestCancellationWaveCostsOnePass(t *testing.T) {
	const tasks = 200_000
	q := New(Options{})
	for i := range tasks {
		q.Add(Item{ID: fmt.Sprint(i), Customer: "a", Size: cpu(1), WaitingSince: epoch})
	}
	for i := range tasks - 1 {
		q.Remove(fmt.Sprint(i))
	}
	if c := q.customers["a"]; len(c.normal) != tasks {
		t.Fatal("removed entries were dropped before the pass")
	}
	q.BeginPass(epoch)
	if item, ok := q.Next(); !ok || item.ID != fmt.Sprint(tasks-1) {
		t.Fatalf("first offer is %q, want the only task that was not removed", item.ID)
	}
	if c := q.customers["a"]; len(c.normal) != 1 {
		t.Fatalf("%d entries left after BeginPass, want 1", len(c.normal))
	}
}

// Guards against a FIFO policy that reorders tasks by urgency or customer, which
// would make it useless as a baseline.
func TestFIFOKeepsArrivalOrder(t *testing.T) {
	q := New(Options{Policy: FIFO})
	q.SetCapacity(cpu(100))
	for i, urgent := range []bool{false, true, false, true} {
		q.Add(Item{ID: fmt.Sprint(i), Customer: fmt.Sprint(i % 3), Urgent: urgent, Size: cpu(1), WaitingSince: epoch})
	}
	q.BeginPass(epoch)
	for i := range 4 {
		item, ok := q.Next()
		if !ok || item.ID != fmt.Sprint(i) {
			t.Fatalf("offer %d is task %q, want the order of arrival", i, item.ID)
		}
		q.Skip()
	}
}
