package jobs

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/dispatch"
	"github.com/ibispier/ibispier/job/stragglers"
	"github.com/ibispier/ibispier/telemetry"
)

var copiedQuick = job.Step{Count: 10, Need: cpu(2600), EstimateMillis: taskOfQuick.Milliseconds(), Speculative: true}

// newCopyingFleet returns a fleet of which slowOf of a hundred runs last seven times as
// long as others.
func newCopyingFleet(targets, slowOf int, copies bool) (f *fleet, started, won metrics.Counter) {
	m := telemetry.NewMetrics()
	started, won = m.Counter("ibispier_copies_started_total"), m.Counter("ibispier_copies_won_total")
	f = newFleet(targets, func(o *Options) { o.Copies, o.Metrics = copies, m })
	f.lifeOf = func(ref job.Ref, run int) time.Duration {
		if chance(ref, run) < slowOf {
			return 7 * taskOfQuick
		}
		return taskOfQuick
	}
	return f, started, won
}

// chance returns a number below 100 that depends on the run alone, because the order of
// the starts differs between two plays.
func chance(ref job.Ref, run int) int {
	h := fnv.New32a()
	fmt.Fprintf(h, "%d/%v", run, ref)
	return int(h.Sum32()>>8) % 100
}

// Guards against steps of ten that wait for one of three slow runs of a hundred although
// there is room, against losers that work on, and against copies without the setting. A
// copy starts after twice the typical time and takes that time again.
func TestCopiesEndSteps(t *testing.T) {
	const jobs = 60
	times := map[bool][]time.Duration{}
	for _, copies := range []bool{false, true} {
		f, started, won := newCopyingFleet(8, 3, copies)
		c := newFleetCheck(t, f)
		c.loserBound = commitDelay + 2*reportDelay
		for range jobs {
			f.submitSteps("lasting", copiedQuick)
			c.play(100 * time.Millisecond)
		}
		c.play(10 * time.Second)
		for id, at := range f.submittedAt {
			times[copies] = append(times[copies], c.endedAt[id].Sub(at))
		}
		slices.Sort(times[copies])
		t.Logf("copies %v: 90 of 100 within %s, %d started, %d won", copies, times[copies][jobs*9/10], started.Count(), won.Count())
		if copies != (won.Count() > 0) || started.Count() > jobs {
			t.Errorf("%d copies started, %d won", started.Count(), won.Count())
		}
	}
	typical := times[false][jobs/2] // of a step without stragglers
	bound := (stragglers.SlowFactor+1)*typical + findInterval + tickInterval
	if most := times[true][jobs*9/10]; most > bound || times[false][jobs*9/10] < 7*taskOfQuick {
		t.Errorf("90 of 100 steps end within %s, want %s", most, bound)
	}
}

// fleetCheck checks the rules on the runs of a fleet. Jobs of the queue "lasting" are
// speculative.
type fleetCheck struct {
	*testing.T
	f          *fleet
	loserBound time.Duration         // how long a run may last after its task is done; 0 for any time
	startedOn  map[runKey]*fakeAgent // every run that was started
	active     map[runKey]bool       // runs at the previous check
	openAt     map[job.Ref]time.Time // when the task was last not done and its job live
	endedAt    map[string]time.Time  // when the job was last live
}

func newFleetCheck(t *testing.T, f *fleet) *fleetCheck {
	return &fleetCheck{T: t, f: f, startedOn: map[runKey]*fakeAgent{}, openAt: map[job.Ref]time.Time{}, endedAt: map[string]time.Time{}}
}

func (c *fleetCheck) play(d time.Duration) {
	for end := c.f.now.Add(d); c.f.now.Before(end); c.f.runFor(fleetTick) {
		for _, j := range c.f.e.store.LiveJobs() {
			c.endedAt[j.Spec.ID] = c.f.now
			for s := range j.Spec.Steps {
				for i := range j.Occurrences[0][s].Tasks {
					if j.Occurrences[0][s].Tasks[i].State != job.Done {
						c.openAt[job.Ref{Job: j.Spec.ID, Step: s, Index: i}] = c.f.now
					}
				}
			}
		}
		runs, active := map[job.Ref]int{}, map[runKey]bool{}
		for _, a := range c.f.agents {
			if room := int64(len(a.running)) * copiedQuick.Need.CPUMilli; room > 64_000 {
				c.Fatalf("%v runs tasks of %d millicores", a.target, room)
			}
			for ref, run := range a.running {
				runs[ref]++
				active[runKey{ref, run}] = true
				c.checkRun(a, runKey{ref, run}, runs[ref])
			}
		}
		c.active = active
	}
}

