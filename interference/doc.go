// Package interference estimates how much tasks of one class slow down tasks of
// another class on the same worker, and chooses the action to take on a worker
// whose services are slowed down too much. It performs no I/O and reads no
// clock: the caller passes the time.
//
// Model estimates a coefficient for every ordered pair of classes (victim,
// aggressor): the slowdown of the victim that the aggressor would cause if it
// used a whole worker. A report of a slowdown is one linear equation,
//
//	slowdown - 1 = sum of coefficient(victim, neighbour) * intensity(neighbour)
//
// which updates a Kalman filter for the victim class, so that the coefficients
// that are least certain are corrected most. Estimates decay towards the prior,
// because the interference of a class changes with load.
//
// Mitigator is the escalation ladder of one worker: throttle, then checkpoint
// and move, then stop, with one action at a time. EvictionBudget bounds the
// evictions per hour.
package interference
