// Package lease decides when a task may be placed again. A task runs under a
// lease that its agent renews. The agent counts the lease from when it sent the
// renewal, control from when it answered, and control adds what the clocks may
// differ by and the time that the worker needs to stop the task. So the task
// has ended before control calls the lease expired.
//
// The package is pure. A Table lives with a leader: a new leader counts every
// lease that it inherits from the start of its own leadership, because it does
// not know when its predecessor answered last.
package lease

import (
	"container/list"
	"time"
)

// Timing are the times of a lease.
type Timing struct {
	TTL              time.Duration // given to the holder
	DriftPercent     int           // of Length, by which two clocks may differ
	ClockGranularity time.Duration // granularity of timers and clocks
	StopTime         time.Duration // from the deadline until the task has ended
}

// DefaultTiming returns the terms of tasks: 3 s, 1% and 50 ms, 500 ms.
func DefaultTiming() Timing {
	return Timing{
		TTL:              3 * time.Second,
		DriftPercent:     1,
		ClockGranularity: 50 * time.Millisecond,
		StopTime:         500 * time.Millisecond,
	}
}

// SafeExpiry returns the time after an answer during which the task may still run.
func (t Timing) SafeExpiry() time.Duration {
	return t.TTL + t.TTL*time.Duration(t.DriftPercent)/100 + t.ClockGranularity + t.StopTime
}

// Deadline returns when a holder must stop: it counts from when it sent the
// renewal that was answered.
func (t Timing) Deadline(sent time.Time) time.Time { return sent.Add(t.TTL) }

// Lease names the lease of one placement.
type Lease struct {
	Task  string
	Epoch uint64
}

// Table holds the leases that a leader has answered.
//
// Invariant: a lease leaves the Table only by Release or when Fence has passed
// since it was answered last.
type Table struct {
	timing Timing
	now    time.Time
	leases map[string]*list.Element
	order  list.List // of held, oldest answer first
}

type entry struct {
	lease      Lease
	answeredAt time.Time
}

// NewTable returns an empty Table.
func NewTable(timing Timing) *Table {
	return &Table{timing: timing, leases: map[string]*list.Element{}}
}

// Len returns the number of leases.
func (t *Table) Len() int { return len(t.leases) }

// Grant starts the lease of a placement, or counts an inherited one from now. A
// lease of a higher epoch replaces one of a lower epoch; an older epoch is
// refused.
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

// Renew counts a lease from now, when control answers its holder. It reports
// false for another epoch than the current one and for a lease that has
// expired; the holder must then stop the task.
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

// Release forgets a lease whose task is known to have ended.
func (t *Table) Release(l Lease) {
	if e := t.leases[l.Task]; e != nil && e.Value.(*entry).lease.Epoch <= l.Epoch {
		t.order.Remove(e)
		delete(t.leases, l.Task)
	}
}

// Expired returns up to limit leases that have expired, without removing them:
// a lease is released when the end of its placement is committed.
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

// monotonic keeps the order of the Table when a clock reading goes backwards.
func (t *Table) monotonic(now time.Time) time.Time {
	if now.After(t.now) {
		t.now = now
	}
	return t.now
}
