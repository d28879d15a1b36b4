package main

import (
	"fmt"
	"net"

	"github.com/ibispier/ibispier/daemon"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/standin/target"
)

const devTarget = "127.0.0.1:9090"

// devSettings returns the settings of a process with all roles.
func devSettings() *settings.Settings {
	s := settings.Default()
	s.Daemon.ID = "dev"
	s.Daemon.Roles = []string{settings.RoleEntry, settings.RoleAgent}
	s.Daemon.Zone = "dev-a"
	s.Daemon.Grace = 0
	s.Cluster.Entries = []string{s.Entry.AgentListen}
	s.Entry.Standalone = true
	s.Agent.Target = "http://" + devTarget
	s.Agent.Service = "price-check"
	return s
}

// addStandins adds the stand-in target and prints how to use it.
func addStandins(d *daemon.Daemon, s *settings.Settings) error {
	socket, err := net.Listen("tcp", devTarget)
	if err != nil {
		return err
	}
	d.Add("target", target.New(socket, target.Options{}))
	fmt.Printf("curl -i -H 'Ibispier-Customer: demo' http://%s/v1/services/price-check/lots/1\n", s.Entry.Listen)
	return nil
}
