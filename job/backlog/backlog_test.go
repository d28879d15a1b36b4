package backlog

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibispier/ibispier/internal/testseed"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/resource"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

const testNow = int64(1_000_000)

var start = time.Unix(1000, 0)

func drawItem(t *rapid.T) Item {
	deadline := testNow + rapid.Int64Range(-2000, 20_000).Draw(t, "deadline")
	x := Item{
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"), DeadlineMillis: deadline,
		LateMillis: deadline + rapid.Int64Range(0, 20_000).Draw(t, "late"), EndMillis: deadline + rapid.Int64Range(-2000, 2000).Draw(t, "end"),
	}
	for range rapid.IntRange(1, 3).Draw(t, "parts") {
		x.Parts = append(x.Parts, Part{rapid.Float64Range(0, 5000).Draw(t, "offset"), rapid.Float64Range(1, 5000).Draw(t, "length"), rapid.Float64Range(0.1, 50).Draw(t, "cores")})
	}
	return x
}

func drawCandidate(t *rapid.T) Candidate {
	objective := rapid.Float64Range(100, 10_000).Draw(t, "objective")
	c := Candidate{
		ID: "a", Queue: "q", Priority: rapid.IntRange(0, 2).Draw(t, "priority"), NowMillis: testNow, DeadlineMillis: testNow + int64(objective),
		Objective: objective, OnTime: objective, Late: lateFactor * objective, Bound: lateFactor * objective * rapid.Float64Range(1, 3).Draw(t, "tail"), Path: objective * rapid.Float64Range(0, 1).Draw(t, "path"),
		Work: rapid.Float64Range(1, 100_000).Draw(t, "work"),
	}
	c.ExpectedPath, c.ExpectedWork = c.Path, c.Work
	return c
}

func decide(items []Item, cores float64, c Candidate) Decision {
	return NewGate().Decide(start, time.Minute, New(start, slices.Clone(items)), Drain{Upper: cores, Expected: cores}, 0, c)
}

// Guards against a job that is refused although an easier one would be, in the same
// backlog: with more work ahead, more work of its own or an earlier bound, a refused job
// stays refused. Also against a refusal of a job for which the drain has room.
func TestDecisionIsMonotone(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		items := rapid.SliceOfN(rapid.Custom(drawItem), 0, 8).Draw(t, "items")
		cores, c := rapid.Float64Range(1, 40).Draw(t, "cores"), drawCandidate(t)
		d := decide(items, cores, c)
		ahead := New(start, slices.Clone(items)).ahead(c)
		if d.Hopeless && (ahead+c.Work)/cores <= c.Bound {
			t.Fatalf("refused although %.0f core-ms ahead and %.0f of its own take %.0f ms of %.0f", ahead, c.Work, (ahead+c.Work)/cores, c.Bound)
		}
		if !d.Hopeless {
			return
		}
		refused++
		if d.RetryAfter < CopyLifetime || d.RetryAfter > MaxRetryAfter+MaxRetryAfter/2 {
			t.Fatalf("retry after %s", d.RetryAfter)
		}
		if more := append(slices.Clone(items), drawItem(t)); !decide(more, cores, c).Hopeless {
			t.Fatal("accepted with a longer backlog")
		}
		larger := c
		larger.Work += rapid.Float64Range(0, 100_000).Draw(t, "more work")
		if !decide(items, cores, larger).Hopeless {
			t.Fatal("accepted with more work of its own")
		}
		earlier := c
		earlier.Late = c.Late * rapid.Float64Range(c.Path/c.Late, 1).Draw(t, "earlier")
		earlier.OnTime, earlier.Bound = min(c.OnTime, earlier.Late), c.Bound*earlier.Late/c.Late
		if !decide(items, cores, earlier).Hopeless {
			t.Fatal("accepted with an earlier bound")
		}
		if decide(items, cores*1e6, c).Hopeless {
			t.Fatal("refused although the drain is far beyond the backlog")
		}
	})
	if refused == 0 {
		t.Error("no draw was refused")
	}
}

