package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/admission"
	"github.com/ibispier/ibispier/budget"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/ledger"
	"github.com/ibispier/ibispier/request"
)

const (
	entries = 2
	agents  = 3
	service = "settlement"
	maxWait = 400 * time.Millisecond

	// With small bursts, short runs reach the limits of the budgets.
	testRetryBurst = 2
	testHedgeBurst = 2
)

// simulation connects real routers, admission controllers and a ledger by links
// that lose, delay and disconnect.
type simulation struct {
	now       time.Time
	routers   []*Router
	agents    []*agent
	ledger    *ledger.Ledger
	links     [entries][agents]*simLink
	quorumOps []operation
	requests  map[*request.Request]*submission
	starts    map[string]int // by request id
	runs      map[string]int // by key
	// falseRefusals are keys that had run when a caller was answered "not run".
	falseRefusals []string
	next          int
}

type agent struct {
	id          string
	incarnation uint64
	controller  *admission.Controller
	running     []*admission.Work
}

// simLink holds the frames in transit on one link, in order.
type simLink struct {
	connected bool
	full      bool // rejects frames, as a full ring does
	toAgent   []func(*simulation)
	toEntry   []func(*simulation)
}

type operation struct {
	entry  int
	action Action
}

type submission struct {
	entry   int
	replies []*request.Response
}

func newSimulation(hedging bool) *simulation {
	w := &simulation{
		now:      time.Unix(1_000_000, 0),
		ledger:   ledger.New(ledger.DefaultOptions()),
		requests: map[*request.Request]*submission{},
		starts:   map[string]int{},
		runs:     map[string]int{},
	}
	for i := range entries {
		r := NewRouter(Options{
			Policy: ChoiceOfTwo, ID: fmt.Sprint("entry-", i), Seed: uint64(i), Hedging: hedging,
			RetryRatio: 0.1, HedgeRatio: 0.05, ClaimsEnabled: true,
		})
		r.SetConfig(w.now, controlapi.Config{
			Customers: []controlapi.Subscription{{Customer: "c", Plan: "p"}},
			Plans:     []controlapi.Plan{{Name: "p", Services: []string{"*"}, RequestsPerSecond: 1e6, Burst: 1e6, Concurrency: 1e6}},
		})
		w.routers = append(w.routers, r)
	}
	for i := range agents {
		a := &agent{id: fmt.Sprint("target-", i)}
		w.agents = append(w.agents, a)
		w.restart(i)
		for e := range entries {
			w.links[e][i] = &simLink{}
			w.connect(e, i)
		}
	}
	for _, r := range w.routers {
		r.retries, r.hedges = budget.New(0.1, testRetryBurst), budget.New(0.05, testHedgeBurst)
		// Hedges start after 5 ms, without waiting for enough samples.
		r.pools[service].latency = latencyHistogram{samples: minSamples, value: 5 * time.Millisecond}
	}
	return w
}

func (w *simulation) restart(i int) {
	a := w.agents[i]
	a.incarnation++
	a.controller = admission.NewController(admission.Options{Slots: 2, MaxQueued: 2})
	a.running = nil
}

func (w *simulation) connect(e, i int) {
	w.links[e][i] = &simLink{connected: true}
	a := w.agents[i]
	w.perform(e, w.routers[e].Announce(w.now, Target{
		ID: a.id, Service: service, Slots: 2, Incarnation: a.incarnation, Instances: entries,
	}))
}

func (w *simulation) disconnect(e, i int) {
	if !w.links[e][i].connected {
		return
	}
	w.links[e][i] = &simLink{}
	w.perform(e, w.routers[e].LinkLost(w.now, w.agents[i].id))
}

func (w *simulation) crash(i int) {
	w.restart(i)
	for e := range entries {
		w.disconnect(e, i)
	}
}

func (w *simulation) agentIndex(id string) int {
	for i, a := range w.agents {
		if a.id == id {
			return i
		}
	}
	return -1
}

