package quarantine

import (
	"slices"
	"time"
)

// Kind is the kind of a subject.
type Kind string

// Kinds of subjects.
const (
	Job    Kind = "job"
	Worker Kind = "worker"
)

// State is the quarantine state of a subject.
type State string

// States of a subject.
const (
	Clear       State = "clear"
	Quarantined State = "quarantined"
	Probation   State = "probation"
)

// Options configure a Matrix.
type Options struct {
	Threshold          float64       // fault probability from which a subject is quarantined
	MinCounterparts    int           // distinct counterparts that a subject must have failed with
	Window             time.Duration // age beyond which an outcome no longer counts
	InitialTerm        time.Duration // of the first quarantine; doubles with each further one
	MaxTerm            time.Duration // bound on the doubled term
	ProbationSuccesses int           // successes that end the probation of a worker
	MaxWorkerShare     float64       // largest share of all workers that is quarantined at once
	MaxCells           int           // outcomes that are kept; the oldest are dropped first
}

// withDefaults fills in options that are not set. Three counterparts are the
// fewest that distinguish a pattern from a coincidence. If more than a fifth of
// the workers look faulty, the cause is more likely shared by the jobs, and
// quarantining further workers would only cost capacity.
func (o Options) withDefaults() Options {
	setDefault(&o.Threshold, 0.6)
	setDefault(&o.MinCounterparts, 3)
	setDefault(&o.Window, time.Hour)
	setDefault(&o.InitialTerm, 10*time.Minute)
	setDefault(&o.MaxTerm, 4*time.Hour)
	setDefault(&o.ProbationSuccesses, 3)
	setDefault(&o.MaxWorkerShare, 0.2)
	setDefault(&o.MaxCells, 20_000)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Outcome is the result of one attempt of a job on a worker.
type Outcome struct {
	Job    string
	Worker string
	Failed bool
	At     time.Time
}

// Entry is a subject that is quarantined or on probation.
type Entry struct {
	Kind   Kind
	Name   string
	State  State
	Reason string
	Since  time.Time
}

// cellKey identifies a job and a worker that ran it.
type cellKey struct{ job, worker string }

// cell holds the latest outcome of a job on a worker.
type cell struct {
	cellKey
	failed bool
	at     time.Time
}

// Matrix holds the recent outcomes of jobs on workers, and the state of each job
// and worker.
type Matrix struct {
	options            Options
	cells              map[cellKey]*cell
	cellsByAge         []*cell // in the order in which the cells were created
	jobs               map[string]*subject
	workers            map[string]*subject
	quarantinedWorkers int
	workerCount        int  // all workers; 0 when unknown
	dirty              bool // a cell has changed since the last Evaluate
}

// subject is a job or a worker.
type subject struct {
	kind               Kind
	name               string
	cells              map[cellKey]*cell
	cleanSuccesses     float64 // recent successes of jobs that never failed; only for workers
	faultProbability   float64
	state              State
	reason             string
	since              time.Time
	termEnd            time.Time
	quarantineCount    int // quarantines since the subject was last clear
	probationSuccesses int
}

// New returns an empty matrix.
func New(o Options) *Matrix {
	return &Matrix{
		options: o.withDefaults(),
		cells:   map[cellKey]*cell{},
		jobs:    map[string]*subject{},
		workers: map[string]*subject{},
	}
}

// SetWorkerCount sets the number of all workers, which bounds the number of
// quarantined ones.
func (m *Matrix) SetWorkerCount(count int) { m.workerCount = count }

const (
	maxCleanSuccesses = 10 // bound on the successes that count in favour of a worker
	// cleanRetention is the share of them that remains after a failure, so that
	// a worker that becomes faulty is detected in spite of earlier successes.
	cleanRetention = 0.7
)

// Record adds an outcome. Only jobs that have failed have cells in the matrix;
// the successes of other jobs are only counted for the worker.
func (m *Matrix) Record(o Outcome) {
	key := cellKey{o.Job, o.Worker}
	worker := m.subject(m.workers, Worker, o.Worker)
	job := m.jobs[o.Job]
	if o.Failed || (job != nil && len(job.cells) > 0) {
		m.recordCell(key, worker, o)
	} else {
		worker.cleanSuccesses = min(worker.cleanSuccesses+1, maxCleanSuccesses)
	}
	if !o.Failed {
		worker.recordProbationSuccess(m)
		if job != nil {
			job.recordProbationSuccess(m)
		}
		return
	}
	m.recordProbationFailure(m.jobs[o.Job], worker, o)
}

func (m *Matrix) recordCell(key cellKey, worker *subject, o Outcome) {
	c := m.cells[key]
	if c == nil {
		c = &cell{cellKey: key}
		m.cells[key] = c
		m.cellsByAge = append(m.cellsByAge, c)
		worker.cells[key] = c
		m.subject(m.jobs, Job, o.Job).cells[key] = c
		if o.Failed {
			worker.cleanSuccesses *= cleanRetention
		}
	}
	c.failed, c.at = o.Failed, o.At
	m.dirty = true
}

// recordProbationFailure quarantines a subject on probation again after a
// failure. A failure with a counterpart that is likely faulty does not count.
func (m *Matrix) recordProbationFailure(job, worker *subject, o Outcome) {
	if worker.state == Probation && job.faultProbability < m.options.Threshold {
		m.quarantine(worker, o.At, "failed job "+o.Job+" on probation")
	}
	if job.state == Probation && worker.faultProbability < m.options.Threshold {
		m.quarantine(job, o.At, "failed on worker "+o.Worker+" on probation")
	}
}

func (m *Matrix) subject(all map[string]*subject, kind Kind, name string) *subject {
	s := all[name]
	if s == nil {
		s = &subject{kind: kind, name: name, cells: map[cellKey]*cell{}, state: Clear}
		all[name] = s
	}
	return s
}

// Forget drops a job that has ended or a worker that was removed, with its
// outcomes.
func (m *Matrix) Forget(kind Kind, name string) {
	s := m.find(kind, name)
	if s == nil {
		return
	}
	if kind == Worker && s.state == Quarantined {
		m.quarantinedWorkers--
	}
	m.dropCells(s)
	if kind == Worker {
		delete(m.workers, name)
		return
	}
	delete(m.jobs, name)
}

func (m *Matrix) dropCells(s *subject) {
	for key := range s.cells {
		m.dropCell(key)
	}
}

func (m *Matrix) dropCell(key cellKey) {
	delete(m.cells, key)
	if w := m.workers[key.worker]; w != nil {
		delete(w.cells, key)
	}
	if j := m.jobs[key.job]; j != nil {
		delete(j.cells, key)
	}
	m.dirty = true
}

// expire drops the outcomes that are older than the window or in excess of
// MaxCells.
func (m *Matrix) expire(now time.Time) {
	kept := m.cellsByAge[:0]
	excess := len(m.cellsByAge) - m.options.MaxCells
	for i, c := range m.cellsByAge {
		if m.cells[c.cellKey] != c {
			continue
		}
		if i < excess || now.Sub(c.at) > m.options.Window {
			m.dropCell(c.cellKey)
			m.dropIfIdle(c.job)
			continue
		}
		kept = append(kept, c)
	}
	clear(m.cellsByAge[len(kept):])
	m.cellsByAge = kept
}

// dropIfIdle drops a job that has no cells and is neither quarantined nor on
// probation.
func (m *Matrix) dropIfIdle(name string) {
	if j := m.jobs[name]; j != nil && j.state == Clear && len(j.cells) == 0 {
		delete(m.jobs, name)
	}
}

// Status returns the state of a subject and the reason for it.
func (m *Matrix) Status(kind Kind, name string) Entry {
	if s := m.find(kind, name); s != nil {
		return s.entry()
	}
	return Entry{Kind: kind, Name: name, State: Clear}
}

// Entries lists the subjects that are quarantined or on probation.
func (m *Matrix) Entries() []Entry {
	var entries []Entry
	for _, all := range []map[string]*subject{m.jobs, m.workers} {
		for _, s := range all {
			if s.state != Clear {
				entries = append(entries, s.entry())
			}
		}
	}
	slices.SortFunc(entries, compareEntries)
	return entries
}

func (m *Matrix) find(kind Kind, name string) *subject {
	if kind == Worker {
		return m.workers[name]
	}
	return m.jobs[name]
}

func (s *subject) entry() Entry {
	return Entry{Kind: s.kind, Name: s.name, State: s.state, Reason: s.reason, Since: s.since}
}

func compareEntries(a, b Entry) int {
	if a.Kind != b.Kind {
		return compare(a.Kind, b.Kind)
	}
	return compare(a.Name, b.Name)
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
