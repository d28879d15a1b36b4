package state

import (
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/lease"
	"github.com/ibispier/ibispier/plan"
)

// CommandID identifies a proposed command, so that its proposer recognizes it
// when it is applied. Origin is drawn at random by each proposer.
type CommandID struct {
	Origin   uint64
	Sequence uint64
}

// Command is the content of one log entry. Exactly one of the pointers is set.
type Command struct {
	ID  CommandID
	Now time.Time // clock reading of the proposing leader

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

// Propose proposes a change of the configuration. Offer is the capacity of the
// announced targets and workers that the leader knows.
type Propose struct {
	Request controlapi.ProposeRequest
	Offer   plan.Offer
}

// Sign records the signature or the rejection of a proposal by an owner.
type Sign struct {
	Request controlapi.SignRequest
	Offer   plan.Offer
}

// Place places a queued task on the worker of an agent.
type Place struct {
	Task     string
	Epoch    uint64 // of the queued task; the placement gets the next one
	Agent    string
	Zone     string
	Capacity controlapi.Resources // of the worker
}

// Report records the task states that an agent reported.
type Report struct {
	Agent string
	Tasks []controlapi.ReportedTask
}

// Expire ends the placements whose leases have expired.
type Expire struct {
	Leases []lease.Lease
}

// Evict requests a checkpoint or a stop of a placed task.
type Evict struct {
	Task   string
	Epoch  uint64
	Action controlapi.CommandAction
	Reason string
}

// Quarantine adds a job or worker to the quarantine list, or releases it.
type Quarantine struct {
	Kind    string
	Name    string
	Reason  string
	Release bool
}

// Kinds of quarantine entries.
const (
	QuarantineJob    = "job"
	QuarantineWorker = "worker"
)

// Result is the result of applying a command. Err is a refusal: the state is
// unchanged.
type Result struct {
	Err             error
	Claim           *controlapi.ClaimResponse
	ResolveAccepted bool // Resolve: the epoch was current
	Proposal        *controlapi.Proposal
	Task            *controlapi.TaskStatus
	Created         bool // Submit: the task is new

	ChangedTasks  []*Task // tasks that have changed
	Failures      []Failure
	ConfigChanged bool // the configuration has changed
	Quarantine    *controlapi.Quarantined
	Released      *controlapi.Quarantined
}

// Failure reports a task that failed on a worker or was refused by it.
type Failure struct {
	Task    string
	Class   string
	Agent   string
	Refused bool // the worker did not start the task
	Reason  string
}
