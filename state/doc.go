// Package state implements the replicated state machine of the control group.
// It combines the configuration (package plan), the idempotency keys (package
// ledger), the tasks with their epochs and checkpoints, and the quarantine list.
//
// The package does no I/O and is deterministic: commands carry the clock reading
// of the leader, so replicas that apply the same commands in the same order hold
// equal state. Leases and permits are kept in memory by the leader and are not
// replicated.
package state
