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
	// expiryBatch bounds one Expire command.
	expiryBatch = 500
	// commandTimeout is how long the applier waits for its own commands.
	commandTimeout = 5 * time.Second
	// processWindow is how long a silent process counts for "in force".
	processWindow = 30 * time.Second
	// announcedWindow is how long the announcements of a silent entry instance
	// count as capacity. Entry instances announce every second.
	announcedWindow = 5 * time.Second
	// lostWindow is how long a lost agent is remembered.
	lostWindow = time.Minute
	// alarmInterval is how often alarms are logged anew.
	alarmInterval = time.Second
)

// leadership is what lives and ends with the leadership of this member: leases,
// permits, and what agents and entry instances have told.
type leadership struct {
	term      uint64
	since     time.Time
	leases    *lease.Table
	permits   *permit.Table
	expiring  map[lease.Lease]bool // Expire is proposed
	agents    map[string]*agent
	entries   map[string]*entryView
	processes map[string]processView
	woken     []*agent // have something new to be told
	polls     []*poll
	alarmed   map[string]bool
	alarmedAt time.Time
}

// entryView is what an entry instance has announced.
type entryView struct {
	at      time.Time
	targets []controlapi.AnnouncedTarget
}

type processView struct {
	revision uint64
	at       time.Time
}

// poll waits for a configuration.
type poll struct {
	request *Request
	known   uint64
	until   time.Time
}

// newLeadership counts every inherited lease from now, because it is not known
// when the leader before answered last.
func newLeadership(now time.Time, term uint64, o Options, m *state.Machine) *leadership {
	l := &leadership{
		term:      term,
		since:     now,
		leases:    lease.NewTable(o.Lease),
		permits:   permit.NewTable(now, o.Permit),
		expiring:  map[lease.Lease]bool{},
		agents:    map[string]*agent{},
		entries:   map[string]*entryView{},
		processes: map[string]processView{},
		alarmed:   map[string]bool{},
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

// failAll answers the requests that are held back.
func (l *leadership) failAll() {
	for _, p := range l.polls {
		p.request.unavailable()
	}
	for _, a := range l.agents {
		if a.held != nil {
			a.held.request.unavailable()
		}
	}
}

// observe follows what an applied command has changed.
func (e *engine) observe(now time.Time, r state.Result) {
	for _, t := range r.ChangedTasks {
		e.followTask(now, t)
	}
	if r.ConfigChanged {
		e.leader.permits.SetZonesOut(e.machine.Config().ZonesOut)
		e.answerPolls(now)
	}
	e.feed.add(r, e.machine)
}

// followTask keeps the lease of a task in step with its placement, and answers
// the report that its agent waits with.
func (e *engine) followTask(now time.Time, t *state.Task) {
	l := leaseOf(t)
	if !t.IsPlaced() {
		e.leader.leases.Release(l)
		return
	}
	if !e.leader.leases.Has(l) {
		e.leader.leases.Grant(now, l)
	}
	if a := e.leader.agents[t.Agent]; a != nil {
		e.leader.woken = append(e.leader.woken, a)
	}
}

// expireLeases proposes the end of placements whose lease has expired.
func (e *engine) expireLeases(now time.Time) {
	var fresh []lease.Lease
	for _, l := range e.leader.leases.Expired(now, expiryBatch+len(e.leader.expiring)) {
		if !e.leader.expiring[l] && len(fresh) < expiryBatch {
			fresh = append(fresh, l)
		}
	}
	if len(fresh) == 0 {
		return
	}
	leader := e.leader
	for _, l := range fresh {
		leader.expiring[l] = true
	}
	forget := func() {
		for _, l := range fresh {
			delete(leader.expiring, l)
		}
	}
	e.log.Info("leases expired", zap.Int("tasks", len(fresh)), zap.String("first", fresh[0].Task))
	e.propose(now, &state.Command{Expire: &state.Expire{Leases: fresh}}, now.Add(commandTimeout),
		func(time.Time, state.Result) {
			forget()
			// A lease whose placement had ended before has no task to release it.
			for _, l := range fresh {
				leader.leases.Release(l)
			}
		}, forget)
}

// offer is what the announced targets and the reporting workers have.
func (l *leadership) offer(now time.Time) plan.Offer {
	offer := plan.Offer{Slots: map[string]int{}}
	workers := map[string]controlapi.Resources{}
	for _, t := range l.announced(now) {
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

// noteAlarms logs an alarm when it is raised and when it ends.
func (e *engine) noteAlarms(now time.Time) {
	l := e.leader
	if now.Sub(l.alarmedAt) < alarmInterval {
		return
	}
	l.alarmedAt = now
	l.forgetSilent(now)
	current := map[string]bool{}
	for _, a := range e.alarms(now) {
		key := a.Name + " " + a.Subject
		current[key] = true
		if !l.alarmed[key] {
			e.log.Warn("alarm raised", zap.String("alarm", a.Name), zap.String("subject", a.Subject), zap.String("message", a.Message))
		}
	}
	for key := range l.alarmed {
		if !current[key] {
			e.log.Info("alarm ended", zap.String("alarm", key))
		}
	}
	l.alarmed = current
}

// forgetSilent drops what processes have told that no longer report.
func (l *leadership) forgetSilent(now time.Time) {
	for name, p := range l.processes {
		if now.Sub(p.at) >= processWindow {
			delete(l.processes, name)
		}
	}
	for name, v := range l.entries {
		if now.Sub(v.at) >= announcedWindow {
			delete(l.entries, name)
		}
	}
}
