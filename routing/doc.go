// Package routing decides which target gets an attempt of a request, when
// another attempt is made, and what is returned to the caller. It does no I/O:
// a driver passes in the time and events and carries out the returned actions.
//
// The driver must carry out the actions before it calls the Router again,
// because their storage is reused.
//
// An idempotent request goes to the better of two random targets by expected
// completion time. It is retried on another target if its outcome is not run or
// unknown, and hedged if it takes longer than the 95th percentile; budgets
// limit both. A non-idempotent request is claimed in the quorum before it is
// sent, and is sent again only after proof that it did not run.
package routing
