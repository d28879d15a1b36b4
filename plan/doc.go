// Package plan holds the configuration that operators change: the plans that
// customers have bought, the limits of the plans, the zones that are out of
// service, and the owners. A change is a proposal on a base revision that two
// different owners sign; it is accepted by compare-and-set on the revision.
//
// The package is pure. Every replica that applies the same calls in the same
// order has the same Book.
package plan
