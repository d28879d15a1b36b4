package controlclient

import (
	"context"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("controlclient")

// ErrUnavailable is returned when no leader answered before the deadline. Whether
// the operation has taken effect is unknown. It is safe to send it again.
var ErrUnavailable = Error.New("control is unavailable")

// ErrNoLeader is returned when no leader was found before Call.LeaderDeadline and
// no member can have received the operation. The operation has not taken effect.
var ErrNoLeader = Error.New("no leader; the operation was not taken")

// RefusedError is returned when control has refused the operation.
type RefusedError struct {
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return "controlclient: refused: " + e.Reason }

// DefaultTimeout bounds a call of Client.Do whose context has no deadline.
const DefaultTimeout = 5 * time.Second

// callCapacity bounds the calls that are queued for the duty. At 2 ms per call,
// it is enough for all calls that the rings of the callers hold.
const callCapacity = 4096

// Call is one operation. Operation, Payload, Deadline and Reply must be set.
type Call struct {
	Operation      controlapi.Operation
	Payload        []byte // JSON of the operation's request type
	Deadline       time.Time
	LeaderDeadline time.Time     // ends the search for a leader; zero for Deadline
	MaxHold        time.Duration // how long control may hold the response; extends the response timeout
	TraceParent    string
	CorrelationID  uint64             // returned in Result
	Reply          *ring.Ring[Result] // must have room for the results of all calls in flight that use it
}

// Result is the outcome of a call: a payload, or an error that is ErrUnavailable,
// ErrNoLeader or a *RefusedError.
type Result struct {
	CorrelationID uint64
	Payload       []byte // JSON of the operation's response type
	Err           error
}

// Options configure a Client.
type Options struct {
	Local             link.Identity // with the role entry, agent or admin
	Members           []settings.Member
	ConfigRevision    func() uint64 // sent in heartbeats; may be nil
	HeartbeatInterval time.Duration // 0 for the default of package link
	SilenceTimeout    time.Duration // closes a link that receives nothing; 0 for the default of package link
	Observer          supervise.Observer
	// LeaderTimeout bounds how long Do looks for a leader before it returns
	// ErrNoLeader. If it is 0, only the deadline of the call bounds the search.
	LeaderTimeout time.Duration
	// ResolveAddress returns the address of a member that is not in Members. With
	// it, the client links members that join later. It is nil where Members lists
	// all members.
	ResolveAddress func(id string) (string, error)
}

// Client is the supervisor of the links to the control members and of the duty
// that owns the calls in flight.
type Client struct {
	*supervise.Supervisor
	duty          *duty
	leaderTimeout time.Duration
}

// New returns a client, which must be run as a child of a supervisor.
func New(o Options) *Client {
	c := &Client{
		Supervisor:    supervise.New("controlclient", supervise.Policy{}, o.Observer),
		duty:          newDuty(o.Members),
		leaderTimeout: o.LeaderTimeout,
	}
	c.Add("calls", c.duty)
	links := supervise.New("controlclient.links", supervise.Policy{MaxFailures: supervise.Unlimited}, o.Observer)
	for _, m := range o.Members {
		links.Add("member "+m.ID, newDialer(o, c.duty, m))
	}
	if o.ResolveAddress != nil {
		c.duty.linkMember = func(ctx context.Context, id string) error {
			address, err := o.ResolveAddress(id)
			if err != nil {
				return Error.Wrap(err)
			}
			return links.StartTemporary(ctx, "member "+id, newDialer(o, c.duty, settings.Member{ID: id, Address: address}))
		}
	}
	if len(o.Members) > 0 {
		c.Add("links", links)
	}
	return c
}

func newDialer(o Options, d *duty, m settings.Member) *link.Dialer {
	return link.NewDialer(m.Address, link.Options{
		Local:             o.Local,
		Accept:            []wire.Role{wire.Role_ROLE_CONTROL},
		ConfigRevision:    o.ConfigRevision,
		HeartbeatInterval: o.HeartbeatInterval,
		SilenceTimeout:    o.SilenceTimeout,
		Observer:          o.Observer,
	}, &memberHandler{member: m.ID, duty: d})
}

// Send queues a call without blocking. Its result is delivered to call.Reply. Send
// fails with ErrUnavailable when the queue is full.
func (c *Client) Send(call Call) error {
	if err := c.duty.calls.Offer(call); err != nil {
		return Error.New("step=start operation=%s cause=%v: %w", call.Operation, err, ErrUnavailable)
	}
	return nil
}

// EnsureMembers links the members that are not linked yet. It has no effect where
// the settings name all members.
func (c *Client) EnsureMembers(_ context.Context, ids []string) error {
	return Error.Wrap(c.duty.namedMembers.PutLatest(ids))
}

// Do performs an operation, waits for its result and decodes it into out. It is
// meant for handlers of net/http. A duty must not block and uses Send.
func (c *Client) Do(ctx context.Context, op controlapi.Operation, in, out any) error {
	payload, err := json.Marshal(in)
	if err != nil {
		return Error.New("step=encode operation=%s: %w", op, err)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(DefaultTimeout)
	}
	reply := ring.New[Result]("controlclient.reply", 1)
	call := Call{Operation: op, Payload: payload, Deadline: deadline, MaxHold: MaxHold(in), Reply: reply}
	if c.leaderTimeout > 0 {
		call.LeaderDeadline = time.Now().Add(c.leaderTimeout)
	}
	if err := c.Send(call); err != nil {
		return err
	}
	return awaitResult(ctx, op, reply, out)
}

func awaitResult(ctx context.Context, op controlapi.Operation, reply *ring.Ring[Result], out any) error {
	result, err := reply.Take(ctx)
	if err != nil {
		return Error.New("step=await operation=%s cause=%v: %w", op, err, ErrUnavailable)
	}
	if result.Err != nil {
		return result.Err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(result.Payload, out); err != nil {
		return Error.New("step=decode operation=%s: %w", op, err)
	}
	return nil
}

// MaxHold returns how long control may hold the response to a request.
func MaxHold(in any) time.Duration {
	switch r := in.(type) {
	case controlapi.ConfigRequest:
		return time.Duration(r.WaitMillis) * time.Millisecond
	case *controlapi.ConfigRequest:
		return time.Duration(r.WaitMillis) * time.Millisecond
	case controlapi.TargetReport:
		return time.Duration(r.HoldMillis) * time.Millisecond
	default:
		return 0
	}
}
