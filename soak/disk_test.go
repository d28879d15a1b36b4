package soak

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ibispier/ibispier/daemon"
	"github.com/ibispier/ibispier/datafolder"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/telemetry"
)

// Control members run in processes of the test binary, which serve the daemon on a
// disk that the soak can disturb. These variables name their settings and the file that
// holds the state of the disk.
const (
	configVariable = "IBISPIER_SOAK_CONFIG"
	diskVariable   = "IBISPIER_SOAK_DISK"
)

// diskState is how the disk of a control member behaves.
type diskState string

// States of a disk.
const (
	diskSound   diskState = ""
	diskFull    diskState = "full"    // half of a write succeeds, then there is no space
	diskFailing diskState = "failing" // writes and syncs fail
	diskStalled diskState = "stalled" // writes and syncs wait
)

const (
	stallCheckInterval = 5 * time.Millisecond
	daemonFailed       = 1 // exit code
)

// faultyDisk is the file system of the operating system, with the faults that the file
// names.
type faultyDisk struct {
	datafolder.OS
	stateFile string
}

// faultyFile is an open file on a faultyDisk.
type faultyFile struct {
	datafolder.File
	disk faultyDisk
}

func (d faultyDisk) state() diskState {
	data, err := os.ReadFile(d.stateFile)
	if err != nil {
		return diskSound
	}
	return diskState(data)
}

// await waits while the disk is stalled and returns the error of a failing disk.
func (d faultyDisk) await() error {
	for {
		switch d.state() {
		case diskStalled:
			time.Sleep(stallCheckInterval)
		case diskFailing:
			return syscall.EIO
		default:
			return nil
		}
	}
}

// Create implements datafolder.FileSystem.
func (d faultyDisk) Create(path string) (datafolder.File, error) {
	if err := d.await(); err != nil {
		return nil, err
	}
	f, err := d.OS.Create(path)
	return faultyFile{f, d}, err
}

// Append implements datafolder.FileSystem.
func (d faultyDisk) Append(path string) (datafolder.File, error) {
	if err := d.await(); err != nil {
		return nil, err
	}
	f, err := d.OS.Append(path)
	return faultyFile{f, d}, err
}

// Rename implements datafolder.FileSystem.
func (d faultyDisk) Rename(from, to string) error {
	if err := d.await(); err != nil {
		return err
	}
	return d.OS.Rename(from, to)
}

// SyncDir implements datafolder.FileSystem.
func (d faultyDisk) SyncDir(dir string) error {
	if err := d.await(); err != nil {
		return err
	}
	return d.OS.SyncDir(dir)
}

// Write implements datafolder.File.
func (f faultyFile) Write(p []byte) (int, error) {
	if err := f.disk.await(); err != nil {
		return 0, err
	}
	if f.disk.state() == diskFull {
		n, err := f.File.Write(p[:len(p)/2])
		if err != nil {
			return n, err
		}
		return n, syscall.ENOSPC
	}
	return f.File.Write(p)
}

// Sync implements datafolder.File.
func (f faultyFile) Sync() error {
	if err := f.disk.await(); err != nil {
		return err
	}
	return f.File.Sync()
}

// serveMember runs the daemon of a control member as cmd/ibispierd does, on a
// faultyDisk, and returns the exit code.
func serveMember(config, stateFile string) int {
	err := runMember(config, faultyDisk{stateFile: stateFile})
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak member:", err)
		return daemonFailed
	}
	return 0
}

func runMember(config string, disk faultyDisk) error {
	s, err := settings.Load(config)
	if err != nil {
		return err
	}
	metrics := telemetry.NewMetrics()
	log, err := telemetry.NewLoggerWithMetrics(os.Stdout, s.Log.Level, s.Daemon.ID, metrics)
	if err != nil {
		return err
	}
	signals, reloads := daemon.NewSignalChannel(), daemon.NewSignalChannel()
	signal.Notify(signals, syscall.SIGTERM)
	signal.Notify(reloads, syscall.SIGHUP)
	d, err := daemon.NewWithTelemetry(s, telemetry.Telemetry{Log: log, Metrics: metrics}, signals, daemon.WithFiles(disk))
	if err != nil {
		return err
	}
	d.Add("reload", daemon.NewReloader(config, s, reloads, log, d.ApplySettings))
	return d.Run(context.Background())
}
