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
	OpTarget       Operation = "target"        // TargetReport -> TargetOrders; a long poll
)

// JobOutcome is the result of an operation on a job.
type JobOutcome string

// Outcomes of operations on jobs.
const (
	JobOK         JobOutcome = "ok"
	JobNoQueue    JobOutcome = "no-queue"    // no queue matches the host and path
	JobUnknown    JobOutcome = "unknown-job" // the job does not exist
	JobRefused    JobOutcome = "refused"     // not accepted; it never runs
	JobNoManifest JobOutcome = "no-manifest" // not accepted, because there is no configuration yet
	JobInvalid    JobOutcome = "invalid"     // the specification is invalid
	JobCancelled  JobOutcome = "cancelled"   // not accepted, because it was cancelled before it arrived; it never runs
	JobNoRoom     JobOutcome = "no-room"     // not accepted, because it could not be done in time; it never runs, unless it is sent again after RetryAfterMillis
	JobOverloaded JobOutcome = "overloaded"  // nothing was done; it may be sent again after RetryAfterMillis
)

// JobSubmitRequest submits a job. Path is the path prefix of a queue followed by
// the id of the job.
type JobSubmitRequest struct {
	Host string
	Path string
	Spec job.Spec
}

// JobQuery identifies a job or a queue by the host and path of a request.
type JobQuery struct {
	Host string
	Path string
}

// JobResponse is the response to an operation on a job.
type JobResponse struct {
	Outcome          JobOutcome
	State            job.State `json:",omitempty"`
	Waiting          int       `json:",omitempty"`
	RetryAfterMillis int64     `json:",omitempty"`
}

// ManifestRequest submits a configuration that was approved outside the system.
type ManifestRequest struct {
	Config job.Config
}

// ManifestResponse holds the configuration as it was submitted. Source is empty
// if there is none yet.
type ManifestResponse struct {
	Source []byte
}

// RunReport is the state of a run on a target.
type RunReport struct {
	Task   job.Ref
	Run    int
	Paused bool `json:",omitempty"` // a filling task that is suspended in favour of serving tasks
	// Slowed is set for a filling task whose pace is so low that a move is worth it, also
	// if it is paused.
	Slowed bool `json:",omitempty"`
	// Stalled is set if the run has made no progress for a while although it is not
	// paused.
	Stalled bool `json:",omitempty"`
	// Adopted is set if the agent found the run on the target without having an
	// order for it, so that it has no description of the task.
	Adopted bool `json:",omitempty"`
}

// ServingHeadroom is the undisturbed headroom of a serving image: the logarithm of
// the tail latency target over the undisturbed tail latency. Of several jobs with
// the image, the one with the lowest headroom counts.
type ServingHeadroom struct {
	Image    string
	Headroom float64
}

// PairDisturbance is an agent's estimate of how much a filling image slows down a
// serving image.
type PairDisturbance struct {
	Filling string
	Serving string
	job.Disturbance
}

// TargetReport is an agent's report about its target.
type TargetReport struct {
	Incarnation job.TargetIncarnation `json:"Life"` // of the target
	Host        string                // instance of the target
	Service     string
	Zone        string
	Rack        string
	Labels      []string
	Capacity    resource.Vector
	Draining    bool
	// RemainingMillis is the minimum time for which a draining target remains.
	RemainingMillis int64             `json:",omitempty"`
	Serving         []ServingHeadroom `json:",omitempty"`
	// Learned holds the estimates that have changed since the last report, or all of
	// them in the first report to a leader.
	Learned []PairDisturbance `json:",omitempty"`

	Agent uint64 // random id of the agent process
	// Sequence increases with each report of an agent process. A report that is sent
	// again to a new leader may arrive after a newer one. 0 from earlier versions.
	Sequence uint64 `json:",omitempty"`
	Seen     uint64 // newest TargetOrders.Number that the agent has processed
	// LeaseWanted is set if the target answers its agent.
	LeaseWanted bool                    `json:",omitempty"`
	Running     []RunReport             `json:",omitempty"` // including starts and stops in progress
	Ends        []job.End               `json:",omitempty"` // with numbers above TargetOrders.EndWatermark
	Gone        []job.TargetIncarnation `json:",omitempty"` // earlier incarnations that are known to have ended
	// Unsettled is set while this incarnation may still execute a start that was
	// ordered for an earlier one, so that the tasks of the earlier one must not be
	// started elsewhere yet.
	Unsettled  bool  `json:",omitempty"`
	HoldMillis int64 `json:",omitempty"` // how long control may hold the response
}

// StartOrder asks the agent to start a run.
type StartOrder struct {
	Task       job.Ref
	Run        int
	Payload    string
	Checkpoint string `json:",omitempty"`
	// Again is set if the same start may have been ordered before, possibly through
	// an earlier agent process, and may still be executed.
	Again            bool   `json:",omitempty"`
	Filling          bool   `json:",omitempty"`
	CPUMilli         int64  `json:",omitempty"`
	Image            string `json:",omitempty"`
	TailTargetMillis int64  `json:",omitempty"`
	// Disturbs holds the known disturbance by a filling image, by serving image.
	Disturbs map[string]job.Disturbance `json:",omitempty"`
}

// StopOrder asks the agent to stop a run.
type StopOrder struct {
	Task job.Ref
	Run  int
	// Unreported is set if no report has shown the run. An agent that does not know the
	// run has the target confirm that it never starts, and reports it as rejected.
	Unreported bool `json:",omitempty"`
}

// TargetOrders is the response to a TargetReport.
type TargetOrders struct {
	Term         uint64       // of the leader; the fencing token of the orders
	Number       uint64       // sequence number of these orders within the term
	EndWatermark uint64       `json:"Noted"` // run ends up to this number are committed
	LeaseMillis  int64        // counted from when the report was sent; 0 for no lease
	Starts       []StartOrder `json:",omitempty"`
	Stops        []StopOrder  `json:",omitempty"`
}
