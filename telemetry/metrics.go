package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/ibispier/ibispier/ring"
)

// The exponentially decaying reservoir of a summary keeps about 1000 values,
// weighted towards the last five minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Metrics is the registry of the metrics of one process. A nil *Metrics returns
// metrics that discard all updates, so that duties need no nil checks.
//
// Any duty may register and update metrics; the registry of the library and the
// list of rings are the only state that they share.
type Metrics struct {
	registry    metrics.Registry
	mu          sync.Mutex
	ringReaders []func() ring.Stats
}

// NewMetrics returns an empty registry.
func NewMetrics() *Metrics { return &Metrics{registry: metrics.NewRegistry()} }

// Counter returns the counter with the name and the labels, which are pairs of a
// label name and a value.
func (m *Metrics) Counter(name string, labels ...string) metrics.Counter {
	if m == nil {
		return metrics.NilCounter{}
	}
	return m.registry.GetOrRegister(formatSeries(name, labels), metrics.NewCounter).(metrics.Counter)
}

// Summary returns the summary with the name and the labels, which are pairs of a
// label name and a value. Its quantiles are exported.
func (m *Metrics) Summary(name string, labels ...string) metrics.Histogram {
	if m == nil {
		return metrics.NilHistogram{}
	}
	return m.registry.GetOrRegister(formatSeries(name, labels), newSummary).(metrics.Histogram)
}

// summary adds the sum of all values to the library's histogram, whose own sum
// covers only the reservoir.
type summary struct {
	metrics.Histogram
	sum metrics.Counter
}

func newSummary() metrics.Histogram {
	sample := metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)
	return &summary{Histogram: metrics.NewHistogram(sample), sum: metrics.NewCounter()}
}

// Update adds a value.
func (s *summary) Update(v int64) {
	s.Histogram.Update(v)
	s.sum.Inc(v)
}

// Gauge registers a function that is called for each scrape. It replaces the
// function of an earlier call, because a restarted duty registers its gauges
// again.
func (m *Metrics) Gauge(name string, read func() float64, labels ...string) {
	if m == nil {
		return
	}
	m.registry.Unregister(formatSeries(name, labels))
	_ = m.registry.Register(formatSeries(name, labels), metrics.NewFunctionalGaugeFloat64(read))
}

// RegisterRing exports the depth and the counters of a ring. The figures of rings
// with the same name, such as the reply rings of links, are added up.
func (m *Metrics) RegisterRing(read func() ring.Stats) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ringReaders = append(m.ringReaders, read)
}

// formatSeries returns the name with the label pairs in the exposition format.
func formatSeries(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		b.WriteByte("{,"[min(i, 1)])
		b.WriteString(labels[i])
		b.WriteString(`="`)
		b.WriteString(labelValueEscaper.Replace(labels[i+1]))
		b.WriteByte('"')
	}
	b.WriteByte('}')
	return b.String()
}

var labelValueEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// ServeHTTP writes the metrics in the Prometheus text exposition format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = m.Write(w)
}

// Write writes the metrics in the Prometheus text exposition format.
func (m *Metrics) Write(w io.Writer) error {
	lines := map[string][]string{} // by "name type"
	m.registry.Each(func(series string, metric any) { addMetric(lines, series, metric) })
	for _, s := range m.ringStats() {
		addRing(lines, s)
	}
	families := make([]string, 0, len(lines))
	for family := range lines {
		families = append(families, family)
	}
	sort.Strings(families)
	var b strings.Builder
	for _, family := range families {
		b.WriteString("# TYPE " + family + "\n")
		sort.Strings(lines[family])
		b.WriteString(strings.Join(lines[family], ""))
	}
	_, err := io.WriteString(w, b.String())
	return Error.Wrap(err)
}

