package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/supervise"
)

// Capacities of the rings.
const (
	// requestCapacity bounds the requests that wait for a sender, and so the memory
	// of a run against a system that has stopped responding. Requests that do not
	// fit are counted as unsent.
	requestCapacity = 16384
	outcomeCapacity = 4096
)

// Run sends the load and returns the result. It returns when the duration has
// passed and every request has an outcome, or when ctx ends.
func Run(ctx context.Context, o Options) (*Result, error) {
	o = o.withDefaults()
	if err := o.Validate(); err != nil {
		return nil, err
	}
	start := time.Now()
	requests := ring.New[scheduledRequest]("load.shots", requestCapacity)
	outcomes := ring.New[outcome]("load.outcomes", outcomeCapacity)
	transport := &http.Transport{MaxIdleConns: o.Senders, MaxIdleConnsPerHost: o.Senders}
	defer transport.CloseIdleConnections()
	c := newCollector(o, start, outcomes)

	s := supervise.New("load", supervise.Policy{}, nil)
	s.Add("collector", c)
	s.Add("pacer", &pacer{
		schedule: newSchedule(o, strconv.FormatUint(rand.Uint64(), 36)+"-"),
		start:    start, requests: requests, outcomes: outcomes,
	})
	for i := range o.Senders {
		s.Add("sender "+strconv.Itoa(i), &sender{
			options: o, start: start, client: &http.Client{Transport: transport},
			requests: requests, outcomes: outcomes,
		})
	}
	if err := s.Run(ctx); err != nil {
		return nil, Error.Wrap(err)
	}
	return c.result(), nil
}

// pacer is the duty that passes requests to the senders at their intended times.
type pacer struct {
	schedule *schedule
	start    time.Time
	requests *ring.Ring[scheduledRequest]
	outcomes *ring.Ring[outcome]
}

// Run passes on the requests of the schedule and then closes their ring.
func (p *pacer) Run(ctx context.Context) error {
	defer p.requests.Close()
	for {
		next, ok := p.schedule.next()
		if !ok {
			return nil
		}
		wait := time.Until(p.start.Add(next.offset))
		if wait > 0 && !supervise.Sleep(ctx, wait) || ctx.Err() != nil {
			return nil
		}
		if err := p.requests.Offer(next); err == nil {
			continue
		}
		if err := p.outcomes.Put(ctx, outcome{request: next, kind: "unsent"}); err != nil {
			return nil
		}
	}
}
