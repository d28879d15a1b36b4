package controlapi

import (
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

// Operations on jobs.
const (
	OpJobSubmit    Operation = "job-submit"    // JobSubmitRequest -> JobResponse
	OpJobStatus    Operation = "job-status"    // JobQuery -> JobResponse
	OpJobCancel    Operation = "job-cancel"    // JobQuery -> JobResponse
	OpJobWaiting   Operation = "job-waiting"   // JobQuery -> JobResponse
	OpManifest     Operation = "manifest"      // ManifestRequest -> ManifestResponse
	OpManifestRead Operation = "manifest-read" // Empty -> ManifestResponse
	OpZone         Operation = "zone"          // job.ZoneChange -> Empty
	OpTarget       Operation = "target"        // TargetReport -> TargetOrders; held until there are orders
)

// JobOutcome is the result of an operation on a job.
type JobOutcome string

// Outcomes of operations on jobs.
const (
	JobOK         JobOutcome = "ok"
	JobNoQueue    JobOutcome = "no-queue"    // no queue has the host and path
	JobUnknown    JobOutcome = "unknown-job" // no such job
	JobRefused    JobOutcome = "refused"     // not accepted; it never runs
	JobNoManifest JobOutcome = "no-manifest" // no configuration yet; not accepted
	JobInvalid    JobOutcome = "invalid"     // cannot be carried out as written
)

// JobSubmitRequest hands a job in. The path is the prefix of a queue and the id.
type JobSubmitRequest struct {
	Host string
	Path string
	Spec job.Spec
}

// JobQuery names a job, or a queue, by the host and path of a request.
type JobQuery struct {
	Host string
	Path string
}

// JobResponse answers an operation on a job.
type JobResponse struct {
	Outcome          JobOutcome
	State            job.State `json:",omitempty"`
	Waiting          int       `json:",omitempty"`
	RetryAfterMillis int64     `json:",omitempty"`
}

// ManifestRequest hands a configuration in that was approved outside.
type ManifestRequest struct {
	Config job.Config
}

// ManifestResponse is a configuration as it was submitted. Source is empty when
// there is none yet.
type ManifestResponse struct {
	Source []byte
}

// RunReport is a run that a target holds.
type RunReport struct {
	Task       job.Ref
	Run        int
	Checkpoint string `json:",omitempty"`
	Paused     bool   `json:",omitempty"` // a filling task that may not work beside the serving ones
	// Stalled tells that the run has made no progress for a while although it may
	// work.
	Stalled bool `json:",omitempty"`
	// Adopted tells that the agent found the run on the target and has no order
	// for it, so that it does not know what the task is.
	Adopted bool `json:",omitempty"`
}

// ServingHeadroom is the headroom that a serving image has when undisturbed: the
// logarithm of its tail target over its tail latency, of the job that has least.
type ServingHeadroom struct {
	Image    string
	Headroom float64
}

// PairDisturbance is what an agent has learned about a filling and a serving image.
type PairDisturbance struct {
	Filling string
	Serving string
	job.Disturbance
}

// TargetReport is what an agent tells about its target.
type TargetReport struct {
	Life     job.TargetIncarnation
	Host     string // instance of the target
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity resource.Vector
	Draining bool
	// RemainingMillis is the least time that a draining target stays.
	RemainingMillis int64             `json:",omitempty"`
	Serving         []ServingHeadroom `json:",omitempty"`
	// Learned is what has changed since the last report, and everything for a
	// leader that is new to the agent.
	Learned []PairDisturbance `json:",omitempty"`

	Agent uint64 // chosen at random at the start of the agent
	Seen  uint64 // newest TargetOrders.Number that the agent has taken
	// LeaseWanted tells that the target answers its agent.
	LeaseWanted bool                    `json:",omitempty"`
	Running     []RunReport             `json:",omitempty"` // also starts and stops that are under way
	Ends        []job.End               `json:",omitempty"` // beyond the newest noted one
	Gone        []job.TargetIncarnation `json:",omitempty"` // earlier lives that the agent knows to be over
	// Unsettled tells that a start for an earlier life may still be carried out by
	// this one, so the tasks of the earlier one must not start elsewhere yet.
	Unsettled  bool  `json:",omitempty"`
	HoldMillis int64 `json:",omitempty"` // time that control may hold the answer
}

// StartOrder asks the agent to start a run.
type StartOrder struct {
	Task       job.Ref
	Run        int
	Payload    string
	Checkpoint string `json:",omitempty"`
	// Again tells that the start may have been ordered before, perhaps through an
	// earlier agent, and may still be carried out.
	Again            bool   `json:",omitempty"`
	Filling          bool   `json:",omitempty"`
	CPUMilli         int64  `json:",omitempty"`
	Image            string `json:",omitempty"`
	TailTargetMillis int64  `json:",omitempty"`
	// Disturbs is what is known about a filling image, by serving image.
	Disturbs map[string]job.Disturbance `json:",omitempty"`
}

// StopOrder asks the agent to stop a run.
type StopOrder struct {
	Task job.Ref
	Run  int
}

// TargetOrders answers a TargetReport.
type TargetOrders struct {
	Term        uint64       // of the leader; the fencing token of the orders
	Number      uint64       // of these orders in this leadership
	Noted       uint64       // ends up to this number are in the log
	LeaseMillis int64        // counted from when the report was sent; 0 for no lease
	Starts      []StartOrder `json:",omitempty"`
	Stops       []StopOrder  `json:",omitempty"`
}
