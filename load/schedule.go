package load

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// scheduledRequest is a request with its intended send time.
type scheduledRequest struct {
	id         string
	offset     time.Duration // intended send time, from the start of the run
	idempotent bool
	inWave     bool
	entry      string
}

// schedule generates the requests of a run. It is deterministic: the same options,
// seed and prefix give the same requests.
type schedule struct {
	options Options
	random  *rand.Rand
	prefix  string
	offset  time.Duration
	count   int
}

// newSchedule returns the schedule of o. prefix keeps request ids and idempotency
// keys unique across runs.
func newSchedule(o Options, prefix string) *schedule {
	return &schedule{options: o, random: rand.New(rand.NewPCG(o.Seed, 0)), prefix: prefix}
}

// next returns the next request, or false after the duration of the run. Arrivals
// form a Poisson process, which models independent callers.
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