func addMetric(lines map[string][]string, series string, metric any) {
	name, labels := splitSeries(series)
	switch v := metric.(type) {
	case metrics.Counter:
		addSample(lines, name+" counter", series, float64(v.Count()))
	case metrics.GaugeFloat64:
		addSample(lines, name+" gauge", series, v.Value())
	case *summary:
		s := v.Snapshot()
		values := s.Percentiles(quantiles)
		for i, q := range quantiles {
			addSample(lines, name+" summary", name+joinLabels(labels, `quantile="`+strconv.FormatFloat(q, 'g', -1, 64)+`"`), values[i])
		}
		addSample(lines, name+" summary", name+"_sum"+joinLabels(labels, ""), float64(v.sum.Count()))
		addSample(lines, name+" summary", name+"_count"+joinLabels(labels, ""), float64(s.Count()))
	}
}

func addRing(lines map[string][]string, s ring.Stats) {
	label := []string{"ring", s.Name}
	addSample(lines, "ibispier_ring_depth gauge", formatSeries("ibispier_ring_depth", label), float64(s.Depth))
	addSample(lines, "ibispier_ring_capacity gauge", formatSeries("ibispier_ring_capacity", label), float64(s.Capacity))
	addSample(lines, "ibispier_ring_accepted_total counter", formatSeries("ibispier_ring_accepted_total", label), float64(s.Accepted))
	addSample(lines, "ibispier_ring_refused_total counter", formatSeries("ibispier_ring_refused_total", label), float64(s.Refused))
	addSample(lines, "ibispier_ring_dropped_total counter", formatSeries("ibispier_ring_dropped_total", label), float64(s.Dropped))
	addSample(lines, "ibispier_ring_blocked_seconds_total counter", formatSeries("ibispier_ring_blocked_seconds_total", label), s.Blocked.Seconds())
}

// ringStats returns the figures of all rings, added up for rings with the same
// name.
func (m *Metrics) ringStats() []ring.Stats {
	m.mu.Lock()
	readers := append([]func() ring.Stats(nil), m.ringReaders...)
	m.mu.Unlock()
	totals := map[string]ring.Stats{}
	for _, read := range readers {
		s := read()
		t := totals[s.Name]
		totals[s.Name] = ring.Stats{
			Name: s.Name, Depth: t.Depth + s.Depth, Capacity: t.Capacity + s.Capacity,
			Accepted: t.Accepted + s.Accepted, Refused: t.Refused + s.Refused,
			Dropped: t.Dropped + s.Dropped, Blocked: t.Blocked + s.Blocked,
		}
	}
	all := make([]ring.Stats, 0, len(totals))
	for _, s := range totals {
		all = append(all, s)
	}
	return all
}

func addSample(lines map[string][]string, family, series string, value float64) {
	lines[family] = append(lines[family], fmt.Sprintf("%s %s\n", series, strconv.FormatFloat(value, 'g', -1, 64)))
}

// splitSeries separates the name from the labels between the braces.
func splitSeries(series string) (name, labels string) {
	name, labels, _ = strings.Cut(series, "{")
	return name, strings.TrimSuffix(labels, "}")
}

func joinLabels(labels, more string) string {
	if labels != "" && more != "" {
		labels += ","
	}
	if labels += more; labels == "" {
		return ""
	}
	return "{" + labels + "}"
}

// CounterVec holds the counters that share a name and differ in the values of one
// or two labels. It keeps the counters it has used, so that an update does not
// format a name. It is not safe for concurrent use; each duty has its own.
type CounterVec struct {
	metrics *Metrics
	name    string
	labels  [2]string
	cached  map[[2]string]metrics.Counter
}

// CounterVec returns the counters with the name and the label names first and
// second; second may be empty.
func (m *Metrics) CounterVec(name, first, second string) *CounterVec {
	return &CounterVec{metrics: m, name: name, labels: [2]string{first, second}, cached: map[[2]string]metrics.Counter{}}
}

// Inc adds one to the counter with the label values. A nil *CounterVec counts
// nothing.
func (c *CounterVec) Inc(first, second string) {
	if c == nil {
		return
	}
	key := [2]string{first, second}
	counter := c.cached[key]
	if counter == nil {
		labels := []string{c.labels[0], first, c.labels[1], second}
		if c.labels[1] == "" {
			labels = labels[:2]
		}
		counter = c.metrics.Counter(c.name, labels...)
		c.cached[key] = counter
	}
	counter.Inc(1)
}
