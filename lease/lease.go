// Package lease decides when a task may be placed again. A task runs under a
// lease that its agent renews. The agent counts the lease from when it sent the
// renewal; control counts it from when it answered, and adds the clock error
// and the time that the worker needs to stop the task. A task has therefore
// ended before control considers its lease expired.
//
// The package does no I/O; callers pass in the time. Each leader has its own
// Table. A new leader counts every lease that it inherits from the start of its
// own term, because it does not know when its predecessor last answered.
package lease

import (
	"container/list"
	"time"
)

// Timing holds the validity of a lease and the margins to allow for.
type Timing struct {
	TTL              time.Duration // validity for the holder, counted from when it sent the renewal
	DriftPercent     int           // maximum drift between two clocks, in percent of TTL
	ClockGranularity time.Duration // granularity of timers and clocks
	StopTime         time.Duration // maximum time from the deadline until the task has ended
}

// DefaultTiming returns the timing of task leases: 3 s, 1%, 50 ms and 500 ms.
func DefaultTiming() Timing {
	return Timing{
		TTL:              3 * time.Second,
		DriftPercent:     1,
		ClockGranularity: 50 * time.Millisecond,
		StopTime:         500 * time.Millisecond,
	}
}

// SafeExpiry returns how long after answering a renewal control must assume
// that the task may still run.
func (t Timing) SafeExpiry() time.Duration {
	return t.TTL + t.TTL*time.Duration(t.DriftPercent)/100 + t.ClockGranularity + t.StopTime
}

// Deadline returns when a holder must stop its task. It counts from when the
// holder sent the renewal that was answered.
func (t Timing) Deadline(sent time.Time) time.Time { return sent.Add(t.TTL) }

// Lease identifies the lease of one placement of a task.
type Lease struct {
	Task  string
	Epoch uint64
}

// Table holds the leases that a leader has granted or renewed.
//
// Invariant: a lease leaves the Table only by Release, and counts as expired
// only when SafeExpiry has passed since its last answer.
type Table struct {
	timing Timing
	now    time.Time
	leases map[string]*list.Element
	order  list.List // of *entry, oldest answer first
}

type entry struct {
	lease      Lease
	answeredAt time.Time
}

// NewTable returns an empty Table.
func NewTable(timing Timing) *Table {
	return &Table{timing: timing, leases: map[string]*list.Element{}}
}

// Len returns the number of leases, including expired ones.
func (t *Table) Len() int { return len(t.leases) }

// Grant starts the lease of a new placement, or an inherited one, at now. A
// lease with a higher epoch replaces one with a lower epoch; a lower epoch than
// the current one is refused.
func (t *Table) Grant(now time.Time, l Lease) bool {
	now = t.monotonic(now)
	if e := t.leases[l.Task]; e != nil {
		h := e.Value.(*entry)
		if h.lease.Epoch > l.Epoch {
			return false
		}
		h.lease = l
		h.answeredAt = now
		t.order.MoveToBack(e)
		return true
	}
	t.leases[l.Task] = t.order.PushBack(&entry{lease: l, answeredAt: now})
	return true
}

// Renew restarts a lease at now, when control answers its holder. It reports
// false if the epoch is not the current one or the lease has expired; the
// holder must then stop the task.
func (t *Table) Renew(now time.Time, l Lease) bool {
	now = t.monotonic(now)
	e := t.leases[l.Task]
	if e == nil {
		return false
	}
	h := e.Value.(*entry)
	if h.lease.Epoch != l.Epoch || t.isExpired(h, now) {
		return false
	}
	h.answeredAt = now
	t.order.MoveToBack(e)
	return true
}

// Release removes a lease whose task is known to have ended.
func (t *Table) Release(l Lease) {
	if e := t.leases[l.Task]; e != nil && e.Value.(*entry).lease.Epoch <= l.Epoch {
		t.order.Remove(e)
		delete(t.leases, l.Task)
	}
}

// Expired returns up to limit expired leases without removing them: a lease is
// released when the end of its placement has been committed.
func (t *Table) Expired(now time.Time, limit int) []Lease {
	now = t.monotonic(now)
	var expired []Lease
	for e := t.order.Front(); e != nil && len(expired) < limit; e = e.Next() {
		h := e.Value.(*entry)
		if !t.isExpired(h, now) {
			break
		}
		expired = append(expired, h.lease)
	}
	return expired
}

// Has reports whether the Table holds the lease, expired or not.
func (t *Table) Has(l Lease) bool {
	e := t.leases[l.Task]
	return e != nil && e.Value.(*entry).lease.Epoch == l.Epoch
}

func (t *Table) isExpired(h *entry, now time.Time) bool {
	return now.Sub(h.answeredAt) >= t.timing.SafeExpiry()
}

// monotonic returns the latest time seen, so that the Table stays ordered when
// a clock reading goes backwards.
func (t *Table) monotonic(now time.Time) time.Time {
	if now.After(t.now) {
		t.now = now
	}
	return t.now
}
