package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/request"
)

var start = time.Unix(1000, 0)

func openConfig(zonesOut ...string) controlapi.Config {
	return controlapi.Config{
		ZonesOut:  zonesOut,
		Customers: []controlapi.Subscription{{Customer: "c", Plan: "p"}, {Customer: "urgent", Plan: "q"}},
		Plans: []controlapi.Plan{
			{Name: "p", Services: []string{"*"}, RequestsPerSecond: 1e6, Burst: 1e6, Concurrency: 1e6},
			{Name: "q", Services: []string{"*"}, RequestsPerSecond: 1e6, Burst: 1e6, Concurrency: 1e6, Priority: 1},
		},
	}
}

func newRouter(o Options, targets int) *Router {
	r := NewRouter(o)
	r.SetConfig(start, openConfig())
	for i := range targets {
		r.Announce(start, testTarget(i))
	}
	return r
}

func testTarget(i int) Target {
	return Target{ID: fmt.Sprint("t", i), Service: "s", Zone: fmt.Sprint("z", i), Slots: 1, Instances: 1}
}

func idempotentRequest(id string) *request.Request {
	return &request.Request{ID: id, Customer: "c", Service: "s", Idempotent: true, Deadline: start.Add(time.Second)}
}

// copyActions copies actions, so that they outlive the next call of the Router.
func copyActions(actions []Action) []Action { return append([]Action(nil), actions...) }

func onlyAction(t *testing.T, actions []Action, kind ActionKind) Action {
	t.Helper()
	if len(actions) != 1 || actions[0].Kind != kind {
		t.Fatalf("actions %+v, want one of kind %d", actions, kind)
	}
	return actions[0]
}

// Guards against requests that are routed without a configuration, to a zone
// that is out, or without a usable target.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(r *Router)
		req     *request.Request
		want    request.Reason
	}{
		{"no configuration", func(r *Router) { r.configured = false }, idempotentRequest("a"), request.ReasonNoQuorum},
		{"zone out", func(r *Router) { r.SetConfig(start, openConfig("z0")) }, idempotentRequest("a"), request.ReasonZoneOut},
		{"draining", func(r *Router) { x := testTarget(0); x.State = Draining; r.Announce(start, x) }, idempotentRequest("a"), request.ReasonNoTarget},
		{"missed announcements", func(r *Router) { r.targets["t0"].announcedAt = start.Add(-announceTimeout) }, idempotentRequest("a"), request.ReasonNoTarget},
		{"deadline passed", func(*Router) {}, &request.Request{Customer: "c", Service: "s", Deadline: start}, request.ReasonDeadline},
		{"deadline too short", func(r *Router) { r.targets["t0"].serviceTime.add(start, float64(2*time.Second)) }, idempotentRequest("a"), request.ReasonDeadline},
		{"no quorum for a claim", func(*Router) {}, &request.Request{Customer: "c", Service: "s", Key: "k", Deadline: start.Add(time.Second)}, request.ReasonNoQuorum},
		{"unknown customer", func(*Router) {}, &request.Request{Customer: "d", Service: "s", Deadline: start.Add(time.Second)}, request.ReasonUnknownCustomer},
		{"unknown service", func(*Router) {}, &request.Request{Customer: "c", Service: "x", Deadline: start.Add(time.Second)}, request.ReasonUnknownService},
	} {
		r := newRouter(Options{Policy: ChoiceOfTwo}, 1)
		c.prepare(r)
		a := onlyAction(t, r.Submit(start, c.req), Reply)
		if a.Response.Outcome != request.NotRun || a.Response.Reason != c.want {
			t.Errorf("%s: %s %q, want %q", c.name, a.Response.Outcome, a.Response.Reason, c.want)
		}
	}
}

