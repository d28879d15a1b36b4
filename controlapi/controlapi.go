// Package controlapi defines the operations that control offers to entry
// instances, agents and operators. A request and its response are JSON objects
// of the types below; wire.ControlRequest carries them.
//
// Every operation that changes state can be sent again after a lost response:
// it is identified by a change id, an idempotency key, a task id or an epoch,
// and the second call gets the first result.
package controlapi

import "time"

// Operation names an operation.
type Operation string

// Operations.
const (
	OpClaim      Operation = "claim"      // ClaimRequest -> ClaimResponse
	OpLookup     Operation = "lookup"     // LookupRequest -> ClaimResponse
	OpResolve    Operation = "resolve"    // ResolveRequest -> ResolveResponse
	OpPermit     Operation = "permit"     // PermitRequest -> PermitResponse
	OpConfig     Operation = "config"     // ConfigRequest -> ConfigResponse; waits for a newer revision
	OpPropose    Operation = "propose"    // ProposeRequest -> Proposal
	OpSign       Operation = "sign"       // SignRequest -> Proposal
	OpProposals  Operation = "proposals"  // ProposalsRequest -> ProposalsResponse
	OpSubmit     Operation = "submit"     // Task -> TaskStatus
	OpTask       Operation = "task"       // TaskQuery -> TaskStatus
	OpTasks      Operation = "tasks"      // TasksQuery -> TasksResponse
	OpCancelTask Operation = "cancel"     // TaskQuery -> TaskStatus
	OpReport     Operation = "report"     // AgentReport -> AgentCommands
	OpAnnounced  Operation = "announced"  // AnnouncedRequest -> Empty: what an entry instance sees
	OpStatus     Operation = "status"     // Empty -> StatusResponse
	OpQuarantine Operation = "quarantine" // Empty -> QuarantineResponse
	OpRelease    Operation = "release"    // ReleaseRequest -> Empty
	OpMembers    Operation = "members"    // Empty -> MembersResponse
	OpMembership Operation = "membership" // MembershipRequest -> MembersResponse
	OpSnapshot   Operation = "snapshot"   // Empty -> Empty
)

// Empty is a request or response without content.
type Empty struct{}

// ClaimState is the state of an idempotency key.
type ClaimState string

// States of an idempotency key.
const (
	ClaimGranted  ClaimState = "granted"  // the caller of claim may dispatch with Epoch
	ClaimPending  ClaimState = "pending"  // another dispatch is under way at Target
	ClaimRecorded ClaimState = "recorded" // the outcome is recorded
	ClaimConflict ClaimState = "conflict" // the key was used with another request
	ClaimFree     ClaimState = "free"     // no claim of the key ran or is under way
	ClaimExpired  ClaimState = "expired"  // the request is older than the retention window
)

// Key identifies a non-idempotent request.
type Key struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Key      string `json:"key"`
}

// ClaimRequest claims a key before the dispatch to Target.
type ClaimRequest struct {
	Key
	Digest          string `json:"digest"` // SHA-256 of method, path and body
	Target          string `json:"target"`
	Claimant        string `json:"claimant"` // entry instance and attempt, so that a resent claim is recognised
	IssuedAgeMillis int64  `json:"issued_age_ms,omitempty"`
}

// LookupRequest asks for the state of a key without claiming it.
type LookupRequest struct {
	Key
	Digest string `json:"digest"`
}

// ClaimResponse tells the state of the key.
type ClaimResponse struct {
	State   ClaimState `json:"state"`
	Epoch   uint64     `json:"epoch"`
	Target  string     `json:"target,omitempty"` // holder of the claim
	Outcome *Recorded  `json:"outcome,omitempty"`
}

// Recorded is a recorded outcome.
type Recorded struct {
	Outcome string  `json:"outcome"` // done, not-run or unknown
	Reason  string  `json:"reason,omitempty"`
	Status  int     `json:"status,omitempty"`
	Header  []Field `json:"header,omitempty"`
	Body    []byte  `json:"body,omitempty"`
}

// Field is one header field.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// ResolveRequest records the outcome of a claim. The outcome not-run, which
// needs proof from the holder, frees the key for a claim with a higher epoch.
type ResolveRequest struct {
	Key
	Epoch   uint64   `json:"epoch"`
	Outcome Recorded `json:"outcome"`
}

// ResolveResponse tells whether the epoch was current.
type ResolveResponse struct {
	Accepted bool `json:"accepted"`
}

// PermitRequest asks for permission to start tasks in a zone. Holder is the
// entry instance that hands the permission to agents.
type PermitRequest struct {
	Zone   string `json:"zone"`
	Holder string `json:"holder"`
}

