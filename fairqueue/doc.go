// Package fairqueue orders pending tasks by dominant resource fairness across
// customers. It performs no I/O and reads no clock: the caller passes the time.
//
// A scheduling pass starts with BeginPass. Next then offers every pending task
// at most once, and the caller answers each offer with Take (placed), Skip (no
// worker has enough free capacity) or SkipCustomer (the customer's quota is
// used up). Tasks are offered in this order:
//
//  1. urgent tasks;
//  2. tasks that have waited longer than Options.AgingBound, the longest wait
//     first;
//  3. tasks of the customer whose dominant share of the capacity is smallest.
//
// Tasks of one customer keep their order of arrival within the urgent and the
// non-urgent ones. While urgent tasks are pending, one offer in
// agedOfferInterval still goes to a task beyond the aging bound, so that a
// burst of urgent tasks does not starve other work.
//
// Remove only marks a task as removed. The next BeginPass drops all marked
// tasks in one scan, so a burst of cancellations costs one scan of the queue
// and not one for each task.
//
// Pool, Holding and Turns measure shares for any kind of owner. Queue uses them for
// customers, and package job/dispatch for the queues of jobs.
package fairqueue
