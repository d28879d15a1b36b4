// Package experiment compares placement policies by discrete-time simulation. It
// drives placement.Scheduler, which does no I/O, with a model of workers,
// services and tasks, so a run is deterministic and needs neither processes nor
// real clocks.
//
// The model covers delayed usage reports, interference between each ordered pair
// of task classes that varies with load and over time, inaccurate declared sizes
// and run times, bursts of noisy tasks and of requests, jobs that fail on every
// worker or fit on none, a worker on which every task fails, bulk cancellations,
// and a zone outage with recovery. The parameters of the model are the same for
// every policy.
//
// Each part of the policy has a baseline that is an option of the same code:
// first fit, no interference estimate, and first come, first served.
package experiment
