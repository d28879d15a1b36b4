package lease

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

func Example() {
	table := NewTable(DefaultTiming())
	start := time.Unix(0, 0)
	table.Grant(start, Lease{Task: "t", Epoch: 1})
	fmt.Println(table.Renew(start.Add(time.Second), Lease{Task: "t", Epoch: 1}))
	fmt.Println(table.Expired(start.Add(4500*time.Millisecond), 10))
	fmt.Println(table.Expired(start.Add(4580*time.Millisecond), 10))
	// Output:
	// true
	// []
	// [{t 1}]
}

// clock is a clock with an offset and a constant drift.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) read(real time.Duration) time.Time {
	return time.Unix(0, 0).Add(c.offset + time.Duration(float64(real)*c.rate))
}

// simulation models one task, its holders and successive leaders on a common
// time line. It is the oracle: it knows until when each holder runs the task.
type simulation struct {
	real     time.Duration
	leader   clock
	table    *Table
	epoch    uint64 // of the current placement, as seen by control
	holders  map[uint64]*holder
	requests []renewal
	answers  []renewal
}

type holder struct {
	clock     clock
	runsUntil time.Duration // time by which the task has ended
	started   bool
}

type renewal struct {
	epoch uint64
	sent  time.Duration
}

func drawClock(t *rapid.T) clock {
	return clock{rate: 1 + rapid.Float64Range(-0.005, 0.005).Draw(t, "drift"),
		offset: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset"))}
}

func (s *simulation) now() time.Time { return s.leader.read(s.real) }

// receiveRenewal delivers an answered renewal to its holder, which counts from
// when it sent the renewal, on its own clock.
func (s *simulation) receiveRenewal(r renewal) {
	h := s.holders[r.epoch]
	if h.started && s.real >= h.runsUntil {
		return // stopped; it does not start again under this epoch
	}
	deadline := DefaultTiming().Deadline(h.clock.read(r.sent))
	remaining := deadline.Sub(h.clock.read(s.real))
	if remaining <= 0 {
		return
	}
	until := s.real + time.Duration(float64(remaining)/h.clock.rate) + DefaultTiming().StopTime
	h.runsUntil = max(h.runsUntil, until)
	h.started = true
}

// place starts the next placement, as control does when the lease has expired.
func (s *simulation) place(t *rapid.T) {
	for epoch, h := range s.holders {
		if s.real < h.runsUntil {
			t.Fatalf("epoch %d placed while epoch %d runs for another %s", s.epoch+1, epoch, h.runsUntil-s.real)
		}
	}
	s.epoch++
	s.holders[s.epoch] = &holder{clock: drawClock(t)}
	s.table.Grant(s.now(), Lease{"t", s.epoch})
	s.requests = append(s.requests, renewal{s.epoch, s.real})
}

func (s *simulation) newLeader(t *rapid.T) {
	s.leader = drawClock(t)
	s.table = NewTable(DefaultTiming())
	s.table.Grant(s.now(), Lease{"t", s.epoch})
	s.requests = nil // renewals in transit to the old leader are lost
}

func (s *simulation) answer(t *rapid.T) {
	if len(s.requests) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.requests)-1).Draw(t, "request")
	r := s.requests[i]
	s.requests = append(s.requests[:i:i], s.requests[i+1:]...)
	if s.table.Renew(s.now(), Lease{"t", r.epoch}) {
		if r.epoch != s.epoch {
			t.Fatalf("renewed epoch %d, want %d only", r.epoch, s.epoch)
		}
		s.answers = append(s.answers, r)
	}
}

func (s *simulation) deliver(t *rapid.T) {
	if len(s.answers) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.answers)-1).Draw(t, "answer")
	s.receiveRenewal(s.answers[i])
	if rapid.Bool().Draw(t, "keep a copy") {
		return
	}
	s.answers = append(s.answers[:i:i], s.answers[i+1:]...)
}

// Guards against two placements of a task running at once. Causes: clock drift,
// holders and messages that pause, a new leader that does not know when its
// predecessor answered, and renewals with an old epoch.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{leader: drawClock(t), table: NewTable(DefaultTiming()), holders: map[uint64]*holder{}}
		s.place(t)
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				epoch := rapid.Uint64Range(1, s.epoch).Draw(t, "epoch")
				s.requests = append(s.requests, renewal{epoch, s.real})
			},
			"answer":  s.answer,
			"answer2": s.answer,
			"deliver": s.deliver,
			"pass": func(t *rapid.T) {
				s.real += time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "time"))
			},
			"pass a little": func(t *rapid.T) {
				s.real += time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "time"))
			},
			"pass to the expiry": func(*rapid.T) {
				for end := s.real + 5*time.Second; s.real < end && len(s.table.Expired(s.now(), 1)) == 0; {
					s.real += 5 * time.Millisecond
				}
			},
			"renew": func(t *rapid.T) { // a round trip without delay
				s.requests = append(s.requests, renewal{s.epoch, s.real})
				r := s.requests[len(s.requests)-1]
				if s.table.Renew(s.now(), Lease{"t", r.epoch}) {
					s.receiveRenewal(r)
				}
			},
			"leader": s.newLeader,
			"expire": func(t *rapid.T) {
				for _, l := range s.table.Expired(s.now(), 10) {
					if l.Epoch == s.epoch {
						s.table.Release(l)
						s.place(t)
					}
				}
			},
		})
	})
}

// Guards against a lease that never expires, which would leave its task lost.
func TestExpiryInOrder(t *testing.T) {
	table := NewTable(DefaultTiming())
	start := time.Unix(0, 0)
	for i := range 5 {
		table.Grant(start.Add(time.Duration(i)*time.Second), Lease{Task: fmt.Sprint(i), Epoch: 1})
	}
	table.Renew(start.Add(4*time.Second), Lease{"1", 1}) // expired at 4.58 s, renewed in time
	fence := DefaultTiming().SafeExpiry()
	if got := table.Expired(start.Add(fence+2*time.Second), 10); len(got) != 2 || got[0].Task != "0" || got[1].Task != "2" {
		t.Fatalf("expired %v, want 0 and 2", got)
	}
	if table.Renew(start.Add(fence+2*time.Second), Lease{"2", 1}) {
		t.Fatal("an expired lease was renewed")
	}
	if got := table.Expired(start.Add(fence+4*time.Second), 10); len(got) != 5 {
		t.Fatalf("expired %v, want all", got)
	}
	if table.Grant(start.Add(time.Minute), Lease{"0", 0}) {
		t.Fatal("a lower epoch took the lease")
	}
}