func (w *simulation) perform(e int, actions []Action) {
	kept := append([]Action(nil), actions...)
	for _, a := range kept {
		switch a.Kind {
		case Reply:
			s := w.requests[a.Request]
			s.replies = append(s.replies, a.Response)
			// A refusal must be true of the key and not only of this submission:
			// the caller may have sent the key through another entry instance.
			if a.Response.Outcome == request.NotRun && !a.Request.Idempotent && w.runs[a.Request.Key] > 0 {
				w.falseRefusals = append(w.falseRefusals, a.Request.Key)
			}
		case Claim, Lookup, Resolve:
			w.quorumOps = append(w.quorumOps, operation{entry: e, action: a})
		default:
			w.send(e, a)
		}
	}
}

// send queues an action on the link of its target.
func (w *simulation) send(e int, a Action) {
	target := ""
	if a.Attempt != nil {
		target = a.Attempt.Target
	} else {
		target = a.ClaimRef.Target
	}
	i := w.agentIndex(target)
	link := w.links[e][i]
	if !link.connected || (a.Kind == Send && link.full) {
		if a.Kind == Send {
			w.perform(e, w.routers[e].SendFailed(w.now, a.Attempt.Number))
		}
		return
	}
	link.toAgent = append(link.toAgent, func(w *simulation) { w.receive(e, i, link, a) })
}

func (w *simulation) receive(e, i int, link *simLink, a Action) {
	agent := w.agents[i]
	switch a.Kind {
	case Send:
		work := &admission.Work{Attempt: a.Attempt, Origin: origin{e, link}}
		decision, reason, displaced := agent.controller.Submit(w.now, work)
		if displaced != nil {
			w.respond(i, displaced, request.Refused(request.ReasonOverloaded))
		}
		switch decision {
		case admission.Start:
			w.start(agent, work)
		case admission.Refuse:
			w.respond(i, work, request.Refused(reason))
		}
	case Cancel:
		if work := agent.controller.Cancel(w.now, a.Attempt.Request.ID, a.Attempt.Number, origin{e, link}); work != nil {
			w.respond(i, work, request.Refused(request.ReasonCancelled))
		}
	case QueryClaim:
		answer := ClaimAnswer{}
		if a.ClaimRef.Incarnation == agent.incarnation {
			answer.State, answer.Response = agent.controller.QueryClaim(w.now, a.ClaimRef.Key, a.ClaimRef.Epoch)
		}
		link.toEntry = append(link.toEntry, func(w *simulation) { w.perform(e, w.routers[e].ClaimQueried(w.now, a.Token, answer)) })
	case ForgetClaim:
		agent.controller.ForgetClaim(w.now, a.ClaimRef.Key, a.ClaimRef.Epoch)
	}
}

type origin struct {
	entry int
	link  *simLink
}

func (w *simulation) start(a *agent, work *admission.Work) {
	a.running = append(a.running, work)
	req := work.Attempt.Request
	w.starts[req.ID]++
	if !req.Idempotent {
		w.runs[req.Key]++
	}
}

func (w *simulation) respond(i int, work *admission.Work, resp *request.Response) {
	from := work.Origin.(origin)
	load := w.agents[i].controller.Load()
	from.link.toEntry = append(from.link.toEntry, func(w *simulation) {
		w.perform(from.entry, w.routers[from.entry].ResponseReceived(w.now, work.Attempt.Number, work.Attempt.Request.ID, resp, load))
	})
}

func (w *simulation) finish(i int, resp *request.Response) {
	a := w.agents[i]
	if len(a.running) == 0 {
		return
	}
	work := a.running[0]
	a.running = a.running[1:]
	next, expired := a.controller.Finished(w.now, work, resp)
	if next != nil {
		w.start(a, next)
	}
	w.respond(i, work, resp)
	for _, e := range expired {
		w.respond(i, e, request.Refused(request.ReasonDeadline))
	}
}

// expectedBody returns the complete body of the response to a request, which
// duplicates share.
func expectedBody(r *request.Request) string {
	if r.Idempotent {
		return r.ID
	}
	return r.Key
}

func (w *simulation) submit(e int, idempotent bool, key string, wait time.Duration) {
	w.next++
	req := &request.Request{
		ID: fmt.Sprint("r", w.next), Customer: "c", Service: service, Idempotent: idempotent,
		Key: key, Deadline: w.now.Add(wait), Method: "POST", Path: "/", Body: []byte(key),
	}
	w.requests[req] = &submission{entry: e}
	w.perform(e, w.routers[e].Submit(w.now, req))
}

