package quarantine

import (
	"fmt"
	"slices"
	"time"
)

// The prior of the fault probability is Beta(0.1, 0.9): one subject in ten is
// faulty, and a single observation outweighs that.
const (
	priorFaulty = 0.1
	priorTotal  = 1.0
	rounds      = 25
)

// Evaluate explains the matrix anew when it has changed, and returns the
// subjects whose state changed.
func (m *Matrix) Evaluate(now time.Time) []Entry {
	m.expire(now)
	changes := m.startProbations(now)
	if !m.dirty {
		return changes
	}
	m.dirty = false
	jobs, workers := involved(m.jobs), involved(m.workers)
	m.estimate(jobs, workers)
	changes = append(changes, m.decide(jobs, now)...)
	return append(changes, m.decide(workers, now)...)
}

// involved returns the subjects with cells, in a fixed order.
func involved(all map[string]*subject) []*subject {
	var list []*subject
	for _, s := range all {
		if len(s.cells) > 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *subject) int { return compare(a.name, b.name) })
	return list
}

func (m *Matrix) estimate(jobs, workers []*subject) {
	for _, s := range jobs {
		s.fault = priorFaulty
	}
	for _, s := range workers {
		s.fault = priorFaulty
	}
	for range rounds {
		update(jobs, func(c *cell) float64 { return m.workers[c.worker].fault })
		update(workers, func(c *cell) float64 { return m.jobs[c.job].fault })
	}
}

// update sets the fault probability of every subject to the expected share of
// its attempts in which it was at fault. The fault of the counterpart explains
// a failure as well as its own does.
func update(subjects []*subject, counterpart func(*cell) float64) {
	for _, s := range subjects {
		faulty, total := priorFaulty, priorTotal+s.clean
		for _, c := range s.cells {
			total++
			if c.failed {
				faulty += s.fault / (s.fault + counterpart(c) - s.fault*counterpart(c))
			}
		}
		s.fault = faulty / total
	}
}

func (m *Matrix) decide(subjects []*subject, now time.Time) []Entry {
	var changes []Entry
	for _, s := range subjects {
		if s.state == Quarantined && s.fault < m.options.Threshold/2 {
			m.release(s, now, "later outcomes explain its failures")
			changes = append(changes, s.entry())
			continue
		}
		failures := s.failures()
		if s.state != Clear || s.fault < m.options.Threshold || failures < m.options.MinCounterparts {
			continue
		}
		if s.kind == Worker && !m.mayQuarantineWorker() {
			continue
		}
		m.quarantine(s, now, s.explain(failures))
		changes = append(changes, s.entry())
	}
	return changes
}

func (m *Matrix) mayQuarantineWorker() bool {
	return m.fleet == 0 || m.setAside < max(1, int(m.options.MaxWorkerShare*float64(m.fleet)))
}

func (s *subject) failures() int {
	n := 0
	for _, c := range s.cells {
		if c.failed {
			n++
		}
	}
	return n
}

func (s *subject) explain(failures int) string {
	if s.kind == Job {
		return fmt.Sprintf("failed on %d workers, fault probability %.2f", failures, s.fault)
	}
	return fmt.Sprintf("failed %d jobs, fault probability %.2f", failures, s.fault)
}

func (m *Matrix) quarantine(s *subject, now time.Time, reason string) {
	if s.kind == Worker && s.state != Quarantined {
		m.setAside++
	}
	term := min(m.options.InitialTerm<<min(s.relapses, 16), m.options.MaxTerm)
	s.relapses++
	s.state, s.reason, s.since, s.until, s.passed = Quarantined, reason, now, now.Add(term), 0
}

func (m *Matrix) release(s *subject, now time.Time, reason string) {
	if s.kind == Worker && s.state == Quarantined {
		m.setAside--
	}
	s.state, s.reason, s.since = Clear, reason, now
}

// startProbations moves subjects whose term has ended to probation.
func (m *Matrix) startProbations(now time.Time) []Entry {
	var changes []Entry
	for _, all := range []map[string]*subject{m.jobs, m.workers} {
		for _, s := range all {
			if s.state == Quarantined && !now.Before(s.until) {
				m.startProbation(s, now, "term ended")
				changes = append(changes, s.entry())
			}
		}
	}
	slices.SortFunc(changes, compareEntries)
	return changes
}

// SetQuarantined quarantines a subject that was quarantined elsewhere, for example by
// the leader before.
func (m *Matrix) SetQuarantined(kind Kind, name, reason string, now time.Time) {
	all := m.jobs
	if kind == Worker {
		all = m.workers
	}
	if s := m.subject(all, kind, name); s.state != Quarantined {
		m.quarantine(s, now, reason)
	}
}

// Release moves a quarantined subject to probation on behalf of an operator.
func (m *Matrix) Release(kind Kind, name string, now time.Time) bool {
	s := m.find(kind, name)
	if s == nil || s.state != Quarantined {
		return false
	}
	m.startProbation(s, now, "released by an operator")
	return true
}

// startProbation forgets the old outcomes, since they would set the subject
// aside again before its first new attempt.
func (m *Matrix) startProbation(s *subject, now time.Time, reason string) {
	m.release(s, now, reason)
	m.dropCells(s)
	s.state, s.clean, s.fault, s.passed = Probation, 0, 0, 0
}

// pass counts a success on probation.
func (s *subject) pass(m *Matrix) {
	if s.state != Probation {
		return
	}
	s.passed++
	if s.kind == Job || s.passed >= m.options.ProbationSuccesses {
		s.state, s.reason, s.relapses = Clear, "", 0
	}
}
