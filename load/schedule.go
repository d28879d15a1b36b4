package load

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// scheduledRequest is one request of the schedule.
type scheduledRequest struct {
	id         string
	offset     time.Duration // intended send time, from the start of the run
	idempotent bool
	inWave     bool
	entry      string
}

// schedule yields the requests of a run. It is a pure function of the options:
// equal seeds give equal schedules.
type schedule struct {
	options Options
	random  *rand.Rand
	prefix  string
	offset  time.Duration
	count   int
}

// newSchedule returns the schedule of o. prefix makes the request ids and the
// idempotency keys of different runs differ.
func newSchedule(o Options, prefix string) *schedule {
	return &schedule{options: o, random: rand.New(rand.NewPCG(o.Seed, 0)), prefix: prefix}
}

// next returns the next request, and false after the duration of the run.
// Arrivals are a Poisson process, as those of independent callers are.
func (s *schedule) next() (scheduledRequest, bool) {
	rate := s.options.Rate
	if s.options.Wave.in(s.offset) {
		rate *= s.options.Wave.Factor
	}
	s.offset += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	if s.offset >= s.options.Duration {
		return scheduledRequest{}, false
	}
	entry := s.options.Entries[s.count%len(s.options.Entries)]
	s.count++
	return scheduledRequest{
		id:         s.prefix + strconv.Itoa(s.count),
		offset:     s.offset,
		idempotent: s.random.Float64() < s.options.IdempotentShare,
		inWave:     s.options.Wave.in(s.offset),
		entry:      entry,
	}, true
}
