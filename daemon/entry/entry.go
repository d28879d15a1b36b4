// Package entry implements the entry role of a process: a supervisor whose
// duties serve callers, route their requests to targets and accept links from
// agents.
package entry

import (
	"context"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/daemon/entry/agents"
	"github.com/ibispier/ibispier/daemon/entry/frontend"
	"github.com/ibispier/ibispier/daemon/entry/relay"
	"github.com/ibispier/ibispier/daemon/entry/router"
	"github.com/ibispier/ibispier/httpduty"
	"github.com/ibispier/ibispier/limit"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/routing"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/telemetry"
	"github.com/ibispier/ibispier/wire"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("entry")

// Role is the entry role of a process and the root of its supervisor tree.
type Role struct {
	*supervise.Supervisor
	frontend *frontend.Duty
	relay    *relay.Duty
	router   *router.Duty
	// standalone is set for an entry instance that runs without control members.
	standalone bool
}

// New opens the listening sockets and builds the supervisor tree.
func New(s *settings.Settings, t telemetry.Telemetry, limits *httpduty.Limits, observer supervise.Observer) (*Role, error) {
	local := link.Identity{Role: wire.Role_ROLE_ENTRY, ID: s.Daemon.ID, Zone: s.Daemon.Zone}
	control := controlclient.New(controlclient.Options{Local: local, Members: s.Cluster.Control, Observer: observer})
	requestRouter := router.New(routingOptions(s), control, t.Log)
	requestRouter.SetTelemetry(t)
	frontendDuty, err := frontend.New(s, requestRouter, limits, t.Log)
	if err != nil {
		return nil, err
	}
	role := &Role{
		Supervisor: supervise.New("entry", supervise.Policy{}, observer),
		frontend:   frontendDuty,
		relay: relay.New(relay.Options{
			EntryID:  s.Daemon.ID,
			Zone:     s.Daemon.Zone,
			Control:  control,
			OnConfig: requestRouter.SetConfig,
			OnPermit: requestRouter.SetPermit,
			Log:      t.Log,
		}),
	}
	role.router = requestRouter
	role.standalone = s.Entry.Standalone
	if s.Entry.Standalone {
		requestRouter.SetConfig(standaloneConfig())
	}
	role.frontend.SetTelemetry(t)
	role.frontend.ServeTasks(control)
	role.relay.SetTelemetry(t)
	control.SetTelemetry(t)
	role.Add("router", requestRouter)
	role.Add("frontend", role.frontend)
	role.Add("controlclient", control)
	role.Add("relay", role.relay)
	agentLinks, err := agents.New(s, local, link.Fanout(requestRouter, role.relay), role.relay.Revision, observer)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	role.Add("agents", agentLinks)
	return role, nil
}

// Ready reports whether the entry instance can serve requests.
func (r *Role) Ready() bool { return r.router.Ready() && (r.standalone || r.relay.Ready()) }

// Quiesce makes callers reconnect to other entry instances. Requests that still
// arrive are served.
func (r *Role) Quiesce() { r.frontend.Quiesce() }

// Drain stops accepting callers and waits for the requests in flight.
func (r *Role) Drain(ctx context.Context) error { return r.frontend.Drain(ctx) }

func routingOptions(s *settings.Settings) routing.Options {
	return routing.Options{
		Policy:         routing.Policy(s.Routing.Policy),
		ID:             s.Daemon.ID,
		Seed:           seedFromID(s.Daemon.ID),
		Hedging:        s.Routing.Hedging,
		RetryRatio:     float64(s.Routing.RetryPercent) / 100,
		HedgeRatio:     float64(s.Routing.HedgePercent) / 100,
		ClaimsEnabled:  len(s.Cluster.Control) > 0,
		PermitRequired: s.Permit.Scope == settings.PermitAll && !s.Entry.Standalone,
	}
}

// standaloneConfig returns the configuration of an entry instance without
// control members: every caller may use every service. Its limits only bound
// the memory of the process.
func standaloneConfig() controlapi.Config {
	return controlapi.Config{
		Customers: []controlapi.Subscription{{Customer: limit.Wildcard, Plan: "open"}},
		Plans: []controlapi.Plan{{
			Name:              "open",
			Services:          []string{limit.Wildcard},
			RequestsPerSecond: 1e6,
			Burst:             1e6,
			Concurrency:       1 << 20,
		}},
	}
}

// seedFromID returns the 64-bit FNV-1a hash of the id, so that each entry
// instance uses a different random sequence.
func seedFromID(id string) uint64 {
	var seed uint64 = 14695981039346656037
	for _, b := range []byte(id) {
		seed = (seed ^ uint64(b)) * 1099511628211
	}
	return seed
}
