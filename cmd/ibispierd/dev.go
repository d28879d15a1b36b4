package main

import (
	"encoding/base64"
	"fmt"
	"net"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/standin/target"
	"github.com/ibispier/ibispier/standin/worker"
	"github.com/ibispier/ibispier/supervise"
)

// Listen addresses of the stand-ins.
const (
	devTarget = "127.0.0.1:9090"
	devWorker = "127.0.0.1:9091"
)

// devSettings returns the settings of a development process with all roles.
func devSettings() *settings.Settings {
	s := settings.Default()
	s.Daemon.ID = "dev"
	s.Daemon.Roles = []string{settings.RoleControl, settings.RoleEntry, settings.RoleAgent}
	s.Daemon.Zone = "dev-a"
	s.Daemon.Grace = 0
	s.Cluster.Entries = []string{s.Entry.AgentListen}
	s.Cluster.Control = []settings.Member{{ID: s.Daemon.ID, Address: s.Control.Listen}}
	s.Agent.TargetURL = "http://" + devTarget
	s.Agent.Service = "price-check"
	s.Agent.WorkerURL = "http://" + devWorker
	s.Agent.Rack = "dev-rack"
	s.Agent.CPUMilli = 8000
	s.Agent.MemoryMiB = 16384
	return s
}

// addStandins adds the stand-in target and worker and the duty that configures the
// deployment, and prints example commands.
func addStandins(d *daemon.Daemon, s *settings.Settings) error {
	targetSocket, err := net.Listen("tcp", devTarget)
	if err != nil {
		return err
	}
	workerSocket, err := net.Listen("tcp", devWorker)
	if err != nil {
		return err
	}
	d.Add("target", target.New(targetSocket, target.Options{}))
	standinWorker := worker.New(workerSocket, worker.Options{ID: s.Daemon.ID, Zone: s.Daemon.Zone, Capacity: controlapi.Resources{
		CPUMilli: s.Agent.CPUMilli, MemoryMiB: s.Agent.MemoryMiB,
	}})
	d.Add("worker", standinWorker)
	d.Add("worker.clock", supervise.Func(standinWorker.RunClock))
	addSetup(d, s)
	printExamples(s.Entry.Listen)
	return nil
}

// printExamples prints shell commands for a request, a batch task and a watcher.
// A task without a payload never ends on the stand-in worker.
func printExamples(entry string) {
	const task = `curl -i -X POST -d '{"id":%q,"customer":"demo","kind":%q,"class":"any",` +
		`"size":{"cpu_milli":100,"memory_mib":64}%s}' http://%s/v1/tasks` + "\n"
	payload := base64.StdEncoding.EncodeToString([]byte(`{"work_ms":500}`))
	fmt.Printf("curl -i -H 'Ibispier-Customer: demo' http://%s/v1/services/price-check/lots/1\n", entry)
	fmt.Printf(task, "t1", controlapi.KindBatch, `,"payload":"`+payload+`"`, entry)
	fmt.Printf(task, "w1", controlapi.KindWatcher, "", entry)
}
