// Package placement decides which worker runs a task, and which running tasks are
// throttled, moved or stopped. It performs no I/O and reads no clock: the caller
// passes events and the time, and receives proposals, which it may commit or
// reject.
//
// Cache holds the workers, placed tasks, zones and quotas; pending tasks are in
// the queue of package fairqueue. Filters are named functions that refuse a
// worker, with a reason for operators. Scores are named functions that rate the
// remaining workers. The sum of the declared sizes of the tasks on a worker never
// exceeds its capacity. Measured use and estimated interference lower the score
// of a worker, and one filter refuses workers whose services are slowed down too
// much already or would be.
//
// Scheduler combines the cache with packages fairqueue, interference and
// quarantine. A proposed placement is entered in the cache at once, and taken
// back if the committer rejects it or does not confirm it in time.
package placement
