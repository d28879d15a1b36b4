package settings

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

const (
	equalShares = "equal"
	// Bounds of the weight of a queue. With a larger ratio, the share of a queue would
	// be less than a task.
	minQueueWeight = 0.01
	maxQueueWeight = 100
)

// queueShares parses "equal", followed by weights such as "/prefix/=2" or "host/prefix/=2".
func queueShares(field **QueueShares) valueParser {
	return valueParser{"empty or equal, [host]/prefix=0.01..100, ...", func(s string) error {
		*field = nil
		items := splitList(s)
		if len(items) == 0 {
			return nil
		}
		if items[0] != equalShares {
			return errs.New("%q does not begin with %s", s, equalShares)
		}
		shares := &QueueShares{Weights: map[string]float64{}}
		for _, item := range items[1:] {
			if err := shares.set(item); err != nil {
				return err
			}
		}
		*field = shares
		return nil
	}}
}

// set adds the weight of one queue.
func (s *QueueShares) set(item string) error {
	at := strings.LastIndexByte(item, '=')
	if at < 0 || !strings.Contains(item[:at], "/") {
		return errs.New("%q is not [host]/prefix=weight", item)
	}
	queue := strings.TrimSpace(item[:at])
	weight, err := strconv.ParseFloat(strings.TrimSpace(item[at+1:]), 64)
	if err != nil || !(weight >= minQueueWeight && weight <= maxQueueWeight) {
		return errs.New("weight of %q is not a number in %g..%g", queue, minQueueWeight, float64(maxQueueWeight))
	}
	if _, twice := s.Weights[queue]; twice {
		return errs.New("%q is listed twice", queue)
	}
	s.Weights[queue] = weight
	return nil
}
