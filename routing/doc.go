// Package routing decides which target gets an attempt of a request, when
// another attempt is made, and what the caller is told. It is pure: time and
// events come in, actions come out.
//
// A driver calls the methods of Router with the time and carries out the
// returned actions before the next call; the storage of the actions is reused.
//
// Idempotent requests go to the better of two random targets by expected
// completion. They are retried on another target when the outcome is not run or
// unknown, and hedged when they take longer than the 95th percentile. Both are
// bounded by budgets. A request that is not idempotent is claimed in the quorum
// before it is sent, and is sent again only after proof that it did not run.
package routing
