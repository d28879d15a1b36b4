// Package executor decides how an agent runs the tasks of its instance: it admits
// starts within the capacity of the instance, keeps the task leases and reports
// to control. Nothing else commits capacity of the instance.
//
// The package does no I/O and reads no clock. Its input is commands from control,
// results from the worker and readings of the instance clock (package
// bootclock); its output is calls to the worker and reports to control.
package executor
