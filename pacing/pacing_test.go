package pacing

import (
	"math"
	"testing"
	"time"

	"github.com/ibispier/ibispier/job"
)

// observeAndDecide observes a sample of one serving task and decides.
func (p *Pacer) observeAndDecide(now time.Duration, ratio float64, filling ...FillingSample) {
	p.Observe(now, []ServingSample{{Task: "t", Image: "s", Ratio: ratio}}, filling)
	p.Decide(now, filling)
}

// Guards against a harmful image that keeps its pace, and a harmless one that
// is slowed.
func TestOnlyTheHarmfulImageIsSlowed(t *testing.T) {
	p := New()
	now := 10 * time.Second
	observe := func(harmful, harmless, ratio float64) {
		p.observeAndDecide(now, ratio, FillingSample{Image: "harmful", UsedShare: harmful, FullPaceShare: 0.3}, FillingSample{Image: "harmless", UsedShare: harmless, FullPaceShare: 0.3})
		now += time.Second
	}
	for range 10 {
		observe(0, 0.3*float64(p.PacePercent("harmless"))/100, 0.4)
		using := 0.3 * float64(p.PacePercent("harmful")) / 100
		observe(using, 0, 0.4+10*using)
	}
	if p.PacePercent("harmless") < 90 || p.PacePercent("harmful") > 40 {
		t.Fatalf("harmless at %d%%, harmful at %d%%", p.PacePercent("harmless"), p.PacePercent("harmful"))
	}
}

// Guards against a pace that stays low after the disturbance has ended.
func TestPaceRecovers(t *testing.T) {
	p := New()
	now := 10 * time.Second
	for range 5 {
		p.observeAndDecide(now, 3, FillingSample{Image: "f", UsedShare: 0.3, FullPaceShare: 0.3})
		now += time.Second
	}
	if p.PacePercent("f") > 50 {
		t.Fatalf("pace %d%% beside a tail of three times its target", p.PacePercent("f"))
	}
	for range 20 {
		using := 0.3 * float64(p.PacePercent("f")) / 100
		p.observeAndDecide(now, 0.3, FillingSample{Image: "f", UsedShare: using, FullPaceShare: 0.3})
		now += time.Second
	}
	if p.PacePercent("f") == 0 {
		t.Fatal("the pace stays at 0 although the tail is short")
	}
}

// Guards against a pacer that attributes a disturbed tail to the load of the
// serving task, or the reverse. It would pause the filling tasks permanently or
// leave the tail over its target. Tails follow their causes with a lag, and the
// load of the serving task changes all the time.
func TestPaceFollowsTheLoad(t *testing.T) {
	const (
		fullShare, coefficient = 0.4, 6.0
		step                   = 400 * time.Millisecond
	)
	p := New()
	overdue, steps := 0, 0
	usedTotal, possibleTotal := 0.0, 0.0
	used, lagged := 0.0, 0.0
	for i := range 200 {
		now := 10*time.Second + time.Duration(i)*step
		base := -0.9 + 0.6*math.Sin(2*math.Pi*float64(i)*step.Seconds()/20)
		lagged += (1 - math.Exp(-step.Seconds()/tailTimeConstant.Seconds())) * (used - lagged)
		ratio := math.Exp(base + coefficient*lagged)
		p.observeAndDecide(now, ratio, FillingSample{Image: "f", UsedShare: used, FullPaceShare: fullShare})
		used = fullShare * float64(p.PacePercent("f")) / 100
		if i < 20 {
			continue
		}
		steps++
		usedTotal += used
		possibleTotal += min(fullShare, max(0, -base/coefficient))
		if ratio > 1 {
			overdue++
		}
	}
	if overdue > steps/20 {
		t.Errorf("over the target in %d of %d steps", overdue, steps)
	}
	// HeadroomReserve and EffectMargin leave (1-0.16/0.9)/1.3 at the mean load.
	if usedTotal < 0.5*possibleTotal {
		t.Errorf("used %.2f of the %.2f that would keep the tail at its target", usedTotal, possibleTotal)
	}
}

// Guards against a target that relearns, at the cost of its serving tasks, what
// other targets know, because it saw the image shortly before the first hint.
func TestHintsCountAfterTheFirstFigures(t *testing.T) {
	p := New()
	f := FillingSample{Image: "f", UsedShare: 0.01, FullPaceShare: 0.3}
	p.observeAndDecide(10*time.Second, 0.4, f)
	if p.PacePercent("f") != 100 {
		t.Fatalf("pace %d%% of an image without estimates", p.PacePercent("f"))
	}
	for range 3 {
		p.Hint("f", "s", job.Disturbance{Coefficient: 8, Deviation: 0.5})
	}
	p.Decide(10*time.Second, []FillingSample{f})
	if p.PacePercent("f") > 50 {
		t.Fatalf("pace %d%% of an image known to be harmful", p.PacePercent("f"))
	}
	if _, deviation, _ := p.filters["s"].estimate(imageKey("f")); deviation < minHintDeviation/2 {
		t.Fatalf("deviation %.2f: the hint was counted more than once", deviation)
	}
}
