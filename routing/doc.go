// Package routing decides which target gets an attempt of a request, when
// another attempt is made, and what is returned to the caller. It does no I/O:
// callers pass in the time and events, and carry out the returned actions.
//
// A driver calls the methods of Router and carries out the returned actions
// before the next call, because the storage of the actions is reused.
//
// An idempotent request goes to the better of two random targets by expected
// completion time. It is retried on another target if its outcome is not run or
// unknown, and hedged if it takes longer than the 95th percentile; budgets
// limit both. A non-idempotent request is claimed in the quorum before it is
// sent, and is sent again only after proof that it did not run.
package routing
