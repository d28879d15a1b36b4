// Package e2e tests the real programs as separate processes under faults. The
// tests check the outcomes against what the stand-ins have recorded.
package e2e
