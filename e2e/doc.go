// Package e2e tests the real programs as separate processes under faults. The
// oracle reads the records of the stand-ins.
package e2e
