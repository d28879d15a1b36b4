// Package agents accepts the links that agents open to an entry instance.
package agents

import (
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/wire"
)

// New opens the listening socket for agents and returns the supervisor of their
// links. revision returns the configuration revision in force, which the links
// report to the agents.
func New(s *settings.Settings, local link.Identity, h link.Handler, revision func() uint64, observer supervise.Observer) (*supervise.Supervisor, error) {
	socket, err := link.Listen(s.Entry.AgentListen, s.Bounds().Links)
	if err != nil {
		return nil, err
	}
	return link.NewListener("agents", socket, link.Options{
		Local:          local,
		Accept:         []wire.Role{wire.Role_ROLE_AGENT},
		MaxHandshakes:  s.Bounds().Handshakes,
		ConfigRevision: revision,
		Observer:       observer,
	}, h), nil
}
