package daemon

import (
	"context"
	"time"

	"github.com/ibispier/ibispier/daemon/control"
	"github.com/ibispier/ibispier/daemon/control/jobs"
	"github.com/ibispier/ibispier/daemon/control/server"
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/daemon/targetagent"
	"github.com/ibispier/ibispier/httpduty"
	"github.com/ibispier/ibispier/job/dispatch"
	"github.com/ibispier/ibispier/lease"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/platform"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/wire"
)

const (
	// targetDriftPercent bounds how much slower the clocks of the platform's targets
	// may run.
	targetDriftPercent = 2
	// leaderTimeout is how long a caller's request waits for a leader. An election
	// takes about a second.
	leaderTimeout = 1200 * time.Millisecond
	// targetClockGranularity covers the rounding of clocks to milliseconds.
	targetClockGranularity = 50 * time.Millisecond
)

// buildJobs adds the roles of a process that runs jobs for the platform.
func (d *Daemon) buildJobs() error {
	builders := []struct {
		role  string
		build func() (supervise.Duty, drainer, error)
	}{
		{settings.RoleControl, d.newJobControl},
		{settings.RoleEntry, d.newJobEntry},
		{settings.RoleAgent, d.newJobAgent},
	}
	for _, b := range builders {
		if !d.settings.HasRole(b.role) {
			continue
		}
		duty, drain, err := b.build()
		if err != nil {
			return err
		}
		d.addRole(b.role, duty, drain)
	}
	return nil
}

// newJobControl returns the control role with the duty that owns the jobs. It also
// adds the platform's operator API to the root.
func (d *Daemon) newJobControl() (supervise.Duty, drainer, error) {
	role, err := control.New(d.settings, d.log, d.observeFailure, d.files)
	if err != nil {
		return nil, nil, err
	}
	s := d.settings
	duty := jobs.New(jobs.Options{
		Lease:          lease.Timing{TTL: s.Jobs.Lease, DriftPercent: targetDriftPercent, ClockGranularity: targetClockGranularity},
		Retention:      s.Jobs.Retention,
		MinVoters:      2*s.Jobs.ToleratedDiskLosses + 1,
		Bootstrap:      s.Jobs.Bootstrap && len(s.Cluster.Control) > 0 && s.Cluster.Control[0].ID == s.Daemon.ID,
		Limits:         dispatchLimits(s.Jobs),
		Metrics:        d.telemetry.Metrics,
		RefuseHopeless: s.Jobs.RefuseHopeless,
		Copies:         s.Jobs.Copies,
		Log:            d.log,
		OnMembers:      role.EnsureMembers,
	}, role.Inputs, role.Updates)
	role.AddCoreDuty("jobs", duty)
	d.links = append(d.links, role)
	role.SetClientHandler(server.New(duty.Requests))
	operator, err := platform.NewOperatorHandler(duty, s.Platform.ControlListen, d.log)
	if err != nil {
		return nil, nil, err
	}
	bounds := s.Bounds().Others
	httpServer, err := httpduty.New(s.Platform.ControlListen, httpduty.Options{
		Handler:        operator,
		MaxBodyBytes:   platform.MaxBodyBytes,
		MaxConnections: bounds.Connections,
		Socket:         bounds.Socket,
		Limits:         d.limits,
	})
	if err != nil {
		return nil, nil, err
	}
	d.root.Add("operators", httpServer)
	m := d.telemetry.Metrics
	m.RegisterRing(role.Inputs.Stats)
	m.RegisterRing(role.Updates.Stats)
	m.RegisterRing(duty.Requests.Stats)
	return role, role, nil
}

// dispatchLimits returns the placement policy that the settings ask for.
func dispatchLimits(s settings.Jobs) dispatch.Limits {
	l := dispatch.DefaultLimits()
	l.PostponeLarge, l.AvoidDisturbance, l.MoveSlowed = s.PostponeLarge, s.AvoidDisturbance, s.MoveSlowed
	l.FillingCPUShare = float64(s.FillingPercent) / 100
	if s.QueueShares != nil {
		l.Shares = &dispatch.QueueShares{Weights: s.QueueShares.Weights}
	}
	return l
}

