// Package job is the replicated state machine that holds the jobs of all teams.
// It applies committed commands and records which tasks run on which target. It
// uses no clock, socket, file or goroutine, so every control member derives the
// same state from the same log.
//
// A job consists of steps with dependencies, and a step of identical tasks.
// Each execution of a task is a run with its own number. At most one run of a
// task is active at a time: a committed Start places it, and only a committed
// End of that run or the committed loss of its target makes the task ready
// again.
//
// Two kinds of tasks share targets. Serving tasks run until they are cancelled
// and have a bound on their tail latency. Filling tasks are best-effort: they
// reserve no processor time and use what the other tasks leave.
package job
