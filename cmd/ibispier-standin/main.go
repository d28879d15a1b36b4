// Command ibispier-standin runs a stand-in for a target or for a worker of the
// platform. Tests and local deployments use it.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/standin/target"
	"github.com/ibispier/ibispier/standin/worker"
	"github.com/ibispier/ibispier/supervise"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	kind        string
	listen      string
	id          string
	zone        string
	serviceTime time.Duration
	usageLag    time.Duration
	failAll     bool
	discard     bool
	agent       string
	capacity    controlapi.Resources
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	flag.StringVar(&o.kind, "kind", "target", "target or worker")
	flag.StringVar(&o.listen, "listen", "127.0.0.1:0", "address (ip:port)")
	flag.StringVar(&o.id, "id", "standin", "name of the worker in its records")
	flag.StringVar(&o.zone, "zone", "", "availability zone of the worker in its records")
	flag.DurationVar(&o.serviceTime, "service-time", 0, "target: processing time of each request")
	flag.BoolVar(&o.discard, "discard", false, "target: keep no record of the requests that ran")
	flag.StringVar(&o.agent, "agent", "", "target: address (ip:port) of the agent to announce the target to")
	flag.DurationVar(&o.usageLag, "usage-lag", time.Second, "worker: lag of the usage reports")
	flag.BoolVar(&o.failAll, "fail-all", false, "worker: let every task fail right after its start")
	flag.Int64Var(&o.capacity.CPUMilli, "cpu-milli", 64_000, "worker: processors in millicores")
	flag.Int64Var(&o.capacity.MemoryMiB, "memory-mib", 250_000, "worker: memory in MiB")
	flag.Int64Var(&o.capacity.Accelerators, "accelerators", 0, "worker: accelerators")
	flag.Parse()
	if flag.NArg() > 0 || o.kind != "target" && o.kind != "worker" {
		fmt.Fprintln(os.Stderr, "ibispier-standin: -kind must be target or worker")
		return exitUsage
	}
	if err := serve(o); err != nil {
		fmt.Fprintln(os.Stderr, "ibispier-standin:", err)
		return exitFailed
	}
	return 0
}

func serve(o options) error {
	socket, err := net.Listen("tcp", o.listen)
	if err != nil {
		return err
	}
	fmt.Println(socket.Addr())
	root := supervise.New("standin", supervise.Policy{Strategy: supervise.EndTogether}, nil)
	switch o.kind {
	case "target":
		t := target.New(socket, target.Options{ServiceTime: o.serviceTime, Discard: o.discard, Agent: o.agent})
		root.Add("target", t)
		if o.agent != "" {
			root.Add("announcements", supervise.Func(t.Announce))
		}
	case "worker":
		w := worker.New(socket, worker.Options{
			ID: o.id, Zone: o.zone, Capacity: o.capacity, UsageLag: o.usageLag, FailAll: o.failAll,
		})
		root.Add("worker", w)
		root.Add("clock", supervise.Func(w.RunClock))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = root.Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
