package slots

import (
	"net"
	"net/url"
	"strings"
)

// Endpoint is the address of a target. Slots compare endpoints by pointer and
// reconnect when the pointer changes.
type Endpoint struct {
	base    string
	address string // host:port to dial
	host    string // value of the Host field
	prefix  string // prepended to the path of every request
}

// ParseEndpoint parses the base URL of a target. Only plain HTTP is supported,
// because the agent and the target run on the same instance.
func ParseEndpoint(base string) (*Endpoint, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, Error.New("step=parse target=%q: %w", base, err)
	}
	if u.Scheme != "http" || u.Host == "" {
		return nil, Error.New("step=parse target=%q: must be an http URL with a host", base)
	}
	port := u.Port()
	if port == "" {
		port = "80"
	}
	return &Endpoint{
		base:    base,
		address: net.JoinHostPort(u.Hostname(), port),
		host:    u.Host,
		prefix:  strings.TrimSuffix(u.EscapedPath(), "/"),
	}, nil
}

// String returns the base URL.
func (e *Endpoint) String() string { return e.base }
