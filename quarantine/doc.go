// Package quarantine takes out of service jobs that fail everywhere and workers that fail
// everything. It is pure: the caller passes the time.
//
// Matrix keeps who failed where. A failure has two possible causes, the job or
// the worker, and the matrix is explained by one fault probability for each of
// them: P(failure) = 1 - (1-job)(1-worker). The probabilities are estimated by
// expectation maximisation over the recent failures, so a worker is not blamed
// for jobs that also fail elsewhere, nor a job for workers that fail others.
//
// A subject with a high fault probability that failed with several distinct
// counterparts is quarantined, with a reason for operators. After a time that
// doubles with every relapse it returns through probation: a job gets one
// attempt, a worker one task at a time until several have succeeded.
//
// RunTimes learns how far the declared run times of a class are off.
package quarantine
