package controlapi

import "time"

// QuarantineResponse lists jobs and workers that get no work.
type QuarantineResponse struct {
	Entries []Quarantined `json:"entries"`
}

// Quarantined is one job or worker that gets no work.
type Quarantined struct {
	Kind   string    `json:"kind"` // job or worker
	Name   string    `json:"name"`
	Reason string    `json:"reason"`
	Since  time.Time `json:"since"`
}

// ReleaseRequest releases a job or worker into probation.
type ReleaseRequest struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}