func blocked() []Item {
	return []Item{{Priority: 0, DeadlineMillis: testNow + 900_000, LateMillis: testNow + 900_000, Parts: []Part{{0, 900_000, 30}}}}
}

func waiting(id string) Candidate {
	return Candidate{ID: id, Queue: "q", Priority: 1, NowMillis: testNow, DeadlineMillis: testNow + 1000, Objective: 1000, OnTime: 1000, Late: 3000, Bound: 3000, Path: 500, Work: 5000, ExpectedPath: 500, ExpectedWork: 5000}
}

// Guards against refusals without ground: by a leader that has just begun to measure,
// without any target, or of a job that needs no processor; and against a job that starves
// because it is refused each time that it returns.
func TestNoRefusalWithoutGround(t *testing.T) {
	drain := Drain{Upper: 10, Expected: 10}
	for name, c := range map[string]struct {
		measured time.Duration
		drain    Drain
		change   func(*Candidate)
		reason   string
	}{
		"hopeless":     {time.Minute, drain, func(*Candidate) {}, ""},
		"young leader": {MinObservation - 1, drain, func(*Candidate) {}, ReasonObservation},
		"no targets":   {time.Minute, Drain{}, func(*Candidate) {}, ReasonNoCapacity},
		"no work":      {time.Minute, drain, func(c *Candidate) { c.Work = 0 }, ReasonNoWork},
		"estimates":    {time.Minute, drain, func(c *Candidate) { c.Unreliable = true }, ReasonEstimates},
		"often":        {time.Minute, drain, func(c *Candidate) { c.Refusals = MaxRefusalsPerJob }, ReasonReturned},
	} {
		x := waiting("a")
		c.change(&x)
		if d := NewGate().Decide(start, c.measured, New(start, blocked()), c.drain, 0, x); d.Hopeless != (c.reason == "") || d.Reason != c.reason {
			t.Errorf("%s: %+v, want reason %q", name, d, c.reason)
		}
	}
}

// Guards against callers that are refused together and return together, and against those
// refused later who are asked to return before those refused earlier.
func TestRetryAfterIsSpread(t *testing.T) {
	seen, sum := map[time.Duration]bool{}, [2]time.Duration{}
	for i := range 1000 {
		for k, returning := range [2]float64{0, 1e6} {
			d := NewGate().Decide(start, time.Minute, New(start, []Item{{LateMillis: testNow + 600_000, Parts: []Part{{0, 60_000, 30}}}}), Drain{Upper: 10, Expected: 10}, returning, waiting(fmt.Sprintf("%016x", i)))
			seen[d.RetryAfter.Truncate(time.Second)] = true
			sum[k] += d.RetryAfter
		}
	}
	if len(seen) < 20 || sum[1] < sum[0]+1000*100*time.Second { // 1e6 core-ms take the drain 100 s
		t.Errorf("%d different seconds, means %s and %s with work that returns first", len(seen), sum[0]/1000, sum[1]/1000)
	}
}

// Guards against a decision that flips when the measurement moves around the bound.
func TestDecisionHasHysteresis(t *testing.T) {
	g, flips, last := NewGate(), 0, false
	for i := range 100 {
		drain := 10.0
		if i%2 == 0 {
			drain *= 1.08
		}
		length := 2590.0 // with the work of its own, 3090 ms at the lower drain; the bound is 3000 ms
		d := g.Decide(start.Add(time.Duration(i)*100*time.Millisecond), time.Minute, New(start.Add(time.Duration(i)*100*time.Millisecond), []Item{{LateMillis: testNow + 60_000, Parts: []Part{{0, length, 10}}}}), Drain{Upper: drain, Expected: drain}, 0, waiting("a"))
		if i > 0 && d.Hopeless != last {
			flips++
		}
		last = d.Hopeless
	}
	if flips > 0 {
		t.Errorf("%d flips", flips)
	}
}

