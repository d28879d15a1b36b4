package readindex

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/daemon/control/replica"
)

// Guards against answering a read on a confirmation that was requested before the
// read arrived: another member may have led in between.
func TestReadWaitsForALaterConfirmation(t *testing.T) {
	var r Queue
	var asked []uint64
	submit := func(in replica.Input) error {
		asked = append(asked, in.ReadContext)
		return nil
	}
	answered := map[string]bool{}
	add := func(name string) {
		r.Add(Read{Deadline: time.Unix(10, 0), Run: func(time.Time) { answered[name] = true }, Fail: func() { t.Error(name, "failed") }})
	}
	now := time.Unix(0, 0)
	add("first")
	r.RequestConfirmation(now, submit)
	add("second")
	r.RequestConfirmation(now, submit)
	r.HandleConfirmation(replica.ReadReady{Context: asked[0], Index: 3})
	if r.RunConfirmed(now, 2); len(answered) > 0 {
		t.Fatalf("answered %v before the index was applied", answered)
	}
	if r.RunConfirmed(now, 3); !answered["first"] || answered["second"] {
		t.Fatalf("answered %v after the first confirmation", answered)
	}
	r.RequestConfirmation(now, submit)
	r.Expire(now.Add(readTimeout)) // lost
	r.RequestConfirmation(now, submit)
	r.HandleConfirmation(replica.ReadReady{Context: asked[1], Index: 3}) // late
	if r.RunConfirmed(now, 3); answered["second"] {
		t.Fatal("answered by a confirmation that had timed out")
	}
	r.HandleConfirmation(replica.ReadReady{Context: asked[2], Index: 3})
	if r.RunConfirmed(now, 3); !answered["second"] {
		t.Fatal("the second read was lost")
	}
}

// Guards against losing a read that is added from the Fail callback of another
// read: a leader would never be confirmed.
func TestFailedReadMayBeAddedAgain(t *testing.T) {
	var q Queue
	var asked []uint64
	submit := func(in replica.Input) error {
		asked = append(asked, in.ReadContext)
		return nil
	}
	ran := false
	start := time.Unix(0, 0)
	again := Read{Deadline: start.Add(time.Hour), Run: func(time.Time) { ran = true }, Fail: func() {}}
	q.Add(Read{Deadline: start.Add(time.Second), Run: func(time.Time) {}, Fail: func() { q.Add(again) }})
	q.Expire(start.Add(2 * time.Second))
	q.RequestConfirmation(start.Add(2*time.Second), submit)
	if len(asked) != 1 {
		t.Fatal("the read that was added again is lost")
	}
	q.HandleConfirmation(replica.ReadReady{Context: asked[0], Index: 1})
	if q.RunConfirmed(start, 1); !ran {
		t.Fatal("the read that was added again did not run")
	}
}
