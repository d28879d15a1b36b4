package job

import (
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

// Check returns an error if the configuration is inconsistent.
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
