package admission

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/admission"
	"github.com/ibispier/ibispier/daemon/agent/probe"
	"github.com/ibispier/ibispier/daemon/agent/slots"
	"github.com/ibispier/ibispier/ring"
)

// probeFailureThreshold is the number of consecutive failed probes after which the
// target counts as down. With the default interval of 500 ms, which is also the
// timeout of a probe, that takes up to 2 s.
const probeFailureThreshold = 2

// maxTTL is the longest TTL that a target may announce.
const maxTTL = time.Hour

// target is the state of this agent's target.
type target struct {
	endpoint       *slots.Endpoint        // nil before the first announcement
	expiresAt      time.Time              // expiry of the announcement; zero for none
	drainRequested bool                   // it asked to be drained
	probeFailures  int                    // consecutive failed probes
	lastAnswerAt   time.Time              // when it last answered a request
	agentStopping  bool                   // the agent is shutting down
	idleWaiters    []*ring.Ring[struct{}] // signalled once no work is left
}

// state returns the state to announce, which says whether the target takes new
// work.
func (t *target) state(now time.Time) admission.State {
	expired := !t.expiresAt.IsZero() && now.After(t.expiresAt)
	switch {
	case t.agentStopping || t.drainRequested:
		return admission.Draining
	case t.endpoint == nil || expired || t.probeFailures >= probeFailureThreshold:
		return admission.Down
	}
	return admission.Serving
}

// AnnounceTarget directs requests to the target at url. If ttl is not 0, the
// target counts as down unless it is announced again before ttl expires.
func (d *Duty) AnnounceTarget(ctx context.Context, url string, ttl time.Duration) error {
	endpoint, err := slots.ParseEndpoint(url)
	if err != nil {
		return err
	}
	if ttl < 0 || ttl > maxTTL {
		return Error.New("step=announce: ttl %s is outside 0..%s", ttl, maxTTL)
	}
	return d.put(ctx, event{announcement: &targetAnnouncement{endpoint: endpoint, ttl: ttl}})
}

// DrainTarget stops sending new requests to the target and waits until none is
// in progress.
func (d *Duty) DrainTarget(ctx context.Context) error {
	idle := ring.New[struct{}]("admission.idle", 1)
	if err := d.put(ctx, event{targetDrain: idle}); err != nil {
		return err
	}
	_, err := idle.Take(ctx)
	return err
}

// Drain refuses new requests and waits until the responses of all requests in
// flight have been written to their links.
func (d *Duty) Drain(ctx context.Context) error {
	idle := ring.New[struct{}]("admission.idle", 1)
	if err := d.put(ctx, event{agentDrain: idle}); err != nil {
		return err
	}
	_, err := idle.Take(ctx)
	return err
}

func (d *Duty) handleTargetAnnouncement(a *targetAnnouncement) {
	t := &d.target
	if t.endpoint == nil || t.endpoint.String() != a.endpoint.String() {
		t.endpoint = a.endpoint
		d.log.Info("target endpoint", zap.Stringer("url", a.endpoint))
		_ = d.Probe.Endpoints.PutLatest(a.endpoint)
	}
	t.drainRequested, t.probeFailures = false, 0
	t.expiresAt = time.Time{}
	if a.ttl > 0 {
		t.expiresAt = time.Now().Add(a.ttl)
	}
	d.updateState()
}

func (d *Duty) handleProbe(r probe.Result) {
	t := &d.target
	answeredRecently := time.Since(t.lastAnswerAt) < d.settings.Agent.ProbeInterval
	switch {
	case r.Endpoint != t.endpoint:
		return
	case r.Healthy:
		t.probeFailures = 0
	case !answeredRecently:
		// A saturated target may fail a probe although it answers requests.
		t.probeFailures++
	}
	d.updateState()
}

// updateState passes the state of the target to the controller and announces a
// change to the entry instances.
func (d *Duty) updateState() {
	state := d.target.state(time.Now())
	if state == d.controller.State() {
		return
	}
	d.controller.SetState(state)
	d.log.Info("target state", zap.String("state", stateToWire(state).String()))
	d.announceAll()
}

// signalIdle wakes the callers of Drain and DrainTarget once no work is left and
// all responses have been written.
func (d *Duty) signalIdle() {
	if len(d.target.idleWaiters) == 0 {
		return
	}
	if load := d.controller.Load(); load.InFlight+load.Queued > 0 {
		return
	}
	for conn := range d.links {
		if conn.Pending() > 0 {
			return
		}
	}
	for _, idle := range d.target.idleWaiters {
		_ = idle.Offer(struct{}{})
	}
	d.target.idleWaiters = nil
}
