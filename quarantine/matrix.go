package quarantine

import (
	"slices"
	"time"
)

// Kind tells jobs and workers apart.
type Kind string

// Kinds.
const (
	Job    Kind = "job"
	Worker Kind = "worker"
)

// State is the state of a subject.
type State string

// States.
const (
	Clear       State = "clear"
	Quarantined State = "quarantined"
	Probation   State = "probation"
)

// Options configure a Matrix.
type Options struct {
	Threshold          float64       // fault probability that sets a subject aside
	MinCounterparts    int           // counterparts it must have failed with
	Window             time.Duration // after which a failure no longer counts
	InitialTerm        time.Duration // first quarantine; doubles with every relapse
	MaxTerm            time.Duration
	ProbationSuccesses int     // successes in a row that end the probation of a worker
	MaxWorkerShare     float64 // largest share of the workers that is quarantined
	MaxCells           int     // failures that are kept
}

// withDefaults: three counterparts are the fewest that tell a pattern from a
// coincidence. When more than a fifth of the workers looks faulty, the cause is
// more likely shared by the jobs, and setting workers aside would cost capacity.
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

// Outcome is the end of one attempt of a job on a worker.
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

type cellKey struct{ job, worker string }

type cell struct {
	cellKey
	failed bool // the last outcome
	at     time.Time
}

// Matrix holds the recent outcomes and the subjects that are quarantined.
type Matrix struct {
	options            Options
	cells              map[cellKey]*cell
	cellsByAge         []*cell // by the time of the first failure
	jobs               map[string]*subject
	workers            map[string]*subject
	quarantinedWorkers int // workers in quarantine
	workerCount        int // workers in total
	dirty              bool
}

// subject is a job or a worker.
type subject struct {
	kind               Kind
	name               string
	cells              map[cellKey]*cell
	cleanSuccesses     float64 // recent successes of jobs without failures; only for workers
	faultProbability   float64
	state              State
	reason             string
	since              time.Time
	termEnd            time.Time
	quarantineCount    int
	probationSuccesses int // successes in probation
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

// SetWorkerCount sets the number of workers, for the bound on those quarantined.
func (m *Matrix) SetWorkerCount(count int) { m.workerCount = count }

const (
	maxCleanSuccesses = 10  // successes that a worker is remembered for
	cleanRetention    = 0.7 // share of them that a failure leaves, so that a worker that turns faulty is found
)

// Record adds an outcome. Only a job that has failed gets a row; successes of
// other jobs count for the worker alone.
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

// recordProbationFailure sends a subject on probation back after a failure. A failure that the
// counterpart explains does not count.
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

// Forget drops a job that has ended or a worker that is gone.
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

// expire drops the outcomes beyond the window and beyond the limit.
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

// dropIfIdle drops a job without failures that is not quarantined.
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
