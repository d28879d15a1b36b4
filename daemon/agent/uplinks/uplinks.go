// Package uplinks keeps the links from an agent to all entry instances.
package uplinks

import (
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/wire"
)

// New returns the supervisor of the links. revision returns the configuration
// revision that the agent has received, which the links report to the entry
// instances.
func New(s *settings.Settings, h link.Handler, revision func() uint64, observer supervise.Observer) *supervise.Supervisor {
	links := supervise.New("uplinks", supervise.Policy{MaxFailures: supervise.Unlimited}, observer)
	for _, address := range s.Cluster.Entries {
		links.Add("entry "+address, link.NewDialer(address, link.Options{
			Local:          link.Identity{Role: wire.Role_ROLE_AGENT, ID: s.Daemon.ID, Zone: s.Daemon.Zone},
			Accept:         []wire.Role{wire.Role_ROLE_ENTRY},
			Observer:       observer,
			ConfigRevision: revision,
		}, h))
	}
	return links
}
