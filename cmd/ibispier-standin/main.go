// Command ibispier-standin runs a stand-in of the platform's side: a target.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/ibispier/ibispier/standin/target"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 0 {
		return usage()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch args[0] {
	case "target":
		err = runTarget(ctx, args[1:])
	default:
		return usage()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "ibispier-standin:", err)
		return exitFailed
	}
	return 0
}

func usage() int {
	fmt.Fprintln(os.Stderr, "usage: ibispier-standin target [flags]")
	return exitUsage
}

func runTarget(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("target", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:9090", "address to serve on")
	serviceTime := flags.Duration("service-time", 0, "time that each request takes")
	record := flags.Bool("record", true, "keep a record of every request that ran")
	_ = flags.Parse(args)
	socket, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	return target.New(socket, target.Options{ServiceTime: *serviceTime, Discard: !*record}).Run(ctx)
}
