// Package job holds the jobs of all teams as a deterministic state machine:
// committed commands go in, and the tasks that should run on each target come
// out. It has no clock, socket, file or goroutine, so every control member
// reaches the same state from the same log.
//
// A job has steps that depend on each other, and a step has tasks that are
// alike. A task runs at most once at a time: it is placed by a committed start
// with a run number, and becomes ready again only by a committed end of that
// run or by the committed loss of its target.
package job
