package httpduty

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/ibispier/ibispier/httpduty/bodylimit"
	"github.com/ibispier/ibispier/telemetry"
)

// Values of the label reason of refused bodies and closed connections.
const (
	reasonTooLarge  = "too_large"
	reasonNoRoom    = "no_room"
	reasonStalled   = "stalled"
	reasonDisplaced = "displaced"
	reasonFull      = "full"
)

// Limits is the admission of request bodies in one process. All its servers share it.
//
// Handlers call it on the goroutines of net/http, so a mutex guards the budget. A duty
// that owned it would cost two wake-ups for each request with a body.
type Limits struct {
	window time.Duration
	log    *zap.Logger

	mu     sync.Mutex
	budget *bodylimit.Budget

	refused map[string]metrics.Counter
	closed  map[string]metrics.Counter
}

// LimitOptions configure Limits.
type LimitOptions struct {
	BodyBytes int64         // of all request bodies together
	Window    time.Duration // in which a body has to make progress
	Telemetry telemetry.Telemetry
}

// NewLimits returns the limits of a process without reservations.
func NewLimits(o LimitOptions) *Limits {
	l := &Limits{
		window:  o.Window,
		log:     o.Telemetry.Log,
		budget:  bodylimit.New(bodylimit.NewLimits(o.BodyBytes)),
		refused: map[string]metrics.Counter{},
		closed:  map[string]metrics.Counter{},
	}
	if l.log == nil {
		l.log = zap.NewNop()
	}
	m := o.Telemetry.Metrics
	for _, reason := range []string{reasonTooLarge, reasonNoRoom, reasonStalled, reasonDisplaced} {
		l.refused[reason] = m.Counter("ibispier_bodies_refused_total", "reason", reason)
	}
	for _, reason := range []string{reasonDisplaced, reasonFull} {
		l.closed[reason] = m.Counter("ibispier_connections_closed_total", "reason", reason)
	}
	m.Gauge("ibispier_body_bytes_reserved", func() float64 { return float64(l.reserved()) })
	return l
}

func (l *Limits) reserved() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Reserved()
}

// admit reserves bytes for a body on c. It returns nil if there is no room.
func (l *Limits) admit(c *conn, bytes int64) *bodylimit.Body {
	l.mu.Lock()
	body, displaced := l.budget.Admit(time.Now(), c.address, bytes, c)
	l.mu.Unlock()
	l.closeDisplaced(displaced)
	return body
}

func (l *Limits) grow(body *bodylimit.Body, bytes int64) bool {
	l.mu.Lock()
	displaced, ok := l.budget.Grow(time.Now(), body, bytes)
	l.mu.Unlock()
	l.closeDisplaced(displaced)
	return ok
}

// received records that n bytes have arrived, and all of them with complete. It reports
// whether the body has made progress.
func (l *Limits) received(body *bodylimit.Body, n int, complete bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if complete {
		l.budget.Complete(body)
	}
	return l.budget.Progress(time.Now(), body, int64(n))
}

func (l *Limits) release(body *bodylimit.Body) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Release(body)
}

// displaceStalled closes the connection of one stalled body on the server, if there is one.
func (l *Limits) displaceStalled(s *Server) bool {
	l.mu.Lock()
	body := l.budget.DisplaceStalled(time.Now(), func(b *bodylimit.Body) bool { return b.Owner.(*conn).server == s })
	l.mu.Unlock()
	if body == nil {
		return false
	}
	l.closeDisplaced([]*bodylimit.Body{body})
	return true
}

func (l *Limits) closeDisplaced(bodies []*bodylimit.Body) {
	for _, body := range bodies {
		c := body.Owner.(*conn)
		l.countRefused(reasonDisplaced, c)
		_ = c.Close()
	}
}

// countRefused counts a refused body. The log samples repeated lines.
func (l *Limits) countRefused(reason string, c *conn) {
	l.refused[reason].Inc(1)
	l.log.Warn("request body refused", zap.String("reason", reason), zap.String("peer", c.address),
		zap.String("listener", c.server.address))
}

func (l *Limits) countClosed(reason, peer, listener string) {
	l.closed[reason].Inc(1)
	l.log.Warn("connection closed at the limit", zap.String("reason", reason), zap.String("peer", peer),
		zap.String("listener", listener))
}
