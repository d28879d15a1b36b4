package main

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"os"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon"
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/plan"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/wire"
)

// setupTimeout bounds each step of the setup. The first step waits until the
// sockets are open and a leader is elected.
const setupTimeout = 10 * time.Second

// serveDev runs a daemon with a temporary data folder, so every start sets up a new
// deployment.
func serveDev() int {
	s := devSettings()
	data, err := os.MkdirTemp("", "ibispier-dev-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "ibispierd:", err)
		return exitFailed
	}
	defer os.RemoveAll(data)
	s.Daemon.DataFolder = data
	return serve(s, "", true)
}

// setup is the duty that makes a new deployment usable: it bootstraps control and
// has the customer and plan lists accepted, signed with generated keys of two
// owners.
type setup struct {
	control *controlclient.Client
	owners  map[string]ed25519.PrivateKey
}

func addSetup(d *daemon.Daemon, s *settings.Settings) {
	control := controlclient.New(controlclient.Options{
		Local:   link.Identity{Role: wire.Role_ROLE_ADMIN, ID: s.Daemon.ID, Zone: s.Daemon.Zone},
		Members: s.Cluster.Control,
	})
	d.Add("setup.control", control)
	d.Add("setup", supervise.Func((&setup{control: control}).run))
}

func (s *setup) run(ctx context.Context) error {
	public := map[string]string{}
	s.owners = map[string]ed25519.PrivateKey{}
	for _, name := range []string{"dev-1", "dev-2"} {
		key, private, err := ed25519.GenerateKey(nil)
		if err != nil {
			return err
		}
		public[name] = base64.StdEncoding.EncodeToString(key)
		s.owners[name] = private
	}
	var members controlapi.MembersResponse
	if err := s.do(ctx, controlapi.OpMembership, controlapi.MembershipRequest{Action: "bootstrap"}, &members); err != nil {
		return err
	}
	owners := controlapi.Change{Kind: controlapi.ChangeOwners, Owners: public}
	if err := s.do(ctx, controlapi.OpPropose, controlapi.ProposeRequest{ChangeID: "dev-owners", Change: owners}, nil); err != nil {
		return err
	}
	return s.accept(ctx, controlapi.ProposeRequest{ChangeID: "dev-lists", Base: 1, Force: true, Change: devLists()})
}

// accept proposes a change and approves it with the keys of both owners.
func (s *setup) accept(ctx context.Context, r controlapi.ProposeRequest) error {
	var p controlapi.Proposal
	if err := s.do(ctx, controlapi.OpPropose, r, &p); err != nil {
		return err
	}
	for name, key := range s.owners {
		sign := controlapi.SignRequest{ChangeID: r.ChangeID, Owner: name, Signature: plan.Signature(key, p.Digest, false)}
		if err := s.do(ctx, controlapi.OpSign, sign, &p); err != nil {
			return err
		}
	}
	return nil
}

func (s *setup) do(ctx context.Context, op controlapi.Operation, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	return s.control.Do(ctx, op, in, out)
}

// devLists returns lists that allow the customer demo to use all services. The
// caller forces the change, because the capacity of the stand-ins may not be
// announced yet.
func devLists() controlapi.Change {
	return controlapi.Change{
		Kind:      controlapi.ChangeLists,
		Customers: []controlapi.Subscription{{Customer: "demo", Plan: "dev"}},
		Plans: []controlapi.Plan{{
			Name: "dev", Services: []string{plan.AllServices}, RequestsPerSecond: 1000, Concurrency: 64, Burst: 1000,
			CPUMilli: 8000, MemoryMiB: 16384, Tasks: 64,
		}},
	}
}
