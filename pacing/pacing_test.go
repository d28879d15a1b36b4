package pacing

import (
	"testing"
	"time"
)

// Guards against a harmful image that keeps its pace, and a harmless one that
// loses its own.
func TestOnlyTheHarmfulImageIsSlowed(t *testing.T) {
	p := New()
	now := 10 * time.Second
	observe := func(harmful, harmless, ratio float64) {
		p.Observe(now, []Serving{{Image: "s", Ratio: ratio}}, []Filling{
			{Image: "harmful", Using: harmful, Full: 0.3}, {Image: "harmless", Using: harmless, Full: 0.3},
		})
		now += time.Second
	}
	for range 10 {
		observe(0, 0.3*float64(p.Percent("harmless"))/100, 0.4)
		using := 0.3 * float64(p.Percent("harmful")) / 100
		observe(using, 0, 0.4+10*using)
	}
	if p.Percent("harmless") < 90 || p.Percent("harmful") > 40 {
		t.Fatalf("harmless at %d%%, harmful at %d%%", p.Percent("harmless"), p.Percent("harmful"))
	}
}

// Guards against a pace that stays low after the disturbance has ended.
func TestPaceRecovers(t *testing.T) {
	p := New()
	now := 10 * time.Second
	for range 5 {
		p.Observe(now, []Serving{{Image: "s", Ratio: 3}}, []Filling{{Image: "f", Using: 0.3, Full: 0.3}})
		now += time.Second
	}
	if p.Percent("f") > 50 {
		t.Fatalf("pace %d%% beside a tail of three times its target", p.Percent("f"))
	}
	for range 20 {
		using := 0.3 * float64(p.Percent("f")) / 100
		p.Observe(now, []Serving{{Image: "s", Ratio: 0.3}}, []Filling{{Image: "f", Using: using, Full: 0.3}})
		now += time.Second
	}
	if p.Percent("f") == 0 {
		t.Fatal("the pace stays at 0 although the tail is short")
	}
}
