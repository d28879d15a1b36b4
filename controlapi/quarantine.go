package controlapi

import "time"

// QuarantineResponse lists the quarantined jobs and workers.
type QuarantineResponse struct {
	Entries []Quarantined `json:"entries"`
}

// Quarantined is a job that is not started or a worker that gets no tasks.
type Quarantined struct {
	Kind   string    `json:"kind"` // job or worker
	Name   string    `json:"name"`
	Reason string    `json:"reason"`
	Since  time.Time `json:"since"`
}

// ReleaseRequest releases a job or worker from quarantine into probation.
type ReleaseRequest struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}
