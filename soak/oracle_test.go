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
type submittedJob struct {
	id          string
	payload     string
	accepted    bool
	refused     bool // every attempt was answered "not accepted"
	cancelledAt time.Time
}

// oracle records what callers and targets see, and notes what breaks a promise.
type oracle struct {
	mu              sync.Mutex
	jobs            map[string]*submittedJob
	running         map[string]string // task -> target and run that works on it now
	done            map[string]bool   // tasks whose end "done" was taken note of
	violations      []string
	starts          int
	manifestVersion uint64 // highest manifest that was confirmed
}

func newOracle() *oracle {
	return &oracle{jobs: map[string]*submittedJob{}, running: map[string]string{}, done: map[string]bool{}}
}

func (o *oracle) addViolationLocked(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf("%s ", time.Now().Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

// started checks a start against everything that is known.
func (o *oracle) checkStart(target string, w *taskRun, payload string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts++
	id, _, _ := strings.Cut(w.task, ".")
	j := o.jobs[id]
	switch {
	case j == nil:
		o.addViolationLocked("%s run %d starts on %s and nobody submitted its job", w.task, w.run, target)
	case j.payload != payload:
		o.addViolationLocked("%s run %d starts on %s with another payload", w.task, w.run, target)
	case j.refused:
		o.addViolationLocked("%s run %d starts on %s although every attempt to submit its job was refused", w.task, w.run, target)
	}
	if other, runs := o.running[w.task]; runs {
		o.addViolationLocked("%s run %d starts on %s while %s works on it", w.task, w.run, target, other)
	}
	if o.done[w.task] {
		o.addViolationLocked("%s run %d starts on %s after it was done", w.task, w.run, target)
	}
	o.running[w.task] = fmt.Sprintf("%s run %d", target, w.run)
}

func (o *oracle) recordEnd(target string, w *taskRun, _ string) { o.recordStopped(target, w) }

// gone records that a run works no more.
func (o *oracle) recordStopped(target string, w *taskRun) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[w.task] == fmt.Sprintf("%s run %d", target, w.run) {
		delete(o.running, w.task)
	}
}

// noted records that the system has taken note of an end.
func (o *oracle) recordAcknowledged(e endRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e.outcome == "done" {
		o.done[e.task] = true
	}
}

// readConfig checks a manifest that was asked for after an earlier one was
// confirmed.
func (o *oracle) checkManifest(asked, got uint64, member string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if got < asked {
		o.addViolationLocked("%s answers with manifest %d, asked after %d was confirmed", member, got, asked)
	}
}

func (o *oracle) confirmedManifest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.manifestVersion
}

func (o *oracle) confirmManifest(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.manifestVersion = max(o.manifestVersion, version)
}

// update changes what is known about a job.
func (o *oracle) updateJob(id string, change func(*submittedJob)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(o.jobs[id])
}

func (o *oracle) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolationLocked(format, args...)
}

// checkCanceled notes the tasks of canceled jobs that still run, long after the
// last fault.
func (o *oracle) checkCancelled() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for task, where := range o.running {
		id, _, _ := strings.Cut(task, ".")
		if j := o.jobs[id]; !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > cancelBound {
			o.addViolationLocked("%s still runs as %s, %s after its job was canceled", task, where, time.Since(j.cancelledAt))
		}
	}
}

// report returns what was broken.
func (o *oracle) listViolations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.violations
}
