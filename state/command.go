package state

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/lease"
	"github.com/ibispier/ibispier/plan"
)

// CommandID identifies a proposed command, so that its proposer recognises it when it
// is applied. Origin is random for each leadership.
type CommandID struct {
	Origin   uint64
	Sequence uint64
}

// Command is one entry of the log. Exactly one of the pointers is set.
type Command struct {
	ID  CommandID
	Now time.Time // clock of the leader that proposed it

	Claim      *controlapi.ClaimRequest
	Resolve    *controlapi.ResolveRequest
	Propose    *Propose
	Sign       *Sign
	Submit     *controlapi.Task
	Cancel     *controlapi.TaskQuery
	Place      *Place
	Report     *Report
	Expire     *Expire
	Evict      *Evict
	Quarantine *Quarantine
}

// Propose proposes a change. The offer is what the leader knows of announced
// targets and workers.
type Propose struct {
	Request controlapi.ProposeRequest
	Offer   plan.Offer
}

// Sign signs or rejects a proposal.
type Sign struct {
	Request controlapi.SignRequest
	Offer   plan.Offer
}

// Place places a queued task on the worker of an agent.
type Place struct {
	Task     string
	Epoch    uint64 // of the queued task; the placement has the next one
	Agent    string
	Zone     string
	Capacity controlapi.Resources // of the worker
}

// Report holds the task states that an agent reported.
type Report struct {
	Agent string
	Tasks []controlapi.ReportedTask
}

// Expire ends placements whose lease has expired.
type Expire struct {
	Leases []lease.Lease
}

// Evict asks for a checkpoint or a stop of a placed task.
type Evict struct {
	Task   string
	Epoch  uint64
	Action controlapi.CommandAction
	Reason string
}

// Quarantine quarantines a job or worker, or releases it.
type Quarantine struct {
	Kind    string
	Name    string
	Reason  string
	Release bool
}

// Kinds of quarantined names.
const (
	QuarantineJob    = "job"
	QuarantineWorker = "worker"
)

// Result is what applying a command gave. Err is a refusal: nothing changed.
type Result struct {
	Err             error
	Claim           *controlapi.ClaimResponse
	ResolveAccepted bool // of a Resolve
	Proposal        *controlapi.Proposal
	Task            *controlapi.TaskStatus
	Created         bool // a Submit that added the task

	ChangedTasks  []*Task // tasks that have changed
	Failures      []Failure
	ConfigChanged bool // the configuration has changed
	Quarantine    *controlapi.Quarantined
	Released      *controlapi.Quarantined
}

// Failure is a task that failed on, or was refused by, a worker.
type Failure struct {
	Task    string
	Class   string
	Agent   string
	Refused bool // not started
	Reason  string
}