// Guards against a retry on a link that is as silent as the one just lost: it is lost
// too, and faults in a row use up the budget of retries, so that requests end with an
// unknown outcome although a new link could have carried them.
func TestRetryWaitsWhileAllLinksMayBeSilent(t *testing.T) {
	const rounds, requests = 4, 8
	wideTarget := func(i int) Target {
		t := testTarget(i)
		t.Slots = requests
		return t
	}
	r := newRouter(Options{Policy: ChoiceOfTwo, RetryRatio: 0.1}, 0)
	now := start
	for round := range rounds {
		for i := range 2 {
			r.Announce(now, wideTarget(i))
		}
		sent := map[string]*request.Attempt{}
		collect := func(actions []Action) {
			for _, a := range copyActions(actions) {
				switch a.Kind {
				case Send:
					sent[a.Attempt.Request.ID] = a.Attempt
				case Reply:
					t.Fatalf("round %d: request ended %s %q", round, a.Response.Outcome, a.Response.Reason)
				}
			}
		}
		for i := range requests {
			collect(r.Submit(now, &request.Request{ID: fmt.Sprint(round, "-", i), Customer: "c", Service: "s", Idempotent: true, Deadline: now.Add(2 * time.Second)}))
		}
		lost := now.Add(600 * time.Millisecond) // both links are silent from now on
		collect(r.LinkLost(lost, "t0"))
		collect(r.Tick(lost))
		lost = lost.Add(140 * time.Millisecond)
		collect(r.Tick(lost))
		collect(r.LinkLost(lost, "t1"))
		back := lost.Add(20 * time.Millisecond)
		collect(r.Announce(back, wideTarget(0)))
		collect(r.Announce(back, wideTarget(1)))
		now = back.Add(400 * time.Millisecond)
		for i := range 2 {
			collect(r.Announce(now, wideTarget(i)))
		}
		collect(r.Tick(now))
		for len(sent) > 0 {
			for id, a := range sent {
				delete(sent, id)
				answers := copyActions(r.ResponseReceived(now, a.Number, id, &request.Response{Outcome: request.Done, Status: 200}, request.Load{}))
				for _, action := range answers {
					if action.Kind == Send {
						sent[action.Attempt.Request.ID] = action.Attempt
					} else if action.Kind == Reply && action.Response.Outcome != request.Done {
						t.Fatalf("round %d: request %s ended %s", round, id, action.Response.Outcome)
					}
				}
			}
		}
		if len(r.calls) > 0 {
			t.Fatalf("round %d: %d requests without an answer", round, len(r.calls))
		}
	}
}

// Guards against a late response from a lost link that ends the attempt that
// replaced it.
func TestLateAnswerOfLostLink(t *testing.T) {
	r := newRouter(Options{Policy: ChoiceOfTwo, RetryRatio: 0.1}, 2)
	first := onlyAction(t, r.Submit(start, idempotentRequest("a")), Send).Attempt
	r.LinkLost(start, first.Target)
	second := onlyAction(t, r.Tick(start), Send).Attempt
	if second.Target == first.Target {
		t.Fatal("retried on the lost target")
	}
	done := &request.Response{Outcome: request.Done, Status: 200}
	if late := r.ResponseReceived(start, first.Number, "a", done, request.Load{}); len(late) > 0 {
		t.Fatalf("a late answer caused %+v", late)
	}
	if foreign := r.ResponseReceived(start, second.Number, "b", done, request.Load{}); len(foreign) > 0 {
		t.Fatalf("the answer to another request caused %+v", foreign)
	}
	onlyAction(t, r.ResponseReceived(start, second.Number, "a", done, request.Load{}), Reply)
}

// Guards against a hedge that is sent too early or to the same target, or that
// leaves the slower attempt running.
func TestHedge(t *testing.T) {
	r := newRouter(Options{Policy: ChoiceOfTwo, Hedging: true, HedgeRatio: 0.05}, 2)
	r.pools["s"].latency = latencyHistogram{samples: minSamples, value: 20 * time.Millisecond}
	first := onlyAction(t, r.Submit(start, idempotentRequest("a")), Send).Attempt
	if early := r.Tick(start.Add(19 * time.Millisecond)); len(early) > 0 {
		t.Fatalf("hedged early: %+v", early)
	}
	hedge := onlyAction(t, r.Tick(start.Add(20*time.Millisecond)), Send).Attempt
	if hedge.Target == first.Target {
		t.Fatal("hedged on the same target")
	}
	end := copyActions(r.ResponseReceived(start.Add(25*time.Millisecond), hedge.Number, "a", &request.Response{Outcome: request.Done}, request.Load{}))
	if len(end) != 2 || end[0].Kind != Cancel || end[0].Attempt.Number != first.Number || end[1].Kind != Reply {
		t.Fatalf("actions %+v, want a cancel of the first attempt and a reply", end)
	}
}

// Guards against hedges beyond their budget when all requests are late.
func TestHedgesStayInBudget(t *testing.T) {
	const requests = 200
	r := newRouter(Options{Policy: ChoiceOfTwo, Hedging: true, HedgeRatio: 0.05}, 2)
	r.pools["s"].latency = latencyHistogram{samples: minSamples, value: 20 * time.Millisecond}
	hedges := 0
	for i := range requests {
		req := idempotentRequest(fmt.Sprint(i))
		r.Submit(start, req)
		for _, a := range r.Tick(start.Add(20 * time.Millisecond)) {
			if a.Kind == Send {
				hedges++
			}
		}
		r.CallerGone(start, req)
	}
	if hedges == 0 || hedges > hedgeBurst+requests/20 {
		t.Fatalf("%d hedges for %d requests", hedges, requests)
	}
}

