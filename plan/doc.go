// Package plan holds the configuration that operators change: the plans that
// customers have bought, the limits of the plans, the zones that are out of
// service, and the owners. A change is a proposal on a base revision that two
// different owners sign. It is accepted by compare-and-set on the revision.
//
// The package does no I/O; callers pass in the time. It is deterministic:
// replicas that apply the same calls in the same order have the same Registry.
package plan
