// Package agents is the supervisor of the links from agents to an entry
// instance.
package agents

import (
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/wire"
)

// New opens the socket and returns the supervisor.
func New(address string, local link.Identity, h link.Handler, revision func() uint64, observer supervise.Observer) (*supervise.Supervisor, error) {
	socket, err := link.Listen(address)
	if err != nil {
		return nil, err
	}
	return link.NewListener("agents", socket, link.Options{
		Local:          local,
		Accept:         []wire.Role{wire.Role_ROLE_AGENT},
		ConfigRevision: revision,
		Observer:       observer,
	}, h), nil
}
