package jobs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/dispatch"
	"github.com/ibispier/ibispier/telemetry"
)

func sharedLimits() dispatch.Limits {
	l := dispatch.DefaultLimits()
	l.Shares = &dispatch.QueueShares{}
	return l
}

// BenchmarkFleetShares is BenchmarkFleet with shares between the queues.
func BenchmarkFleetShares(b *testing.B) { benchmarkFleet(b, sharedLimits()) }

// started returns how many jobs of the queue have started, of how many.
func (f *fleet) started(queue string) (started, all int) {
	for id := range f.submittedAt {
		if f.queueOf[id] != queue {
			continue
		}
		all++
		if _, ok := f.firstStart[id]; ok {
			started++
		}
	}
	return started, all
}

// burstQueue has the priority and the objective of the queue quick.
const burstQueue = "lasting"

// playEvenly submits jobs of the queue quick at even intervals, every other one with a
// second step. Arrivals at random would exceed the share of the queue now and then.
func (f *fleet) playEvenly(perSecond float64, d time.Duration) {
	step := job.Step{Count: 13, Need: cpu(2600), EstimateMillis: taskOfQuick.Milliseconds()}
	next := step
	next.After = []int{0}
	due := 0.0
	for end := f.now.Add(d); f.now.Before(end); f.runFor(fleetTick) {
		for due += perSecond * fleetTick.Seconds(); due >= 1; due-- {
			f.submitSteps("quick", []job.Step{step, next}[:1+f.jobs%2]...)
		}
	}
}

// playBurst plays a steady load that needs 28% of the room, and beside it a burst of
// another queue of the same priority that needs all of it for 15 s.
func playBurst(targets int, limits dispatch.Limits) *fleet {
	scale := float64(targets) / 11
	f := newFleetWith(targets, limits)
	f.playEvenly(6*scale, 2*time.Second)
	for range int(60 * scale) {
		f.submit(burstQueue, job.Step{Count: 40, Need: cpu(7000), EstimateMillis: taskOfQuick.Milliseconds()})
	}
	f.busy, f.starts = 0, 0
	f.playEvenly(6*scale, 8*time.Second)
	return f
}

// Measures the processor time of the duty for each start while two queues compete.
func BenchmarkBurst(b *testing.B) {
	for _, targets := range []int{80, 240, 1000} {
		for name, limits := range map[string]dispatch.Limits{"off": dispatch.DefaultLimits(), "on": sharedLimits()} {
			b.Run(fmt.Sprintf("targets=%d/shares=%s", targets, name), func(b *testing.B) {
				var busy time.Duration
				starts := 0
				for range b.N {
					f := playBurst(targets, limits)
					busy, starts = busy+f.busy, starts+f.starts
				}
				b.ReportMetric(float64(busy.Microseconds())/float64(starts), "us/start")
				b.ReportMetric(float64(starts)/float64(b.N), "starts")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// Guards against a burst of one queue that delays the callers of another: with shares,
// the steady load, which stays below its share, starts as fast as the calm day demands,
// and the burst still gets the room that the steady load leaves.
func TestBurstBesideSteadyLoad(t *testing.T) {
	const targets = 11
	const bound = 250 * time.Millisecond // as in TestTwiceTheLoadOfTheLargeDeployment
	for _, on := range []bool{false, true} {
		limits := dispatch.DefaultLimits()
		if on {
			limits = sharedLimits()
		}
		f := playBurst(targets, limits)
		half, most := f.percentile("quick", 0.5), f.percentile("quick", 0.95)
		quick, quickAll := f.started("quick")
		burst, burstAll := f.started(burstQueue)
		t.Logf("shares %v: quick starts after %s (half) and %s (95 of 100), %d of %d started; burst %s (half), %d of %d started; %d starts in all",
			on, half, most, quick, quickAll, f.percentile(burstQueue, 0.5), burst, burstAll, f.starts)
		if on && len(f.e.shares.queues) != 2 {
			t.Errorf("%d queues with metrics, want 2", len(f.e.shares.queues))
		}
		if on && most > bound {
			t.Errorf("quick jobs start after %s (95 of 100) beside the burst, want %s", most, bound)
		}
		if !on && most <= bound {
			t.Errorf("quick jobs start after %s without shares, so the burst shows nothing", most)
		}
	}
}

// Guards against a log line for every task that starts or ends around the share of a
// queue, against a line while nobody waits, against a series for each of thousands of queues, and
// against shares that a member still shows after it has ceased to lead.
func TestShareReport(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	m := telemetry.NewMetrics()
	r := newShareReport(m, zap.New(core))
	share := func(prefix string, held float64, waiting bool) dispatch.QueueShare {
		return dispatch.QueueShare{Route: job.Route{Host: "h", Prefix: prefix}, Service: "s", Held: held, Due: 0.5, Waiting: waiting, Deferred: 3}
	}
	for _, step := range []struct {
		held    float64
		waiting bool
		lines   int
	}{
		{0.9, false, 0}, // lent: the other has no work
		{0.52, true, 0}, // within the margin
		{0.7, true, 1},
		{0.52, true, 1}, // still above
		{0.7, true, 1},
		{0.5, true, 2}, // ended
		{0.52, true, 2},
		{0.7, true, 3},
		{0.7, false, 4}, // the other does not wait any more
	} {
		r.update([]dispatch.QueueShare{share("/a/", step.held, true), share("/b/", 1-step.held, step.waiting)})
		if logs.Len() != step.lines {
			t.Fatalf("held %g, other waits %v: %d lines, want %d", step.held, step.waiting, logs.Len(), step.lines)
		}
	}
	text := func() string {
		var b strings.Builder
		if err := m.Write(&b); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	for _, want := range []string{`ibispier_queue_share_held{queue="h/a/"} 0.7`, `ibispier_queue_share_due{queue="h/b/"} 0.5`, `ibispier_queue_deferred_passes_total{queue="h/a/"} 3`} {
		if !strings.Contains(text(), want) {
			t.Errorf("%q is missing in:\n%s", want, text())
		}
	}
	for i := range 2 * maxShareQueues {
		r.update([]dispatch.QueueShare{share(fmt.Sprintf("/%d/", i), 1, false)})
	}
	if len(r.queues) != maxShareQueues {
		t.Errorf("%d queues with metrics, want %d", len(r.queues), maxShareQueues)
	}
	r.reset()
	if want := `ibispier_queue_share_held{queue="h/a/"} 0`; !strings.Contains(text(), want+"\n") {
		t.Errorf("%q is missing after the end of the leadership in:\n%s", want, text())
	}
}
