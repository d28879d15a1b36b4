// Package httpduty runs an HTTP server as a duty of a supervisor tree.
package httpduty

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/httpduty/connlimit"
	"github.com/ibispier/ibispier/tcplisten"
)

// Error is the class of all errors of this package.
var Error = errs.Class("httpduty")

const (
	readHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout ends keep-alive connections that their clients have left open.
	defaultIdleTimeout = 2 * time.Minute
	// DefaultMaxHeaderBytes bounds the header of a request, with its first line.
	DefaultMaxHeaderBytes = 16 << 10
	// DefaultMaxBodyBytes is for the listeners that take small bodies or none.
	DefaultMaxBodyBytes = 64 << 10
	// defaultConnections and defaultBudget are for servers without a share of the limits
	// of their process, as in tests.
	defaultConnections = 1024
	defaultBudget      = 64 << 20
	defaultWindow      = 10 * time.Second
)

// Options configures a Server.
type Options struct {
	Handler        http.Handler
	IdleTimeout    time.Duration // of connections; 0 for the default
	MaxHeaderBytes int           // 0 for DefaultMaxHeaderBytes
	MaxBodyBytes   int64         // 0 for DefaultMaxBodyBytes
	MaxConnections int           // 0 for a default
	Socket         tcplisten.Options
	Limits         *Limits // of the process; nil for limits of its own
	// RefuseBody writes the response for a body that is not admitted. It must not read
	// the body. nil for WriteBodyError.
	RefuseBody func(http.ResponseWriter, *http.Request, error)
}

func (o Options) withDefaults() Options {
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = defaultConnections
	}
	if o.Limits == nil {
		o.Limits = NewLimits(LimitOptions{BodyBytes: defaultBudget, Window: defaultWindow})
	}
	if o.RefuseBody == nil {
		o.RefuseBody = func(w http.ResponseWriter, _ *http.Request, err error) { WriteBodyError(w, err) }
	}
	return o
}

// Server is a duty that serves HTTP on one address. Each run has a listener and
// an http.Server of its own, because neither can be used again once closed.
type Server struct {
	address string
	options Options
	initial net.Listener // opened by New, which thus reports an address in use
	current atomic.Pointer[http.Server]
	stopped atomic.Bool
	limits  *Limits

	// mu guards connections, which the goroutines of net/http use.
	mu          sync.Mutex
	connections *connlimit.Table
}

// New opens the listener and returns the duty.
func New(address string, o Options) (*Server, error) {
	listener, err := tcplisten.Listen(address, o.Socket)
	if err != nil {
		return nil, Error.New("step=listen addr=%s: %w", address, err)
	}
	o = o.withDefaults()
	return &Server{
		address:     listener.Addr().String(),
		options:     o,
		initial:     listener,
		limits:      o.Limits,
		connections: connlimit.New(o.MaxConnections),
	}, nil
}

// Addr returns the address that the duty listens on.
func (s *Server) Addr() string { return s.address }

// Run serves until ctx ends or Shutdown is called.
func (s *Server) Run(ctx context.Context) error {
	listener, err := s.listen()
	if err != nil {
		return err
	}
	server := s.newHTTPServer()
	s.current.Store(server)
	if s.stopped.Load() {
		return listener.Close()
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(limitedListener{listener, s})
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	_ = server.Close()
	return Error.New("step=serve addr=%s: %w", s.address, err)
}

// Shutdown stops accepting connections and waits for the requests in flight.
// Run then returns, and does not serve when it is called again.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopped.Store(true)
	server := s.current.Load()
	if server == nil {
		return nil
	}
	return Error.Wrap(server.Shutdown(ctx))
}

// DisableKeepAlives closes connections after their next response, so that
// callers open new ones elsewhere.
func (s *Server) DisableKeepAlives() {
	if server := s.current.Load(); server != nil {
		server.SetKeepAlivesEnabled(false)
	}
}

// listen returns the listener that New opened, and a new one for each later run.
func (s *Server) listen() (net.Listener, error) {
	if listener := s.initial; listener != nil {
		s.initial = nil
		return listener, nil
	}
	listener, err := tcplisten.Listen(s.address, s.options.Socket)
	if err != nil {
		return nil, Error.New("step=listen addr=%s: %w", s.address, err)
	}
	return listener, nil
}

func (s *Server) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.admitBodies(s.options.Handler),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       s.options.IdleTimeout,
		MaxHeaderBytes:    s.options.MaxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnState:         s.observeState,
		ConnContext:       withConn,
	}
}
