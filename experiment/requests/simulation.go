package requests

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/ibispier/ibispier/admission"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/request"
	"github.com/ibispier/ibispier/routing"
)

const (
	announceInterval = 200 * time.Millisecond
	customer         = "customer"
	service          = "price-check"
)

// Options describes a deployment and its load.
type Options struct {
	Seed            uint64
	Policy          routing.Policy
	Hedging         bool
	Entries         int
	Targets         int
	Slots           int
	MaxQueued       int
	Zones           int           // targets and entries are spread over them
	ZoneDelay       time.Duration // one way, between zones
	MeanServiceTime time.Duration // of a target that is not slowed down
	Deadline        time.Duration
	Duration        time.Duration
	Plan            controlapi.Plan // zero for no limits
	// ArrivalRate returns the number of requests per second at t.
	ArrivalRate func(t time.Duration) float64
	// Slowdown returns the factor on the service time of a target at t; nil for 1.
	Slowdown func(target int, t time.Duration) float64
	// ChooseEntry chooses the entry instance of a request; nil for a random one.
	ChooseEntry func(random *rand.Rand, t time.Duration) int
}

// DefaultOptions returns the size of the present deployment: 11 targets with 8
// slots in three zones that are 3.5 ms apart, and three entry instances.
func DefaultOptions(seed uint64) Options {
	return Options{
		Seed:            seed,
		Policy:          routing.ChoiceOfTwo,
		Hedging:         true,
		Entries:         3,
		Targets:         11,
		Slots:           8,
		MaxQueued:       64,
		Zones:           3,
		ZoneDelay:       3500 * time.Microsecond,
		MeanServiceTime: 20 * time.Millisecond,
		Deadline:        time.Second,
		Duration:        30 * time.Second,
	}
}

// Capacity returns the number of requests per second that the targets can serve.
func (o Options) Capacity() float64 {
	return float64(o.Targets*o.Slots) / o.MeanServiceTime.Seconds()
}

// Sample is the result of one request.
type Sample struct {
	At      time.Duration // when the request was submitted
	Latency time.Duration
	Outcome request.Outcome
	Reason  request.Reason
}

// Result holds the samples and counters of a run.
type Result struct {
	Samples        []Sample
	Stats          routing.Stats // summed over the entry instances
	StartsByTarget []int         // requests started, by target
	PeakPerTarget  int           // largest number of requests at one target
	PeakInFlight   int           // largest number of requests in flight in all entry instances
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type events []event

type simulation struct {
	options  Options
	random   *rand.Rand
	now      time.Duration
	sequence uint64
	events   events
	entries  []*entry
	targets  []*target
	result   Result
	inFlight int
}

type entry struct {
	zone   int
	router *routing.Router
	tickAt time.Duration // when the next tick is scheduled; 0 for none
	sentAt map[*request.Request]time.Duration
}

type target struct {
	index      int
	zone       int
	controller *admission.Controller
}

// origin identifies the entry instance that gets the response to an attempt.
type origin struct{ entry *entry }

// Run simulates a deployment.
func Run(o Options) *Result {
	s := &simulation{options: o, random: rand.New(rand.NewPCG(o.Seed, 1))}
	s.result.StartsByTarget = make([]int, o.Targets)
	for i := range o.Targets {
		s.targets = append(s.targets, &target{
			index: i, zone: i % o.Zones,
			controller: admission.NewController(admission.Options{Slots: o.Slots, MaxQueued: o.MaxQueued}),
		})
	}
	for i := range o.Entries {
		s.addEntry(i)
	}
	s.announceAll()
	s.schedule(s.interarrival(), s.arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	for _, e := range s.entries {
		s.addStats(e.router.Stats())
	}
	return &s.result
}

func (s *simulation) addEntry(i int) {
	e := &entry{zone: i % s.options.Zones, sentAt: map[*request.Request]time.Duration{}}
	e.router = routing.NewRouter(routing.Options{
		Policy: s.options.Policy, ID: fmt.Sprint("entry-", i), Seed: s.options.Seed + uint64(i),
		Hedging: s.options.Hedging, RetryRatio: 0.1, HedgeRatio: 0.05,
	})
	plan := s.options.Plan
	if plan.Name == "" {
		plan = controlapi.Plan{Name: "open", RequestsPerSecond: 1e9, Burst: 1e9, Concurrency: 1e9}
	}
	plan.Services = []string{service}
	s.perform(e, e.router.SetConfig(s.time(), controlapi.Config{
		Customers: []controlapi.Subscription{{Customer: customer, Plan: plan.Name}},
		Plans:     []controlapi.Plan{plan},
	}))
	s.entries = append(s.entries, e)
}

func (s *simulation) addStats(t routing.Stats) {
	r := &s.result.Stats
	r.Submitted += t.Submitted
	r.Attempts += t.Attempts
	r.Retries += t.Retries
	r.DrainRetries += t.DrainRetries
	r.Hedges += t.Hedges
	r.Ejections += t.Ejections
}

// time returns the virtual time as a time.Time for the packages under test.
func (s *simulation) time() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

func (s *simulation) schedule(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now + d, sequence: s.sequence, run: do})
}

// interarrival returns the time to the next arrival of a Poisson process.
func (s *simulation) interarrival() time.Duration {
	return time.Duration(s.random.ExpFloat64() / s.options.ArrivalRate(s.now) * float64(time.Second))
}

