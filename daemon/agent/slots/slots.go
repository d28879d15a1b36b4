// Package slots is the supervisor of the target's slots. Each slot is a duty
// that owns one connection to the target and performs one call at a time.
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

// Error is the class of all errors of this package.
var Error = errs.Class("slots")

// Job is a call to perform.
type Job struct {
	Work     *admission.Work
	Endpoint *Endpoint
}

// Result is a finished call.
type Result struct {
	Work     *admission.Work
	Response *request.Response
}

// Options configure the slots.
type Options struct {
	Slots       int
	Connections int
	MaxBody     int64
	Tracer      *telemetry.Tracer // nil for no spans
}

// SlotCount returns the number of slots. A slot keeps a connection open and the
// health probe needs one, so there are fewer slots than connections.
func (o Options) SlotCount() int { return min(o.Slots, max(o.Connections-1, 1)) }

type slot struct {
	client  client
	tracer  *telemetry.Tracer
	jobs    *ring.Ring[Job]
	results *ring.Ring[Result]
}

// New returns the supervisor of the slots. They take jobs from one ring and put
// results into another.
func New(o Options, jobs *ring.Ring[Job], results *ring.Ring[Result], observer supervise.Observer) *supervise.Supervisor {
	s := supervise.New("slots", supervise.Policy{}, observer)
	for i := range o.SlotCount() {
		s.Add("slot "+strconv.Itoa(i), &slot{client: client{maxBody: o.MaxBody}, tracer: o.Tracer, jobs: jobs, results: results})
	}
	return s
}

// Run performs calls until ctx ends.
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

// call performs a job and records the call of the target as a span, which the
// target sees as its parent.
func (s *slot) call(ctx context.Context, job Job) *request.Response {
	r := job.Work.Attempt.Request
	span := s.tracer.Start(r.TraceParent, "agent.target_call")
	resp := s.client.call(ctx, job.Endpoint, r, span.TraceParent(r.TraceParent))
	span.SetInt("status", int64(resp.Status))
	span.Finish(string(resp.Reason))
	return resp
}
