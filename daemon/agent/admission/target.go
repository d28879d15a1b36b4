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

// probeFailureThreshold is the number of failed probes in a row after which the target
// counts as down: with the default interval of 500 ms and as much for each
// probe, 2 s.
const probeFailureThreshold = 2

// maxTTL bounds the time between announcements of a target.
const maxTTL = time.Hour

// target is what is known about the target of this agent.
type target struct {
	endpoint      *slots.Endpoint // nil before the first announcement
	expiresAt     time.Time       // zero when the announcement does not expire
	leaving       bool            // it announced its leave
	probeFailures int             // failed probes in a row
	lastAnswerAt  time.Time       // last answer to a request
	agentStopping bool            // the agent itself stops
	idleWaiters   []*ring.Ring[struct{}]
}

// state is whether the target takes new work at now.
func (t *target) state(now time.Time) admission.State {
	expired := !t.expiresAt.IsZero() && now.After(t.expiresAt)
	switch {
	case t.agentStopping || t.leaving:
		return admission.Draining
	case t.endpoint == nil || expired || t.probeFailures >= probeFailureThreshold:
		return admission.Down
	}
	return admission.Serving
}

// AnnounceTarget makes the target at url the one that requests go to. With a
// ttl, the target counts as down unless it announces itself again in time.
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

// DrainTarget stops new work for the target and waits until none is left.
func (d *Duty) DrainTarget(ctx context.Context) error {
	idle := ring.New[struct{}]("admission.idle", 1)
	if err := d.put(ctx, event{leave: idle}); err != nil {
		return err
	}
	_, err := idle.Take(ctx)
	return err
}

// Drain refuses new requests and waits until the last one in flight is
// answered and its answer has been written to its link.
func (d *Duty) Drain(ctx context.Context) error {
	idle := ring.New[struct{}]("admission.idle", 1)
	if err := d.put(ctx, event{stop: idle}); err != nil {
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
	t.leaving, t.probeFailures = false, 0
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
		// A saturated target can miss a probe while it answers requests.
		t.probeFailures++
	}
	d.updateState()
}

// updateState applies the state of the target and tells the entry instances
// when it has changed.
func (d *Duty) updateState() {
	state := d.target.state(time.Now())
	if state == d.controller.State() {
		return
	}
	d.controller.SetState(state)
	d.log.Info("target state", zap.String("state", stateToWire(state).String()))
	d.announceAll()
}

// signalIdle tells those who wait for it that no work is left and that all
// answers have been written.
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
