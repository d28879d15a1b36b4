// Package ledger records idempotency keys, so that a non-idempotent request
// runs at most once whichever entry instance handles it.
//
// A key is claimed before the dispatch and resolved with the outcome. Every
// claim has an epoch that no other claim has, and only the holder of the
// current epoch can resolve it. The package is pure: every replica that applies
// the same calls in the same order has the same Ledger.
package ledger
