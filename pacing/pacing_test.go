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
		full, harm = 0.4, 6.0
		step       = 400 * time.Millisecond
	)
	p := New()
	over, steps := 0, 0
	worked, possible := 0.0, 0.0
	using, shown := 0.0, 0.0
	for i := range 200 {
		now := 10*time.Second + time.Duration(i)*step
		base := -0.9 + 0.6*math.Sin(2*math.Pi*float64(i)*step.Seconds()/20)
		shown += (1 - math.Exp(-step.Seconds()/tailTimeConstant.Seconds())) * (using - shown)
		ratio := math.Exp(base + harm*shown)
		p.observeAndDecide(now, ratio, FillingSample{Image: "f", UsedShare: using, FullPaceShare: full})
		using = full * float64(p.PacePercent("f")) / 100
		if i < 20 {
			continue
		}
		steps++
		worked += using
		possible += min(full, max(0, -base/harm))
		if ratio > 1 {
			over++
		}
	}
	if over > steps/20 {
		t.Errorf("over the target in %d of %d steps", over, steps)
	}
	// HeadroomReserve and EffectMargin leave (1-0.16/0.9)/1.3 at the mean load.
	if worked < 0.5*possible {
		t.Errorf("worked %.2f of the %.2f that keep the tail at its target", worked, possible)
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
