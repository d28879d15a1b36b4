package server

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/tcplisten"
	"github.com/ibispier/ibispier/wire"
)

// startMember adds a control member to the tree whose requests are served by serve.
// No response is sent if it returns nil.
func startMember(t *testing.T, tree *supervise.Supervisor, id string, serve func(*applier.Request) *applier.Response) settings.Member {
	t.Helper()
	socket, err := link.Listen("127.0.0.1:0", tcplisten.Options{})
	if err != nil {
		t.Fatal(err)
	}
	requests := ring.New[*applier.Request]("requests", 16)
	tree.Add("applier "+id, supervise.Func(func(ctx context.Context) error {
		for {
			r, err := requests.Take(ctx)
			if err != nil {
				return nil
			}
			if resp := serve(r); resp != nil {
				r.Replier.Reply(*resp)
			}
		}
	}))
	tree.Add("server "+id, link.NewListener("server", socket, link.Options{
		Local:  link.Identity{Role: wire.Role_ROLE_CONTROL, ID: id},
		Accept: []wire.Role{wire.Role_ROLE_ENTRY},
	}, New(requests)))
	return settings.Member{ID: id, Address: socket.Addr()}
}

// runTree runs the tree until the end of the test, and returns a context for calls.
func runTree(t *testing.T, tree *supervise.Supervisor) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tree.Run(ctx) }()
	callCtx, cancelCall := context.WithTimeout(ctx, 20*time.Second)
	t.Cleanup(func() {
		cancelCall()
		cancel()
		<-done
	})
	return callCtx
}

// Guards against a client that fails to find the leader among a member that refuses
// with a wrong hint, a member that does not respond, and the leader.
func TestClientFindsTheLeader(t *testing.T) {
	tree := supervise.New("test", supervise.Policy{}, nil)
	refuseWithHint := func(*applier.Request) *applier.Response {
		return &applier.Response{Status: applier.NotLeader, Leader: "silent"}
	}
	silent := func(*applier.Request) *applier.Response { return nil }
	answerAsLeader := func(r *applier.Request) *applier.Response {
		if r.Operation == controlapi.OpTask {
			return &applier.Response{Status: applier.Refused, Reason: "not_found: " + r.Body.(*controlapi.TaskQuery).ID}
		}
		return &applier.Response{Body: controlapi.ResolveResponse{Accepted: r.Body.(*controlapi.ResolveRequest).Epoch == 7}}
	}
	client := controlclient.New(controlclient.Options{
		Local: link.Identity{Role: wire.Role_ROLE_ENTRY, ID: "e"},
		Members: []settings.Member{
			startMember(t, tree, "hints", refuseWithHint), startMember(t, tree, "silent", silent), startMember(t, tree, "leads", answerAsLeader),
		},
	})
	tree.Add("client", client)
	callCtx := runTree(t, tree)
	for range 3 {
		var out controlapi.ResolveResponse
		if err := client.Do(callCtx, controlapi.OpResolve, controlapi.ResolveRequest{Epoch: 7}, &out); err != nil || !out.Accepted {
			t.Fatalf("got %+v, %v, want the response of the leader", out, err)
		}
	}
	var refused *controlclient.RefusedError
	err := client.Do(callCtx, controlapi.OpTask, controlapi.TaskQuery{ID: "t"}, nil)
	if !errors.As(err, &refused) || refused.Reason != "not_found: t" {
		t.Fatalf("got %v, want the refusal of the leader", err)
	}
	err = client.Do(callCtx, "no-such-operation", controlapi.Empty{}, nil)
	if !errors.As(err, &refused) {
		t.Fatalf("got %v, want a refusal", err)
	}
}

// Guards against a request or a response above the size limit that ends the link of a
// process to control, and against one that is sent again until its deadline.
func TestMessageAboveTheLimitIsRefused(t *testing.T) {
	tree := supervise.New("test", supervise.Policy{}, nil)
	leader := startMember(t, tree, "leads", func(r *applier.Request) *applier.Response {
		if r.Operation == controlapi.OpManifestRead {
			return &applier.Response{Body: controlapi.ManifestResponse{Source: make([]byte, wire.MaxFrameBytes)}}
		}
		return &applier.Response{Body: controlapi.ResolveResponse{Accepted: true}}
	})
	lost := make(chan error, 16)
	client := controlclient.New(controlclient.Options{
		Local: link.Identity{Role: wire.Role_ROLE_ENTRY, ID: "e"}, Members: []settings.Member{leader},
		Observer: func(_, child string, err error) {
			if child != "frame" {
				lost <- err
			}
		},
	})
	tree.Add("client", client)
	callCtx := runTree(t, tree)
	for name, call := range map[string]func() error{
		"request": func() error {
			large := controlapi.ResolveRequest{Outcome: controlapi.Recorded{Body: make([]byte, wire.MaxFrameBytes)}}
			return client.Do(callCtx, controlapi.OpResolve, large, nil)
		},
		"response": func() error { return client.Do(callCtx, controlapi.OpManifestRead, controlapi.Empty{}, nil) },
	} {
		var refused *controlclient.RefusedError
		if err := call(); !errors.As(err, &refused) || !strings.HasPrefix(refused.Reason, controlapi.ReasonTooLarge) {
			t.Errorf("%s: got %v, want a refusal for its size", name, err)
		}
		if err := client.Do(callCtx, controlapi.OpResolve, controlapi.ResolveRequest{}, nil); err != nil {
			t.Errorf("call after the %s: %v", name, err)
		}
	}
	select {
	case err := <-lost:
		t.Errorf("the link was lost: %v", err)
	default:
	}
}

// Guards against an operation of the protocol that the server does not decode.
func TestEveryOperationIsDecoded(t *testing.T) {
	for _, op := range []controlapi.Operation{
		controlapi.OpClaim, controlapi.OpLookup, controlapi.OpResolve, controlapi.OpPermit, controlapi.OpConfig, controlapi.OpPropose, controlapi.OpSign,
		controlapi.OpProposals, controlapi.OpSubmit, controlapi.OpTask, controlapi.OpTasks, controlapi.OpCancelTask, controlapi.OpReport,
		controlapi.OpAnnounced, controlapi.OpStatus, controlapi.OpQuarantine, controlapi.OpRelease, controlapi.OpMembers,
		controlapi.OpMembership, controlapi.OpSnapshot,
	} {
		if _, err := decode(op, []byte("{}")); err != nil {
			t.Errorf("%s: %v", op, err)
		}
	}
	if _, err := decode(controlapi.OpClaim, []byte("{")); err == nil {
		t.Error("malformed JSON was accepted")
	}
}
