// Package ring provides bounded queues that connect the duties of a process.
//
// A Ring has a fixed capacity. A producer chooses by the method that it calls
// what happens when the ring is full: Offer returns an error, Put blocks until
// its context ends, and PutLatest drops the oldest element. Producers and
// consumers that wait are parked; none spins.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("ring")

// Errors returned by the methods that add or take elements.
var (
	ErrFull   = Error.New("full")
	ErrClosed = Error.New("closed")
)

// Ring is a bounded queue of T for any number of producers and one consumer.
//
// Invariant: the number of queued elements never exceeds the capacity.
type Ring[T any] struct {
	name      string
	queue     chan T
	closed    chan struct{}
	closeOnce sync.Once
	stats     counters
}

type counters struct {
	accepted     atomic.Int64
	refused      atomic.Int64
	dropped      atomic.Int64
	blockedNanos atomic.Int64
}

// Stats is a snapshot of the counters of a ring.
type Stats struct {
	Name     string
	Depth    int
	Capacity int
	Accepted int64         // elements that entered the ring
	Refused  int64         // elements refused because the ring was full or closed
	Dropped  int64         // oldest elements dropped by PutLatest
	Blocked  time.Duration // total time producers waited in Put
}

// New returns a ring with the given capacity. The name appears in metrics.
func New[T any](name string, capacity int) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity of " + name + " must be at least 1")
	}
	return &Ring[T]{
		name:   name,
		queue:  make(chan T, capacity),
		closed: make(chan struct{}),
	}
}

// Offer adds v or returns ErrFull without waiting.
func (r *Ring[T]) Offer(v T) error {
	if r.isClosed() {
		r.stats.refused.Add(1)
		return ErrClosed
	}
	select {
	case r.queue <- v:
		r.stats.accepted.Add(1)
		return nil
	default:
		r.stats.refused.Add(1)
		return ErrFull
	}
}

// Put adds v and waits for room. It returns ErrFull when ctx ends and ErrClosed
// when the ring is closed before there is room.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	if err := r.Offer(v); err != ErrFull {
		return err
	}
	start := time.Now()
	defer func() { r.stats.blockedNanos.Add(int64(time.Since(start))) }()
	select {
	case r.queue <- v:
		r.stats.accepted.Add(1)
		return nil
	case <-r.closed:
		return ErrClosed
	case <-ctx.Done():
		return ErrFull
	}
}

// PutWithin is Put with a timeout.
func (r *Ring[T]) PutWithin(ctx context.Context, timeout time.Duration, v T) error {
	if err := r.Offer(v); err != ErrFull {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.Put(ctx, v)
}

// PutLatest adds v and drops the oldest elements while the ring is full.
func (r *Ring[T]) PutLatest(v T) error {
	for {
		if err := r.Offer(v); err != ErrFull {
			return err
		}
		select {
		case <-r.queue:
			r.stats.dropped.Add(1)
		default:
		}
	}
}

// C returns the channel that the consumer receives from, for use in a select
// together with timers and cancellation.
func (r *Ring[T]) C() <-chan T { return r.queue }

// Take waits for one element. It returns ErrClosed once the ring is closed and
// empty, and the error of ctx when ctx ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	var zero T
	select {
	case v := <-r.queue:
		return v, nil
	default:
	}
	select {
	case v := <-r.queue:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-r.closed:
		return r.takeRemaining()
	}
}

func (r *Ring[T]) takeRemaining() (T, error) {
	select {
	case v := <-r.queue:
		return v, nil
	default:
		var zero T
		return zero, ErrClosed
	}
}

// Drain appends to batch the elements that are queued now, up to limit in
// total, without waiting.
func (r *Ring[T]) Drain(batch []T, limit int) []T {
	for len(batch) < limit {
		select {
		case v := <-r.queue:
			batch = append(batch, v)
		default:
			return batch
		}
	}
	return batch
}

// Close makes all later Offer and Put calls fail. Queued elements can still be
// taken.
func (r *Ring[T]) Close() {
	r.closeOnce.Do(func() { close(r.closed) })
}

// Done is closed when the ring is closed.
func (r *Ring[T]) Done() <-chan struct{} { return r.closed }

// Depth returns the number of queued elements.
func (r *Ring[T]) Depth() int { return len(r.queue) }

// Stats returns a snapshot of the counters.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Name:     r.name,
		Depth:    len(r.queue),
		Capacity: cap(r.queue),
		Accepted: r.stats.accepted.Load(),
		Refused:  r.stats.refused.Load(),
		Dropped:  r.stats.dropped.Load(),
		Blocked:  time.Duration(r.stats.blockedNanos.Load()),
	}
}

func (r *Ring[T]) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}
