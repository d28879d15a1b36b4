// Package placement decides which worker runs a task and which running task is
// throttled, moved or stopped. It is pure: the caller passes events and the
// time, and gets proposals. It commits nothing.
//
// Cache holds workers, tasks, zones and quotas, apart from the queue of pending
// tasks. Filters are named functions that refuse a worker with a reason for
// operators; scores are named functions that rate the workers left. Declared
// sizes are the bound: their sum on a worker never exceeds its capacity.
// Measured use and estimated interference only lower the score of a worker.
//
// Scheduler joins the cache with packages fairqueue, interference and
// quarantine. Its proposals count in the cache at once, until the committer
// confirms or refuses them or they expire.
package placement
