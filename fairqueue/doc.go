// Package fairqueue orders pending tasks fairly across customers. It is pure:
// the caller passes the time.
//
// A scheduling pass starts with Begin. Next then offers every pending task at
// most once, and the caller answers each offer with Take (placed), Skip (no
// worker has room) or SkipCustomer (the quota is used up). The order is:
//
//  1. urgent tasks;
//  2. tasks that wait longer than Options.AgingBound, longest wait first;
//  3. the customer with the smallest dominant share of the capacity in use.
//
// A customer's own tasks keep their order. While urgent tasks are pending,
// every agedTurn-th offer still goes to a task beyond the aging bound, so that
// a flood of urgent tasks does not starve other work.
//
// Remove only marks a task; the next Begin drops all marked tasks in one scan,
// so a wave of cancellations costs one pass over the queue.
package fairqueue
