package admission

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/internal/testseed"
	"github.com/ibispier/ibispier/request"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

func newWork(id uint64, key string, epoch uint64, priority int, deadline time.Time) *Work {
	return &Work{Attempt: &request.Attempt{Number: id, ClaimEpoch: epoch, Request: &request.Request{
		ID: fmt.Sprint("r", id), Idempotent: key == "", Key: key, Priority: priority, Deadline: deadline,
	}}}
}

// Guards against more running attempts than slots, a longer queue than allowed,
// refused or cancelled attempts that start, and a key that runs twice.
func TestController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), MaxQueued: rapid.IntRange(0, 3).Draw(t, "queue")}
		c := NewController(o)
		now := time.Unix(1000, 0)
		var next uint64
		var running []*Work
		started, ended, runs := map[*Work]bool{}, map[*Work]bool{}, map[string]int{}
		start := func(w *Work) {
			if started[w] || ended[w] {
				t.Fatalf("attempt %d started after it was refused or started", w.Attempt.Number)
			}
			started[w] = true
			running = append(running, w)
			runs[w.Attempt.Request.Key]++
		}
		end := func(works ...*Work) {
			for _, w := range works {
				if started[w] {
					t.Fatalf("attempt %d ended as not run and has started", w.Attempt.Number)
				}
				ended[w] = true
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				next++
				key := rapid.SampledFrom([]string{"", "", "a", "b"}).Draw(t, "key")
				wait := time.Duration(rapid.IntRange(-5, 200).Draw(t, "wait")) * time.Millisecond
				w := newWork(next, key, rapid.Uint64Range(0, 4).Draw(t, "epoch"), rapid.IntRange(0, 2).Draw(t, "priority"), now.Add(wait))
				decision, reason, displaced := c.Submit(now, w)
				if displaced != nil {
					end(displaced)
				}
				switch {
				case decision == Start:
					start(w)
				case decision == Refuse && reason == request.ReasonNone:
					t.Fatal("refused without a reason")
				case decision == Refuse:
					end(w)
				}
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				w := running[0]
				running = running[1:]
				following, expired := c.Finished(now, w, &request.Response{Outcome: request.Done})
				end(expired...)
				if following != nil {
					start(following)
				}
			},
			"cancel": func(t *rapid.T) {
				number := rapid.Uint64Range(0, next).Draw(t, "number")
				if w := c.Cancel(now, fmt.Sprint("r", number), number, nil); w != nil {
					end(w)
				}
			},
			"query": func(t *rapid.T) {
				key, epoch := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), rapid.Uint64Range(0, 4).Draw(t, "epoch")
				state, _ := c.QueryClaim(now, request.Key{Key: key}, epoch)
				w := newWork(next+1, key, epoch, 0, now.Add(time.Second))
				if d, _, _ := c.Submit(now, w); state == request.ClaimNotRun && d != Refuse {
					t.Fatalf("epoch %d of %s was proved not run and then accepted", epoch, key)
				} else if d != Refuse {
					t.Fatalf("epoch %d of %s is %d and was accepted", epoch, key, state)
				}
			},
			"state":   func(t *rapid.T) { c.SetState(State(rapid.IntRange(0, 2).Draw(t, "state"))) },
			"advance": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond) },
			"expire":  func(t *rapid.T) { end(c.Expire(now)...) },
			"": func(t *rapid.T) {
				if l := c.Load(); l.InFlight != len(running) || l.InFlight > o.Slots || l.Queued > o.MaxQueued {
					t.Fatalf("load %+v with %d running and options %+v", l, len(running), o)
				}
				if runs["a"] > 1 || runs["b"] > 1 {
					t.Fatalf("runs by key: %v", runs)
				}
			},
		})
	})
}

// Guards against an agent that accepts an attempt when draining, down, late,
// full or without a valid claim.
func TestRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Second)
	for _, c := range []struct {
		name    string
		prepare func(c *Controller)
		work    *Work
		want    request.Reason
	}{
		{"draining", func(c *Controller) { c.SetState(Draining) }, newWork(1, "", 0, 0, later), request.ReasonDraining},
		{"down", func(c *Controller) { c.SetState(Down) }, newWork(1, "", 0, 0, later), request.ReasonNoTarget},
		{"late", func(*Controller) {}, newWork(1, "", 0, 0, now), request.ReasonDeadline},
		{"full", func(c *Controller) { c.Submit(now, newWork(9, "", 0, 0, later)) }, newWork(1, "", 0, 0, later), request.ReasonOverloaded},
		{"without a claim", func(*Controller) {}, newWork(1, "k", 0, 0, later), request.ReasonDuplicateExpired},
		{"fenced epoch", func(c *Controller) { c.QueryClaim(now, request.Key{Key: "k"}, 3) }, newWork(1, "k", 3, 0, later), request.ReasonDuplicateExpired},
		{"epoch after a fence", func(c *Controller) { c.QueryClaim(now, request.Key{Key: "k"}, 3) }, newWork(1, "k", 4, 0, later), request.ReasonNone},
	} {
		controller := NewController(Options{Slots: 1})
		c.prepare(controller)
		if _, reason, _ := controller.Submit(now, c.work); reason != c.want {
			t.Errorf("%s: %q, want %q", c.name, reason, c.want)
		}
	}
}

// Guards against latency-critical work that waits behind work of lower
// priority.
func TestPriority(t *testing.T) {
	c := NewController(Options{Slots: 1, MaxQueued: 2})
	now := time.Unix(0, 0)
	later := now.Add(time.Second)
	first, batch, critical, urgent := newWork(1, "", 0, 1, later), newWork(2, "", 0, 0, later), newWork(3, "", 0, 1, later), newWork(4, "", 0, 2, later)
	for _, w := range []*Work{first, batch, critical} {
		if d, reason, _ := c.Submit(now, w); d == Refuse {
			t.Fatal(reason)
		}
	}
	if _, _, displaced := c.Submit(now, urgent); displaced != batch {
		t.Fatal("a full queue must give up its lowest priority")
	}
	for _, want := range []*Work{urgent, critical} {
		if got, _ := c.Finished(now, first, &request.Response{Outcome: request.Done}); got != want {
			t.Fatalf("started %v, want %v", got.Attempt.Number, want.Attempt.Number)
		}
		first = want
	}
}

// Guards against an agent that queues a request beyond its deadline.
func TestRefusesWhatCannotBeMet(t *testing.T) {
	c := NewController(Options{Slots: 1, MaxQueued: 10})
	now := time.Unix(0, 0)
	for i := range uint64(minSamples) {
		w := newWork(i, "", 0, 0, now.Add(time.Second))
		c.Submit(now, w)
		now = now.Add(100 * time.Millisecond)
		c.Finished(now, w, &request.Response{Outcome: request.Done})
	}
	c.Submit(now, newWork(100, "", 0, 0, now.Add(time.Second)))
	if _, reason, _ := c.Submit(now, newWork(101, "", 0, 0, now.Add(150*time.Millisecond))); reason != request.ReasonDeadline {
		t.Fatalf("reason %q: the work ahead takes 100 ms and its own as long", reason)
	}
	if d, _, _ := c.Submit(now, newWork(102, "", 0, 0, now.Add(time.Second))); d != Enqueue {
		t.Fatal("a request with time left must wait")
	}
}
