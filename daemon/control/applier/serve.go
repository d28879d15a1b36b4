package applier

import (
	"strings"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/readindex"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/plan"
	"github.com/ibispier/ibispier/state"
)

// maxConfigHold limits how long a request for the configuration is held.
const maxConfigHold = 30 * time.Second

// handleRequest starts the processing of a request.
func (e *engine) handleRequest(now time.Time, r *Request) {
	switch {
	case r.Operation == controlapi.OpMembership:
		e.changeMembers(r)
	case r.Operation == controlapi.OpMembers && e.status.Leader == "":
		r.reply(e.membersResponse()) // without a leader, any member's view is useful
	case e.leader == nil:
		r.replyNotLeader(e.status.Leader)
	default:
		e.serveAsLeader(now, r)
	}
}

func (e *engine) serveAsLeader(now time.Time, r *Request) {
	switch r.Operation {
	case controlapi.OpPermit:
		e.afterLeadershipConfirmed(r, func(now time.Time) { e.grantPermit(now, r) })
	case controlapi.OpConfig:
		e.afterLeadershipConfirmed(r, func(now time.Time) { e.serveConfig(now, r) })
	case controlapi.OpReport:
		e.handleReport(now, r, r.Body.(*controlapi.AgentReport))
	case controlapi.OpAnnounced:
		e.recordAnnouncement(now, r)
	case controlapi.OpMembers:
		r.reply(e.membersResponse())
	case controlapi.OpSnapshot:
		e.snapshotWanted = true
		r.reply(controlapi.Empty{})
	default:
		if !e.proposeChange(now, r) && !e.serveRead(r) {
			r.replyRefused(&controlapi.Error{Reason: controlapi.ReasonBadRequest, Message: "unknown operation " + string(r.Operation)})
		}
	}
}

// proposeChange proposes the command for an operation that changes the state. It
// returns false for other operations.
func (e *engine) proposeChange(now time.Time, r *Request) bool {
	c := new(state.Command)
	switch r.Operation {
	case controlapi.OpClaim:
		c.Claim = r.Body.(*controlapi.ClaimRequest)
	case controlapi.OpResolve:
		c.Resolve = r.Body.(*controlapi.ResolveRequest)
	case controlapi.OpPropose:
		c.Propose = &state.Propose{Request: *r.Body.(*controlapi.ProposeRequest), Offer: e.leader.availableCapacity(now)}
	case controlapi.OpSign:
		c.Sign = &state.Sign{Request: *r.Body.(*controlapi.SignRequest), Offer: e.leader.availableCapacity(now)}
	case controlapi.OpSubmit:
		c.Submit = r.Body.(*controlapi.Task)
	case controlapi.OpCancelTask:
		c.Cancel = r.Body.(*controlapi.TaskQuery)
	case controlapi.OpRelease:
		release := r.Body.(*controlapi.ReleaseRequest)
		c.Quarantine = &state.Quarantine{Kind: release.Kind, Name: release.Name, Release: true}
	default:
		return false
	}
	e.propose(now, c, r.Deadline, func(now time.Time, result state.Result) { e.replyToChange(now, r, result) }, r.replyUnavailable)
	return true
}

func (e *engine) replyToChange(now time.Time, r *Request, result state.Result) {
	switch {
	case e.awaitsAnnouncements(now) && strings.HasPrefix(reasonOf(result.Err), plan.ReasonOvercommitted):
		// A new leader has not received all announcements of capacity yet.
		r.replyUnavailable()
	case result.Err != nil:
		r.replyRefused(result.Err)
	case result.Claim != nil:
		r.reply(result.Claim)
	case r.Operation == controlapi.OpResolve:
		r.reply(controlapi.ResolveResponse{Accepted: result.ResolveAccepted})
	case result.Proposal != nil:
		r.reply(e.withInForceStatus(now, *result.Proposal))
	case result.Task != nil:
		r.reply(result.Task)
	default:
		r.reply(controlapi.Empty{})
	}
}

// serveRead responds to an operation that only reads, once the leadership is
// confirmed. It returns false for other operations.
func (e *engine) serveRead(r *Request) bool {
	var respond func(now time.Time)
	switch r.Operation {
	case controlapi.OpProposals:
		respond = func(now time.Time) { e.replyWithProposals(now, r, r.Body.(*controlapi.ProposalsRequest)) }
	case controlapi.OpLookup:
		respond = func(time.Time) { r.reply(e.machine.Lookup(*r.Body.(*controlapi.LookupRequest))) }
	case controlapi.OpTask:
		respond = func(time.Time) { e.replyWithTask(r, r.Body.(*controlapi.TaskQuery).ID) }
	case controlapi.OpTasks:
		respond = func(time.Time) {
			r.reply(controlapi.TasksResponse{Tasks: e.machine.Tasks(*r.Body.(*controlapi.TasksQuery))})
		}
	case controlapi.OpStatus:
		respond = func(now time.Time) { r.reply(e.statusResponse(now)) }
	case controlapi.OpQuarantine:
		respond = func(time.Time) { r.reply(controlapi.QuarantineResponse{Entries: e.machine.Quarantined()}) }
	default:
		return false
	}
	e.afterLeadershipConfirmed(r, respond)
	return true
}

