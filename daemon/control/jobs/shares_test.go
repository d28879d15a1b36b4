package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/dispatch"
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

// playBurst plays a steady load that needs a third of the room, and beside it a burst of
// another queue of the same priority that needs all of it for 15 s.
func playBurst(targets int, limits dispatch.Limits) *fleet {
	scale := float64(targets) / 11
	steady := rates{quick: 6}.scaled(scale) // 13 tasks of 2.6 cores for 640 ms, 1.6 times each
	f := newFleetWith(targets, limits)
	f.play(steady, 2*time.Second)
	for range int(60 * scale) {
		f.submit(burstQueue, job.Step{Count: 40, Need: cpu(7000), EstimateMillis: taskOfQuick.Milliseconds()})
	}
	f.busy, f.starts = 0, 0
	f.play(steady, 8*time.Second)
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
	const bound = 700 * time.Millisecond // a task of the burst ends, and room is free, within this time
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
		if on && most > bound {
			t.Errorf("quick jobs start after %s (95 of 100) beside the burst, want %s", most, bound)
		}
		if !on && most <= bound {
			t.Errorf("quick jobs start after %s without shares, so the burst shows nothing", most)
		}
	}
}
