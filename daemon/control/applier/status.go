package applier

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/ibispier/ibispier/controlapi"
)

// announcementWait is how long a new leader collects announcements before it
// refuses changes for lack of capacity. Until then it responds Unavailable.
const announcementWait = 1500 * time.Millisecond

// awaitsAnnouncements reports whether the leader is too new to know the announced
// capacity.
func (e *engine) awaitsAnnouncements(now time.Time) bool {
	return e.leader != nil && now.Sub(e.leader.startedAt) < announcementWait
}

func (e *engine) membersResponse() controlapi.MembersResponse {
	response := controlapi.MembersResponse{Leader: e.status.Leader, Members: []controlapi.Member{}}
	for _, m := range e.status.Members {
		response.Members = append(response.Members, controlapi.Member{
			ID:          m.ID.ID,
			Incarnation: m.ID.Incarnation,
			Address:     e.options.Addresses[m.ID.ID],
			Voter:       m.Voter,
			Match:       m.Match,
			Active:      m.Active,
		})
	}
	return response
}

func (e *engine) replyWithProposals(now time.Time, r *Request, query *controlapi.ProposalsRequest) {
	response := controlapi.ProposalsResponse{Proposals: []controlapi.Proposal{}}
	if query.ChangeID == "" {
		for _, p := range e.machine.Proposals(query.Limit) {
			response.Proposals = append(response.Proposals, e.withInForceStatus(now, p))
		}
	} else if p, found := e.machine.Proposal(query.ChangeID); found {
		response.Proposals = append(response.Proposals, e.withInForceStatus(now, p))
	}
	r.reply(response)
}

// withInForceStatus sets whether an accepted change is in force: every process
// uses its revision, and no permit is left for a zone that it took out of service.
func (e *engine) withInForceStatus(now time.Time, p controlapi.Proposal) controlapi.Proposal {
	if p.State != controlapi.ProposalAccepted || e.leader == nil {
		return p
	}
	p.LaggingBy = e.leader.laggingProcesses(now, p.Revision)
	p.InForce = len(p.LaggingBy) == 0
	if p.Change.Kind == controlapi.ChangeZoneOut && e.machine.IsZoneOut(p.Change.Zone) {
		p.InForce = p.InForce && e.leader.permits.InForce(now, p.Change.Zone)
	}
	return p
}

// laggingProcesses returns the sorted names of the processes that use an earlier
// revision.
func (l *leadership) laggingProcesses(now time.Time, revision uint64) []string {
	var names []string
	for name, p := range l.processes {
		if p.revision < revision && now.Sub(p.receivedAt) < processTimeout {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (e *engine) statusResponse(now time.Time) controlapi.StatusResponse {
	response := controlapi.StatusResponse{
		Leader:   e.status.Leader,
		Term:     e.status.Term,
		Revision: e.machine.Config().Revision,
		Zones:    e.zoneStatuses(now),
		Targets:  e.leader.announcedTargets(now),
		Tasks:    e.machine.TaskCounts(),
		Alarms:   e.activeAlarms(now),
	}
	sort.Slice(response.Targets, func(i, j int) bool { return response.Targets[i].Target < response.Targets[j].Target })
	for name, p := range e.leader.processes {
		if age := now.Sub(p.receivedAt); age < processTimeout {
			response.Processes = append(response.Processes, controlapi.ProcessRevision{Process: name, Revision: p.revision, AgeMillis: age.Milliseconds()})
		}
	}
	sort.Slice(response.Processes, func(i, j int) bool { return response.Processes[i].Process < response.Processes[j].Process })
	for _, a := range e.leader.agents {
		if !a.lost {
			response.Workers++
		}
	}
	return response
}

// zoneStatuses returns the state of all zones out of service and all zones of
// announced targets and known agents, sorted by name.
func (e *engine) zoneStatuses(now time.Time) []controlapi.ZoneStatus {
	names := slices.Clone(e.machine.Config().ZonesOut)
	for _, t := range e.leader.announcedTargets(now) {
		names = append(names, t.Zone)
	}
	for _, a := range e.leader.agents {
		names = append(names, a.worker.Zone)
	}
	sort.Strings(names)
	var zones []controlapi.ZoneStatus
	for _, name := range slices.Compact(names) {
		if name == "" {
			continue
		}
		zones = append(zones, controlapi.ZoneStatus{
			Zone: name, Out: e.machine.IsZoneOut(name), InForce: e.leader.permits.InForce(now, name),
		})
	}
	return zones
}

// activeAlarms returns the conditions that need the attention of an operator.
func (e *engine) activeAlarms(now time.Time) []controlapi.Alarm {
	alarms := e.machine.Alarms(now)
	maxKeys := e.options.State.Ledger.MaxKeys
	if keys := e.machine.KeyCount(); keys >= maxKeys-maxKeys/10 {
		alarms = append(alarms, controlapi.Alarm{
			Name:    "ledger_nearly_full",
			Subject: "ledger",
			Message: fmt.Sprintf("%d of %d idempotency keys are in use; new non-idempotent requests are refused at the limit", keys, maxKeys),
			Since:   now,
		})
	}
	if e.status.ReadOnly {
		alarms = append(alarms, controlapi.Alarm{
			Name:    "disk_full",
			Subject: e.status.Leader,
			Message: "the disk of the leader is full; changes are refused and reads go on",
			Since:   now,
		})
	}
	return alarms
}
