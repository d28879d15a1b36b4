package ring

import (
	"context"
	"sync"
	"testing"
	"time"
)

// Guards against a ring that grows beyond its capacity or blocks in Offer.
func TestOfferRefusesWhenFull(t *testing.T) {
	r := New[int]("test", 2)
	for i := range 2 {
		if err := r.Offer(i); err != nil {
			t.Fatalf("offer %d: %v", i, err)
		}
	}
	if err := r.Offer(2); err != ErrFull {
		t.Fatalf("offer to a full ring: got %v, want %v", err, ErrFull)
	}
	if s := r.Stats(); s.Depth != 2 || s.Refused != 1 || s.Accepted != 2 {
		t.Fatalf("unexpected stats %+v", s)
	}
}

// Guards against PutLatest dropping the newest element.
func TestPutLatestDropsOldest(t *testing.T) {
	r := New[int]("test", 2)
	for i := range 5 {
		if err := r.PutLatest(i); err != nil {
			t.Fatal(err)
		}
	}
	if got := r.Drain(nil, 10); len(got) != 2 || got[0] != 3 || got[1] != 4 {
		t.Fatalf("got %v, want [3 4]", got)
	}
}

// Guards against a producer that blocks forever on a full ring.
func TestPutEndsAtDeadlineAndAtClose(t *testing.T) {
	r := New[int]("test", 1)
	_ = r.Offer(0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if err := r.Put(ctx, 1); err != ErrFull {
		t.Fatalf("put at deadline: got %v, want %v", err, ErrFull)
	}
	time.AfterFunc(time.Millisecond, r.Close)
	if err := r.Put(context.Background(), 1); err != ErrClosed {
		t.Fatalf("put at close: got %v, want %v", err, ErrClosed)
	}
}

// Guards against elements lost or duplicated between producers and consumer.
func TestConcurrentProducers(t *testing.T) {
	const producers, each = 8, 2000
	r := New[int]("test", 16)
	var wg sync.WaitGroup
	for p := range producers {
		wg.Go(func() {
			for i := range each {
				if err := r.Put(context.Background(), p*each+i); err != nil {
					t.Errorf("put: %v", err)
				}
			}
		})
	}
	seen := make([]bool, producers*each)
	for range producers * each {
		v, err := r.Take(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if seen[v] {
			t.Fatalf("element %d twice", v)
		}
		seen[v] = true
	}
	wg.Wait()
	r.Close()
	if _, err := r.Take(context.Background()); err != ErrClosed {
		t.Fatalf("take after close: got %v, want %v", err, ErrClosed)
	}
}
