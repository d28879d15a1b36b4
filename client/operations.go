package client

import (
	"context"
	"net/url"
	"strconv"

	"github.com/ibispier/ibispier/controlapi"
)

// Status returns the state of the deployment.
func (c *Client) Status(ctx context.Context) (*controlapi.StatusResponse, error) {
	out := new(controlapi.StatusResponse)
	return out, c.admin(ctx, "GET", "/v1/status", nil, out)
}

// Config returns the accepted configuration.
func (c *Client) Config(ctx context.Context) (*controlapi.Config, error) {
	out := new(controlapi.Config)
	return out, c.admin(ctx, "GET", "/v1/config", nil, out)
}

// Propose proposes a change. Its change id makes a retry idempotent.
func (c *Client) Propose(ctx context.Context, in controlapi.ProposeRequest) (*controlapi.Proposal, error) {
	out := new(controlapi.Proposal)
	return out, c.admin(ctx, "POST", "/v1/proposals", in, out)
}

// Proposal returns the proposal with the given change id.
func (c *Client) Proposal(ctx context.Context, id string) (*controlapi.Proposal, error) {
	out := new(controlapi.Proposal)
	return out, c.admin(ctx, "GET", "/v1/proposals/"+url.PathEscape(id), nil, out)
}

// Proposals lists proposals, newest first. Limit 0 lists all.
func (c *Client) Proposals(ctx context.Context, limit int) ([]controlapi.Proposal, error) {
	out := new(controlapi.ProposalsResponse)
	err := c.admin(ctx, "GET", "/v1/proposals"+limitQuery(limit), nil, out)
	return out.Proposals, err
}

// History lists the decided proposals, newest first. Limit 0 lists all.
func (c *Client) History(ctx context.Context, limit int) ([]controlapi.Proposal, error) {
	out := new(controlapi.ProposalsResponse)
	err := c.admin(ctx, "GET", "/v1/history"+limitQuery(limit), nil, out)
	return out.Proposals, err
}

// Sign approves or rejects a proposal with an owner's signature.
func (c *Client) Sign(ctx context.Context, in controlapi.SignRequest) (*controlapi.Proposal, error) {
	action := "approve"
	if in.Reject {
		action = "reject"
	}
	body := map[string]string{"owner": in.Owner, "signature": in.Signature}
	out := new(controlapi.Proposal)
	return out, c.admin(ctx, "POST", "/v1/proposals/"+url.PathEscape(in.ChangeID)+"/"+action, body, out)
}

// Members lists the control members.
func (c *Client) Members(ctx context.Context) (*controlapi.MembersResponse, error) {
	out := new(controlapi.MembersResponse)
	return out, c.admin(ctx, "GET", "/v1/members", nil, out)
}

// ChangeMembership bootstraps, admits, removes or transfers leadership to a
// control member, depending on in.Action.
func (c *Client) ChangeMembership(ctx context.Context, in controlapi.MembershipRequest) (*controlapi.MembersResponse, error) {
	out := new(controlapi.MembersResponse)
	return out, c.admin(ctx, "POST", "/v1/members/"+url.PathEscape(in.Action), in, out)
}

// Snapshot makes the control members write a snapshot.
func (c *Client) Snapshot(ctx context.Context) error {
	return c.admin(ctx, "POST", "/v1/snapshot", nil, nil)
}

// Quarantine lists the quarantined jobs and workers, which are not scheduled.
func (c *Client) Quarantine(ctx context.Context) ([]controlapi.Quarantined, error) {
	out := new(controlapi.QuarantineResponse)
	err := c.admin(ctx, "GET", "/v1/quarantine", nil, out)
	return out.Entries, err
}

// ReleaseQuarantine moves a job or worker from quarantine to probation.
func (c *Client) ReleaseQuarantine(ctx context.Context, kind, name string) error {
	return c.admin(ctx, "DELETE", "/v1/quarantine/"+url.PathEscape(kind)+"/"+url.PathEscape(name), nil, nil)
}

// Submit submits a task. Its task id makes a retry idempotent.
func (c *Client) Submit(ctx context.Context, task controlapi.Task) (*controlapi.TaskStatus, error) {
	out := new(controlapi.TaskStatus)
	return out, c.entry(ctx, "POST", "/v1/tasks", task, out)
}

// Task returns the state of a task.
func (c *Client) Task(ctx context.Context, id string) (*controlapi.TaskStatus, error) {
	out := new(controlapi.TaskStatus)
	return out, c.entry(ctx, "GET", "/v1/tasks/"+url.PathEscape(id), nil, out)
}

// CancelTask cancels a task.
func (c *Client) CancelTask(ctx context.Context, id string) (*controlapi.TaskStatus, error) {
	out := new(controlapi.TaskStatus)
	return out, c.entry(ctx, "DELETE", "/v1/tasks/"+url.PathEscape(id), nil, out)
}

// Tasks lists the tasks that match q.
func (c *Client) Tasks(ctx context.Context, q controlapi.TasksQuery) ([]controlapi.TaskStatus, error) {
	values := url.Values{}
	if q.Customer != "" {
		values.Set("customer", q.Customer)
	}
	if q.State != "" {
		values.Set("state", string(q.State))
	}
	if q.Limit > 0 {
		values.Set("limit", strconv.Itoa(q.Limit))
	}
	out := new(controlapi.TasksResponse)
	err := c.entry(ctx, "GET", "/v1/tasks?"+values.Encode(), nil, out)
	return out.Tasks, err
}

func limitQuery(limit int) string {
	if limit <= 0 {
		return ""
	}
	return "?limit=" + strconv.Itoa(limit)
}
