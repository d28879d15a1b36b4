// Package interference learns how much tasks of one class slow down tasks of
// another on the same worker, and decides what to do about a worker whose
// services are too slow. It is pure: the caller passes the time.
//
// Model estimates, for every ordered pair (victim, aggressor), the slowdown
// that one whole worker's worth of the aggressor's use would cause. A report
// is one equation
//
//	slowdown - 1 = sum of coefficient(victim, neighbour) * intensity(neighbour)
//
// and is applied as a Kalman filter for each victim class: the error goes to the
// pairs that are least certain. Estimates decay towards the prior, since
// the interference of a class shifts with load.
//
// Ladder escalates throttle -> checkpoint and move -> stop, one action at a
// time for each worker, and Budget bounds the evictions per hour.
package interference
