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
	// targetDriftPercent is how much slower the platform's targets may count.
	targetDriftPercent = 2
	// leaderPatience is how long a request of a caller waits for a leader. An
	// election takes about a second.
	leaderPatience = 1200 * time.Millisecond
	// targetDriftFixed covers the rounding of clocks to milliseconds.
	targetDriftFixed = 50 * time.Millisecond
)

// buildJobs adds the roles of a process that serves jobs for the platform.
func (d *Daemon) buildJobs() error {
	builders := []struct {
		role  string
		build func() (supervise.Duty, drainer, error)
	}{
		{settings.RoleControl, d.jobControl},
		{settings.RoleEntry, d.jobEntry},
		{settings.RoleAgent, d.jobAgent},
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

// jobControl returns the role control with the duty that owns the jobs, and the
// operators' interface.
func (d *Daemon) jobControl() (supervise.Duty, drainer, error) {
	role, err := control.New(d.settings, d.log, d.observe)
	if err != nil {
		return nil, nil, err
	}
	s := d.settings
	duty := jobs.New(jobs.Options{
		Lease:     lease.Timing{TTL: s.Jobs.Lease, DriftPercent: targetDriftPercent, ClockGranularity: targetDriftFixed},
		Retention: s.Jobs.Retention,
		MinVoters: 2*s.Jobs.ToleratedDiskLosses + 1,
		Bootstrap: s.Jobs.Bootstrap && len(s.Cluster.Control) > 0 && s.Cluster.Control[0].ID == s.Daemon.ID,
		Limits:    dispatch.DefaultLimits(),
		Log:       d.log,
		OnMembers: role.EnsureMembers,
	}, role.Inputs, role.Updates)
	role.AddCoreDuty("jobs", duty)
	role.SetClientHandler(server.New(duty.Requests))
	operator, err := platform.NewOperatorHandler(duty, s.Platform.ControlListen, d.log)
	if err != nil {
		return nil, nil, err
	}
	http, err := httpduty.New(s.Platform.ControlListen, httpduty.Options{Handler: operator})
	if err != nil {
		return nil, nil, err
	}
	d.root.Add("operators", http)
	m := d.telemetry.Metrics
	m.RegisterRing(role.Inputs.Stats)
	m.RegisterRing(role.Updates.Stats)
	m.RegisterRing(duty.Requests.Stats)
	return role, role, nil
}

// controlClient returns the links of this process to the control members.
func (d *Daemon) controlClient(role wire.Role) *controlclient.Client {
	o := controlclient.Options{
		Local:             link.Identity{Role: role, ID: d.settings.Daemon.ID, Zone: d.settings.Daemon.Zone},
		Members:           d.settings.Cluster.Control,
		HeartbeatInterval: d.settings.Cluster.HeartbeatInterval,
		SilenceTimeout:    d.settings.Cluster.SilenceTimeout,
		Observer:          d.observe,
		LeaderTimeout:     leaderPatience,
	}
	if len(d.settings.Cluster.Seeds) > 0 {
		o.ResolveAddress = d.settings.Cluster.MemberAddress
	}
	return controlclient.New(o)
}

// jobEntry returns the callers' interface of the platform.
func (d *Daemon) jobEntry() (supervise.Duty, drainer, error) {
	client := d.controlClient(wire.Role_ROLE_ENTRY)
	front, err := httpduty.New(d.settings.Platform.CallerListen, httpduty.Options{
		Handler:     platform.NewJobHandler(client, d.log),
		IdleTimeout: platform.IdleTimeout,
	})
	if err != nil {
		return nil, nil, err
	}
	ready, err := httpduty.New(d.settings.Platform.ReadinessListen, httpduty.Options{Handler: platform.NewReadinessHandler(d.readiness.Ready)})
	if err != nil {
		return nil, nil, err
	}
	role := supervise.New("entry", supervise.Policy{}, d.observe)
	role.Add("front", front)
	role.Add("ready", ready)
	role.Add("controlclient", client)
	return role, entryDrain{front}, nil
}

// entryDrain finishes the requests of callers.
type entryDrain struct{ front *httpduty.Server }

// Quiesce asks callers on open connections to go elsewhere.
func (e entryDrain) Quiesce() { e.front.DisableKeepAlives() }

// Drain waits for the requests in flight.
func (e entryDrain) Drain(ctx context.Context) error { return e.front.Shutdown(ctx) }

// jobAgent returns the agent of one target.
func (d *Daemon) jobAgent() (supervise.Duty, drainer, error) {
	role := targetagent.New(targetagent.Options{
		Host:      d.settings.Daemon.ID,
		Target:    platform.NewTargetClient(d.settings.Platform.TargetAddress),
		Control:   d.controlClient(wire.Role_ROLE_AGENT),
		Telemetry: d.telemetry,
		Observer:  d.observe,
	})
	http, err := httpduty.New(d.settings.Platform.ControlListen, httpduty.Options{
		Handler: platform.NewAnnouncementHandler(role.Announcements, d.log),
	})
	if err != nil {
		return nil, nil, err
	}
	role.Add("announcements", http)
	return role, noDrain{}, nil
}

// noDrain is for a role that has nothing to finish: the target runs on under its
// lease until its agent is back.
type noDrain struct{}

// Drain returns at once.
func (noDrain) Drain(context.Context) error { return nil }
