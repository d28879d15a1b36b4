// Package settings reads and checks the INI settings of a process.
package settings

import (
	"time"
)

// Roles of a process.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
	RoleAgent   = "agent"
)

// Settings holds the effective settings of one process.
type Settings struct {
	Daemon  Daemon
	Cluster Cluster
	Entry   Entry
	Control Control
	Agent   Agent
	Routing Routing
	Permit  Permit
	Admin   Admin
	Log     Log
	Trace   Trace

	Jobs     Jobs
	Platform Platform
	Limits   Limits

	texts map[string]string // effective text of each setting, for Write
}

// Daemon describes the process itself.
type Daemon struct {
	ID           string
	Roles        []string
	Zone         string
	DataFolder   string
	Grace        time.Duration
	DrainTimeout time.Duration
	MemoryMiB    int64 // limit of the process; 0 for none
}

// Cluster lists the addresses of the other processes.
type Cluster struct {
	Entries []string // link addresses of the entry instances
	Control []Member
	// Seeds are addresses of control instances. If they are given and Control is
	// not, Control is derived from their IP addresses and Port.
	Seeds             []string
	Port              int
	HeartbeatInterval time.Duration // of the links to control
	SilenceTimeout    time.Duration // after which such a link is closed
}

// Member is one control member.
type Member struct {
	ID      string
	Address string
}

// Entry configures the role entry.
type Entry struct {
	Listen         string // address for callers
	AgentListen    string // address for links from agents
	MaxBodyBytes   int64
	MaxHeaderBytes int
	MaxInFlight    int
	Standalone     bool // serve without control members
}

// Control configures the role control.
type Control struct {
	Listen          string
	TickInterval    time.Duration
	ElectionTicks   int
	SnapshotEntries int
	DiskMB          int64 // size of the disk of the data folder; 0 if unknown
}

// Agent configures the role agent.
type Agent struct {
	Listen        string // address for the target's announcements; empty for none
	TargetURL     string // base URL of the target
	Service       string
	Slots         int
	Connections   int
	QueueCapacity int
	WorkerURL     string // base URL of the worker's task interface; empty without one
	Rack          string
	CPUMilli      int64
	MemoryMiB     int64
	Accelerators  int64
	ProbeInterval time.Duration
}

// Routing configures the routing of requests. The baseline policies remain
// available for comparison.
type Routing struct {
	Policy       string
	Hedging      bool
	RetryPercent int
	HedgePercent int
}

// Values of Permit.Scope.
const (
	PermitStarts = "starts"
	PermitAll    = "all"
)

// Permit configures which work needs a zone permit, and how long one lasts.
type Permit struct {
	Scope string
	TTL   time.Duration
}

// Admin configures the operators' interface.
type Admin struct {
	Listen string
}

// Jobs configures jobs. Where they are enabled, they replace single tasks.
type Jobs struct {
	Enabled             bool
	Bootstrap           bool // the system starts for the first time, with empty disks
	ToleratedDiskLosses int  // disks that may be lost at once
	Lease               time.Duration
	MaxLeaseMillis      int64 // longest lease that a target takes; 0 if unknown
	Retention           time.Duration

	// Placement while there is too little room.
	PostponeLarge    bool
	AvoidDisturbance bool
	MoveSlowed       bool
	FillingPercent   int          // of the idle processor time
	RefuseHopeless   bool         // refuse submissions that surely cannot be done in time
	QueueShares      *QueueShares // nil for none
	Copies           bool         // start copies of stragglers where the step allows it
}

// QueueShares are the weights of the queues of jobs that compete for targets.
type QueueShares struct {
	Weights map[string]float64 // by path prefix, or by host and path prefix; others have 1
}

// Platform holds the addresses of the interfaces to the users' platform.
type Platform struct {
	CallerListen    string // address for callers
	ReadinessListen string // address for readiness checks
	ControlListen   string // address for operators, or for the target of this instance
	TargetAddress   string // address of the target of this instance
}

// Log configures logging.
type Log struct {
	Level string
}

// Trace configures the export of spans.
type Trace struct {
	Exporter    string
	File        string
	Endpoint    string
	SampleRatio float64
}

// HasRole reports whether the process has the role.
func (s *Settings) HasRole(role string) bool {
	for _, r := range s.Daemon.Roles {
		if r == role {
			return true
		}
	}
	return false
}
