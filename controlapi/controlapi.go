// Package controlapi defines the operations that control offers to entry
// instances, agents and operators. Requests and responses are JSON objects of the
// types below, carried by wire.ControlRequest and wire.ControlResponse.
//
// Every operation that changes state is idempotent: a change id, an idempotency
// key, a task id or an epoch identifies it, and a request that is sent again after
// a lost response gets the first result.
package controlapi

import "time"

// Operation is the name of an operation.
type Operation string

// Operations, with the types of their requests and responses.
const (
	OpClaim      Operation = "claim"      // ClaimRequest -> ClaimResponse
	OpLookup     Operation = "lookup"     // LookupRequest -> ClaimResponse
	OpResolve    Operation = "resolve"    // ResolveRequest -> ResolveResponse
	OpPermit     Operation = "permit"     // PermitRequest -> PermitResponse
	OpConfig     Operation = "config"     // ConfigRequest -> ConfigResponse; a long poll
	OpPropose    Operation = "propose"    // ProposeRequest -> Proposal
	OpSign       Operation = "sign"       // SignRequest -> Proposal
	OpProposals  Operation = "proposals"  // ProposalsRequest -> ProposalsResponse
	OpSubmit     Operation = "submit"     // Task -> TaskStatus
	OpTask       Operation = "task"       // TaskQuery -> TaskStatus
	OpTasks      Operation = "tasks"      // TasksQuery -> TasksResponse
	OpCancelTask Operation = "cancel"     // TaskQuery -> TaskStatus
	OpReport     Operation = "report"     // AgentReport -> AgentCommands
	OpAnnounced  Operation = "announced"  // AnnouncedRequest -> Empty
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
	ClaimGranted  ClaimState = "granted"  // the claimant may dispatch with Epoch
	ClaimPending  ClaimState = "pending"  // another dispatch to Target is in progress
	ClaimRecorded ClaimState = "recorded" // the outcome is recorded
	ClaimConflict ClaimState = "conflict" // the key belongs to a different request
	ClaimFree     ClaimState = "free"     // no dispatch with the key ran or is in progress
	ClaimExpired  ClaimState = "expired"  // the request is older than the retention window
)

// Key identifies a non-idempotent request.
type Key struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Key      string `json:"key"`
}

// ClaimRequest claims a key before the request is dispatched to Target.
type ClaimRequest struct {
	Key
	Digest          string `json:"digest"` // SHA-256 of method, path and body
	Target          string `json:"target"`
	Claimant        string `json:"claimant"` // entry instance and attempt; identifies a resent claim
	IssuedAgeMillis int64  `json:"issued_age_ms,omitempty"`
}

// LookupRequest asks for the state of a key without claiming it.
type LookupRequest struct {
	Key
	Digest string `json:"digest"`
}

// ClaimResponse is the state of a key.
type ClaimResponse struct {
	State   ClaimState `json:"state"`
	Epoch   uint64     `json:"epoch"`
	Target  string     `json:"target,omitempty"` // holder of the claim
	Outcome *Recorded  `json:"outcome,omitempty"`
}

// Recorded is the recorded outcome of a request.
type Recorded struct {
	Outcome string  `json:"outcome"` // done, not-run or unknown
	Reason  string  `json:"reason,omitempty"`
	Status  int     `json:"status,omitempty"`
	Header  []Field `json:"header,omitempty"`
	Body    []byte  `json:"body,omitempty"`
}

// Field is a header field.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// ResolveRequest records the outcome of a claim. The outcome not-run releases the
// key for a claim with a higher epoch, and needs proof from the holder.
type ResolveRequest struct {
	Key
	Epoch   uint64   `json:"epoch"`
	Outcome Recorded `json:"outcome"`
}

// ResolveResponse reports whether the epoch was current.
type ResolveResponse struct {
	Accepted bool `json:"accepted"`
}

// PermitRequest asks for a permit to start tasks in a zone. Holder is the entry
// instance that passes the permit on to agents.
type PermitRequest struct {
	Zone   string `json:"zone"`
	Holder string `json:"holder"`
}

// PermitResponse grants a permit for TTLMillis, which the holder counts from when
// it sent the request. 0 is a refusal.
type PermitResponse struct {
	TTLMillis int64  `json:"ttl_ms"`
	Revision  uint64 `json:"revision"`
	Reason    string `json:"reason,omitempty"`
}

// ConfigRequest asks for a configuration newer than KnownRevision. Control holds
// the request for up to WaitMillis until there is one.
type ConfigRequest struct {
	KnownRevision uint64 `json:"known"`
	WaitMillis    int64  `json:"wait_ms"`
	Process       string `json:"process"` // the process that uses KnownRevision, for the status
}

