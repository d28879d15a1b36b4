package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// cancelBound is how long a task may still run after the cancellation of its job
	// was confirmed, in the absence of faults.
	cancelBound = 3 * time.Second
	// lastingPayload marks tasks that run until they are stopped.
	lastingPayload = "lasting"
)

// submittedJob is what its caller knows about a job.
type submittedJob struct {
	id          string
	payload     string
	accepted    bool
	refused     bool // every attempt to submit it was refused
	cancelledAt time.Time
	lasting     int // tasks that run until the end of the run
}

// oracle records what callers and targets observe and collects the violations of
// what the system guarantees.
type oracle struct {
	mu              sync.Mutex
	jobs            map[string]*submittedJob
	running         map[string]string // by task: the target and run that execute it at present
	done            map[string]bool   // tasks whose outcome "done" was acknowledged
	violations      []string
	starts          int
	manifestVersion uint64 // highest confirmed version
	confirmer       string // address of the member that confirmed it
}

func newOracle() *oracle {
	return &oracle{jobs: map[string]*submittedJob{}, running: map[string]string{}, done: map[string]bool{}}
}

// addViolationLocked adds a violation. The caller holds the lock.
func (o *oracle) addViolationLocked(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf("%s ", time.Now().Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

// checkStart checks and records the start of a run.
func (o *oracle) checkStart(target string, w *taskRun, payload string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts++
	id, _, _ := strings.Cut(w.task, ".")
	j := o.jobs[id]
	switch {
	case j == nil:
		o.addViolationLocked("%s run %d starts on %s but its job was never submitted", w.task, w.run, target)
	case j.payload != payload:
		o.addViolationLocked("%s run %d starts on %s with another payload", w.task, w.run, target)
	case j.refused:
		o.addViolationLocked("%s run %d starts on %s although every attempt to submit its job was refused", w.task, w.run, target)
	}
	if other, runs := o.running[w.task]; runs {
		o.addViolationLocked("%s run %d starts on %s while %s executes it", w.task, w.run, target, other)
	}
	if o.done[w.task] {
		o.addViolationLocked("%s run %d starts on %s after it was done", w.task, w.run, target)
	}
	o.running[w.task] = fmt.Sprintf("%s run %d", target, w.run)
}

func (o *oracle) recordEnd(target string, w *taskRun, _ string) { o.recordStopped(target, w) }

// recordStopped records that a run no longer executes.
func (o *oracle) recordStopped(target string, w *taskRun) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[w.task] == fmt.Sprintf("%s run %d", target, w.run) {
		delete(o.running, w.task)
	}
}

// recordAcknowledged records that the system has acknowledged the end of a run.
func (o *oracle) recordAcknowledged(e endRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e.outcome == "done" && !e.lapsed {
		o.done[e.task] = true
	}
}

// checkManifest checks that a member returned at least the manifest version that
// was confirmed before the read.
func (o *oracle) checkManifest(confirmedBefore, version uint64, member string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version < confirmedBefore {
		o.addViolationLocked("%s returned manifest %d after %d was confirmed", member, version, confirmedBefore)
	}
}

func (o *oracle) confirmedManifest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.manifestVersion
}

// confirmManifest records that the member at the address has confirmed the version.
func (o *oracle) confirmManifest(version uint64, ip string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version > o.manifestVersion {
		o.manifestVersion, o.confirmer = version, ip
	}
}

// newestConfirmer returns the address of the member that has confirmed the newest
// manifest.
func (o *oracle) newestConfirmer() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmer
}

// updateJob changes what is known about a job.
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

// checkCancelled reports the tasks of cancelled jobs that still run. It is called
// after the faults have ended.
func (o *oracle) checkCancelled() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for task, where := range o.running {
		id, _, _ := strings.Cut(task, ".")
		if j := o.jobs[id]; !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > cancelBound {
			o.addViolationLocked("%s still runs as %s, %s after its job was cancelled", task, where, time.Since(j.cancelledAt))
		}
	}
}

// lastingTasksAway returns the number of lasting tasks of accepted jobs that do not
// run.
func (o *oracle) lastingTasksAway() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	away := 0
	for _, j := range o.jobs {
		if !j.accepted || !j.cancelledAt.IsZero() {
			continue
		}
		for i := range j.lasting {
			if _, runs := o.running[fmt.Sprintf("%s.0.0.%d", j.id, i)]; !runs {
				away++
			}
		}
	}
	return away
}

// listViolations returns the violations found so far.
func (o *oracle) listViolations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.violations)
}

// counts returns the numbers of jobs and of starts so far.
func (o *oracle) counts() (jobs, starts int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.jobs), o.starts
}