// runQuorumOp runs one operation in the quorum. Its result may be lost.
func (w *simulation) runQuorumOp(index int, apply, deliver bool) {
	if len(w.quorumOps) == 0 {
		return
	}
	index %= len(w.quorumOps)
	op := w.quorumOps[index]
	w.quorumOps = append(w.quorumOps[:index:index], w.quorumOps[index+1:]...)
	r := w.routers[op.entry]
	if op.action.Kind == Claim {
		var result *controlapi.ClaimResponse
		if apply {
			resp, err := w.ledger.Claim(w.now, *op.action.Claim)
			if err == nil && deliver {
				result = &resp
			}
		}
		w.perform(op.entry, r.Claimed(w.now, op.action.Token, result))
		return
	}
	if op.action.Kind == Lookup {
		var result *controlapi.ClaimResponse
		if apply && deliver {
			resp := w.ledger.Lookup(*op.action.Lookup)
			result = &resp
		}
		w.perform(op.entry, r.LookedUp(w.now, op.action.Token, result))
		return
	}
	result := ResolveUnknown
	if apply {
		accepted := w.ledger.Resolve(w.now, *op.action.Resolve)
		if deliver {
			result = ResolveSuperseded
			if accepted {
				result = ResolveRecorded
			}
		}
	}
	w.perform(op.entry, r.Resolved(w.now, op.action.Token, result))
}

func (w *simulation) deliver(e, i int, back bool) {
	link := w.links[e][i]
	queue := &link.toAgent
	if back {
		queue = &link.toEntry
	}
	if len(*queue) == 0 {
		return
	}
	frame := (*queue)[0]
	*queue = (*queue)[1:]
	frame(w)
}

func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for e, r := range w.routers {
		w.perform(e, r.Tick(w.now))
	}
	for i, a := range w.agents {
		for _, work := range a.controller.Expire(w.now) {
			w.respond(i, work, request.Refused(request.ReasonDeadline))
		}
	}
}

// settle advances past all deadlines and delivers all frames.
func (w *simulation) settle() {
	for range 50 {
		w.advance(20 * time.Millisecond)
		w.flush()
	}
}

// flush delivers all frames and results in transit.
func (w *simulation) flush() {
	for range 20 {
		for len(w.quorumOps) > 0 {
			w.runQuorumOp(0, true, true)
		}
		for i := range w.agents {
			w.finish(i, doneAnswer(w.agents[i]))
		}
		for e := range entries {
			for i := range agents {
				w.deliver(e, i, false)
				w.deliver(e, i, true)
			}
		}
	}
}

func doneAnswer(a *agent) *request.Response {
	if len(a.running) == 0 {
		return nil
	}
	return &request.Response{Outcome: request.Done, Status: 200, Body: []byte(expectedBody(a.running[0].Attempt.Request))}
}