// Guards against a concurrency limit that does not follow the load of the
// target, or that exceeds its bounds.
func TestConcurrencyLimitAdapts(t *testing.T) {
	r := newRouter(Options{Policy: ChoiceOfTwo}, 1)
	x := r.targets["t0"]
	for range 100 {
		x.adaptLimit(true)
	}
	if x.concurrencyLimit != 1 {
		t.Fatalf("limit %.1f after refusals, want 1", x.concurrencyLimit)
	}
	x.outstanding = 100
	for range 1000 {
		x.adaptLimit(false)
	}
	if x.concurrencyLimit != maxLimit {
		t.Fatalf("limit %.1f after good answers, want %.0f", x.concurrencyLimit, maxLimit)
	}
	x.Load.Queued = 10
	if x.adaptLimit(false); x.concurrencyLimit >= maxLimit {
		t.Fatalf("limit %.1f with a long queue", x.concurrencyLimit)
	}
}

// Guards against latency-critical requests that wait behind others when the
// targets are full.
func TestWaitingOrder(t *testing.T) {
	r := newRouter(Options{Policy: ChoiceOfTwo}, 1)
	var sent []*request.Attempt
	for i := range int(initialLimit) {
		sent = append(sent, onlyAction(t, r.Submit(start, idempotentRequest(fmt.Sprint(i))), Send).Attempt)
	}
	urgent := idempotentRequest("urgent")
	urgent.Customer = "urgent"
	for _, req := range []*request.Request{idempotentRequest("normal"), urgent} {
		if now := r.Submit(start, req); len(now) > 0 {
			t.Fatalf("%s did not wait: %+v", req.ID, now)
		}
	}
	full := request.Load{InFlight: 1, Queued: 5}
	actions := copyActions(r.ResponseReceived(start, sent[0].Number, "0", &request.Response{Outcome: request.Done}, full))
	if last := actions[len(actions)-1]; last.Kind != Send || last.Attempt.Request != urgent {
		t.Fatalf("actions %+v, want the urgent request sent", actions)
	}
}

// Guards against a target that keeps getting requests although all of them
// fail, and against a target that never returns.
func TestEjectionAndProbation(t *testing.T) {
	r := newRouter(Options{Policy: ChoiceOfTwo}, 3)
	bad := r.targets["t1"]
	for range failuresToEject {
		r.updateHealth(start, bad, true)
	}
	for i := range 50 {
		a := onlyAction(t, r.Submit(start, idempotentRequest(fmt.Sprint("x", i))), Send).Attempt
		if a.Target == bad.ID {
			t.Fatal("an ejected target got a request")
		}
		r.ResponseReceived(start, a.Number, a.Request.ID, &request.Response{Outcome: request.Done}, request.Load{})
	}
	later := start.Add(minEjection)
	if !bad.health.allows(later, 0) || bad.health.allows(later, 1) {
		t.Fatal("probation allows one attempt at a time")
	}
	for range successesToReturn {
		r.updateHealth(later, bad, false)
	}
	if !bad.health.allows(later, 1) {
		t.Fatal("the target must return after good probes")
	}
}

func ExampleRouter() {
	now := time.Unix(0, 0)
	r := NewRouter(Options{Policy: ChoiceOfTwo, ID: "entry-1"})
	r.SetConfig(now, controlapi.Config{
		Customers: []controlapi.Subscription{{Customer: "veiling", Plan: "gold"}},
		Plans:     []controlapi.Plan{{Name: "gold", Services: []string{"quote"}, RequestsPerSecond: 10, Burst: 10, Concurrency: 4}},
	})
	r.Announce(now, Target{ID: "runner-1", Service: "quote", Slots: 8, Instances: 1})
	actions := r.Submit(now, &request.Request{
		ID: "lot-17", Customer: "veiling", Service: "quote", Idempotent: true, Deadline: now.Add(time.Second),
	})
	attempt := actions[0].Attempt
	fmt.Println("send to", attempt.Target)
	actions = r.ResponseReceived(now, attempt.Number, "lot-17", &request.Response{Outcome: request.Done, Status: 200}, request.Load{})
	fmt.Println("reply", actions[0].Response.Outcome)
	// Output:
	// send to runner-1
	// reply done
}

// Guards against requests to a zone whose permit has expired, in a deployment
// that requires permits.
func TestRequestsNeedAPermit(t *testing.T) {
	r := newRouter(Options{Policy: ChoiceOfTwo, PermitRequired: true}, 1)
	a := onlyAction(t, r.Submit(start, idempotentRequest("a")), Reply)
	if a.Response.Outcome != request.NotRun || a.Response.Reason != request.ReasonNoQuorum {
		t.Fatalf("without a permit: %+v", a.Response)
	}
	r.SetPermit(start, r.targets["t0"].Zone, start.Add(time.Millisecond))
	onlyAction(t, r.Submit(start, idempotentRequest("b")), Send)
	a = onlyAction(t, r.Submit(start.Add(time.Millisecond), idempotentRequest("c")), Reply)
	if a.Response.Reason != request.ReasonNoQuorum {
		t.Fatalf("after the permit: %+v", a.Response)
	}
}