// PermitResponse grants permission for TTL, counted by the holder from the
// moment it sent the request. 0 is a refusal.
type PermitResponse struct {
	TTLMillis int64  `json:"ttl_ms"`
	Revision  uint64 `json:"revision"`
	Reason    string `json:"reason,omitempty"`
}

// ConfigRequest asks for a configuration newer than KnownRevision. Control waits up to
// WaitMillis for one.
type ConfigRequest struct {
	KnownRevision uint64 `json:"known"`
	WaitMillis    int64  `json:"wait_ms"`
	Process       string `json:"process"` // who runs with KnownRevision, for the status
}

// ConfigResponse carries the accepted configuration.
type ConfigResponse struct {
	Config  Config `json:"config"`
	Changed bool   `json:"changed"`
}

// Config is the accepted configuration.
type Config struct {
	Revision  uint64            `json:"revision"`
	Customers []Subscription    `json:"customers"` // the plans that customers have bought
	Plans     []Plan            `json:"plans"`     // what each plan may use
	ZonesOut  []string          `json:"zones_out"`
	Owners    map[string]string `json:"owners"` // owner -> Ed25519 public key, base64
}

// Subscription is the plan that a customer has bought.
type Subscription struct {
	Customer string `json:"customer"`
	Plan     string `json:"plan"`
}

// Plan is what a plan may use. 0 means none, so a limit must be stated.
type Plan struct {
	Name              string   `json:"name"`
	Services          []string `json:"services"`            // services that may be called; "*" for all
	RequestsPerSecond float64  `json:"requests_per_second"` // over all entry instances
	Concurrency       int      `json:"concurrency"`         // requests in flight over all entry instances
	Burst             int      `json:"burst"`
	Priority          int      `json:"priority"` // higher goes first
	CPUMilli          int64    `json:"cpu_milli"`
	MemoryMiB         int64    `json:"memory_mib"`
	Accelerators      int64    `json:"accelerators"`
	Tasks             int      `json:"tasks"` // tasks placed at once
}

// ChangeKind tells what a proposal changes.
type ChangeKind string

// Kinds of changes.
const (
	ChangeLists   ChangeKind = "lists"    // replace both lists
	ChangeZoneOut ChangeKind = "zone_out" // take a zone out of service
	ChangeZoneIn  ChangeKind = "zone_in"  // bring a zone back
	ChangeOwners  ChangeKind = "owners"   // replace the owners' keys; the first one needs no signatures
)

// Change is the content of a proposal.
type Change struct {
	Kind      ChangeKind        `json:"kind"`
	Customers []Subscription    `json:"customers,omitempty"`
	Plans     []Plan            `json:"plans,omitempty"`
	Zone      string            `json:"zone,omitempty"`
	Owners    map[string]string `json:"owners,omitempty"`
}

// ProposeRequest proposes a change of the configuration.
type ProposeRequest struct {
	ChangeID string `json:"change_id"`
	Base     uint64 `json:"base"` // revision that the change is based on
	Change   Change `json:"change"`
	Force    bool   `json:"force,omitempty"`
}

// ProposalState is the state of a proposal.
type ProposalState string

// States of a proposal.
const (
	ProposalOpen     ProposalState = "open"
	ProposalAccepted ProposalState = "accepted"
	ProposalRejected ProposalState = "rejected"
	ProposalConflict ProposalState = "conflict" // another change with the same base won
)

// Proposal is a proposed change and its signatures.
type Proposal struct {
	ChangeID  string        `json:"change_id"`
	Base      uint64        `json:"base"`
	Change    Change        `json:"change"`
	Digest    string        `json:"digest"` // SHA-256 that owners sign, base64
	State     ProposalState `json:"state"`
	Signers   []string      `json:"signers,omitempty"`
	Revision  uint64        `json:"revision,omitempty"` // set when accepted
	Winner    string        `json:"winner,omitempty"`   // change id that won, in a conflict
	Reason    string        `json:"reason,omitempty"`
	Diff      []string      `json:"diff,omitempty"`
	InForce   bool          `json:"in_force"` // in force everywhere
	LaggingBy []string      `json:"lagging,omitempty"`
}

// SignRequest signs or rejects a proposal.
type SignRequest struct {
	ChangeID  string `json:"change_id"`
	Owner     string `json:"owner"`
	Reject    bool   `json:"reject,omitempty"`
	Signature string `json:"signature"` // Ed25519 over Digest (approve) or "reject:"+Digest, base64
}

