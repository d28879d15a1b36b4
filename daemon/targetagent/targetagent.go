// Package targetagent is the supervisor of the agent of one target. Its children
// are the duty that owns the target's runs, the duties that call the target, and
// the links to control.
package targetagent

import (
	"strconv"
	"time"

	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/daemon/targetagent/calls"
	"github.com/ibispier/ibispier/daemon/targetagent/runs"
	"github.com/ibispier/ibispier/ring"
	"github.com/ibispier/ibispier/runapi"
	"github.com/ibispier/ibispier/supervise"
	"github.com/ibispier/ibispier/telemetry"
)

// callerCount is the number of calls to the target that run concurrently, besides
// the watch. An unanswered call occupies a caller for the call timeout of 1 s.
const callerCount = 8

// Options configure the role.
type Options struct {
	Host      string        // ID of this instance
	MaxLease  time.Duration // longest lease that the target takes; 0 for the default
	Target    runapi.Target
	Control   *controlclient.Client
	Telemetry telemetry.Telemetry
	Observer  supervise.Observer
}

// Role is the supervisor of the agent. Announcements takes what the target
// announces.
type Role struct {
	*supervise.Supervisor
	Announcements *ring.Ring[runapi.Announcement]
}

// New returns the supervisor with its children.
func New(o Options) *Role {
	owner := runs.New()
	role := &Role{
		Supervisor:    supervise.New("agent", supervise.Policy{Strategy: supervise.OneForAll}, o.Observer),
		Announcements: owner.Announcements,
	}
	watcher := calls.New("calls.watch", o.Target, owner.Results)
	role.Add("watcher", watcher)
	options := runs.Options{Host: o.Host, MaxLease: o.MaxLease, CallControl: o.Control.Send, Watcher: watcher.Calls, Telemetry: o.Telemetry}
	for i := range callerCount {
		name := "calls." + strconv.Itoa(i)
		caller := calls.New(name, o.Target, owner.Results)
		options.Callers = append(options.Callers, caller.Calls)
		role.Add(name, caller)
	}
	owner.Configure(options)
	role.Add("runs", owner)
	role.Add("controlclient", o.Control)
	o.Telemetry.Metrics.RegisterRing(owner.Results.Stats)
	o.Telemetry.Metrics.RegisterRing(owner.Announcements.Stats)
	return role
}