// ConfigResponse carries the accepted configuration.
type ConfigResponse struct {
	Config  Config `json:"config"`
	Changed bool   `json:"changed"`
}

// Config is the accepted configuration.
type Config struct {
	Revision  uint64            `json:"revision"`
	Customers []Subscription    `json:"customers"`
	Plans     []Plan            `json:"plans"`
	ZonesOut  []string          `json:"zones_out"`
	Owners    map[string]string `json:"owners"` // owner -> Ed25519 public key, base64
}

// Subscription is the plan that a customer has bought.
type Subscription struct {
	Customer string `json:"customer"`
	Plan     string `json:"plan"`
}

// Plan holds the limits of a plan. A limit of 0 allows nothing.
type Plan struct {
	Name              string   `json:"name"`
	Services          []string `json:"services"`            // services that may be called; "*" for all
	RequestsPerSecond float64  `json:"requests_per_second"` // summed over all entry instances
	Concurrency       int      `json:"concurrency"`         // requests in flight, summed over all entry instances
	Burst             int      `json:"burst"`
	Priority          int      `json:"priority"` // higher is served first
	CPUMilli          int64    `json:"cpu_milli"`
	MemoryMiB         int64    `json:"memory_mib"`
	Accelerators      int64    `json:"accelerators"`
	Tasks             int      `json:"tasks"` // tasks placed at the same time
}

// ChangeKind is what a proposal changes.
type ChangeKind string

// Kinds of changes.
const (
	ChangeLists   ChangeKind = "lists"    // replace the lists of customers and of plans
	ChangeZoneOut ChangeKind = "zone_out" // take a zone out of service
	ChangeZoneIn  ChangeKind = "zone_in"  // return a zone to service
	ChangeOwners  ChangeKind = "owners"   // replace the keys of the owners; the first such change needs no signatures
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
	Base     uint64 `json:"base"` // revision on which the change is based
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
	ProposalConflict ProposalState = "conflict" // another change with the same base was accepted
)

// Proposal is a proposed change and its signatures.
type Proposal struct {
	ChangeID  string        `json:"change_id"`
	Base      uint64        `json:"base"`
	Change    Change        `json:"change"`
	Digest    string        `json:"digest"` // SHA-256 for the owners to sign, base64
	State     ProposalState `json:"state"`
	Signers   []string      `json:"signers,omitempty"`
	Revision  uint64        `json:"revision,omitempty"` // set when accepted
	Winner    string        `json:"winner,omitempty"`   // accepted change id, in a conflict
	Reason    string        `json:"reason,omitempty"`
	Diff      []string      `json:"diff,omitempty"`
	InForce   bool          `json:"in_force"`          // in use by every process, and a zone taken out has no permits left
	LaggingBy []string      `json:"lagging,omitempty"` // processes that use an earlier revision
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
	Class       string    `json:"class"` // tasks of one class cause similar interference
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
	TaskPlaced      TaskState = "placed"  // assigned to an agent, which is told to start it
	TaskRunning     TaskState = "running" // reported as running by its agent
	TaskEvicting    TaskState = "evicting"
	TaskCompleted   TaskState = "completed"
	TaskFailed      TaskState = "failed"
	TaskCancelled   TaskState = "cancelled"
	TaskQuarantined TaskState = "quarantined"
)

// TaskStatus is a task and its current state.
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
	Resent             bool      `json:"resent,omitempty"` // the task had been submitted before
}

// TaskQuery identifies a task.
type TaskQuery struct {
	ID string `json:"id"`
}

// TasksQuery selects the tasks of a listing.
type TasksQuery struct {
	Customer string    `json:"customer,omitempty"`
	State    TaskState `json:"state,omitempty"`
	Limit    int       `json:"limit,omitempty"`
}

// TasksResponse is a listing of tasks.
type TasksResponse struct {
	Tasks []TaskStatus `json:"tasks"`
}

// Worker is the instance on which an agent runs tasks.
type Worker struct {
	Agent    string    `json:"agent"`
	Epoch    uint64    `json:"epoch"` // of the agent; a higher epoch fences lower ones
	Rack     string    `json:"rack"`
	Zone     string    `json:"zone"`
	Capacity Resources `json:"capacity"`
}

// ReportedState is the state of a task on its agent.
type ReportedState string

// States of a task on its agent.
const (
	ReportedStarting     ReportedState = "starting"
	ReportedRunning      ReportedState = "running"
	ReportedCompleted    ReportedState = "completed"
	ReportedFailed       ReportedState = "failed"
	ReportedRefused      ReportedState = "refused"      // not started
	ReportedCheckpointed ReportedState = "checkpointed" // checkpointed and stopped
	ReportedStopped      ReportedState = "stopped"
)

