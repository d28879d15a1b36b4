// Package workercalls performs HTTP calls to the worker. Each caller is a
// supervised duty that performs one call at a time.
package workercalls

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/bootclock"
	"github.com/ibispier/ibispier/executor"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/workerapi"
)

// Error is the class of this package's errors.
var Error = errs.Class("workercalls")

const (
	// callerCount is the maximum number of concurrent calls. The executor never
	// has two calls for the same task outstanding, so calls for a task stay in
	// order.
	callerCount      = 4
	callTimeout      = time.Second
	maxResponseBytes = 4 << 20
)

// Job is a request to the worker. Exactly one field is set.
type Job struct {
	Call  *executor.Call
	List  bool
	Fence *workerapi.FenceRequest
}

// JobResult is the outcome of a job.
type JobResult struct {
	Job        Job
	StartedAt  time.Duration // on the instance clock
	CallResult executor.Result
	Tasks      *workerapi.Tasks // set for a List job
	Err        error
}

type caller struct {
	base    string
	client  *http.Client
	jobs    *ring.Ring[Job]
	results *ring.Ring[JobResult]
}

// New returns the supervisor of the duties that call the worker at base.
func New(base string, jobs *ring.Ring[Job], results *ring.Ring[JobResult], observer supervise.Observer) *supervise.Supervisor {
	s := supervise.New("workercalls", supervise.Policy{}, observer)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}, Timeout: callTimeout}
	for i := range callerCount {
		s.Add("caller "+strconv.Itoa(i), &caller{base: base, client: client, jobs: jobs, results: results})
	}
	return s
}

// Run performs jobs until ctx is done.
func (c *caller) Run(ctx context.Context) error {
	for {
		job, err := c.jobs.Take(ctx)
		if err != nil {
			return nil
		}
		if err := c.results.Put(ctx, c.perform(ctx, job)); err != nil {
			return nil
		}
	}
}

func (c *caller) perform(ctx context.Context, job Job) JobResult {
	result := JobResult{Job: job, StartedAt: bootclock.Now()}
	switch {
	case job.List:
		result.Tasks = new(workerapi.Tasks)
		_, result.Err = c.roundTrip(ctx, http.MethodGet, "/v1/tasks", nil, result.Tasks)
	case job.Fence != nil:
		_, result.Err = c.roundTrip(ctx, http.MethodPut, "/v1/fence", job.Fence, nil)
	default:
		result.CallResult = c.call(ctx, *job.Call)
	}
	return result
}

func (c *caller) call(ctx context.Context, call executor.Call) executor.Result {
	path, body := requestFor(call)
	// The process may have been suspended since the executor issued the call.
	// The worker checks the same bound again.
	if call.Start != nil && int64(bootclock.Now()) > call.Start.NotAfter {
		return executor.Result{Call: call, Refusal: "start is too late"}
	}
	var answer struct {
		workerapi.Task
		Refusal string `json:"reason"`
	}
	status, err := c.roundTrip(ctx, http.MethodPost, path, body, &answer)
	result := executor.Result{Call: call}
	switch {
	case err != nil:
		result.NoAnswer = true
	case status == http.StatusConflict:
		result.Refusal = answer.Refusal
	case status == http.StatusNotFound:
		result.NotFound = true
	case status == http.StatusOK && call.Kind != executor.Renew:
		answer.Task.Reason = answer.Refusal
		result.Task = &answer.Task
	}
	return result
}

// requestFor returns the path and the body of the HTTP request for a call.
func requestFor(call executor.Call) (path string, body any) {
	switch call.Kind {
	case executor.Start:
		return "/v1/tasks", call.Start
	case executor.Renew:
		return "/v1/leases", call.Renew
	}
	actions := map[executor.CallKind]string{
		executor.Stop:       "stop",
		executor.Checkpoint: "checkpoint",
		executor.Throttle:   "throttle",
		executor.Forget:     "forget",
	}
	return "/v1/tasks/" + call.Task + "/" + actions[call.Kind], call.Request
}

// roundTrip performs one HTTP request. Statuses of 500 and above are returned as
// errors, because the effect of the request is unknown, and so is 400.
func (c *caller) roundTrip(ctx context.Context, method, path string, in, out any) (int, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, Error.New("step=%s %s peer=%s: %w", method, path, c.base, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, Error.New("step=%s %s peer=%s: %w", method, path, c.base, err)
	}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusBadRequest {
		return 0, Error.New("step=%s %s peer=%s: status %d", method, path, c.base, resp.StatusCode)
	}
	if out != nil && len(answer) > 0 && json.Valid(answer) {
		if err := json.Unmarshal(answer, out); err != nil {
			return 0, Error.Wrap(err)
		}
	}
	return resp.StatusCode, nil
}
