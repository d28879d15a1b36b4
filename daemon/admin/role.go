package admin

import (
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/httpduty"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/wire"
)

// Role supervises the operator API and its links to the control members.
type Role struct {
	*supervise.Supervisor
	HTTP *Duty
}

// NewRole opens the socket and returns the role. A process without control members
// in its settings answers control operations with "unavailable". So does a process
// that serves jobs, because its operators call the control members directly.
func NewRole(s *settings.Settings, readiness *Readiness, limits *httpduty.Limits, observer supervise.Observer) (*Role, error) {
	duty, err := New(s, readiness, limits)
	if err != nil {
		return nil, err
	}
	role := &Role{Supervisor: supervise.New("admin", supervise.Policy{}, observer), HTTP: duty}
	role.Add("http", duty)
	if len(s.Cluster.Control) == 0 || s.Jobs.Enabled {
		duty.ServeOperators(nil)
		return role, nil
	}
	control := controlclient.New(controlclient.Options{
		Local:    link.Identity{Role: wire.Role_ROLE_ADMIN, ID: s.Daemon.ID, Zone: s.Daemon.Zone},
		Members:  s.Cluster.Control,
		Observer: observer,
	})
	role.Add("controlclient", control)
	duty.ServeOperators(control)
	return role, nil
}
