// Package soak runs the programs as separate processes, injects overlapping faults
// and checks what callers and targets observe. It has only tests: a short run of
// fixed seeds for CI, seeds that have failed before, and as many random seeds as
// IBISPIER_SOAK_SEEDS requests.
package soak
