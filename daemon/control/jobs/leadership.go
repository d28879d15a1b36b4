package jobs

import (
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/dispatch"
	"github.com/ibispier/ibispier/job/faults"
	"github.com/ibispier/ibispier/job/overload"
	"github.com/ibispier/ibispier/job/stragglers"
	"github.com/ibispier/ibispier/lease"
	"github.com/ibispier/ibispier/telemetry"
)

// leadership is the state that a member keeps while it leads in one term.
type leadership struct {
	log               *zap.Logger
	term              uint64
	leaseTiming       lease.Timing
	confirmed         bool // all entries of earlier leaders are applied
	sessions          map[job.TargetIncarnation]*session
	proposedEnds      map[runKey]bool                // runs whose end is proposed
	unsentStarts      map[runKey]bool                // runs committed in this term whose start was not sent yet
	proposedLosses    map[job.TargetIncarnation]bool // targets whose loss is proposed
	finishedAt        map[string]time.Time           // when this leader first saw that a job is finished, or a tombstone
	nextForgotten     time.Time                      // when the next of them is past the retention time
	confirmedAt       time.Time                      // a quorum has confirmed this leader at that time or later
	needsDispatch     bool                           // something has changed since the last dispatch
	disturbances      *disturbanceTable              // disturbance between filling and serving images
	dispatcher        *dispatch.Dispatcher
	checkQueue        []*session            // sessions whose orders may have changed since they were checked
	idleSince         map[string]time.Time  // since when jobs have ready tasks and none placed
	cleanedAt         time.Time             // when cleanUp last ran
	occupancyLoggedAt time.Time             // time of the last occupancy log line
	waitingSince      map[job.Ref]time.Time // since when steps are waiting, by their first task
	missingRuns       map[runKey]bool       // runs that the reports did not show at the last occupancy log line
	estimatesStoredAt time.Time             // time of the last entry with estimates
	faults            *faults.Tracker
	newestReports     map[string]reportKey  // by host
	startedAt         map[job.Ref]time.Time // when the start of a lasting task was committed in this term
	moves             map[job.Ref]int       // runs that are stopped to start elsewhere
	movesPlannedAt    time.Time
	movedAt           map[job.Ref]time.Time            // when tasks were last moved
	workRates         map[dispatch.Pool]*overload.Rate // work done in this term
	ending            map[string]endingJob             // jobs that the command being applied may finish
	refusals          *refusals                        // holds of refused IDs, and the measurements that decide on refusals
	stragglers        *stragglers.Tracker              // nil if there are no copies
	stragglersFoundAt time.Time                        // when stragglers were last looked for
	metrics           *telemetry.Metrics               // may be nil
	settledRaces      map[job.Ref]bool                 // tasks with two runs of which one is done by the command that is about to be applied
}

// runKey identifies a run. A task may have two at a time.
type runKey struct {
	task job.Ref
	run  int
}

// reportKey identifies a report among those from one instance.
type reportKey struct{ agent, sequence uint64 }

// session is the leader's state for one incarnation of a target.
type session struct {
	target            job.TargetIncarnation
	report            *controlapi.TargetReport // latest one; nil if the target is known only from the log
	runs              map[job.Ref]int          // runs in the report
	adopted           map[job.Ref]bool         // runs in the report that the agent found without an order
	heldRequest       *applier.Request         // report that is not answered yet
	holdUntil         time.Time                // deadline of the held answer
	confirming        bool                     // the answer waits for the leadership check
	reportedAt        time.Time                // time of the latest report
	leaseExpiry       time.Time                // the lease may be valid until then
	seenLeaseExpiry   time.Time                // the same, of the answers that the agent has processed
	grants            []grant                  // leases in answers that the agent may still process
	orderNumber       uint64                   // of the last answer
	sentWatermark     uint64                   // end number that was last acknowledged to the agent
	proposedWatermark uint64                   // highest end number that was proposed
	sentStarts        map[job.Ref]sentOrder    // starts that the reports do not reflect yet
	sentStops         map[job.Ref]sentOrder    // latest stop sent for each task
	pausedSince       map[job.Ref]time.Time    // when filling tasks were first reported as paused
	slowedSince       map[job.Ref]time.Time    // when filling tasks were first reported as slowed down
	stalledRuns       map[job.Ref]bool         // runs reported as making no progress
	placement         *dispatch.TargetState    // view of the dispatcher; nil before the first report
	inCheckQueue      bool                     // is in leadership.checkQueue
	checkedAt         time.Time                // when the session was last checked for orders
}

