// Package soak runs the programs as processes of their own and injects faults
// from outside them, while it checks what callers and targets see. It has only
// tests: a short run of fixed seeds for CI, the seeds that have failed once, and
// as many fresh ones as IBISPIER_SOAK_SEEDS asks for.
package soak
