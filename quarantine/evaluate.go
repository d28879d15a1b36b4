package quarantine

import (
	"fmt"
	"slices"
	"time"
)

const (
	// The prior of the fault probability is Beta(0.1, 0.9): one subject in ten
	// is faulty, and a single observation outweighs the prior.
	priorFaults   = 0.1
	priorAttempts = 1.0
	emIterations  = 25
)

// Evaluate estimates the fault probabilities again if the matrix has changed,
// updates the states, and returns the subjects whose state has changed.
func (m *Matrix) Evaluate(now time.Time) []Entry {
	m.expire(now)
	changes := m.startProbations(now)
	if !m.dirty {
		return changes
	}
	m.dirty = false
	jobs, workers := withCells(m.jobs), withCells(m.workers)
	m.estimateFaults(jobs, workers)
	changes = append(changes, m.updateStates(jobs, now)...)
	return append(changes, m.updateStates(workers, now)...)
}

// withCells returns the subjects that have cells, ordered by name so that the
// result does not depend on the order of the map.
func withCells(all map[string]*subject) []*subject {
	var list []*subject
	for _, s := range all {
		if len(s.cells) > 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *subject) int { return compare(a.name, b.name) })
	return list
}

func (m *Matrix) estimateFaults(jobs, workers []*subject) {
	for _, s := range jobs {
		s.faultProbability = priorFaults
	}
	for _, s := range workers {
		s.faultProbability = priorFaults
	}
	for range emIterations {
		updateFaults(jobs, func(c *cell) float64 { return m.workers[c.worker].faultProbability })
		updateFaults(workers, func(c *cell) float64 { return m.jobs[c.job].faultProbability })
	}
}

// updateFaults sets the fault probability of every subject to the expected share
// of its attempts in which it was at fault. Each failure is attributed to the
// subject with the probability that the subject was faulty, given the fault
// probability of the counterpart.
func updateFaults(subjects []*subject, counterpart func(*cell) float64) {
	for _, s := range subjects {
		faults, attempts := priorFaults, priorAttempts+s.cleanSuccesses
		for _, c := range s.cells {
			attempts++
			if c.failed {
				faults += s.faultProbability / (s.faultProbability + counterpart(c) - s.faultProbability*counterpart(c))
			}
		}
		s.faultProbability = faults / attempts
	}
}

func (m *Matrix) updateStates(subjects []*subject, now time.Time) []Entry {
	var changes []Entry
	for _, s := range subjects {
		if s.state == Quarantined && s.faultProbability < m.options.Threshold/2 {
			m.release(s, now, "later outcomes explain its failures")
			changes = append(changes, s.entry())
			continue
		}
		failureCount := s.failureCount()
		if s.state != Clear || s.faultProbability < m.options.Threshold || failureCount < m.options.MinCounterparts {
			continue
		}
		if s.kind == Worker && !m.mayQuarantineWorker() {
			continue
		}
		m.quarantine(s, now, s.quarantineReason(failureCount))
		changes = append(changes, s.entry())
	}
	return changes
}

func (m *Matrix) mayQuarantineWorker() bool {
	return m.workerCount == 0 || m.quarantinedWorkers < max(1, int(m.options.MaxWorkerShare*float64(m.workerCount)))
}

func (s *subject) failureCount() int {
	n := 0
	for _, c := range s.cells {
		if c.failed {
			n++
		}
	}
	return n
}

func (s *subject) quarantineReason(failureCount int) string {
	if s.kind == Job {
		return fmt.Sprintf("failed on %d workers, fault probability %.2f", failureCount, s.faultProbability)
	}
	return fmt.Sprintf("failed %d jobs, fault probability %.2f", failureCount, s.faultProbability)
}

func (m *Matrix) quarantine(s *subject, now time.Time, reason string) {
	if s.kind == Worker && s.state != Quarantined {
		m.quarantinedWorkers++
	}
	term := min(m.options.InitialTerm<<min(s.quarantineCount, 16), m.options.MaxTerm)
	s.quarantineCount++
	s.state, s.reason, s.since, s.termEnd, s.probationSuccesses = Quarantined, reason, now, now.Add(term), 0
}

func (m *Matrix) release(s *subject, now time.Time, reason string) {
	if s.kind == Worker && s.state == Quarantined {
		m.quarantinedWorkers--
	}
	s.state, s.reason, s.since = Clear, reason, now
}

// startProbations moves subjects whose term has ended to probation.
func (m *Matrix) startProbations(now time.Time) []Entry {
	var changes []Entry
	for _, all := range []map[string]*subject{m.jobs, m.workers} {
		for _, s := range all {
			if s.state == Quarantined && !now.Before(s.termEnd) {
				m.startProbation(s, now, "term ended")
				changes = append(changes, s.entry())
			}
		}
	}
	slices.SortFunc(changes, compareEntries)
	return changes
}

// SetQuarantined quarantines a subject that was quarantined elsewhere, such as by
// the previous leader.
func (m *Matrix) SetQuarantined(kind Kind, name, reason string, now time.Time) {
	all := m.jobs
	if kind == Worker {
		all = m.workers
	}
	if s := m.subject(all, kind, name); s.state != Quarantined {
		m.quarantine(s, now, reason)
	}
}

// Release moves a quarantined subject to probation at an operator's request. It
// returns false if the subject is not quarantined.
func (m *Matrix) Release(kind Kind, name string, now time.Time) bool {
	s := m.find(kind, name)
	if s == nil || s.state != Quarantined {
		return false
	}
	m.startProbation(s, now, "released by an operator")
	return true
}

// startProbation drops the old outcomes, which would otherwise quarantine the
// subject again before its first new attempt.
func (m *Matrix) startProbation(s *subject, now time.Time, reason string) {
	m.release(s, now, reason)
	m.dropCells(s)
	s.state, s.cleanSuccesses, s.faultProbability, s.probationSuccesses = Probation, 0, 0, 0
}

// recordProbationSuccess counts a success on probation, and clears a job after
// one and a worker after Options.ProbationSuccesses.
func (s *subject) recordProbationSuccess(m *Matrix) {
	if s.state != Probation {
		return
	}
	s.probationSuccesses++
	if s.kind == Job || s.probationSuccesses >= m.options.ProbationSuccesses {
		s.state, s.reason, s.quarantineCount = Clear, "", 0
	}
}
