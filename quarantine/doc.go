// Package quarantine takes jobs that fail on every worker, and workers on which
// every job fails, out of service. It performs no I/O and reads no clock: the
// caller passes the time.
//
// Matrix records which job failed on which worker. A failure has two possible
// causes, the job or the worker. The matrix is modelled by one fault probability
// for each job and each worker:
//
//	P(failure) = 1 - (1-job)(1-worker)
//
// The probabilities are estimated by expectation maximisation over the recent
// outcomes. Failures of a job that also fails elsewhere are therefore not
// attributed to the worker, nor failures on a worker that also fails other jobs
// to the job.
//
// A subject (a job or a worker) with a high fault probability that failed with
// several distinct counterparts is quarantined, with a reason for operators. The
// term of the quarantine doubles each time. Afterwards the subject is on
// probation: a job gets one attempt, and a worker runs one task at a time until
// several have succeeded.
//
// RunTimes learns by how much the declared run times of a class are wrong.
package quarantine