// ProposalsRequest asks for one proposal or, without a change id, for all.
type ProposalsRequest struct {
	ChangeID string `json:"change_id,omitempty"`
	Limit    int    `json:"limit,omitempty"`
}

// ProposalsResponse lists proposals, newest first.
type ProposalsResponse struct {
	Proposals []Proposal `json:"proposals"`
}

// Resources is a vector of resources.
type Resources struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMiB    int64 `json:"memory_mib"`
	Accelerators int64 `json:"accelerators"`
}

// Kinds of tasks.
const (
	KindBatch   = "batch"
	KindWatcher = "watcher"
)

// Task is a submitted batch task or watcher.
type Task struct {
	ID          string    `json:"id"`
	Customer    string    `json:"customer"`
	Kind        string    `json:"kind"`
	Class       string    `json:"class"` // tasks of one class interfere alike
	Urgent      bool      `json:"urgent,omitempty"`
	Size        Resources `json:"size"`
	Zones       []string  `json:"zones,omitempty"` // allowed zones; empty for all
	Payload     []byte    `json:"payload,omitempty"`
	MaxRunMilli int64     `json:"max_run_ms,omitempty"`
}

// TaskState is the state of a task.
type TaskState string

// States of a task.
const (
	TaskQueued      TaskState = "queued"
	TaskPlaced      TaskState = "placed"  // an agent was told to start it
	TaskRunning     TaskState = "running" // its agent reported it running
	TaskEvicting    TaskState = "evicting"
	TaskCompleted   TaskState = "completed"
	TaskFailed      TaskState = "failed"
	TaskCancelled   TaskState = "cancelled"
	TaskQuarantined TaskState = "quarantined"
)

// TaskStatus is a task and where it stands.
type TaskStatus struct {
	Task
	State              TaskState `json:"state"`
	Epoch              uint64    `json:"epoch"`
	Agent              string    `json:"agent,omitempty"`
	Zone               string    `json:"zone,omitempty"`
	Checkpoint         string    `json:"checkpoint,omitempty"`
	CheckpointSequence uint64    `json:"checkpoint_sequence,omitempty"`
	Reason             string    `json:"reason,omitempty"`
	Evictions          int       `json:"evictions"`
	Failures           int       `json:"failures"`
	SubmittedAt        time.Time `json:"submitted_at"`
	Resent             bool      `json:"resent,omitempty"` // this submission was recorded before
}

// TaskQuery names a task.
type TaskQuery struct {
	ID string `json:"id"`
}

// TasksQuery lists tasks.
type TasksQuery struct {
	Customer string    `json:"customer,omitempty"`
	State    TaskState `json:"state,omitempty"`
	Limit    int       `json:"limit,omitempty"`
}

// TasksResponse lists tasks.
type TasksResponse struct {
	Tasks []TaskStatus `json:"tasks"`
}

// Worker is the instance of an agent.
type Worker struct {
	Agent    string    `json:"agent"`
	Epoch    uint64    `json:"epoch"` // of the agent; a higher one fences the lower
	Rack     string    `json:"rack"`
	Zone     string    `json:"zone"`
	Capacity Resources `json:"capacity"`
}

// ReportedState is the state of a task on its agent.
type ReportedState string

// Reported states.
const (
	ReportedStarting     ReportedState = "starting"
	ReportedRunning      ReportedState = "running"
	ReportedCompleted    ReportedState = "completed"
	ReportedFailed       ReportedState = "failed"
	ReportedRefused      ReportedState = "refused"      // not started
	ReportedCheckpointed ReportedState = "checkpointed" // checkpointed and stopped
	ReportedStopped      ReportedState = "stopped"
)

// ReportedTask is one task on an agent. Completed, failed, refused,
// checkpointed and stopped are repeated until control has confirmed them.
type ReportedTask struct {
	Task               string        `json:"task"`
	Epoch              uint64        `json:"epoch"`
	State              ReportedState `json:"state"`
	Reason             string        `json:"reason,omitempty"`
	Checkpoint         string        `json:"checkpoint,omitempty"`
	CheckpointSequence uint64        `json:"checkpoint_sequence,omitempty"`
}

// Usage is a lagged measurement of one task.
type Usage struct {
	Task      string    `json:"task"`
	Class     string    `json:"class"`
	AgeMillis int64     `json:"age_ms"`
	Used      Resources `json:"used"`
	Slowdown  float64   `json:"slowdown"` // 1 is undisturbed
}

