package job

import (
	"slices"
	"strings"
)

// Queue takes the submissions of one host and path prefix.
type Queue struct {
	Name           string
	Host           string
	Prefix         string
	Service        string  // whose targets run the tasks
	Priority       int     // 0 comes first
	Attempts       int     // failed runs of a task before its job fails
	Stretch        float64 // objective as a multiple of the longest chain of work
	SlackMillis    int64   // added to the objective
	TimeoutMillis  int64   // bound on a call of a caller
	DecisionMillis int64   `json:",omitempty"` // the advice service restricts the targets
}

// Service is a pool of targets.
type Service struct {
	Name   string
	Guards bool // its targets refuse what does not fit
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	// Source is the configuration as it was submitted, for reading it back.
	Source []byte
}

// Check refuses a configuration that contradicts itself.
func (c *Config) Check() error {
	if c.Version == 0 {
		return Error.New("step=check: version is missing")
	}
	routes := map[[2]string]string{}
	for _, q := range c.Queues {
		if !slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == q.Service }) {
			return Error.New("step=check queue=%s: unknown service %q", q.Name, q.Service)
		}
		if q.TimeoutMillis <= 0 {
			return Error.New("step=check queue=%s: timeout is %d ms", q.Name, q.TimeoutMillis)
		}
		route := [2]string{q.Host, q.Prefix}
		if other, taken := routes[route]; taken {
			return Error.New("step=check queue=%s: host and prefix belong to %s", q.Name, other)
		}
		routes[route] = q.Name
	}
	return nil
}

// Match returns the queue with the longest prefix of path on the host, and the
// rest of the path.
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

// current returns the queue of the newest configuration that took the job's
// place, or the queue as it was at submission when that place is gone.
func (c *Config) currentQueue(q *Queue) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Host == q.Host && c.Queues[i].Prefix == q.Prefix {
			return &c.Queues[i]
		}
	}
	return q
}