// Guards against a measured drain that is too low: of a pool that had no work to wait for,
// that has grown since, or whose runs are longer than the window; and against one that
// counts failed runs as work done.
func TestDrain(t *testing.T) {
	p := Pool{Service: "s"}
	play := func(cores []float64, saturated bool, outcome bool, runFor time.Duration) Drain {
		m, now, ref := NewMeter(start), start, 0
		active := func(job.Ref, int) bool { return true }
		var ends []time.Time
		for i := range 120 {
			for len(ends) > 0 && !ends[0].After(now) {
				m.Ended(now, job.Ref{Job: "j", Index: ref - len(ends)}, 1, outcome)
				ends = ends[1:]
			}
			for len(ends) < 4 { // four of the cores work
				m.Started(now, job.Ref{Job: "j", Index: ref}, Run{Number: 1, Pool: p, Queue: "q", Cores: 1, EstimateMillis: 1000})
				ends = append(ends, now.Add(runFor))
				ref++
			}
			m.Sample(now, map[Pool]Sample{p: {Cores: cores[min(i/100, len(cores)-1)], Saturated: saturated}}, active)
			now = now.Add(500 * time.Millisecond)
		}
		return m.Drain(p)
	}
	for name, c := range map[string]struct {
		got  Drain
		want float64
	}{
		"measured":      {play([]float64{10}, true, true, time.Second), 4},
		"long runs":     {play([]float64{10}, true, true, 70*time.Second), 4},
		"not saturated": {play([]float64{10}, false, true, time.Second), 10},
		"grown":         {play([]float64{10, 20}, true, true, time.Second), 4}, // measured anew over the last 10 s
		"all fail":      {play([]float64{5}, true, false, time.Second), 5},
	} {
		if math.Abs(c.got.Expected-c.want) > 0.5 {
			t.Errorf("%s: %+v, want %v", name, c.got, c.want)
		}
	}
}

// Guards against trust in estimates: unknown ratios count in favour of the job, and the
// tail stays beside many short runs.
func TestRatiosKeepTheTail(t *testing.T) {
	r := &ratioMeter{}
	if r.ratios() != unknownRatios {
		t.Error("ratios without runs")
	}
	for i := range 5000 {
		x := 1.0
		if i%20 == 0 {
			x = 8
		}
		r.add(x)
	}
	if got := r.ratios(); got.Low > 1 || got.High < 8 || math.Abs(got.Mean-1.35) > 0.1 {
		t.Errorf("%+v", got)
	}
}

// Guards against lasting or scheduled jobs in the backlog, which have no objective, and
// against work counted for tasks that are done or that no target can run.
func TestItemOf(t *testing.T) {
	steps := []job.Step{{Count: 4, Need: resource.Vector{CPUMilli: 2000}, EstimateMillis: 1000}, {Count: 1, Need: resource.Vector{CPUMilli: 1000}, EstimateMillis: 500, After: []int{0}}}
	j := &job.Job{Spec: job.Spec{Steps: steps}, AtMillis: testNow, Occurrences: [][]job.StepState{{{Tasks: []job.Task{{State: job.Done}, {State: job.Placed, Run: 1}, {}, {}}, Open: 3, Waiting: 2}, {Tasks: make([]job.Task, 1), Open: 1, Waiting: 1}}}}
	o := Options{NowMillis: testNow, Ratios: Ratios{1, 1, 1}, Elapsed: func(job.Ref, int) (int64, bool) { return 400, true }, Fits: func(*job.Step) bool { return true }}
	q := &job.Queue{Stretch: 2, SlackMillis: 300}
	x, useful := ItemOf(j, q, false, o)
	want := []Part{{0, 1000, 4}, {0, 600, 2}, {1000, 500, 1}}
	if !useful || !slices.Equal(x.Parts, want) || x.DeadlineMillis != testNow+3300 || x.LateMillis != testNow+9900 || x.EndMillis != testNow+1500 {
		t.Errorf("%+v", x)
	}
	o.Fits = func(*job.Step) bool { return false }
	if _, useful := ItemOf(j, q, false, o); useful {
		t.Error("work that no target can do counts")
	}
	j.Spec.Steps[0].Lasting = true
	if HasObjective(&j.Spec) {
		t.Error("a lasting job has an objective")
	}
}