// AgentReport renews the leases of the tasks that it names and reports their
// state. An agent sends one every few hundred milliseconds through any entry
// instance.
type AgentReport struct {
	Worker   Worker         `json:"worker"`
	Sequence uint64         `json:"sequence"`
	Tasks    []ReportedTask `json:"tasks,omitempty"` // every task of the agent, unless SameTasksAs is set
	// SameTasksAs is the sequence of an earlier report, answered by the same leader,
	// with the same tasks. It keeps the size of a report independent of them.
	SameTasksAs uint64 `json:"same_as,omitempty"`
	// HoldMillis is how long the answer may be held when there is no command.
	HoldMillis int64   `json:"hold_ms,omitempty"`
	Usage      []Usage `json:"usage,omitempty"`
	// Latency-critical load of the target of the agent.
	Service           string  `json:"service,omitempty"`
	TailLatencyMillis float64 `json:"tail_ms,omitempty"`
	Draining          bool    `json:"draining,omitempty"`
}

// CommandAction is what a command asks an agent to do.
type CommandAction string

// Actions.
const (
	ActionStart      CommandAction = "start"
	ActionCheckpoint CommandAction = "checkpoint" // checkpoint and stop, for a move
	ActionStop       CommandAction = "stop"
	ActionThrottle   CommandAction = "throttle"
	ActionForget     CommandAction = "forget" // the report of a finished task is recorded
)

// Command tells an agent what to do with a task.
type Command struct {
	Action             CommandAction `json:"action"`
	Epoch              uint64        `json:"epoch"`
	Task               Task          `json:"task"` // only the ID unless Action is start
	Checkpoint         string        `json:"checkpoint,omitempty"`
	CheckpointSequence uint64        `json:"checkpoint_sequence,omitempty"`
	ThrottlePercent    int           `json:"throttle_percent,omitempty"`
}

// Lease names a renewed lease.
type Lease struct {
	Task  string `json:"task"`
	Epoch uint64 `json:"epoch"`
}

// AgentCommands answers an AgentReport. The leases last LeaseMillis from the
// moment the agent sent the report.
type AgentCommands struct {
	LeaseMillis int64     `json:"lease_ms"`
	Sequence    uint64    `json:"sequence"`              // of the report
	RenewedAll  bool      `json:"renewed_all,omitempty"` // the lease of every task of the report
	Renewed     []Lease   `json:"renewed,omitempty"`     // single leases otherwise
	Commands    []Command `json:"commands,omitempty"`
	Resend      bool      `json:"resend,omitempty"` // the report named by SameTasksAs is not known
}

// AnnouncedRequest tells control which targets an entry instance sees.
type AnnouncedRequest struct {
	Entry    string            `json:"entry"`
	Revision uint64            `json:"revision"`
	Targets  []AnnouncedTarget `json:"targets"`
}

// AnnouncedTarget is one target that an entry instance sees.
type AnnouncedTarget struct {
	Target   string    `json:"target"`
	Service  string    `json:"service"`
	Zone     string    `json:"zone"`
	State    string    `json:"state"`
	Slots    int       `json:"slots"`
	Revision uint64    `json:"revision"` // that its agent runs with
	Capacity Resources `json:"capacity"`
}

// StatusResponse is the state of the deployment.
type StatusResponse struct {
	Leader    string            `json:"leader"`
	Term      uint64            `json:"term"`
	Revision  uint64            `json:"revision"`
	Zones     []ZoneStatus      `json:"zones"`
	Targets   []AnnouncedTarget `json:"targets"`
	Processes []ProcessRevision `json:"processes"`
	Tasks     map[string]int    `json:"tasks"` // by state
	Workers   int               `json:"workers"`
	Alarms    []Alarm           `json:"alarms"`
}

// ZoneStatus is the state of a zone.
type ZoneStatus struct {
	Zone    string `json:"zone"`
	Out     bool   `json:"out"`
	InForce bool   `json:"in_force"` // no permit of the zone is left
}

// ProcessRevision is the revision that a process runs with.
type ProcessRevision struct {
	Process   string `json:"process"`
	Revision  uint64 `json:"revision"`
	AgeMillis int64  `json:"age_ms"`
}

// Alarm is a condition that an operator should act on.
type Alarm struct {
	Name    string    `json:"name"`
	Subject string    `json:"subject"`
	Message string    `json:"message"`
	Since   time.Time `json:"since"`
}

// MembersResponse lists the control members.
type MembersResponse struct {
	Leader  string   `json:"leader"`
	Members []Member `json:"members"`
}

// Member is one control member.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Voter       bool   `json:"voter"`
	Match       uint64 `json:"match"`
	Active      bool   `json:"active"`
}

// MembershipRequest changes the control members.
type MembershipRequest struct {
	Action string `json:"action"` // bootstrap, admit, remove or transfer
	ID     string `json:"id,omitempty"`
}