// afterLeadershipConfirmed calls respond once a quorum has confirmed the
// leadership. If that does not happen before the deadline, it responds Unavailable.
func (e *engine) afterLeadershipConfirmed(r *Request, respond func(now time.Time)) {
	e.reads.Add(readindex.Read{Deadline: r.Deadline, Run: respond, Fail: r.replyUnavailable})
}

func (e *engine) replyWithTask(r *Request, id string) {
	t := e.machine.Task(id)
	if t == nil {
		r.replyRefused(&controlapi.Error{Reason: controlapi.ReasonNotFound, Message: "no such task: " + id})
		return
	}
	status := t.TaskStatus
	r.reply(status)
}

// grantPermit grants a permit for a zone. Its time starts now, when the response
// is sent.
func (e *engine) grantPermit(now time.Time, r *Request) {
	request := r.Body.(*controlapi.PermitRequest)
	ttl := e.leader.permits.Grant(now, request.Zone, request.Holder)
	response := controlapi.PermitResponse{TTLMillis: ttl.Milliseconds(), Revision: e.machine.Config().Revision}
	if ttl == 0 {
		response.Reason = "zone_out"
	}
	r.reply(response)
}

// serveConfig responds with a newer configuration, or holds the request until there
// is one. The first request of a process gets a response at once, because the
// process is not ready until it has read the configuration.
func (e *engine) serveConfig(now time.Time, r *Request) {
	request := r.Body.(*controlapi.ConfigRequest)
	_, hasAsked := e.leader.processes[request.Process]
	if request.Process != "" {
		e.leader.processes[request.Process] = processReport{revision: request.KnownRevision, receivedAt: now}
	}
	wait := min(time.Duration(request.WaitMillis)*time.Millisecond, maxConfigHold)
	if e.machine.Config().Revision > request.KnownRevision || !hasAsked || wait <= 0 {
		e.replyWithConfig(r, request.KnownRevision)
		return
	}
	e.leader.configPolls = append(e.leader.configPolls, &configPoll{request: r, knownRevision: request.KnownRevision, holdUntil: now.Add(wait)})
}

func (e *engine) replyWithConfig(r *Request, knownRevision uint64) {
	config := e.machine.Config()
	r.reply(controlapi.ConfigResponse{Config: config, Changed: config.Revision > knownRevision})
}

// replyToConfigPolls responds to all held requests for the configuration.
func (e *engine) replyToConfigPolls(time.Time) {
	for _, p := range e.leader.configPolls {
		e.replyWithConfig(p.request, p.knownRevision)
	}
	e.leader.configPolls = nil
}

func (e *engine) expireConfigPolls(now time.Time) {
	kept := e.leader.configPolls[:0]
	for _, p := range e.leader.configPolls {
		if now.Before(p.holdUntil) {
			kept = append(kept, p)
			continue
		}
		e.replyWithConfig(p.request, p.knownRevision)
	}
	e.leader.configPolls = kept
}

// recordAnnouncement records the targets of an entry instance, and the
// configuration revisions that it and the agents of its targets use.
func (e *engine) recordAnnouncement(now time.Time, r *Request) {
	announced := r.Body.(*controlapi.AnnouncedRequest)
	e.leader.entryInstances[announced.Entry] = &announcement{receivedAt: now, targets: announced.Targets}
	e.leader.processes[announced.Entry] = processReport{revision: announced.Revision, receivedAt: now}
	for _, t := range announced.Targets {
		e.leader.processes[t.Target] = processReport{revision: t.Revision, receivedAt: now}
	}
	r.reply(controlapi.Empty{})
}

// changeMembers passes a membership change to the replica. Bootstrap is allowed on
// a member that does not lead, because a group has no leader before it.
func (e *engine) changeMembers(r *Request) {
	request := r.Body.(*controlapi.MembershipRequest)
	if e.leader == nil && request.Action != actionBootstrap {
		r.replyNotLeader(e.status.Leader)
		return
	}
	e.lastMemberContext++
	change := &replica.MemberChange{Action: request.Action, ID: request.ID, Context: e.lastMemberContext}
	if e.offerInput(replica.Input{MemberChange: change}) != nil {
		r.replyUnavailable()
		return
	}
	e.pendingMemberChanges[e.lastMemberContext] = r
}

const actionBootstrap = "bootstrap"
