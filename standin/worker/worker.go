// Package worker implements a stand-in for a worker of the platform. It runs
// simulated tasks under leases, reports usage with a lag, and records the start and
// end of each task, so tests can check the guarantees of the system.
package worker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ibispier/ibispier/bootclock"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/workerapi"
)

// clockInterval is how often the simulated tasks advance.
const clockInterval = 10 * time.Millisecond

// Options configure a stand-in worker.
type Options struct {
	ID       string
	Zone     string
	Capacity controlapi.Resources
	UsageLag time.Duration
	FailAll  bool // let every task fail right after its start
	// Slowdown returns the factor by which a task of class runs slower beside the
	// running tasks of the given classes; nil means no slowdown.
	Slowdown          func(class string, neighbours []string) float64
	IgnoreLeaseExpiry bool // do not enforce lease deadlines, to test that the agent does
}

// Payload is the payload of a simulated task.
type Payload struct {
	WorkMillis int64  `json:"work_ms"` // 0 for a watcher, which never completes
	Fail       string `json:"fail,omitempty"`
}

// EventKind is the kind of an event.
type EventKind string

// Kinds of events.
const (
	EventStart EventKind = "start"
	EventEnd   EventKind = "end"
)

// Event records the start or the end of a task.
type Event struct {
	Kind     EventKind       `json:"kind"`
	Worker   string          `json:"worker"`
	Zone     string          `json:"zone"`
	Task     string          `json:"task"`
	Epoch    uint64          `json:"epoch"`
	State    workerapi.State `json:"state"`
	Progress int64           `json:"progress_ms"`
	At       int64           `json:"at"` // boot clock, nanoseconds
}

// Worker is a stand-in worker. It is a supervise.Duty.
//
// A mutex guards the state because net/http runs the handlers on its own
// goroutines.
type Worker struct {
	options Options
	socket  net.Listener

	mu            sync.Mutex
	agentEpoch    uint64
	tasks         map[string]*task
	events        []Event
	overcommitted bool
}

// New returns a worker that serves on socket.
func New(socket net.Listener, o Options) *Worker {
	return &Worker{options: o, socket: socket, tasks: map[string]*task{}}
}

// Run serves the HTTP interface until ctx ends. RunClock advances the tasks.
func (w *Worker) Run(ctx context.Context) error {
	server := &http.Server{Handler: w.handler()}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(w.socket); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// RunClock is the duty that advances the tasks until ctx ends. It runs beside Run.
func (w *Worker) RunClock(ctx context.Context) error {
	ticker := time.NewTicker(clockInterval)
	defer ticker.Stop()
	last := bootclock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := bootclock.Now()
			w.advance(now, now-last)
			last = now
		}
	}
}

// Events returns a copy of the events.
func (w *Worker) Events() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Event(nil), w.events...)
}

// Overcommitted reports whether the running tasks have ever exceeded the capacity.
func (w *Worker) Overcommitted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overcommitted
}

func (w *Worker) advance(now, elapsed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	classes := w.runningClasses()
	for _, t := range w.tasks {
		if t.State != workerapi.Running {
			continue
		}
		t.advance(elapsed, w.slowdown(t.Class, classes))
		switch {
		case int64(now) >= t.Deadline && !w.options.IgnoreLeaseExpiry:
			w.end(t, workerapi.Stopped, "lease expired")
		case t.payload.Fail != "" || w.options.FailAll:
			w.end(t, workerapi.Failed, "task failed: "+t.payload.Fail)
		case t.finished():
			w.end(t, workerapi.Completed, "")
		}
	}
}

func (w *Worker) runningClasses() []string {
	var classes []string
	for _, t := range w.tasks {
		if t.State == workerapi.Running {
			classes = append(classes, t.Class)
		}
	}
	return classes
}

func (w *Worker) slowdown(class string, neighbours []string) float64 {
	if w.options.Slowdown == nil {
		return 1
	}
	return w.options.Slowdown(class, neighbours)
}

func (w *Worker) end(t *task, state workerapi.State, reason string) {
	t.State = state
	t.Reason = reason
	w.record(EventEnd, t)
}

func (w *Worker) record(kind EventKind, t *task) {
	w.events = append(w.events, Event{
		Kind:     kind,
		Worker:   w.options.ID,
		Zone:     w.options.Zone,
		Task:     t.ID,
		Epoch:    t.Epoch,
		State:    t.State,
		Progress: t.progress.Milliseconds(),
		At:       int64(bootclock.Now()),
	})
}

// recordOvercommit notes if the running tasks exceed the capacity. The worker does
// not refuse such tasks, so tests can detect a scheduler that overcommits.
func (w *Worker) recordOvercommit() {
	var sum controlapi.Resources
	for _, t := range w.tasks {
		if t.State == workerapi.Running {
			sum = sum.Plus(t.Size)
		}
	}
	w.overcommitted = w.overcommitted || !sum.Fits(w.options.Capacity)
}