func (c *fleetCheck) checkRun(a *fakeAgent, key runKey, runs int) {
	since := c.f.now.Sub(c.openAt[key.task])
	if runs > 1 && c.f.queueOf[key.task.Job] != "lasting" || runs > 2 || c.loserBound > 0 && since > c.loserBound {
		c.Fatalf("%v runs %d times, %s after its end", key, runs, since)
	}
	if c.active[key] {
		return
	}
	if by := c.startedOn[key]; by != nil || since > 2*reportDelay {
		c.Fatalf("%v starts on %v, %s after the end of its task, and before on %v", key, a.target, since, by)
	}
	c.startedOn[key] = a
}

// Plays jobs with slow and failing runs, lost answers, changes of the leader, crashes and
// silent agents. Guards against a task that is not speculative with two runs, a third
// run, a run that starts twice, starts after the end as done or after the last attempt,
// targets over their capacity, and room or jobs that are left over.
func TestCopiesKeepTheRules(t *testing.T) {
	f, started, won := newCopyingFleet(5, 12, true)
	random := rand.New(rand.NewPCG(5, 6))
	c := newFleetCheck(t, f)
	f.loseAnswer = func(controlapi.TargetOrders) bool { return random.IntN(3) == 0 }
	f.failTask = func(ref job.Ref) bool { return chance(ref, 0) == 0 || random.IntN(100) < 5 }
	after, plain := copiedQuick, copiedQuick
	after.After, plain.Speculative = []int{0}, false
	inFlight := 0
	for i := range 120 {
		f.submitSteps("lasting", copiedQuick, after)
		f.submitSteps("quick", plain)
		c.play(400 * time.Millisecond)
		switch {
		case i%10 == 4:
			f.crash(random.IntN(len(f.agents)))
		case i%10 == 9:
			f.silence(random.IntN(len(f.agents)))
		case i%4 == 2:
			inFlight += f.e.store.Copies()
			f.changeLeader()
		}
	}
	f.loseAnswer = nil
	c.play(20 * time.Second)
	if live, held := len(f.e.store.LiveJobs()), f.e.store.OccupiedTargets(); live+len(held) > 0 || f.e.store.Copies() != 0 {
		t.Errorf("%d jobs are live, room is held on %v, %d copies", live, held, f.e.store.Copies())
	}
	if t.Logf("%d copies, %d won, %d in flight at changes of the leader", started.Count(), won.Count(), inFlight); won.Count() < 5 || inFlight < 1 {
		t.Error("too few copies to show anything")
	}
}

// Guards against room that is held for good by a copy whose start was lost while the other
// run ended.
func TestCopyWhoseStartIsLostReleasesItsRoom(t *testing.T) {
	f, started, _ := newCopyingFleet(4, 10, true)
	f.loseAnswer = func(o controlapi.TargetOrders) bool {
		return slices.ContainsFunc(o.Starts, func(s controlapi.StartOrder) bool { return s.Run > 1 })
	}
	for range 5 {
		f.submitSteps("lasting", copiedQuick)
	}
	f.runFor(15 * time.Second)
	if held := f.e.store.OccupiedTargets(); started.Count() == 0 || len(held)+len(f.e.store.LiveJobs()) > 0 {
		t.Errorf("%d copies, room is held on %v, %d live jobs", started.Count(), held, len(f.e.store.LiveJobs()))
	}
}

// Guards against a leader that takes entries of earlier leaders, which it applies one
// right after the other, for what the runs took: it would copy every run that is left.
func TestNewLeaderMeasuresRunsAnew(t *testing.T) {
	f, _, _ := newCopyingFleet(1, 0, false)
	f.lifeOf = func(ref job.Ref, _ int) time.Duration { return taskOfQuick + time.Duration(ref.Index/9)*time.Minute }
	id := f.submitSteps("lasting", copiedQuick)
	f.runFor(2 * taskOfQuick)
	l := newLeadership(zap.NewNop(), 2, Options{Copies: true, Limits: dispatch.DefaultLimits()}, f.e.store)
	for i := range copiedQuick.Count - 1 {
		ref := job.Ref{Job: id, Index: i}
		l.recordStart(f.now, f.e.store, &job.Start{Task: ref, Run: 1})
		l.recordOutcome(f.now, f.e.store, &job.End{Task: ref, Run: 1, Outcome: job.RunDone})
	}
	l.stragglers.Find(f.now, f.e.store)
	if found := l.stragglers.Find(f.now.Add(time.Minute), f.e.store); len(found) > 0 || f.e.store.Jobs[id].Occurrences[0][0].Open != 1 {
		t.Errorf("stragglers %v after a change of the leader", found)
	}
}