// newControlClient returns a client of the control members.
func (d *Daemon) newControlClient(role wire.Role) *controlclient.Client {
	o := controlclient.Options{
		Local:             link.Identity{Role: role, ID: d.settings.Daemon.ID, Zone: d.settings.Daemon.Zone},
		Members:           d.settings.Cluster.Control,
		HeartbeatInterval: d.settings.Cluster.HeartbeatInterval,
		SilenceTimeout:    d.settings.Cluster.SilenceTimeout,
		Observer:          d.observeFailure,
		LeaderTimeout:     leaderTimeout,
	}
	if len(d.settings.Cluster.Seeds) > 0 {
		o.ResolveAddress = d.settings.Cluster.MemberAddress
	}
	client := controlclient.New(o)
	d.links = append(d.links, client)
	return client
}

// newJobEntry returns the entry role, which serves the platform's callers.
func (d *Daemon) newJobEntry() (supervise.Duty, drainer, error) {
	client := d.newControlClient(wire.Role_ROLE_ENTRY)
	bounds := d.settings.Bounds()
	front, err := httpduty.New(d.settings.Platform.CallerListen, httpduty.Options{
		Handler:        platform.NewJobHandler(client, d.log),
		IdleTimeout:    platform.IdleTimeout,
		MaxHeaderBytes: platform.MaxHeaderBytes,
		MaxBodyBytes:   platform.MaxSubmissionBytes,
		MaxConnections: bounds.Callers.Connections,
		Socket:         bounds.Callers.Socket,
		Limits:         d.limits,
	})
	if err != nil {
		return nil, nil, err
	}
	ready, err := httpduty.New(d.settings.Platform.ReadinessListen, httpduty.Options{
		Handler:        platform.NewReadinessHandler(d.readiness.Ready),
		MaxConnections: bounds.Secondary.Connections,
		Socket:         bounds.Secondary.Socket,
		Limits:         d.limits,
	})
	if err != nil {
		return nil, nil, err
	}
	role := supervise.New("entry", supervise.Policy{}, d.observeFailure)
	role.Add("front", front)
	role.Add("ready", ready)
	role.Add("controlclient", client)
	return role, entryDrainer{front}, nil
}

// entryDrainer drains the HTTP server for callers.
type entryDrainer struct{ front *httpduty.Server }

// Quiesce disables keep-alives, so callers open new connections, which the load
// balancer sends to other instances.
func (e entryDrainer) Quiesce() { e.front.DisableKeepAlives() }

// Drain waits for the requests in flight.
func (e entryDrainer) Drain(ctx context.Context) error { return e.front.Shutdown(ctx) }

// newJobAgent returns the agent role, which serves one target.
func (d *Daemon) newJobAgent() (supervise.Duty, drainer, error) {
	role := targetagent.New(targetagent.Options{
		Host:      d.settings.Daemon.ID,
		MaxLease:  time.Duration(d.settings.Jobs.MaxLeaseMillis) * time.Millisecond,
		Target:    platform.NewTargetClient(d.settings.Platform.TargetAddress),
		Control:   d.newControlClient(wire.Role_ROLE_AGENT),
		Telemetry: d.telemetry,
		Observer:  d.observeFailure,
	})
	bounds := d.settings.Bounds().Others
	httpServer, err := httpduty.New(d.settings.Platform.ControlListen, httpduty.Options{
		Handler:        platform.NewAnnouncementHandler(role.Announcements, d.log),
		MaxBodyBytes:   platform.MaxBodyBytes,
		MaxConnections: bounds.Connections,
		Socket:         bounds.Socket,
		Limits:         d.limits,
	})
	if err != nil {
		return nil, nil, err
	}
	role.Add("announcements", httpServer)
	return role, noopDrainer{}, nil
}

// noopDrainer is the drainer of the agent role, which has nothing to finish: the
// target continues under its lease until its agent is back.
type noopDrainer struct{}

// Drain returns at once.
func (noopDrainer) Drain(context.Context) error { return nil }
