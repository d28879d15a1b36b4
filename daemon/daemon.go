// Package daemon contains the root supervisor of a process. It builds the supervisor
// tree for the roles of the process.
package daemon

import (
	"context"
	"os"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/daemon/admin"
	"github.com/ibispier/ibispier/daemon/agent"
	"github.com/ibispier/ibispier/daemon/entry"
	"github.com/ibispier/ibispier/datafolder"
	"github.com/ibispier/ibispier/httpduty"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/telemetry"
)

// Error is the class of all errors of this package.
var Error = errs.Class("daemon")

// rootPolicy ends the process when its roles keep failing.
var rootPolicy = supervise.Policy{MaxFailures: 3}

// drainer is a role that finishes its work in flight before a graceful shutdown.
type drainer interface {
	Drain(ctx context.Context) error
}

// quiescer is a role that asks its callers to use another instance before the drain.
type quiescer interface {
	Quiesce()
}

// Daemon is one process.
type Daemon struct {
	settings  *settings.Settings
	log       *zap.Logger
	telemetry telemetry.Telemetry
	root      *supervise.Supervisor
	readiness *admin.Readiness
	drainers  []drainer
	signals   <-chan os.Signal
	links     []memberLinks
	files     datafolder.FileSystem // of the control role
	limits    *httpduty.Limits
}

// Option changes how a process is built.
type Option func(*Daemon)

// WithFiles has the control role keep its log and snapshots in files. Tests inject
// faults of the disk with it.
func WithFiles(files datafolder.FileSystem) Option { return func(d *Daemon) { d.files = files } }

// memberLinks is a part of the process that is linked to the control members.
type memberLinks interface {
	// EnsureMembers opens links to the members that are not linked yet.
	EnsureMembers(ctx context.Context, ids []string) error
}

// New builds the supervisor tree of a process. The first signal starts a graceful
// shutdown, the second one ends the process without waiting for the drain.
func New(s *settings.Settings, log *zap.Logger, signals <-chan os.Signal) (*Daemon, error) {
	return NewWithTelemetry(s, telemetry.Telemetry{Log: log, Metrics: telemetry.NewMetrics()}, signals)
}

// NewWithTelemetry is like New, with the given log, metrics and tracer. The daemon
// closes the tracer.
func NewWithTelemetry(s *settings.Settings, t telemetry.Telemetry, signals <-chan os.Signal, options ...Option) (*Daemon, error) {
	d := &Daemon{settings: s, log: t.Log, telemetry: t, readiness: new(admin.Readiness), signals: signals, files: datafolder.OS{}}
	for _, set := range options {
		set(d)
	}
	d.limits = newLimits(s, t)
	d.root = supervise.New("root", rootPolicy, d.observeFailure)
	if err := d.build(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) build() error {
	adminRole, err := admin.NewRole(d.settings, d.readiness, d.limits, d.observeFailure)
	if err != nil {
		return err
	}
	adminRole.HTTP.ServeMetrics(d.telemetry.Metrics)
	if d.settings.Jobs.Enabled {
		d.root.Add("admin", adminRole)
		return d.buildJobs()
	}
	if d.settings.HasRole(settings.RoleControl) {
		role, err := d.newControl()
		if err != nil {
			return err
		}
		d.addRole("control", role, role)
	}
	if d.settings.HasRole(settings.RoleEntry) {
		role, err := entry.New(d.settings, d.telemetry, d.limits, d.observeFailure)
		if err != nil {
			return err
		}
		d.addRole("entry", role, role)
		d.readiness.Require(role.Ready)
	}
	if d.settings.HasRole(settings.RoleAgent) {
		role, err := agent.New(d.settings, d.telemetry, d.limits, d.observeFailure)
		if err != nil {
			return err
		}
		d.addRole("agent", role, role)
	}
	d.root.Add("admin", adminRole)
	return nil
}

func (d *Daemon) addRole(name string, duty supervise.Duty, drain drainer) {
	d.root.Add(name, duty)
	d.drainers = append(d.drainers, drain)
}

// Add adds a duty beside the roles. It must be called before Run.
func (d *Daemon) Add(name string, duty supervise.Duty) { d.root.Add(name, duty) }

// Run runs the process until it has shut down after a signal, or has failed.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.root.Add("stop", &stopper{daemon: d, cancel: cancel})
	d.readiness.Set(true)
	d.log.Info("started", zap.Strings("roles", d.settings.Daemon.Roles), zap.String("zone", d.settings.Daemon.Zone))
	err := d.root.Run(ctx)
	if err := d.telemetry.Tracer.Close(context.WithoutCancel(ctx)); err != nil {
		d.log.Warn("cannot export the last spans", zap.Error(err))
	}
	if err != nil {
		d.log.Error("process failed", zap.Error(err))
		return Error.Wrap(err)
	}
	d.log.Info("stopped")
	return nil
}

// ApplySettings links the control members that changed settings name as seeds. A
// process that has lost all members it knew finds the others only in this way.
func (d *Daemon) ApplySettings(ctx context.Context, s *settings.Settings) {
	if len(s.Cluster.Seeds) == 0 {
		return
	}
	ids := make([]string, 0, len(s.Cluster.Control))
	for _, m := range s.Cluster.Control {
		ids = append(ids, m.ID)
	}
	for _, l := range d.links {
		if err := l.EnsureMembers(ctx, ids); err != nil {
			d.log.Warn("linking control members failed", zap.Strings("seeds", ids), zap.Error(err))
		}
	}
}

// observeFailure logs and counts the failure of a child of a supervisor.
func (d *Daemon) observeFailure(supervisor, child string, err error) {
	d.telemetry.Metrics.Counter("ibispier_child_failures_total", "supervisor", supervisor).Inc(1)
	d.log.Warn("child failed", zap.String("supervisor", supervisor), zap.String("child", child), zap.Error(err))
}
