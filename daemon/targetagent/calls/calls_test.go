package calls

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/ibispier/ibispier/bootclock"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/runapi"
)

// countingTarget counts the starts.
type countingTarget struct {
	runapi.Target
	starts int
}

func (t *countingTarget) Start(context.Context, job.TargetIncarnation, runapi.StartRequest) error {
	t.starts++
	return nil
}

// Guards against a start that waited in the ring while the instance was suspended and is
// sent after the lease has expired: control may have started the task elsewhere.
func TestStartIsNotSentAfterItsLease(t *testing.T) {
	target := &countingTarget{}
	d := New("test", target, ring.New[Result]("results", 1))
	r := d.perform(context.Background(), Call{Kind: Start, ValidUntil: bootclock.Now() - time.Millisecond})
	var refused *runapi.RefusedError
	if target.starts != 0 || !errors.As(r.Err, &refused) || refused.Reason != runapi.ReasonLeaseExpired {
		t.Fatalf("%d starts, error %v, want a refusal", target.starts, r.Err)
	}
	if r := d.perform(context.Background(), Call{Kind: Start, ValidUntil: bootclock.Now() + time.Minute}); target.starts != 1 || r.Err != nil {
		t.Fatalf("%d starts, error %v, want one start", target.starts, r.Err)
	}
}
