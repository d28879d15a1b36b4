package runs

import (
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"
)

const (
	// unsettledInterval is the time between log lines about unsettled runs. It is also
	// the age from which a run counts as unsettled.
	unsettledInterval = 2 * time.Second
	// maxUnsettledLogged bounds the runs named in one line.
	maxUnsettledLogged = 8
)

// String returns the state as written to the log.
func (s runState) String() string {
	return [...]string{starting: "starting", unanswered: "unanswered", running: "running", stopping: "stopping"}[s]
}

// logUnsettledRuns logs the runs of which it has been open for a while whether the
// target executes them, and a target that can be given no lease.
func (o *owner) logUnsettledRuns(now time.Duration) {
	if now-o.unsettledLoggedAt < unsettledInterval {
		return
	}
	o.unsettledLoggedAt = now
	var unsettled []string
	for task, r := range o.runs {
		if r.state != running && now-r.stateSince >= unsettledInterval {
			unsettled = append(unsettled, task.String()+"#"+strconv.Itoa(r.number)+":"+r.state.String())
		}
	}
	if len(unsettled) == 0 && o.wantsLease(now) {
		return
	}
	slices.Sort(unsettled)
	o.log.Info("runs unsettled", zap.String("target", o.incarnation.ID), zap.Int64("born", o.incarnation.Born), zap.Bool("wants_lease", o.wantsLease(now)),
		zap.Duration("answered_ago", now-o.answeredAt), zap.Bool("stale", o.stale), zap.Bool("watching", o.watching), zap.Bool("report_pending", o.reportPending),
		zap.Duration("no_lease_for", max(o.longLeaseUntil-now, 0)), zap.Duration("lease", o.leaseEnd-now),
		zap.Int("count", len(unsettled)), zap.Strings("runs", unsettled[:min(len(unsettled), maxUnsettledLogged)]))
}
