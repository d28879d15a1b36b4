package job

import (
	"fmt"
	"slices"
	"strings"
)

// Queue accepts the submissions for one host and path prefix.
type Queue struct {
	Name           string
	Host           string
	Prefix         string
	Service        string  // service whose targets run the tasks
	Priority       int     // 0 is the highest
	Attempts       int     // failed runs of a task after which its job fails
	Stretch        float64 // completion objective as a multiple of the critical path
	SlackMillis    int64   // added to the objective
	TimeoutMillis  int64   // time limit of a caller's request
	DecisionMillis int64   `json:",omitempty"` // above 0 if the advice service restricts the targets
}

// Service is a pool of targets.
type Service struct {
	Name   string
	Guards bool // its targets reject runs that do not fit
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	// Source is the configuration as submitted, returned to readers unchanged.
	Source []byte
}

// WholeConfig is the Queue of a Fault that concerns no single queue.
const WholeConfig = -1

// Fault is a reason to refuse a configuration.
type Fault struct {
	Queue   int // index of the queue, or WholeConfig
	Message string
}

// Check returns an error if the configuration is inconsistent.
func (c *Config) Check() error {
	faults := c.Faults()
	switch {
	case len(faults) == 0:
		return nil
	case faults[0].Queue == WholeConfig:
		return Error.New("step=check: %s", faults[0].Message)
	default:
		return Error.New("step=check queue=%s: %s", c.Queues[faults[0].Queue].Name, faults[0].Message)
	}
}

// Faults returns every reason to refuse the configuration.
func (c *Config) Faults() []Fault {
	var faults []Fault
	add := func(queue int, format string, args ...any) {
		faults = append(faults, Fault{Queue: queue, Message: fmt.Sprintf(format, args...)})
	}
	if c.Version == 0 {
		add(WholeConfig, "version is missing")
	}
	routes := map[Route]string{}
	for i, q := range c.Queues {
		if !slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == q.Service }) {
			add(i, "unknown service %q", q.Service)
		}
		if q.TimeoutMillis <= 0 {
			add(i, "timeout is %d ms", q.TimeoutMillis)
		}
		if other, taken := routes[q.Route()]; taken {
			add(i, "host and prefix belong to queue %q", other)
			continue
		}
		routes[q.Route()] = q.Name
	}
	return faults
}

// Match returns the queue on the host with the longest matching path prefix,
// and the rest of the path.
func (c *Config) Match(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}
