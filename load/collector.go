package load

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ibispier/ibispier/ring"
)

// collector is the duty that owns the counts and histograms.
type collector struct {
	options  Options
	start    time.Time
	outcomes *ring.Ring[outcome]

	counts  Result
	senders int // that have ended
	last    time.Time
	all     *hdrhistogram.Histogram
	inWave  *hdrhistogram.Histogram
	outside *hdrhistogram.Histogram
	notRun  *hdrhistogram.Histogram
	delay   *hdrhistogram.Histogram
}

func newCollector(o Options, start time.Time, outcomes *ring.Ring[outcome]) *collector {
	return &collector{
		options: o, start: start, outcomes: outcomes, last: start,
		counts: Result{
			Seed: o.Seed, Interrupted: true,
			NotRun: map[string]int64{}, Unknown: map[string]int64{}, Statuses: map[int]int64{},
		},
		all: newHistogram(), inWave: newHistogram(), outside: newHistogram(),
		notRun: newHistogram(), delay: newHistogram(),
	}
}

// Run counts outcomes until every sender has ended.
func (c *collector) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.options.ProgressInterval)
	defer ticker.Stop()
	for c.senders < c.options.Senders {
		select {
		case <-ctx.Done():
			return nil
		case o := <-c.outcomes.C():
			c.count(o)
		case <-ticker.C:
			c.progress()
		}
	}
	c.counts.Interrupted = false
	return nil
}

func (c *collector) count(o outcome) {
	if o.end {
		c.senders++
		return
	}
	r := &c.counts
	r.Scheduled++
	c.last = time.Now()
	if o.kind == "unsent" {
		r.Unsent++
		return
	}
	r.Sent++
	record(c.delay, o.late)
	if o.status != 0 {
		r.Statuses[o.status]++
	}
	switch o.kind {
	case "done":
		c.done(o)
	case "not-run":
		r.NotRun[o.reason]++
		record(c.notRun, o.latency)
	default:
		r.Unknown[o.reason]++
	}
}

func (c *collector) done(o outcome) {
	c.counts.Done++
	if o.wrong {
		c.counts.Wrong++
	}
	if o.latency <= c.options.Deadline {
		c.counts.OnTime++
	}
	record(c.all, o.latency)
	if o.shot.inWave {
		record(c.inWave, o.latency)
	} else {
		record(c.outside, o.latency)
	}
}

func (c *collector) progress() {
	if c.options.Progress == nil {
		return
	}
	r := &c.counts
	fmt.Fprintf(c.options.Progress, "elapsed=%.0fs sent=%d done=%d not_run=%d unknown=%d unsent=%d wrong=%d p99_ms=%.2f\n",
		time.Since(c.start).Seconds(), r.Sent, r.Done, sum(r.NotRun), sum(r.Unknown), r.Unsent, r.Wrong,
		float64(c.all.ValueAtQuantile(99))/1000)
}

// result must be called after Run has returned.
func (c *collector) result() *Result {
	r := c.counts
	r.Seconds = c.last.Sub(c.start).Seconds()
	r.Latency, r.NotRunLatency, r.SendDelay = summarize(c.all), summarize(c.notRun), summarize(c.delay)
	r.InWave, r.OutsideWave = summarize(c.inWave), summarize(c.outside)
	return &r
}

func sum(counts map[string]int64) int64 {
	var total int64
	for _, n := range counts {
		total += n
	}
	return total
}
