// Package state is the replicated state machine of control. It combines the
// configuration (package plan), the idempotency keys (package ledger), the
// tasks with their epochs and checkpoints, and the quarantine.
//
// The package is pure and deterministic: commands carry the clock reading of
// the leader, and every replica that applies the same commands in the same
// order has the same Machine. Leases and permits live with the leader and are
// not part of it.
package state
