package daemon

import (
	"github.com/ibispier/ibispier/daemon/control"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/daemon/control/scheduler"
	"github.com/ibispier/ibispier/daemon/control/server"
)

// newControl returns the control role with the duties that own the control state
// and serve it to clients.
func (d *Daemon) newControl() (*control.Role, error) {
	role, err := control.New(d.settings, d.log, d.observeFailure, d.files)
	if err != nil {
		return nil, err
	}
	o := applier.DefaultOptions(d.log)
	o.Permit.TTL = d.settings.Permit.TTL
	o.Addresses = map[string]string{}
	for _, m := range d.settings.Cluster.Control {
		o.Addresses[m.ID] = m.Address
	}
	state := applier.New(o, role.Inputs, role.Updates)
	role.AddCoreDuty("applier", state)
	role.AddCoreDuty("snapshots", state.Snapshotter())
	role.AddCoreDuty("scheduler", scheduler.New(state.SchedulerUpdates, state.Decisions))
	role.SetClientHandler(server.New(state.Requests))
	m := d.telemetry.Metrics
	m.RegisterRing(role.Inputs.Stats)
	m.RegisterRing(role.Updates.Stats)
	m.RegisterRing(state.Requests.Stats)
	m.RegisterRing(state.SchedulerUpdates.Stats)
	m.RegisterRing(state.Decisions.Stats)
	return role, nil
}
