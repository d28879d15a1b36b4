package settings

// Keys returns the specification of every setting, bound to the fields of s.
func Keys(s *Settings) []Key {
	return []Key{
		{"daemon", "id", "", "", "name of this process, unique in the deployment", text(&s.Daemon.ID)},
		{"daemon", "roles", "list", "", "entry, control, agent", list(&s.Daemon.Roles, RoleEntry, RoleControl, RoleAgent)},
		{"daemon", "zone", "", "", "availability zone of this process", text(&s.Daemon.Zone)},
		{"daemon", "data", "", "data", "data folder", text(&s.Daemon.DataFolder)},
		{"daemon", "grace", "duration", "3s", "time that a stopping process keeps serving after it reports not ready", duration(&s.Daemon.Grace, 0, 60)},
		{"daemon", "drain_timeout", "duration", "30s", "longest time for finishing work in flight at a planned stop", duration(&s.Daemon.DrainTimeout, 0, 600)},
		{"daemon", "memory", "MiB", "0", "memory that the process may use; 0 for no limit", integer(&s.Daemon.MemoryMiB, 0, 1<<20)},

		{"cluster", "entries", "list", "", "link addresses (ip:port) of the entry instances", addresses(&s.Cluster.Entries)},
		{"cluster", "control", "list", "", "control members as id@ip:port", members(&s.Cluster.Control)},
		{"cluster", "seeds", "list", "", "addresses (ip:port) on control instances; cluster.control is derived from their IP addresses and cluster.port", addresses(&s.Cluster.Seeds)},
		{"cluster", "port", "port", "7071", "port of control.listen on all control instances named by cluster.seeds", integer(&s.Cluster.Port, 1, 65535)},
		{"cluster", "heartbeat", "duration", "200ms", "time between heartbeats on links to control", duration(&s.Cluster.HeartbeatInterval, 0.01, 10)},
		{"cluster", "silence", "duration", "600ms", "silence after which a link to control is closed", duration(&s.Cluster.SilenceTimeout, 0.03, 30)},

		{"entry", "listen", "ip:port", "127.0.0.1:8080", "address for callers", address(&s.Entry.Listen)},
		{"entry", "agent_listen", "ip:port", "127.0.0.1:7070", "address for links from agents", address(&s.Entry.AgentListen)},
		{"entry", "max_body", "bytes", "1048576", "largest request or answer body", integer(&s.Entry.MaxBodyBytes, 1, 4<<20)},
		{"entry", "max_header", "bytes", "65536", "largest request header", integer(&s.Entry.MaxHeaderBytes, 1024, 1<<20)},
		{"entry", "max_in_flight", "requests", "4096", "requests in flight in this process", integer(&s.Entry.MaxInFlight, 1, 1<<20)},
		{"entry", "standalone", "bool", "false", "serve every caller without control members; non-idempotent requests are refused", boolean(&s.Entry.Standalone)},

		{"control", "listen", "ip:port", "127.0.0.1:7071", "address for links from control members and clients", address(&s.Control.Listen)},
		{"control", "tick", "duration", "50ms", "unit of the election and heartbeat timers", duration(&s.Control.TickInterval, 0.001, 1)},
		{"control", "election_ticks", "ticks", "10", "ticks without a leader before an election", integer(&s.Control.ElectionTicks, 4, 100)},
		{"control", "disk_mb", "MB", "", "size of the disk of the data folder, from which the size of the log and of its segments is derived; 128 if empty", optional(integer(&s.Control.DiskMB, 0, 1<<20))},
		{"control", "snapshot_entries", "entries", "50000", "log entries between snapshots", integer(&s.Control.SnapshotEntries, 100, 10_000_000)},

		{"agent", "listen", "ip:port", "", "address where the target announces itself; empty for none", optional(address(&s.Agent.Listen))},
		{"agent", "target", "url", "", "base URL of the target", text(&s.Agent.TargetURL)},
		{"agent", "service", "", "", "service that the target serves", text(&s.Agent.Service)},
		{"agent", "slots", "requests", "8", "requests that the target executes at the same time", integer(&s.Agent.Slots, 1, 1024)},
		{"agent", "connections", "connections", "64", "connections open to the target", integer(&s.Agent.Connections, 1, 4096)},
		{"agent", "queue", "requests", "64", "admitted requests that wait for a slot", integer(&s.Agent.QueueCapacity, 0, 4096)},
		{"agent", "worker", "url", "", "base URL of the worker's task interface", text(&s.Agent.WorkerURL)},
		{"agent", "rack", "", "", "rack of the worker", text(&s.Agent.Rack)},
		{"agent", "cpu_milli", "millicores", "0", "processors of the worker", integer(&s.Agent.CPUMilli, 0, 10_000_000)},
		{"agent", "memory_mib", "MiB", "0", "memory of the worker", integer(&s.Agent.MemoryMiB, 0, 100_000_000)},
		{"agent", "accelerators", "devices", "0", "accelerators of the worker", integer(&s.Agent.Accelerators, 0, 1024)},
		{"agent", "probe_interval", "duration", "500ms", "time between health probes of the target", duration(&s.Agent.ProbeInterval, 0.01, 60)},

		{"routing", "policy", "", "choice_of_two", "choice_of_two or round_robin", choice(&s.Routing.Policy, "choice_of_two", "round_robin")},
		{"routing", "hedging", "bool", "true", "second attempt for late idempotent requests", boolean(&s.Routing.Hedging)},
		{"routing", "retry_percent", "percent", "10", "retries as a share of requests", integer(&s.Routing.RetryPercent, 0, 100)},
		{"routing", "hedge_percent", "percent", "5", "hedges as a share of requests", integer(&s.Routing.HedgePercent, 0, 100)},

		{"permit", "scope", "", PermitStarts, "what needs a zone permit: starts (of tasks) or all (requests too)", choice(&s.Permit.Scope, PermitStarts, PermitAll)},
		{"permit", "ttl", "duration", "2s", "length of a zone permit", duration(&s.Permit.TTL, 0.1, 3)},

		{"limits", "body_mb", "MiB", "", "request bodies that the process holds at once; an eighth of daemon.memory if empty, and 5 at least", optional(integer(&s.Limits.BodyMiB, minBodyMiB, 1<<16))},
		{"limits", "connections", "connections", "", "connections of clients to all listeners; if empty, as many as have 48 KiB each in the buffers of the kernel, which may take a quarter of daemon.memory; always under three quarters of the descriptors", optional(integer(&s.Limits.Connections, minConnections, 1<<20))},
		{"limits", "descriptors", "descriptors", "", "descriptors that the process may open; the limit of the system if empty or 0, or if that is lower", optional(integer(&s.Limits.Descriptors, 0, 1<<20))},
		{"limits", "body_window", "duration", "10s", "time in which 4 KiB of a request body, or its end, must arrive", duration(&s.Limits.BodyWindow, 3, 600)},

		{"admin", "listen", "ip:port", "127.0.0.1:8081", "address for operators", address(&s.Admin.Listen)},

		{"log", "level", "", "info", "debug, info, warn or error", choice(&s.Log.Level, "debug", "info", "warn", "error")},

		{"trace", "exporter", "", "none", "none, file or otlp", choice(&s.Trace.Exporter, "none", "file", "otlp")},
		{"trace", "file", "", "traces.jsonl", "output file of the exporter file", text(&s.Trace.File)},
		{"trace", "endpoint", "ip:port", "127.0.0.1:4318", "address of the collector for the exporter otlp", address(&s.Trace.Endpoint)},
		{"trace", "ratio", "share", "1", "share of the traces that are recorded", fraction(&s.Trace.SampleRatio)},

		{"jobs", "enabled", "bool", "false", "serve jobs for the users' platform", boolean(&s.Jobs.Enabled)},
		{"jobs", "postpone_large", "bool", "false", "while not all jobs of a priority can be in time, start those with most work last; role control", boolean(&s.Jobs.PostponeLarge)},
		{"jobs", "avoid_disturbance", "bool", "false", "place filling tasks where they take least headroom from serving tasks; role control", boolean(&s.Jobs.AvoidDisturbance)},
		{"jobs", "move_slowed", "bool", "false", "move filling tasks that are slowed down to targets with room, and leave them in place without; role control", boolean(&s.Jobs.MoveSlowed)},
		{"jobs", "filling_percent", "percent", "100", "share of the idle processor time of a target that filling tasks may request; role control", integer(&s.Jobs.FillingPercent, 10, 400)},
		{"jobs", "bootstrap", "bool", "false", "the whole system starts for the first time, with empty disks", boolean(&s.Jobs.Bootstrap)},
		{"jobs", "tolerated", "disks", "1", "disks that may be lost at once; a new group of control members accepts nothing until it has twice as many voters plus one", integer(&s.Jobs.ToleratedDiskLosses, 0, 10)},
		{"jobs", "lease", "duration", "4s", "lease of a target; once it has expired, the work of the target starts elsewhere", duration(&s.Jobs.Lease, 1, 60)},
		{"jobs", "max_lease_ms", "ms", "", "longest lease that a target takes, 10000 if empty; role agent", optional(integer(&s.Jobs.MaxLeaseMillis, 1, 600_000))},
		{"jobs", "retention", "duration", "4m", "time that the state of a finished job, or the cancel of an unknown one, is kept", duration(&s.Jobs.Retention, 1, 86400)},
		{"jobs", "refuse_hopeless", "bool", "false", "refuse submissions that surely cannot be done in time, with a Retry-After; excludes postpone_large and queue_shares; role control", boolean(&s.Jobs.RefuseHopeless)},
		{"jobs", "queue_shares", "list", "", "shares of the queues of one priority when room is short: empty for none, or equal, followed by the weights of queues that differ from 1; role control", queueShares(&s.Jobs.QueueShares)},
		{"jobs", "copies", "bool", "false", "start copies of stragglers where the step allows it; role control", boolean(&s.Jobs.Copies)},

		{"platform", "front", "ip:port", "", "address for callers of the platform; role entry", optional(address(&s.Platform.CallerListen))},
		{"platform", "ready", "ip:port", "", "address for readiness checks; role entry", optional(address(&s.Platform.ReadinessListen))},
		{"platform", "control", "ip:port", "", "address for operators (role control) or for the target (role agent)", optional(address(&s.Platform.ControlListen))},
		{"platform", "target", "ip:port", "", "address of the target; role agent", optional(address(&s.Platform.TargetAddress))},
	}
}
