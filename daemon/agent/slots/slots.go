// Package slots is the supervisor of the target's slots. Each slot is a duty
// that performs one HTTP call to the target at a time.
package slots

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/admission"
	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/supervise"
)

// Error is the class of all errors of this package.
var Error = errs.Class("slots")

// Result is a finished call.
type Result struct {
	Work     *admission.Work
	Response *request.Response
}

// Options configure the slots.
type Options struct {
	Target      string // base URL
	Slots       int
	Connections int
	MaxBody     int64
}

const dialTimeout = 2 * time.Second

type slot struct {
	options Options
	client  *http.Client
	work    *ring.Ring[*admission.Work]
	results *ring.Ring[Result]
}

// New returns the supervisor of the slots. They take work from one ring and put
// results into another.
func New(o Options, work *ring.Ring[*admission.Work], results *ring.Ring[Result], observer supervise.Observer) *supervise.Supervisor {
	client := newClient(o)
	s := supervise.New("slots", supervise.Policy{}, observer)
	for i := range o.Slots {
		s.Add("slot "+strconv.Itoa(i), &slot{options: o, client: client, work: work, results: results})
	}
	return s
}

func newClient(o Options) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost:     o.Connections,
			MaxIdleConnsPerHost: o.Connections,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run performs calls until ctx ends.
func (s *slot) Run(ctx context.Context) error {
	for {
		w, err := s.work.Take(ctx)
		if err != nil {
			return nil
		}
		resp := s.call(ctx, w.Attempt.Request)
		if err := s.results.Put(ctx, Result{Work: w, Response: resp}); err != nil {
			return nil
		}
	}
}

func (s *slot) call(ctx context.Context, r *request.Request) *request.Response {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	out, err := s.encode(ctx, r)
	if err != nil {
		return request.Refused(request.ReasonBadRequest)
	}
	in, err := s.client.Do(out)
	if err != nil {
		return failed(err)
	}
	defer in.Body.Close()
	return s.decode(in)
}

func (s *slot) encode(ctx context.Context, r *request.Request) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, s.options.Target+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, f := range r.Header {
		out.Header.Add(f.Name, f.Value)
	}
	out.Header.Set("Ibispier-Request-Id", r.ID)
	out.Header.Set("Ibispier-Customer", r.Customer)
	if r.Key != "" {
		out.Header.Set("Idempotency-Key", r.Key)
	}
	if !r.Idempotent {
		out.GetBody = nil // without it the client does not send a body twice
	}
	return out, nil
}

// decode reads the whole answer. An answer cut short leaves the outcome unknown.
func (s *slot) decode(in *http.Response) *request.Response {
	body, err := io.ReadAll(io.LimitReader(in.Body, s.options.MaxBody+1))
	if err != nil {
		return request.Undecided(request.ReasonTargetFailed)
	}
	if int64(len(body)) > s.options.MaxBody {
		return request.Undecided(request.ReasonTooLarge)
	}
	resp := &request.Response{Outcome: request.Done, Status: in.StatusCode, Body: body}
	for name, values := range in.Header {
		for _, v := range values {
			resp.Header = append(resp.Header, request.Field{Name: name, Value: v})
		}
	}
	return resp
}

// failed tells a connection that was never made, after which the request did
// not run, from all other errors.
func failed(err error) *request.Response {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return request.Refused(request.ReasonNoTarget)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return request.Undecided(request.ReasonDeadline)
	}
	return request.Undecided(request.ReasonTargetFailed)
}
