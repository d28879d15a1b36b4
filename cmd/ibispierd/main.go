// Command ibispierd is the daemon of ibispier. Its settings select which of the
// roles entry, control and agent it runs.
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

// configVariable is the environment variable that holds the default of -config.
const configVariable = "IBISPIER_CONFIG"

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("config", os.Getenv(configVariable), "settings file (INI); default: the value of "+configVariable+"")
	check := flag.Bool("check", false, "check the settings file, print the effective settings and exit")
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

// serve runs the daemon. path is empty if the settings were not read from a file.
func serve(s *settings.Settings, path string, dev bool) int {
	if s.Daemon.MemoryMiB > 0 {
		debug.SetMemoryLimit(s.Bounds().RuntimeBytes)
	}
	logWriter := telemetry.NewRingWriter(logOutput(s))
	tel, err := newTelemetry(s, logWriter)
	if err != nil {
		fmt.Fprintln(os.Stderr, "ibispierd:", err)
		return exitFailed
	}
	signals := daemon.NewSignalChannel()
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	reloads := daemon.NewSignalChannel()
	signal.Notify(reloads, syscall.SIGHUP)
	d, err := daemon.NewWithTelemetry(s, tel, signals)
	if err == nil && dev {
		err = addStandins(d, s)
	}
	if err == nil {
		d.Add("log", logWriter)
		tel.Metrics.RegisterRing(logWriter.Stats)
	}
	if err == nil && path != "" {
		d.Add("reload", daemon.NewReloader(path, s, reloads, tel.Log, d.ApplySettings))
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

// logOutput returns the destination of the log. A process that serves jobs logs to
// standard output, because the platform collects it.
func logOutput(s *settings.Settings) io.Writer {
	if s.Jobs.Enabled {
		return os.Stdout
	}
	return telemetry.Stderr()
}

// newTelemetry creates the logger, the metrics and the tracer of the process.
func newTelemetry(s *settings.Settings, logWriter io.Writer) (telemetry.Telemetry, error) {
	metrics := telemetry.NewMetrics()
	logger, err := telemetry.NewLoggerWithMetrics(logWriter, s.Log.Level, s.Daemon.ID, metrics)
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
