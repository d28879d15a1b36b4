// Package agent is the supervisor of the role agent: the process beside a
// target, which admits requests to it and keeps links to all entry instances.
package agent

import (
	"context"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/daemon/agent/admission"
	"github.com/ibispier/ibispier/daemon/agent/slots"
	"github.com/ibispier/ibispier/daemon/agent/tasks"
	"github.com/ibispier/ibispier/daemon/agent/workercalls"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/wire"
)

// Role is the role agent of a process.
type Role struct {
	*supervise.Supervisor
	admission *admission.Duty
	tasks     *tasks.Duty
}

// New returns the role.
func New(s *settings.Settings, log *zap.Logger, observer supervise.Observer) *Role {
	admit := admission.New(s, log)
	role := &Role{
		Supervisor: supervise.New("agent", supervise.Policy{Strategy: supervise.OneForAll}, observer),
		admission:  admit,
		tasks:      tasks.New(s, log),
	}
	role.Add("admission", admit)
	role.Add("slots", slots.New(slots.Options{
		Target:      s.Agent.Target,
		Slots:       s.Agent.Slots,
		Connections: s.Agent.Connections,
		MaxBody:     s.Entry.MaxBody,
	}, admit.Work, admit.Results, observer))
	role.Add("tasks", role.tasks)
	if s.Agent.Worker != "" {
		role.Add("workercalls", workercalls.New(s.Agent.Worker, role.tasks.Jobs, role.tasks.Done, observer))
	}
	role.Add("uplinks", newUplinks(s, link.Fanout(admit, role.tasks), role.tasks.Revision, observer))
	return role
}

func newUplinks(s *settings.Settings, h link.Handler, revision func() uint64, observer supervise.Observer) *supervise.Supervisor {
	uplinks := supervise.New("uplinks", supervise.Policy{Intensity: supervise.Unlimited}, observer)
	for _, address := range s.Cluster.Entries {
		uplinks.Add("entry "+address, link.NewDialer(address, link.Options{
			Local:          link.Identity{Role: wire.Role_ROLE_AGENT, ID: s.Daemon.ID, Zone: s.Daemon.Zone},
			Accept:         []wire.Role{wire.Role_ROLE_ENTRY},
			Observer:       observer,
			ConfigRevision: revision,
		}, h))
	}
	return uplinks
}

// Drain announces that the target leaves and waits for the requests in flight.
func (r *Role) Drain(ctx context.Context) error {
	if err := r.tasks.Drain(ctx); err != nil {
		return err
	}
	return r.admission.Drain(ctx)
}
