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

// maxPoll bounds how long a request for the configuration is held.
const maxPoll = 30 * time.Second

// request serves one operation.
func (e *engine) request(now time.Time, r *Request) {
	switch {
	case r.Operation == controlapi.OpMembership:
		e.changeMembers(r)
	case r.Operation == controlapi.OpMembers && e.status.Leader == "":
		r.reply(e.membersResponse()) // what this member knows helps while there is no leader
	case e.leader == nil:
		r.notLeader(e.status.Leader)
	default:
		e.serveLeader(now, r)
	}
}

func (e *engine) serveLeader(now time.Time, r *Request) {
	switch r.Operation {
	case controlapi.OpPermit:
		e.afterRead(r, func(now time.Time) { e.permit(now, r) })
	case controlapi.OpConfig:
		e.afterRead(r, func(now time.Time) { e.config(now, r) })
	case controlapi.OpReport:
		e.report(now, r, r.Body.(*controlapi.AgentReport))
	case controlapi.OpAnnounced:
		e.announced(now, r)
	case controlapi.OpMembers:
		r.reply(e.membersResponse())
	case controlapi.OpSnapshot:
		e.snapshotWanted = true
		r.reply(controlapi.Empty{})
	default:
		if !e.serveChange(now, r) && !e.serveRead(r) {
			r.refuse(&controlapi.Error{Reason: controlapi.ReasonBadRequest, Message: "unknown operation " + string(r.Operation)})
		}
	}
}

