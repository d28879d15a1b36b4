// Package entry is the supervisor of the role entry: it serves callers and
// holds the links from agents.
package entry

import (
	"context"
	"net"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/daemon/entry/frontend"
	"github.com/ibispier/ibispier/daemon/entry/relay"
	"github.com/ibispier/ibispier/daemon/entry/router"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/routing"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/telemetry"
	"github.com/ibispier/ibispier/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("entry")

// Role is the role entry of a process.
type Role struct {
	*supervise.Supervisor
	frontend *frontend.Duty
	relay    *relay.Duty
}

// New opens the sockets and returns the role.
func New(s *settings.Settings, log *zap.Logger, observer supervise.Observer) (*Role, error) {
	callers, err := net.Listen("tcp", s.Entry.Listen)
	if err != nil {
		return nil, Error.New("step=listen addr=%s: %w", s.Entry.Listen, err)
	}
	agents, err := net.Listen("tcp", s.Entry.AgentListen)
	if err != nil {
		_ = callers.Close()
		return nil, Error.New("step=listen addr=%s: %w", s.Entry.AgentListen, err)
	}
	requests := router.New(routing.Options{
		Policy: routing.Policy(s.Routing.Policy),
		Zone:   s.Daemon.Zone,
		Seed:   seedOf(s.Daemon.ID),
	}, log)
	local := link.Identity{Role: wire.Role_ROLE_ENTRY, ID: s.Daemon.ID, Zone: s.Daemon.Zone}
	control := controlclient.New(controlclient.Options{Local: local, Members: s.Cluster.Control, Observer: observer})
	role := &Role{
		Supervisor: supervise.New("entry", supervise.Policy{}, observer),
		frontend:   frontend.New(callers, s.Entry, requests, log),
		relay: relay.New(relay.Options{
			Entry:    s.Daemon.ID,
			Zone:     s.Daemon.Zone,
			Control:  control,
			OnConfig: func(controlapi.Config) {},
			Log:      log,
		}),
	}
	role.frontend.ServeTasks(control)
	role.Add("router", requests)
	role.Add("frontend", role.frontend)
	role.Add("controlclient", control)
	role.Add("relay", role.relay)
	role.Add("agents", link.NewListener("agents", agents, link.Options{
		Local:          local,
		Accept:         []wire.Role{wire.Role_ROLE_AGENT},
		ConfigRevision: role.relay.Revision,
		Observer:       observer,
	}, link.Fanout(requests, role.relay)))
	return role, nil
}

// Observe sets where the role is counted and traced. It must be called before
// Run.
func (r *Role) Observe(t telemetry.Telemetry) {
	r.frontend.Observe(t)
}

// Ready reports whether the role may get requests.
func (r *Role) Ready() bool { return r.relay.Ready() }

// Drain finishes the requests in flight.
func (r *Role) Drain(ctx context.Context) error { return r.frontend.Drain(ctx) }

// seedOf gives entry instances different random streams.
func seedOf(id string) uint64 {
	var seed uint64 = 14695981039346656037
	for _, b := range []byte(id) {
		seed = (seed ^ uint64(b)) * 1099511628211
	}
	return seed
}