func (s *simulation) arrive() {
	if s.now > s.options.Duration {
		return
	}
	s.schedule(s.interarrival(), s.arrive)
	i := s.random.IntN(len(s.entries))
	if s.options.ChooseEntry != nil {
		i = s.options.ChooseEntry(s.random, s.now)
	}
	e := s.entries[i]
	req := &request.Request{
		ID: fmt.Sprint(s.sequence), Customer: customer, Service: service, Idempotent: true,
		Deadline: s.time().Add(s.options.Deadline), Method: "GET", Path: "/",
	}
	e.sentAt[req] = s.now
	s.inFlight++
	actions := e.router.Submit(s.time(), req)
	s.perform(e, actions)
	s.result.PeakInFlight = max(s.result.PeakInFlight, s.inFlight)
}

func (s *simulation) perform(e *entry, actions []routing.Action) {
	for _, a := range append([]routing.Action(nil), actions...) {
		switch a.Kind {
		case routing.Reply:
			s.reply(e, a)
		case routing.Send:
			t := s.targetByID(a.Attempt.Target)
			s.schedule(s.delay(e, t), func() { s.receive(e, t, a.Attempt) })
		case routing.Cancel:
			t := s.targetByID(a.Attempt.Target)
			s.schedule(s.delay(e, t), func() { s.cancel(e, t, a.Attempt) })
		}
	}
	s.scheduleTick(e)
}

func (s *simulation) reply(e *entry, a routing.Action) {
	at := e.sentAt[a.Request]
	delete(e.sentAt, a.Request)
	s.inFlight--
	s.result.Samples = append(s.result.Samples, Sample{
		At: at, Latency: s.now - at, Outcome: a.Response.Outcome, Reason: a.Response.Reason,
	})
}

// scheduleTick schedules the next tick of a router.
func (s *simulation) scheduleTick(e *entry) {
	next, ok := e.router.NextDeadline()
	if !ok {
		return
	}
	at := max(next.Sub(time.Unix(1_000_000, 0)), s.now)
	if e.tickAt > s.now && e.tickAt <= at {
		return
	}
	e.tickAt = at
	s.schedule(at-s.now, func() {
		if e.tickAt == s.now {
			e.tickAt = 0
		}
		s.perform(e, e.router.Tick(s.time()))
	})
}

func (s *simulation) targetByID(id string) *target {
	var i int
	_, _ = fmt.Sscanf(id, "target-%d", &i)
	return s.targets[i]
}

func (s *simulation) delay(e *entry, t *target) time.Duration {
	if e.zone == t.zone {
		return 200 * time.Microsecond
	}
	return s.options.ZoneDelay
}

func (s *simulation) receive(e *entry, t *target, a *request.Attempt) {
	w := &admission.Work{Attempt: a, Origin: origin{e}}
	decision, reason, displaced := t.controller.Submit(s.time(), w)
	if displaced != nil {
		s.respond(t, displaced, request.Refused(request.ReasonOverloaded), 0)
	}
	switch decision {
	case admission.Start:
		s.startWork(t, w)
	case admission.Refuse:
		s.respond(t, w, request.Refused(reason), 0)
	}
	load := t.controller.Load()
	s.result.PeakPerTarget = max(s.result.PeakPerTarget, load.InFlight+load.Queued)
}

func (s *simulation) cancel(e *entry, t *target, a *request.Attempt) {
	if w := t.controller.Cancel(s.time(), a.Request.ID, a.Number, origin{e}); w != nil {
		s.respond(t, w, request.Refused(request.ReasonCancelled), 0)
	}
}

// startWork runs a request for a log-normal service time around the mean.
func (s *simulation) startWork(t *target, w *admission.Work) {
	s.result.StartsByTarget[t.index]++
	factor := 1.0
	if s.options.Slowdown != nil {
		factor = s.options.Slowdown(t.index, s.now)
	}
	const sigma = 0.4
	spread := math.Exp(sigma*s.random.NormFloat64() - sigma*sigma/2)
	work := time.Duration(float64(s.options.MeanServiceTime) * factor * spread)
	s.schedule(work, func() { s.finish(t, w, work) })
}

func (s *simulation) finish(t *target, w *admission.Work, work time.Duration) {
	resp := &request.Response{Outcome: request.Done, Status: 200}
	next, expired := t.controller.Finished(s.time(), w, resp)
	if next != nil {
		s.startWork(t, next)
	}
	s.respond(t, w, resp, work)
	for _, x := range expired {
		s.respond(t, x, request.Refused(request.ReasonDeadline), 0)
	}
}

func (s *simulation) respond(t *target, w *admission.Work, resp *request.Response, work time.Duration) {
	e := w.Origin.(origin).entry
	load := t.controller.Load()
	load.Service = work
	s.schedule(s.delay(e, t), func() {
		s.perform(e, e.router.ResponseReceived(s.time(), w.Attempt.Number, w.Attempt.Request.ID, resp, load))
	})
}

func (s *simulation) announceAll() {
	for _, e := range s.entries {
		for _, t := range s.targets {
			s.perform(e, e.router.Announce(s.time(), routing.Target{
				ID: fmt.Sprint("target-", t.index), Service: service, Zone: fmt.Sprint("zone-", t.zone),
				Slots: s.options.Slots, Incarnation: 1, Instances: len(s.entries),
				Load: t.controller.Load(), RoundTrip: 2 * s.delay(e, t),
			}))
		}
	}
	if s.now <= s.options.Duration+s.options.Deadline {
		s.schedule(announceInterval, s.announceAll)
	}
}

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
