package applier

import (
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/lease"
	"github.com/ibispier/ibispier/permit"
	"github.com/ibispier/ibispier/plan"
	"github.com/ibispier/ibispier/state"
)

const (
	// maxExpiryBatch limits the leases in one Expire command.
	maxExpiryBatch = 500
	// commandTimeout is how long the applier waits for the commands that it proposes
	// on its own or for the scheduler.
	commandTimeout = 5 * time.Second
	// processTimeout is how long a process without reports is included in the check
	// whether a revision is in force.
	processTimeout = 30 * time.Second
	// announcementTimeout is how long the announcement of an entry instance counts as
	// capacity. Entry instances send one every second.
	announcementTimeout = 5 * time.Second
	// lostAgentRetention is how long an agent is kept after its last report.
	lostAgentRetention = time.Minute
	// alarmCheckInterval is how often changes of alarms are logged.
	alarmCheckInterval = time.Second
)

// leadership holds the state that exists only while this member leads: leases,
// permits, held requests, and the reports of agents and entry instances.
type leadership struct {
	term            uint64
	startedAt       time.Time
	leases          *lease.Table
	permits         *permit.Table
	expiring        map[lease.Lease]bool // an Expire command is pending
	agents          map[string]*agent
	entryInstances  map[string]*announcement
	processes       map[string]processReport
	agentsDueReply  []*agent // their held reports are due for a response
	configPolls     []*configPoll
	raisedAlarms    map[string]bool
	alarmsCheckedAt time.Time
}

// announcement is the last announcement of an entry instance.
type announcement struct {
	receivedAt time.Time
	targets    []controlapi.AnnouncedTarget
}

// processReport is the configuration revision that a process last reported.
type processReport struct {
	revision   uint64
	receivedAt time.Time
}

// configPoll is a held request for a newer configuration.
type configPoll struct {
	request       *Request
	knownRevision uint64
	holdUntil     time.Time
}

// newLeadership starts a leadership. The lease of every placed task starts anew,
// because the time of its last renewal by the previous leader is unknown.
func newLeadership(now time.Time, term uint64, o Options, m *state.Machine) *leadership {
	l := &leadership{
		term:           term,
		startedAt:      now,
		leases:         lease.NewTable(o.Lease),
		permits:        permit.NewTable(now, o.Permit),
		expiring:       map[lease.Lease]bool{},
		agents:         map[string]*agent{},
		entryInstances: map[string]*announcement{},
		processes:      map[string]processReport{},
		raisedAlarms:   map[string]bool{},
	}
	l.permits.SetZonesOut(m.Config().ZonesOut)
	m.EachTask(func(t *state.Task) {
		if t.IsPlaced() {
			l.leases.Grant(now, leaseOf(t))
		}
	})
	return l
}

func leaseOf(t *state.Task) lease.Lease { return lease.Lease{Task: t.ID, Epoch: t.Epoch} }

// failHeldRequests responds Unavailable to all held requests.
func (l *leadership) failHeldRequests() {
	for _, p := range l.configPolls {
		p.request.replyUnavailable()
	}
	for _, a := range l.agents {
		if a.held != nil {
			a.held.request.replyUnavailable()
		}
	}
}

// handleResult updates leases, permits, held requests and the feed after a command
// was applied.
func (e *engine) handleResult(now time.Time, r state.Result) {
	for _, t := range r.ChangedTasks {
		e.syncLease(now, t)
	}
	if r.ConfigChanged {
		e.leader.permits.SetZonesOut(e.machine.Config().ZonesOut)
		e.replyToConfigPolls(now)
	}
	e.feed.addResult(r, e.machine)
}

// syncLease grants or releases the lease of a changed task according to its
// placement, and marks its agent for a response to its held report.
func (e *engine) syncLease(now time.Time, t *state.Task) {
	l := leaseOf(t)
	if !t.IsPlaced() {
		e.leader.leases.Release(l)
		return
	}
	if !e.leader.leases.Has(l) {
		e.leader.leases.Grant(now, l)
	}
	if a := e.leader.agents[t.Agent]; a != nil {
		e.leader.agentsDueReply = append(e.leader.agentsDueReply, a)
	}
}

// expireLeases proposes the end of the placements whose leases have expired.
func (e *engine) expireLeases(now time.Time) {
	var expired []lease.Lease
	for _, l := range e.leader.leases.Expired(now, maxExpiryBatch+len(e.leader.expiring)) {
		if !e.leader.expiring[l] && len(expired) < maxExpiryBatch {
			expired = append(expired, l)
		}
	}
	if len(expired) == 0 {
		return
	}
	leader := e.leader
	for _, l := range expired {
		leader.expiring[l] = true
	}
	clearExpiring := func() {
		for _, l := range expired {
			delete(leader.expiring, l)
		}
	}
	e.log.Info("leases expired", zap.Int("tasks", len(expired)), zap.String("first", expired[0].Task))
	e.propose(now, &state.Command{Expire: &state.Expire{Leases: expired}}, now.Add(commandTimeout),
		func(time.Time, state.Result) {
			clearExpiring()
			// If a placement had already ended, its task was not changed by the
			// command, so syncLease has not released the lease.
			for _, l := range expired {
				leader.leases.Release(l)
			}
		}, clearExpiring)
}

// availableCapacity returns the capacity of the announced targets and of the
// workers whose agents report.
func (l *leadership) availableCapacity(now time.Time) plan.Offer {
	offer := plan.Offer{Slots: map[string]int{}}
	workers := map[string]controlapi.Resources{}
	for _, t := range l.announcedTargets(now) {
		if isServing(t.State) {
			offer.Slots[t.Service] += t.Slots
		}
		workers[t.Target] = t.Capacity
	}
	for id, a := range l.agents {
		if !a.lost {
			workers[id] = a.worker.Capacity
		}
	}
	for _, c := range workers {
		offer.Workers.CPUMilli += c.CPUMilli
		offer.Workers.MemoryMiB += c.MemoryMiB
		offer.Workers.Accelerators += c.Accelerators
	}
	return offer
}

// logAlarmChanges logs an alarm when it is raised and when it ends.
func (e *engine) logAlarmChanges(now time.Time) {
	l := e.leader
	if now.Sub(l.alarmsCheckedAt) < alarmCheckInterval {
		return
	}
	l.alarmsCheckedAt = now
	l.dropSilentProcesses(now)
	current := map[string]bool{}
	for _, a := range e.activeAlarms(now) {
		key := a.Name + " " + a.Subject
		current[key] = true
		if !l.raisedAlarms[key] {
			e.log.Warn("alarm raised", zap.String("alarm", a.Name), zap.String("subject", a.Subject), zap.String("message", a.Message))
		}
	}
	for key := range l.raisedAlarms {
		if !current[key] {
			e.log.Info("alarm ended", zap.String("alarm", key))
		}
	}
	l.raisedAlarms = current
}

// dropSilentProcesses removes processes and entry instances that no longer report.
func (l *leadership) dropSilentProcesses(now time.Time) {
	for name, p := range l.processes {
		if now.Sub(p.receivedAt) >= processTimeout {
			delete(l.processes, name)
		}
	}
	for name, v := range l.entryInstances {
		if now.Sub(v.receivedAt) >= announcementTimeout {
			delete(l.entryInstances, name)
		}
	}
}
