package daemon

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/supervise"
)

// stopper is the duty that shuts the process down gracefully. It marks the process as
// not ready, keeps serving while the load balancer notices, drains the roles and ends
// the supervisor tree.
type stopper struct {
	daemon *Daemon
	cancel context.CancelFunc
}

// Run waits for a signal and then shuts the process down.
func (s *stopper) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case sig := <-s.daemon.signals:
		s.daemon.log.Info("stopping", zap.Stringer("signal", sig))
	}
	s.daemon.readiness.Set(false)
	drainCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	drain := supervise.New("drain", supervise.Policy{Strategy: supervise.EndTogether}, nil)
	drain.Add("signal", supervise.Func(s.awaitSignal))
	drain.Add("roles", supervise.Func(s.drainRoles))
	_ = drain.Run(drainCtx)
	s.cancel()
	return nil
}

// awaitSignal returns at the second signal, which ends the drain.
func (s *stopper) awaitSignal(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case sig := <-s.daemon.signals:
		s.daemon.log.Warn("drain interrupted", zap.Stringer("signal", sig))
	}
	return nil
}

func (s *stopper) drainRoles(ctx context.Context) error {
	for _, role := range s.daemon.drainers {
		if q, ok := role.(quiescer); ok {
			q.Quiesce()
		}
	}
	supervise.Sleep(ctx, s.daemon.settings.Daemon.Grace)
	ctx, cancel := context.WithTimeout(ctx, s.daemon.settings.Daemon.DrainTimeout)
	defer cancel()
	for _, role := range s.daemon.drainers {
		if err := role.Drain(ctx); err != nil {
			s.daemon.log.Warn("drain incomplete", zap.Error(err))
		}
	}
	supervise.Sleep(ctx, flushDelay)
	return nil
}

// flushDelay leaves time to send the last responses over their links before the
// supervisor tree ends.
const flushDelay = 50 * time.Millisecond

// NewSignalChannel returns a channel for New with room for both signals.
func NewSignalChannel() chan os.Signal { return make(chan os.Signal, 2) }
