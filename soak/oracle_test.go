package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// cancelBound is how long after the confirmation of a cancellation a task may
	// still run, while no fault is near.
	cancelBound = 3 * time.Second
	// lastingPayload marks tasks that run until they are stopped.
	lastingPayload = "lasting"
)

// submitted is what a caller knows about a job.
type submitted struct {
	id       string
	payload  string
	accepted bool
	refused  bool // every attempt was answered "not accepted"
	canceled time.Time
}

// oracle records what callers and targets see, and notes what breaks a promise.
type oracle struct {
	mu      sync.Mutex
	jobs    map[string]*submitted
	live    map[string]string // task -> target and run that works on it now
	done    map[string]bool   // tasks whose end "done" was taken note of
	broken  []string
	starts  int
	version uint64 // highest manifest that was confirmed
}

func newOracle() *oracle {
	return &oracle{jobs: map[string]*submitted{}, live: map[string]string{}, done: map[string]bool{}}
}

func (o *oracle) breaks(format string, args ...any) {
	o.broken = append(o.broken, fmt.Sprintf("%s ", time.Now().Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

// started checks a start against everything that is known.
func (o *oracle) started(target string, w *work, payload string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts++
	id, _, _ := strings.Cut(w.task, ".")
	j := o.jobs[id]
	switch {
	case j == nil:
		o.breaks("%s run %d starts on %s and nobody submitted its job", w.task, w.run, target)
	case j.payload != payload:
		o.breaks("%s run %d starts on %s with another payload", w.task, w.run, target)
	case j.refused:
		o.breaks("%s run %d starts on %s although every attempt to submit its job was refused", w.task, w.run, target)
	}
	if other, runs := o.live[w.task]; runs {
		o.breaks("%s run %d starts on %s while %s works on it", w.task, w.run, target, other)
	}
	if o.done[w.task] {
		o.breaks("%s run %d starts on %s after it was done", w.task, w.run, target)
	}
	o.live[w.task] = fmt.Sprintf("%s run %d", target, w.run)
}

func (o *oracle) ended(target string, w *work, _ string) { o.gone(target, w) }

// gone records that a run works no more.
func (o *oracle) gone(target string, w *work) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.live[w.task] == fmt.Sprintf("%s run %d", target, w.run) {
		delete(o.live, w.task)
	}
}

// noted records that the system has taken note of an end.
func (o *oracle) noted(e ended) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e.outcome == "done" {
		o.done[e.task] = true
	}
}

// readConfig checks a manifest that was asked for after an earlier one was
// confirmed.
func (o *oracle) readConfig(asked, got uint64, member string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if got < asked {
		o.breaks("%s answers with manifest %d, asked after %d was confirmed", member, got, asked)
	}
}

func (o *oracle) confirmed() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

func (o *oracle) confirm(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version = max(o.version, version)
}

// update changes what is known about a job.
func (o *oracle) update(id string, change func(*submitted)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(o.jobs[id])
}

func (o *oracle) fail(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.breaks(format, args...)
}

// checkCanceled notes the tasks of canceled jobs that still run, long after the
// last fault.
func (o *oracle) checkCanceled() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for task, where := range o.live {
		id, _, _ := strings.Cut(task, ".")
		if j := o.jobs[id]; !j.canceled.IsZero() && time.Since(j.canceled) > cancelBound {
			o.breaks("%s still runs as %s, %s after its job was canceled", task, where, time.Since(j.canceled))
		}
	}
}

// report returns what was broken.
func (o *oracle) report() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.broken
}
