package load

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ibispier/ibispier/ring"
)

// collector is the duty that owns the counters and histograms of a run.
type collector struct {
	options  Options
	start    time.Time
	outcomes *ring.Ring[outcome]

	counts             Result
	endedSenders       int
	lastOutcome        time.Time
	latency            *hdrhistogram.Histogram // of all requests that are done
	inWaveLatency      *hdrhistogram.Histogram
	outsideWaveLatency *hdrhistogram.Histogram
	notRunLatency      *hdrhistogram.Histogram
	sendDelay          *hdrhistogram.Histogram
}

func newCollector(o Options, start time.Time, outcomes *ring.Ring[outcome]) *collector {
	return &collector{
		options: o, start: start, outcomes: outcomes, lastOutcome: start,
		counts: Result{
			Seed: o.Seed, Interrupted: true,
			NotRun: map[string]int64{}, Unknown: map[string]int64{}, Statuses: map[int]int64{},
		},
		latency: newHistogram(), inWaveLatency: newHistogram(), outsideWaveLatency: newHistogram(),
		notRunLatency: newHistogram(), sendDelay: newHistogram(),
	}
}

// Run counts outcomes until all senders have ended.
func (c *collector) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.options.ProgressInterval)
	defer ticker.Stop()
	for c.endedSenders < c.options.Senders {
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
	if o.senderEnded {
		c.endedSenders++
		return
	}
	r := &c.counts
	r.Scheduled++
	c.lastOutcome = time.Now()
	if o.kind == "unsent" {
		r.Unsent++
		return
	}
	r.Sent++
	record(c.sendDelay, o.sendDelay)
	if o.status != 0 {
		r.Statuses[o.status]++
	}
	switch o.kind {
	case "done":
		c.done(o)
	case "not-run":
		r.NotRun[o.reason]++
		record(c.notRunLatency, o.latency)
	default:
		r.Unknown[o.reason]++
	}
}

func (c *collector) done(o outcome) {
	c.counts.Done++
	if o.wrongAnswer {
		c.counts.Wrong++
	}
	if o.latency <= c.options.Deadline {
		c.counts.OnTime++
	}
	record(c.latency, o.latency)
	if o.request.inWave {
		record(c.inWaveLatency, o.latency)
	} else {
		record(c.outsideWaveLatency, o.latency)
	}
}

func (c *collector) progress() {
	if c.options.Progress == nil {
		return
	}
	r := &c.counts
	fmt.Fprintf(c.options.Progress, "elapsed=%.0fs sent=%d done=%d not_run=%d unknown=%d unsent=%d wrong=%d p99_ms=%.2f\n",
		time.Since(c.start).Seconds(), r.Sent, r.Done, sum(r.NotRun), sum(r.Unknown), r.Unsent, r.Wrong,
		float64(c.latency.ValueAtQuantile(99))/1000)
}

// result must be called after Run has returned.
func (c *collector) result() *Result {
	r := c.counts
	r.Seconds = c.lastOutcome.Sub(c.start).Seconds()
	r.Latency, r.NotRunLatency, r.SendDelay = summarize(c.latency), summarize(c.notRunLatency), summarize(c.sendDelay)
	r.InWave, r.OutsideWave = summarize(c.inWaveLatency), summarize(c.outsideWaveLatency)
	return &r
}

func sum(counts map[string]int64) int64 {
	var total int64
	for _, n := range counts {
		total += n
	}
	return total
}
