package supervise

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"
)

var errTest = errors.New("test failure")

// failFirst returns a duty that counts its runs, fails in the given number of
// first runs and then waits for its context.
func failFirst(runs *atomic.Int32, times int32) Duty {
	return Func(func(ctx context.Context) error {
		if runs.Add(1) <= times {
			return errTest
		}
		<-ctx.Done()
		return nil
	})
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 10 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a failed duty that is not restarted, or whose siblings are
// restarted with it under OneForOne.
func TestOneForOneRestartsOnlyTheFailedChild(t *testing.T) {
	var failed, healthy atomic.Int32
	s := New("test", Policy{RestartDelay: time.Millisecond}, nil)
	s.Add("failing", failFirst(&failed, 2))
	s.Add("healthy", failFirst(&healthy, 0))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	waitFor(t, func() bool { return failed.Load() == 3 })
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if healthy.Load() != 1 {
		t.Fatalf("healthy child ran %d times, want 1", healthy.Load())
	}
}

// Guards against children with shared state of which some keep running on stale
// state after another has failed.
func TestOneForAllRestartsEveryChild(t *testing.T) {
	var failed, sibling atomic.Int32
	s := New("test", Policy{Strategy: OneForAll, RestartDelay: time.Millisecond}, nil)
	s.Add("failing", failFirst(&failed, 1))
	s.Add("sibling", failFirst(&sibling, 0))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	waitFor(t, func() bool { return failed.Load() == 2 && sibling.Load() == 2 })
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Guards against a process that restarts a duty forever although it always fails.
func TestIntensityEscalates(t *testing.T) {
	var runs atomic.Int32
	s := New("test", Policy{MaxFailures: 3, RestartDelay: time.Millisecond}, nil)
	s.Add("failing", failFirst(&runs, 1000))
	if err := s.Run(context.Background()); !errors.Is(err, errTest) {
		t.Fatalf("got %v, want %v", err, errTest)
	}
	if runs.Load() != 4 {
		t.Fatalf("child ran %d times, want 4", runs.Load())
	}
}

// Guards against a fatal error, such as a failed fsync, being retried.
func TestFatalErrorEndsTheTree(t *testing.T) {
	var runs atomic.Int32
	inner := New("inner", Policy{MaxFailures: Unlimited}, nil)
	inner.Add("fatal", Func(func(context.Context) error {
		runs.Add(1)
		return Fatal(errTest)
	}))
	root := New("root", Policy{}, nil)
	root.Add("inner", inner)
	if err := root.Run(context.Background()); !IsFatal(err) || runs.Load() != 1 {
		t.Fatalf("got %v after %d runs, want a fatal error after 1", err, runs.Load())
	}
}

// Guards against a panic that ends the process instead of the duty.
func TestPanicIsAFailure(t *testing.T) {
	s := New("test", Policy{MaxFailures: 1, RestartDelay: time.Millisecond}, nil)
	s.Add("panics", Func(func(context.Context) error { panic("test") }))
	if err := s.Run(context.Background()); err == nil {
		t.Fatal("no error after repeated panics")
	}
}

// Guards against children that keep running after a sibling has ended, such as
// the sender of a link after its receiver.
func TestEndTogether(t *testing.T) {
	var healthy atomic.Int32
	s := New("test", Policy{Strategy: EndTogether}, nil)
	s.Add("healthy", failFirst(&healthy, 0))
	s.Add("ends", Func(func(context.Context) error { return nil }))
	if err := s.Run(context.Background()); err == nil {
		t.Fatal("supervisor did not end with an error")
	}
}
