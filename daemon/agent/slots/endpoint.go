package slots

import (
	"net"
	"net/url"
	"strings"
)

// Endpoint is the address of a target. Slots compare endpoints by pointer, so a
// target that announces itself again gets new connections.
type Endpoint struct {
	base    string
	address string // host:port
	host    string // of the Host field
	prefix  string // of every path
}

// ParseEndpoint reads the base URL of a target. Only plain HTTP is spoken
// between an agent and the target on the same instance.
func ParseEndpoint(base string) (*Endpoint, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, Error.New("step=parse target=%q: %w", base, err)
	}
	if u.Scheme != "http" || u.Host == "" {
		return nil, Error.New("step=parse target=%q: not an http URL with a host", base)
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