// serveChange proposes the operations that change the state.
func (e *engine) serveChange(now time.Time, r *Request) bool {
	c := new(state.Command)
	switch r.Operation {
	case controlapi.OpClaim:
		c.Claim = r.Body.(*controlapi.ClaimRequest)
	case controlapi.OpResolve:
		c.Resolve = r.Body.(*controlapi.ResolveRequest)
	case controlapi.OpPropose:
		c.Propose = &state.Propose{Request: *r.Body.(*controlapi.ProposeRequest), Offer: e.leader.offer(now)}
	case controlapi.OpSign:
		c.Sign = &state.Sign{Request: *r.Body.(*controlapi.SignRequest), Offer: e.leader.offer(now)}
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
	e.propose(now, c, r.Deadline, func(now time.Time, result state.Result) { e.answerChange(now, r, result) }, r.unavailable)
	return true
}

func (e *engine) answerChange(now time.Time, r *Request, result state.Result) {
	switch {
	case e.settling(now) && strings.HasPrefix(reasonOf(result.Err), plan.ReasonOvercommitted):
		// A new leader does not know the announced capacity yet.
		r.unavailable()
	case result.Err != nil:
		r.refuse(result.Err)
	case result.Claim != nil:
		r.reply(result.Claim)
	case r.Operation == controlapi.OpResolve:
		r.reply(controlapi.ResolveResponse{Accepted: result.ResolveAccepted})
	case result.Proposal != nil:
		r.reply(e.describe(now, *result.Proposal))
	case result.Task != nil:
		r.reply(result.Task)
	default:
		r.reply(controlapi.Empty{})
	}
}

// serveRead answers the operations that only read, once leadership is confirmed.
func (e *engine) serveRead(r *Request) bool {
	var answer func(now time.Time)
	switch r.Operation {
	case controlapi.OpProposals:
		answer = func(now time.Time) { e.proposalsResponse(now, r, r.Body.(*controlapi.ProposalsRequest)) }
	case controlapi.OpLookup:
		answer = func(time.Time) { r.reply(e.machine.Lookup(*r.Body.(*controlapi.LookupRequest))) }
	case controlapi.OpTask:
		answer = func(time.Time) { e.task(r, r.Body.(*controlapi.TaskQuery).ID) }
	case controlapi.OpTasks:
		answer = func(time.Time) {
			r.reply(controlapi.TasksResponse{Tasks: e.machine.Tasks(*r.Body.(*controlapi.TasksQuery))})
		}
	case controlapi.OpStatus:
		answer = func(now time.Time) { r.reply(e.statusResponse(now)) }
	case controlapi.OpQuarantine:
		answer = func(time.Time) { r.reply(controlapi.QuarantineResponse{Entries: e.machine.Quarantined()}) }
	default:
		return false
	}
	e.afterRead(r, answer)
	return true
}

func (e *engine) afterRead(r *Request, answer func(now time.Time)) {
	e.reads.Add(readindex.Read{Deadline: r.Deadline, Run: answer, Fail: r.unavailable})
}

func (e *engine) task(r *Request, id string) {
	t := e.machine.Task(id)
	if t == nil {
		r.refuse(&controlapi.Error{Reason: controlapi.ReasonNotFound, Message: "there is no task " + id})
		return
	}
	status := t.TaskStatus
	r.reply(status)
}

// permit grants a zone permit, counted from now, when the answer leaves.
func (e *engine) permit(now time.Time, r *Request) {
	ask := r.Body.(*controlapi.PermitRequest)
	ttl := e.leader.permits.Grant(now, ask.Zone, ask.Holder)
	answer := controlapi.PermitResponse{TTLMillis: ttl.Milliseconds(), Revision: e.machine.Config().Revision}
	if ttl == 0 {
		answer.Reason = "zone_out"
	}
	r.reply(answer)
}

// config answers with a newer configuration, or holds the request until there
// is one. A process that asks for the first time is answered at once, because
// it is not ready before it has read the configuration.
func (e *engine) config(now time.Time, r *Request) {
	ask := r.Body.(*controlapi.ConfigRequest)
	_, seen := e.leader.processes[ask.Process]
	if ask.Process != "" {
		e.leader.processes[ask.Process] = processView{revision: ask.KnownRevision, at: now}
	}
	wait := min(time.Duration(ask.WaitMillis)*time.Millisecond, maxPoll)
	if e.machine.Config().Revision > ask.KnownRevision || !seen || wait <= 0 {
		e.answerConfig(r, ask.KnownRevision)
		return
	}
	e.leader.polls = append(e.leader.polls, &poll{request: r, known: ask.KnownRevision, until: now.Add(wait)})
}

func (e *engine) answerConfig(r *Request, known uint64) {
	config := e.machine.Config()
	r.reply(controlapi.ConfigResponse{Config: config, Changed: config.Revision > known})
}

// answerPolls answers every held request for the configuration.
func (e *engine) answerPolls(time.Time) {
	for _, p := range e.leader.polls {
		e.answerConfig(p.request, p.known)
	}
	e.leader.polls = nil
}

func (e *engine) expirePolls(now time.Time) {
	kept := e.leader.polls[:0]
	for _, p := range e.leader.polls {
		if now.Before(p.until) {
			kept = append(kept, p)
			continue
		}
		e.answerConfig(p.request, p.known)
	}
	e.leader.polls = kept
}

func (e *engine) announced(now time.Time, r *Request) {
	view := r.Body.(*controlapi.AnnouncedRequest)
	e.leader.entries[view.Entry] = &entryView{at: now, targets: view.Targets}
	e.leader.processes[view.Entry] = processView{revision: view.Revision, at: now}
	for _, t := range view.Targets {
		e.leader.processes[t.Target] = processView{revision: t.Revision, at: now}
	}
	r.reply(controlapi.Empty{})
}

// changeMembers hands a change of the members to the replica, which answers for
// a member that does not lead, too: a group that has not started has no leader.
func (e *engine) changeMembers(r *Request) {
	ask := r.Body.(*controlapi.MembershipRequest)
	if e.leader == nil && ask.Action != actionBootstrap {
		r.notLeader(e.status.Leader)
		return
	}
	e.context++
	change := &replica.MemberChange{Action: ask.Action, ID: ask.ID, Context: e.context}
	if e.submit(replica.Input{MemberChange: change}) != nil {
		r.unavailable()
		return
	}
	e.members[e.context] = r
}

const actionBootstrap = "bootstrap"
