// Command ibispierd is the daemon of ibispier. Its settings say which of the
// roles entry, control and agent it has.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
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

// configVariable names the settings file where -config does not.
const configVariable = "IBISPIER_CONFIG"

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("config", os.Getenv(configVariable), "settings file (INI); by default the file that "+configVariable+" names")
	check := flag.Bool("check", false, "check the settings file, print the effective settings and end")
	dev := flag.Bool("dev", false, "run all roles, a stand-in target and a stand-in worker in this process")
	flag.Usage = usage
	flag.Parse()
	if (*path == "") == !*dev || *check && *dev || flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "ibispierd: give either -config FILE or -dev; see -h")
		return exitUsage
	}
	if *dev {
		return serveDev()
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "ibispierd:", err)
		return exitUsage
	}
	if *check {
		return printSettings(s)
	}
	return serve(s, *path, false)
}

func usage() {
	fmt.Fprint(flag.CommandLine.Output(), "usage: ibispierd -config FILE [-check] | -dev\n\nexample:\n  ibispierd -config examples/local/control-1.ini -check\n\nflags:\n")
	flag.PrintDefaults()
}

func printSettings(s *settings.Settings) int {
	if err := s.Write(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "ibispierd:", err)
		return exitFailed
	}
	return 0
}

// serve runs the daemon. The path is empty for settings that no file holds.
func serve(s *settings.Settings, path string, dev bool) int {
	if s.Daemon.MemoryMiB > 0 {
		debug.SetMemoryLimit(s.Daemon.MemoryMiB << 20)
	}
	lines := telemetry.NewRingWriter(logOutput(s))
	observed, err := observe(s, lines)
	if err != nil {
		fmt.Fprintln(os.Stderr, "ibispierd:", err)
		return exitFailed
	}
	signals := daemon.Signals()
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	reloads := daemon.Signals()
	signal.Notify(reloads, syscall.SIGHUP)
	d, err := daemon.NewObserved(s, observed, signals)
	if err == nil && dev {
		err = addStandins(d, s)
	}
	if err == nil {
		d.Add("log", lines)
		observed.Metrics.RegisterRing(lines.Stats)
	}
	if err == nil && path != "" {
		d.Add("reload", daemon.NewReloader(path, s, reloads, observed.Log))
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

// logOutput returns where the log goes. The users' platform collects standard
// output.
func logOutput(s *settings.Settings) io.Writer {
	if s.Jobs.Enabled {
		return os.Stdout
	}
	return telemetry.Stderr()
}

// observe sets up the log, the metrics and the traces of the process.
func observe(s *settings.Settings, lines io.Writer) (telemetry.Telemetry, error) {
	metrics := telemetry.NewMetrics()
	logger, err := telemetry.NewLoggerWithMetrics(lines, s.Log.Level, s.Daemon.ID, metrics)
	if err != nil {
		return telemetry.Telemetry{}, err
	}
	tracer, err := telemetry.NewTracer(context.Background(), telemetry.TraceOptions{
		Exporter:    s.Trace.Exporter,
		File:        s.Trace.File,
		Endpoint:    s.Trace.Endpoint,
		SampleRatio: s.Trace.SampleRatio,
		Process:     s.Daemon.ID,
		Zone:        s.Daemon.Zone,
	})
	return telemetry.Telemetry{Log: logger, Metrics: metrics, Tracer: tracer}, err
}
