package jobs

import (
	"context"
	"reflect"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/ring"
)

// localCallTimeout bounds every local call, including those without a deadline.
const localCallTimeout = 2 * time.Second

// NotLeaderError is returned by a member that does not lead. Leader is the ID
// of the leader, if known.
type NotLeaderError struct {
	Leader string
}

// Error implements error.
func (e *NotLeaderError) Error() string { return "jobs: not the leader; leader=" + e.Leader }

// ringReplier delivers a response to a caller in the same process.
type ringReplier struct{ responses *ring.Ring[applier.Response] }

// Reply implements applier.Replier.
func (r ringReplier) Reply(resp applier.Response) { _ = r.responses.Offer(resp) }

// Do performs an operation from within this process. in is a pointer to the
// request type, out a pointer to the response type or to any.
func (d *Duty) Do(ctx context.Context, op controlapi.Operation, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, localCallTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	responses := ring.New[applier.Response]("jobs.reply", 1)
	request := &applier.Request{Operation: op, Body: in, Deadline: deadline, Replier: ringReplier{responses}}
	if err := d.Requests.Offer(request); err != nil {
		return Error.New("step=offer operation=%s cause=%v: %w", op, err, controlclient.ErrUnavailable)
	}
	resp, err := responses.Take(ctx)
	if err != nil {
		return Error.New("step=await operation=%s cause=%v: %w", op, err, controlclient.ErrUnavailable)
	}
	switch resp.Status {
	case applier.OK:
		reflect.ValueOf(out).Elem().Set(reflect.ValueOf(resp.Body))
		return nil
	case applier.NotLeader:
		return &NotLeaderError{Leader: resp.Leader}
	case applier.Refused:
		return &controlclient.RefusedError{Reason: resp.Reason}
	default:
		return Error.New("step=await operation=%s: %w", op, controlclient.ErrUnavailable)
	}
}
