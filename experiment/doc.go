// Package experiment measures placement policies in virtual time. It drives the
// pure placement.Scheduler with a model of workers, services and tasks, so a
// run is repeatable and needs neither processes nor clocks.
//
// The model has what the design page expects: reports that lag, interference
// for each ordered pair of classes that shifts with load and with time, declared
// sizes and run times that are far off, waves of noisy tasks and of requests,
// jobs that fail everywhere or can never run, a worker that fails everything,
// waves of cancellations, and a zone that leaves and returns. Its figures were
// set before the first run and are the same for every policy.
//
// Every part of the policy has a baseline that is a setting of the same code:
// first fit, no interference estimate, and first come, first served.
package experiment
