package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/control/applier"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/backlog"
)

// overloadPlay plays callers who send again after the Retry-After that they are told.
type overloadPlay struct {
	f        *fleet
	callers  []*overloadCaller
	returned map[int]int // attempts after a refusal, by second
}

type overloadCaller struct {
	o         *overloadPlay
	id, queue string
	steps     []job.Step
	sentAt    time.Time // of the first attempt
	answered  time.Duration
	refusals  int
	accepted  bool
	done      time.Duration // from the first attempt; 0 if it is not done
}

func (o *overloadPlay) send(queue string, steps ...job.Step) {
	c := &overloadCaller{o: o, id: fmt.Sprintf("%016x", len(o.callers)+1), queue: queue, steps: steps, sentAt: o.f.now}
	o.callers = append(o.callers, c)
	c.attempt()
}

func (c *overloadCaller) attempt() {
	c.o.f.request(controlapi.OpJobSubmit, &controlapi.JobSubmitRequest{
		Host: "h", Path: "/" + c.queue + "/" + c.id, Spec: job.Spec{ID: c.id, Steps: c.steps},
	}, c)
}

// Reply implements applier.Replier.
func (c *overloadCaller) Reply(r applier.Response) {
	answer, _ := r.Body.(controlapi.JobResponse)
	if c.answered == 0 {
		c.answered = c.o.f.now.Sub(c.sentAt)
	}
	if answer.Outcome == controlapi.JobOK {
		c.accepted = true
		return
	}
	c.refusals++
	c.o.f.after(time.Duration(answer.RetryAfterMillis)*time.Millisecond+100*time.Millisecond, func() {
		c.o.returned[int(c.o.f.now.Unix())]++
		c.attempt()
	})
}

func (o *overloadPlay) noteDone() {
	for _, c := range o.callers {
		if c.done == 0 && c.accepted && o.f.e.store.Jobs[c.id].State() == job.Completed {
			c.done = o.f.now.Sub(c.sentAt)
		}
	}
}

// isOfUse reports whether the caller got its result within three times its objective.
func (c *overloadCaller) isOfUse() bool { return c.done > 0 && c.done <= 3*c.objective() }

func (c *overloadCaller) objective() time.Duration {
	return time.Duration(len(c.steps))*taskOfQuick*3/2 + 300*time.Millisecond
}

// overloadResult counts the callers by what they got.
type overloadResult struct {
	callers, onTime, late, useless, refused, open int
	slowestAnswer                                 time.Duration
	mostRefusals, mostReturned                    int
}

func (o *overloadPlay) result() overloadResult {
	r := overloadResult{callers: len(o.callers)}
	for _, c := range o.callers {
		switch {
		case c.done == 0:
			r.open++
		case c.refusals > 0:
			r.refused++
		case c.done <= c.objective():
			r.onTime++
		case c.isOfUse():
			r.late++
		default:
			r.useless++
		}
		r.slowestAnswer, r.mostRefusals = max(r.slowestAnswer, c.answered), max(r.mostRefusals, c.refusals)
	}
	for _, n := range o.returned {
		r.mostReturned = max(r.mostReturned, n)
	}
	return r
}

// playOverload plays a calm time, a burst of several times the room, and a calm time in
// which refused callers return.
func playOverload(t *testing.T, refuse bool) (o *overloadPlay) {
	synctest.Test(t, func(*testing.T) {
		o = &overloadPlay{f: newFleet(3), returned: map[int]int{}}
		random := rand.New(rand.NewPCG(3, 4)) // the same arrivals with and without refusing
		o.f.sleep = time.Sleep
		o.f.e.leader.refusals = newRefusals(o.f.now, refuse)
		step := job.Step{Count: 13, Need: cpu(2600), EstimateMillis: taskOfQuick.Milliseconds()}
		second := step
		second.After = []int{0}
		play := func(perSecond float64, d time.Duration) {
			for end := o.f.now.Add(d); o.f.now.Before(end); o.f.runFor(fleetTick) {
				if random.Float64() < perSecond*fleetTick.Seconds() {
					steps := []job.Step{step, second}[:1+random.IntN(2)]
					o.send("quick", steps...)
				}
				if o.f.now.UnixMilli()%50 < fleetTick.Milliseconds() {
					o.noteDone()
				}
			}
		}
		play(1.5, 15*time.Second)
		play(33, 10*time.Second)
		play(0.5, 80*time.Second)
		play(0, 5*time.Second)
	})
	return o
}

// Guards against an overload in which callers wait for results that come too late to be of
// use, and against refusals that cost more than they save: of results, of a fast answer,
// of callers who never get in, or who all return at once.
func TestRefusingInABurst(t *testing.T) {
	plain, refusing := playOverload(t, false), playOverload(t, true)
	without, with := plain.result(), refusing.result()
	mistaken := 0 // refused callers whose result was of use without refusing
	for i, c := range refusing.callers {
		if c.refusals > 0 && plain.callers[i].isOfUse() {
			mistaken++
		}
	}
	t.Logf("without: %+v", without)
	t.Logf("with:    %+v", with)
	t.Logf("refused although of use without refusing: %d", mistaken)
	const answerBound = 100 * time.Millisecond // a refusal comes at once: two commits take 40 ms here
	switch {
	case without.useless < without.callers/4:
		t.Error("the burst does not exceed the room")
	case with.useless >= without.useless || with.refused == 0:
		t.Errorf("%d callers waited in vain, without refusing %d", with.useless, without.useless)
	case with.onTime+with.late < without.onTime+without.late:
		t.Errorf("%d results of use, without refusing %d", with.onTime+with.late, without.onTime+without.late)
	case mistaken > with.refused/10: // some, because others that arrive at the same time are served instead
		t.Errorf("%d of %d refused callers got a result of use without refusing", mistaken, with.refused)
	case with.open > 0 || with.mostRefusals > backlog.MaxRefusalsPerJob:
		t.Errorf("%d callers never got in; %d refusals of one", with.open, with.mostRefusals)
	case with.slowestAnswer > answerBound:
		t.Errorf("first answer after %s", with.slowestAnswer)
	case with.mostReturned > with.refused/4:
		t.Errorf("%d of %d refused callers returned in one second", with.mostReturned, with.refused)
	}
}
