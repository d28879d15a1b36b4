// Package agent implements the agent role of a process, which runs beside a
// target on the same instance. It admits requests to the target, runs tasks on
// the worker and keeps links to all entry instances.
package agent

import (
	"context"

	"github.com/ibispier/ibispier/daemon/agent/admission"
	"github.com/ibispier/ibispier/daemon/agent/slots"
	"github.com/ibispier/ibispier/daemon/agent/targetapi"
	"github.com/ibispier/ibispier/daemon/agent/tasks"
	"github.com/ibispier/ibispier/daemon/agent/uplinks"
	"github.com/ibispier/ibispier/daemon/agent/workercalls"
	"github.com/ibispier/ibispier/httpduty"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/telemetry"
)

// Role is the agent role of a process and the root of its supervisor tree.
type Role struct {
	*supervise.Supervisor
	admission *admission.Duty
	tasks     *tasks.Duty
}

// New builds the supervisor tree of the role.
func New(s *settings.Settings, t telemetry.Telemetry, limits *httpduty.Limits, observer supervise.Observer) (*Role, error) {
	admissionDuty, err := admission.New(s, t.Log)
	if err != nil {
		return nil, err
	}
	admissionDuty.SetTelemetry(t)
	slotOptions := admission.SlotOptions(s)
	slotOptions.Tracer = t.Tracer
	role := &Role{
		Supervisor: supervise.New("agent", supervise.Policy{Strategy: supervise.OneForAll}, observer),
		admission:  admissionDuty,
		tasks:      tasks.New(s, t.Log),
	}
	role.tasks.SetTelemetry(t)
	role.Add("admission", admissionDuty)
	role.Add("slots", slots.New(slotOptions, admissionDuty.Jobs, admissionDuty.Results, observer))
	role.Add("probe", admissionDuty.Probe)
	if s.Agent.Listen != "" {
		targetAPI, err := targetapi.New(s, admissionDuty, limits)
		if err != nil {
			return nil, err
		}
		role.Add("targetapi", targetAPI)
	}
	role.Add("tasks", role.tasks)
	if s.Agent.WorkerURL != "" {
		role.Add("workercalls", workercalls.New(s.Agent.WorkerURL, role.tasks.Jobs, role.tasks.Results, observer))
	}
	role.Add("uplinks", uplinks.New(s, link.Fanout(admissionDuty, role.tasks), role.tasks.Revision, observer))
	return role, nil
}

// Drain refuses new tasks and requests and waits for the requests in flight.
func (r *Role) Drain(ctx context.Context) error {
	if err := r.tasks.Drain(ctx); err != nil {
		return err
	}
	return r.admission.Drain(ctx)
}
