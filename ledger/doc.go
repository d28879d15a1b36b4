// Package ledger records idempotency keys, so that a non-idempotent request
// runs at most once, whichever entry instance handles it.
//
// A key is claimed before the dispatch and resolved with the outcome. Every
// claim has a unique epoch, and only the holder of the current epoch can
// resolve it. The package does no I/O and is deterministic: replicas that apply
// the same calls in the same order have the same Ledger.
package ledger
