// Package slots performs the calls to the target. Each slot is a supervised duty
// that owns one connection to the target and performs one call at a time, so the
// number of slots bounds the concurrency.
package slots

import (
	"context"
	"strconv"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/admission"
	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/telemetry"
)

// Error is the class of this package's errors.
var Error = errs.Class("slots")

// Job is a call to perform at an endpoint.
type Job struct {
	Work     *admission.Work
	Endpoint *Endpoint
}

// Result is the response of a performed call.
type Result struct {
	Work     *admission.Work
	Response *request.Response
}

// Options configure the slots.
type Options struct {
	Slots       int
	Connections int
	MaxBody     int64
	Tracer      *telemetry.Tracer // nil disables spans
}

// SlotCount returns the number of slots to run. Each slot keeps one connection
// open, and one more is reserved for the health probe, so it is at most one less
// than the number of connections, but at least 1.
func (o Options) SlotCount() int { return min(o.Slots, max(o.Connections-1, 1)) }

type slot struct {
	client  client
	tracer  *telemetry.Tracer
	jobs    *ring.Ring[Job]
	results *ring.Ring[Result]
}

// New returns the supervisor of the slots, which take jobs from one ring and put
// results into the other.
func New(o Options, jobs *ring.Ring[Job], results *ring.Ring[Result], observer supervise.Observer) *supervise.Supervisor {
	s := supervise.New("slots", supervise.Policy{}, observer)
	for i := range o.SlotCount() {
		s.Add("slot "+strconv.Itoa(i), &slot{client: client{maxBody: o.MaxBody}, tracer: o.Tracer, jobs: jobs, results: results})
	}
	return s
}

// Run performs jobs until ctx is done.
func (s *slot) Run(ctx context.Context) error {
	defer s.client.close()
	for {
		job, err := s.jobs.Take(ctx)
		if err != nil {
			return nil
		}
		resp := s.call(ctx, job)
		if err := s.results.Put(ctx, Result{Work: job.Work, Response: resp}); err != nil {
			return nil
		}
	}
}

// call performs a job and records it as a span, which is passed to the target as
// the parent span.
func (s *slot) call(ctx context.Context, job Job) *request.Response {
	r := job.Work.Attempt.Request
	span := s.tracer.Start(r.TraceParent, "agent.target_call")
	resp := s.client.call(ctx, job.Endpoint, r, span.TraceParent(r.TraceParent))
	span.SetInt("status", int64(resp.Status))
	span.Finish(string(resp.Reason))
	return resp
}
