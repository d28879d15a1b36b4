// Package httpduty runs an HTTP server as a duty of a supervisor tree.
package httpduty

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("httpduty")

const readHeaderTimeout = 5 * time.Second

// Options configures a Server.
type Options struct {
	Handler        http.Handler
	IdleTimeout    time.Duration // of connections; 0 for none
	MaxHeaderBytes int           // 0 for the default of net/http
}

// Server is a duty that serves HTTP on one address. Each run has a listener and
// an http.Server of its own, because neither can be used again once closed.
type Server struct {
	address string
	options Options
	initial net.Listener // opened by New, which thus reports an address in use
	current atomic.Pointer[http.Server]
	stopped atomic.Bool
}

// New opens the listener and returns the duty.
func New(address string, o Options) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.New("step=listen addr=%s: %w", address, err)
	}
	return &Server{address: listener.Addr().String(), options: o, initial: listener}, nil
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
	err = server.Serve(listener)
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
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, Error.New("step=listen addr=%s: %w", s.address, err)
	}
	return listener, nil
}

func (s *Server) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.options.Handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       s.options.IdleTimeout,
		MaxHeaderBytes:    s.options.MaxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}
