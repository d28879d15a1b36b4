package load

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ibispier/ibispier/internal/table"
)

// LatencySummary summarizes a histogram of times in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Result holds the counters and latencies of a run. Latencies are measured from the
// intended send time.
type Result struct {
	Seed          uint64           `json:"seed"`
	Seconds       float64          `json:"seconds"`   // until the last outcome
	Scheduled     int64            `json:"scheduled"` // requests whose intended send time was reached
	Sent          int64            `json:"sent"`
	Unsent        int64            `json:"unsent"` // no sender was free and the queue was full
	Done          int64            `json:"done"`
	OnTime        int64            `json:"on_time"` // done and within the deadline
	NotRun        map[string]int64 `json:"not_run"` // by reason
	Unknown       map[string]int64 `json:"unknown"` // by reason
	Statuses      map[int]int64    `json:"statuses"`
	Wrong         int64            `json:"wrong_answers"` // done, but the response was incomplete or of another request
	Latency       LatencySummary   `json:"latency"`       // of done requests
	InWave        LatencySummary   `json:"latency_in_wave"`
	OutsideWave   LatencySummary   `json:"latency_outside_wave"`
	NotRunLatency LatencySummary   `json:"latency_not_run"` // time until a refusal
	SendDelay     LatencySummary   `json:"send_delay"`      // from the intended to the actual send time
	Interrupted   bool             `json:"interrupted"`
}

// newHistogram covers 1 us to 10 minutes with three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

func summarize(h *hdrhistogram.Histogram) LatencySummary {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return LatencySummary{
		Count: h.TotalCount(),
		Mean:  h.Mean() / 1000,
		P50:   millis(h.ValueAtQuantile(50)),
		P90:   millis(h.ValueAtQuantile(90)),
		P99:   millis(h.ValueAtQuantile(99)),
		P999:  millis(h.ValueAtQuantile(99.9)),
		Max:   millis(h.Max()),
	}
}

// Print writes the result as tables.
func (r *Result) Print(w io.Writer) error {
	fmt.Fprintf(w, "seed %d  %.1f s  scheduled %d  sent %d  unsent %d  done %d  on time %d  wrong answers %d\n\n",
		r.Seed, r.Seconds, r.Scheduled, r.Sent, r.Unsent, r.Done, r.OnTime, r.Wrong)
	if err := r.latencyTable().Print(w); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return r.outcomeTable().Print(w)
}

func (r *Result) latencyTable() *table.Table {
	t := table.New("LATENCY MS", "COUNT", "MEAN", "P50", "P90", "P99", "P99.9", "MAX")
	row := func(name string, l LatencySummary) {
		cells := []any{name, l.Count}
		for _, v := range []float64{l.Mean, l.P50, l.P90, l.P99, l.P999, l.Max} {
			cells = append(cells, fmt.Sprintf("%.2f", v))
		}
		t.Row(cells...)
	}
	row("done", r.Latency)
	if r.InWave.Count > 0 {
		row("done in waves", r.InWave)
		row("done outside waves", r.OutsideWave)
	}
	row("not run", r.NotRunLatency)
	row("send delay", r.SendDelay)
	return t
}

func (r *Result) outcomeTable() *table.Table {
	t := table.New("OUTCOME", "REASON", "COUNT")
	t.Row("done", "", r.Done)
	for _, group := range []struct {
		name   string
		counts map[string]int64
	}{{"not-run", r.NotRun}, {"unknown", r.Unknown}} {
		reasons := make([]string, 0, len(group.counts))
		for reason := range group.counts {
			reasons = append(reasons, reason)
		}
		sort.Strings(reasons)
		for _, reason := range reasons {
			t.Row(group.name, reason, group.counts[reason])
		}
	}
	return t
}
