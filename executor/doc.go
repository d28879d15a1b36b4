// Package executor decides what the agent of an instance does with its tasks:
// it admits starts within the capacity of the instance, keeps task leases, and
// reports to control. It is the only committer of the instance's capacity.
//
// It is pure: commands, results and readings of the instance clock (package
// bootclock) come in; calls to the worker and reports come out.
package executor
