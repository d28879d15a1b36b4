package jobs

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/job/dispatch"
	"github.com/ibispier/ibispier/telemetry"
)

const (
	// sharesInterval is the time between two looks at the shares of the queues.
	sharesInterval = time.Second
	// aboveMargin is the part of its share by which a queue must exceed it to be logged
	// as above it. The line ends once the queue is at its share again, so that tasks that
	// start and end do not log a change at every look.
	aboveMargin = 0.1
	// maxShareQueues bounds the queues with metrics and log lines of their shares.
	maxShareQueues = 64
)

// shareReport publishes the shares of the queues. It decides nothing.
type shareReport struct {
	metrics   *telemetry.Metrics
	log       *zap.Logger
	checkedAt time.Time
	queues    map[job.Route]*queueGauges
}

// queueGauges are the metrics of one queue. The gauges are read while they are scraped.
type queueGauges struct {
	held, due atomic.Uint64 // bits of the share
	deferred  metrics.Counter
	seen      uint64 // deferred passes that are counted
	above     bool   // logged as above its share while another waits
}

func newShareReport(m *telemetry.Metrics, log *zap.Logger) shareReport {
	return shareReport{metrics: m, log: log, queues: map[job.Route]*queueGauges{}}
}

// reportShares publishes the shares if they are set.
func (e *engine) reportShares(now time.Time) {
	if e.options.Limits.Shares == nil || now.Sub(e.shares.checkedAt) < sharesInterval {
		return
	}
	e.shares.checkedAt = now
	e.shares.update(e.leader.dispatcher.QueueShares(e.store))
}

// update publishes the shares. Queues that are not among them hold nothing.
func (r *shareReport) update(shares []dispatch.QueueShare) {
	listed := map[job.Route]bool{}
	for i := range shares {
		s := &shares[i]
		g := r.gauges(s.Route)
		if g == nil {
			continue
		}
		listed[s.Route] = true
		g.held.Store(math.Float64bits(s.Held))
		g.due.Store(math.Float64bits(s.Due))
		if s.Deferred > g.seen {
			g.deferred.Inc(int64(s.Deferred - g.seen))
		}
		g.seen = s.Deferred
		r.logChange(g, s, waitsBelow(shares, s))
	}
	for route, g := range r.queues {
		if !listed[route] {
			g.clear()
		}
	}
}

// waitsBelow returns the queue that competes with s, is below its share and has ready
// tasks, or nil.
func waitsBelow(shares []dispatch.QueueShare, s *dispatch.QueueShare) *dispatch.QueueShare {
	for i := range shares {
		if other := &shares[i]; other.CompetesWith(s) && other.Waiting && other.Held < other.Due {
			return other
		}
	}
	return nil
}

// logChange logs when the queue gets above its share while another waits, and when that
// ends.
func (r *shareReport) logChange(g *queueGauges, s, waiting *dispatch.QueueShare) {
	fields := []zap.Field{zap.String("queue", name(s.Route)), zap.Float64("held", s.Held), zap.Float64("due", s.Due)}
	switch {
	case !g.above && waiting != nil && s.Held > s.Due*(1+aboveMargin):
		g.above = true
		r.log.Info("queue above its share", append(fields, zap.String("waiting_queue", name(waiting.Route)),
			zap.Float64("waiting_held", waiting.Held), zap.Float64("waiting_due", waiting.Due))...)
	case g.above && (waiting == nil || s.Held <= s.Due):
		g.above = false
		r.log.Info("queue not above its share any more", fields...)
	}
}

func name(r job.Route) string { return r.Host + r.Prefix }

// gauges returns the metrics of the queue, or nil if there are too many.
func (r *shareReport) gauges(route job.Route) *queueGauges {
	g := r.queues[route]
	if g != nil || len(r.queues) >= maxShareQueues {
		return g
	}
	g = &queueGauges{deferred: r.metrics.Counter("ibispier_queue_deferred_passes_total", "queue", name(route))}
	r.metrics.Gauge("ibispier_queue_share_held", func() float64 { return math.Float64frombits(g.held.Load()) }, "queue", name(route))
	r.metrics.Gauge("ibispier_queue_share_due", func() float64 { return math.Float64frombits(g.due.Load()) }, "queue", name(route))
	r.queues[route] = g
	return g
}

func (g *queueGauges) clear() {
	g.held.Store(0)
	g.due.Store(0)
	g.above = false
}

// reset clears the shares when this member no longer leads. The next leadership counts
// its deferred passes from 0.
func (r *shareReport) reset() {
	for _, g := range r.queues {
		g.clear()
		g.seen = 0
	}
	r.checkedAt = time.Time{}
}