// ReportedTask is the state of a task on its agent. An agent repeats the states
// completed, failed, refused, checkpointed and stopped until control confirms
// them.
type ReportedTask struct {
	Task               string        `json:"task"`
	Epoch              uint64        `json:"epoch"`
	State              ReportedState `json:"state"`
	Reason             string        `json:"reason,omitempty"`
	Checkpoint         string        `json:"checkpoint,omitempty"`
	CheckpointSequence uint64        `json:"checkpoint_sequence,omitempty"`
}

// Usage is a measurement of a task, taken AgeMillis before it was sent.
type Usage struct {
	Task      string    `json:"task"`
	Class     string    `json:"class"`
	AgeMillis int64     `json:"age_ms"`
	Used      Resources `json:"used"`
	Slowdown  float64   `json:"slowdown"` // relative to undisturbed running, which is 1
}

// AgentReport reports the states of the tasks of an agent and renews their leases.
// An agent sends one every few hundred milliseconds through any entry instance.
type AgentReport struct {
	Worker   Worker         `json:"worker"`
	Sequence uint64         `json:"sequence"`
	Tasks    []ReportedTask `json:"tasks,omitempty"` // all tasks of the agent, unless SameTasksAs is set
	// SameTasksAs is the sequence of an earlier report with the same tasks that this
	// leader answered. It keeps the report small whatever the number of tasks.
	SameTasksAs uint64 `json:"same_as,omitempty"`
	// HoldMillis is how long control may hold the response while it has no commands.
	HoldMillis int64   `json:"hold_ms,omitempty"`
	Usage      []Usage `json:"usage,omitempty"`
	// Latency-critical service of the target on the same instance.
	Service           string  `json:"service,omitempty"`
	TailLatencyMillis float64 `json:"tail_ms,omitempty"`
	Draining          bool    `json:"draining,omitempty"`
}

// CommandAction is the action of a command to an agent.
type CommandAction string

// Actions.
const (
	ActionStart      CommandAction = "start"
	ActionCheckpoint CommandAction = "checkpoint" // checkpoint and stop, to move the task
	ActionStop       CommandAction = "stop"
	ActionThrottle   CommandAction = "throttle"
	ActionForget     CommandAction = "forget" // the end of the task is recorded; drop its report
)

// Command instructs an agent to act on a task.
type Command struct {
	Action             CommandAction `json:"action"`
	Epoch              uint64        `json:"epoch"`
	Task               Task          `json:"task"` // holds only the ID unless Action is start
	Checkpoint         string        `json:"checkpoint,omitempty"`
	CheckpointSequence uint64        `json:"checkpoint_sequence,omitempty"`
	ThrottlePercent    int           `json:"throttle_percent,omitempty"`
}

// Lease identifies a renewed lease.
type Lease struct {
	Task  string `json:"task"`
	Epoch uint64 `json:"epoch"`
}

// AgentCommands is the response to an AgentReport. Renewed leases last LeaseMillis,
// counted from when the agent sent the report.
type AgentCommands struct {
	LeaseMillis int64     `json:"lease_ms"`
	Sequence    uint64    `json:"sequence"`              // of the report
	RenewedAll  bool      `json:"renewed_all,omitempty"` // the leases of all reported tasks are renewed
	Renewed     []Lease   `json:"renewed,omitempty"`     // otherwise, the renewed leases
	Commands    []Command `json:"commands,omitempty"`
	Resend      bool      `json:"resend,omitempty"` // the leader does not know the report SameTasksAs; send all tasks
}

// AnnouncedRequest reports the targets that are connected to an entry instance.
type AnnouncedRequest struct {
	Entry    string            `json:"entry"`
	Revision uint64            `json:"revision"`
	Targets  []AnnouncedTarget `json:"targets"`
}

// AnnouncedTarget is a target that has announced itself to an entry instance.
type AnnouncedTarget struct {
	Target   string    `json:"target"`
	Service  string    `json:"service"`
	Zone     string    `json:"zone"`
	State    string    `json:"state"`
	Slots    int       `json:"slots"`
	Revision uint64    `json:"revision"` // in use by its agent
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
	InForce bool   `json:"in_force"` // no permit for the zone is valid any more
}

// ProcessRevision is the configuration revision that a process uses.
type ProcessRevision struct {
	Process   string `json:"process"`
	Revision  uint64 `json:"revision"`
	AgeMillis int64  `json:"age_ms"`
}

// Alarm is a condition that needs the attention of an operator.
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

// Member is a control member and its replication state.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Voter       bool   `json:"voter"`
	Match       uint64 `json:"match"` // last log index that the leader knows to be replicated
	Active      bool   `json:"active"`
}

// MembershipRequest changes the control members.
type MembershipRequest struct {
	Action string `json:"action"` // bootstrap, admit, remove or transfer
	ID     string `json:"id,omitempty"`
}
