// Command ibispierd is the daemon of ibispier. Its settings say which of the
// roles entry, control and agent it has.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/ibispier/ibispier/daemon"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/telemetry"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("config", "", "settings file (INI)")
	dev := flag.Bool("dev", false, "run all roles and a stand-in target in this process")
	flag.Parse()
	if (*path == "") == !*dev || flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "ibispierd: give either -config FILE or -dev")
		return exitUsage
	}
	s := devSettings()
	if !*dev {
		loaded, err := settings.Load(*path)
		if err != nil {
			fmt.Fprintln(os.Stderr, "ibispierd:", err)
			return exitUsage
		}
		s = loaded
	}
	return serve(s, *dev)
}

func serve(s *settings.Settings, dev bool) int {
	logger, err := telemetry.NewLogger(telemetry.Stderr(), s.Log.Level, s.Daemon.ID)
	if err != nil {
		fmt.Fprintln(os.Stderr, "ibispierd:", err)
		return exitUsage
	}
	signals := daemon.Signals()
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	d, err := daemon.New(s, logger, signals)
	if err == nil && dev {
		err = addStandins(d, s)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "ibispierd:", err)
		return exitFailed
	}
	if err := d.Run(context.Background()); err != nil {
		return exitFailed
	}
	return 0
}