// sentOrder is an order that the reports do not reflect yet.
type sentOrder struct {
	run         int
	orderNumber uint64
	sentAt      time.Time
}

// isPending reports whether an order for the run was sent less than resendAfter
// ago.
func (o sentOrder) isPending(now time.Time, run int) bool {
	return o.run == run && now.Sub(o.sentAt) < resendAfter
}

func newLeadership(log *zap.Logger, term uint64, o Options, st *job.Store) *leadership {
	return &leadership{
		log:            log,
		term:           term,
		leaseTiming:    o.Lease,
		sessions:       map[job.TargetIncarnation]*session{},
		proposedEnds:   map[runKey]bool{},
		unsentStarts:   map[runKey]bool{},
		proposedLosses: map[job.TargetIncarnation]bool{},
		finishedAt:     map[string]time.Time{},
		disturbances:   newDisturbanceTable(st),
		dispatcher:     dispatch.New(o.Limits),
		faults:         faults.NewTracker(),
		newestReports:  map[string]reportKey{},
		startedAt:      map[job.Ref]time.Time{},
		movedAt:        map[job.Ref]time.Time{},
		workRates:      map[dispatch.Pool]*overload.Rate{},
		ending:         map[string]endingJob{},
		stragglers:     newStragglers(o),
		metrics:        o.Metrics,
		settledRaces:   map[job.Ref]bool{},
	}
}

// session returns the session of the target and creates it if needed. The lease
// of a target that has not reported to this leader is assumed to start now,
// because it is unknown when an earlier leader last granted it.
func (l *leadership) session(now time.Time, target job.TargetIncarnation) *session {
	s := l.sessions[target]
	if s == nil {
		inherited := now.Add(l.leaseTiming.SafeExpiry())
		s = &session{target: target, leaseExpiry: inherited, seenLeaseExpiry: inherited, sentStarts: map[job.Ref]sentOrder{}, sentStops: map[job.Ref]sentOrder{}}
		l.sessions[target] = s
	}
	return s
}

// failHeldRequests answers all held reports as unavailable.
func (l *leadership) failHeldRequests() {
	for _, s := range l.sessions {
		if s.heldRequest != nil {
			replyUnavailable(s.heldRequest)
			s.heldRequest = nil
		}
	}
}

// beforeApply updates the leader's state for a command that is about to be
// applied.
func (l *leadership) beforeApply(now time.Time, st *job.Store, c *job.Command) {
	l.refusals.observeRuns(now, st, c)
	clear(l.settledRaces)
	watermarks := map[job.TargetIncarnation]uint64{} // with the ends before in the command
	for i := range c.Ends {
		end := &c.Ends[i]
		last := max(watermarks[end.Target], st.LastEndNumber(end.Target))
		l.noteEnding(st, end.Task.Job)
		delete(l.proposedEnds, runKey{end.Task, end.Run})
		s := l.sessions[end.Target]
		if s == nil {
			continue
		}
		l.queueCheck(s)
		switch {
		case end.Follows(last):
			watermarks[end.Target] = end.Number
			l.recordOutcome(now, st, end)
		case end.Number > last:
			s.proposedWatermark = 0 // an end before it was not applied; both are proposed again
		}
	}
	for i := range c.Starts {
		l.unsentStarts[runKey{c.Starts[i].Task, c.Starts[i].Run}] = true
		l.recordStart(now, st, &c.Starts[i])
	}
}

// afterApply takes over what the command has changed.
func (l *leadership) afterApply(st *job.Store, c *job.Command) {
	for target := range st.TakeChanged() {
		l.dispatcher.TasksChanged(target)
		if s := l.sessions[target]; s != nil {
			l.queueCheck(s)
		}
	}
	if len(c.Zones) > 0 {
		l.dispatcher.ZonesChanged()
	}
	l.needsDispatch = true
}

// queueCheck has the session checked for orders at the next flush.
func (l *leadership) queueCheck(s *session) {
	if !s.inCheckQueue {
		s.inCheckQueue = true
		l.checkQueue = append(l.checkQueue, s)
	}
}

// removeSession forgets a session and the dispatcher's view of its target.
func (l *leadership) removeSession(target job.TargetIncarnation) {
	delete(l.sessions, target)
	l.faults.ForgetTarget(target)
	l.dispatcher.RemoveTarget(target)
}