// Guards against lost and duplicate replies, two runs of one key, refusals of
// requests that ran, responses to other requests, and overspent budgets.
// Causes: lost links, crashed agents, a quorum that loses results, and
// duplicate requests.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(true)
		entry, target := rapid.IntRange(0, entries-1), rapid.IntRange(0, agents-1)
		wait := rapid.IntRange(1, int(maxWait/time.Millisecond))
		t.Repeat(map[string]func(*rapid.T){
			"idempotent": func(t *rapid.T) {
				w.submit(entry.Draw(t, "entry"), true, "", time.Duration(wait.Draw(t, "wait"))*time.Millisecond)
			},
			"claimed": func(t *rapid.T) {
				key := fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key"))
				w.submit(entry.Draw(t, "entry"), false, key, time.Duration(wait.Draw(t, "wait"))*time.Millisecond)
			},
			"operate": func(t *rapid.T) {
				lossy := rapid.IntRange(0, 9).Draw(t, "loss")
				w.runQuorumOp(rapid.IntRange(0, 7).Draw(t, "operation"), lossy != 0, lossy > 1)
			},
			"forward": func(t *rapid.T) { w.deliver(entry.Draw(t, "entry"), target.Draw(t, "target"), false) },
			"back":    func(t *rapid.T) { w.deliver(entry.Draw(t, "entry"), target.Draw(t, "target"), true) },
			"flush":   func(t *rapid.T) { w.flush() },
			"finish":  func(t *rapid.T) { i := target.Draw(t, "target"); w.finish(i, doneAnswer(w.agents[i])) },
			"fail": func(t *rapid.T) {
				w.finish(target.Draw(t, "target"), request.Indeterminate(request.ReasonTargetFailed))
			},
			"damage": func(t *rapid.T) { w.damage(entry.Draw(t, "entry"), target.Draw(t, "target")) },
			"cut":    func(t *rapid.T) { w.disconnect(entry.Draw(t, "entry"), target.Draw(t, "target")) },
			"crash":  func(t *rapid.T) { w.crash(target.Draw(t, "target")) },
			"connect": func(t *rapid.T) {
				e, i := entry.Draw(t, "entry"), target.Draw(t, "target")
				w.disconnect(e, i)
				w.connect(e, i)
			},
			"full": func(t *rapid.T) {
				l := w.links[entry.Draw(t, "entry")][target.Draw(t, "target")]
				l.full = !l.full
			},
			"abandon": func(t *rapid.T) {
				for req, s := range w.requests {
					if len(s.replies) == 0 && req.ID == fmt.Sprint("r", w.next) {
						w.perform(s.entry, w.routers[s.entry].CallerGone(w.now, req))
					}
				}
			},
			"drain": func(t *rapid.T) {
				a := w.agents[target.Draw(t, "target")]
				a.controller.SetState(admission.State(rapid.IntRange(0, 1).Draw(t, "state")))
			},
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { w.check(t, false) },
		})
		w.settle()
		w.check(t, true)
	})
}

// damage delivers a damaged response to the first pending attempt on a link.
func (w *simulation) damage(e, i int) {
	r := w.routers[e]
	for _, number := range sortedKeys(r.attempts) {
		a := r.attempts[number]
		if a.target.ID == w.agents[i].id {
			w.perform(e, r.ResponseReceived(w.now, number, a.Request.ID, request.Indeterminate(request.ReasonDamaged), request.Load{}))
			return
		}
	}
}

func (w *simulation) check(t *rapid.T, settled bool) {
	for key, n := range w.runs {
		if n > 1 {
			t.Fatalf("key %s ran %d times", key, n)
		}
	}
	if len(w.falseRefusals) > 0 {
		t.Fatalf("told not run after the key ran: %v", w.falseRefusals)
	}
	for req, s := range w.requests {
		if len(s.replies) > 1 || settled && len(s.replies) == 0 {
			t.Fatalf("%s (idempotent %v) has %d replies", req.ID, req.Idempotent, len(s.replies))
		}
		if len(s.replies) == 1 {
			w.checkReply(t, req, s.replies[0])
		}
	}
	for _, r := range w.routers {
		n := float64(r.stats.Submitted)
		if float64(r.stats.Retries) > 0.1*n+testRetryBurst || float64(r.stats.Hedges) > 0.05*n+testHedgeBurst {
			t.Fatalf("%d retries and %d hedges for %v requests", r.stats.Retries, r.stats.Hedges, n)
		}
		if settled && (len(r.timers) > 0 || len(r.operations) > 0 || len(r.attempts) > 0) {
			t.Fatalf("left over: %d timers, %d operations, %d attempts", len(r.timers), len(r.operations), len(r.attempts))
		}
	}
}

func (w *simulation) checkReply(t *rapid.T, req *request.Request, resp *request.Response) {
	switch {
	case resp.Outcome == request.NotRun && w.starts[req.ID] > 0:
		t.Fatalf("%s was refused (%s) and ran", req.ID, resp.Reason)
	case resp.Reason == request.ReasonDuplicateExpired && w.runs[req.Key] > 0:
		t.Fatalf("%s was refused as a duplicate and its key ran", req.ID)
	case resp.Outcome == request.Done && string(resp.Body) != expectedBody(req):
		t.Fatalf("%s got the answer %q", req.ID, resp.Body)
	case resp.Outcome == request.Done && !req.Idempotent && w.runs[req.Key] != 1:
		t.Fatalf("%s is done after %d runs", req.Key, w.runs[req.Key])
	}
}
