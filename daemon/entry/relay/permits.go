package relay

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/ibispier/ibispier/bootclock"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/wire"
)

// zonePermit is a time-limited permission from control to start tasks in a zone.
// The entry instance holds it and passes the remaining time to the zone's
// agents.
//
// Invariant: expiresAt is at most the time at which the request was sent plus
// the granted duration, so it is never later than the expiry that control
// assumes.
type zonePermit struct {
	expiresAt      time.Duration // on the instance clock
	requestedAt    time.Duration
	requestPending bool
	reason         string
}

// renewPermits renews the permits of all zones whose agents have links to this
// entry instance.
func (d *Duty) renewPermits(now time.Duration) {
	for conn := range d.conns {
		zone := conn.Peer().Zone
		p := d.permits[zone]
		if p == nil {
			p = &zonePermit{requestedAt: now - permitInterval}
			d.permits[zone] = p
		}
		if !p.requestPending && now-p.requestedAt >= permitInterval {
			d.requestPermit(now, zone, p)
		}
	}
}

func (d *Duty) requestPermit(now time.Duration, zone string, p *zonePermit) {
	payload, err := json.Marshal(controlapi.PermitRequest{Zone: zone, Holder: d.options.EntryID})
	if err != nil {
		return
	}
	p.requestedAt = now
	p.requestPending = d.startCall(controlclient.Call{
		Operation: controlapi.OpPermit,
		Payload:   payload,
		Deadline:  time.Now().Add(ownCallTimeout),
	}, pendingCall{kind: permitCall, zone: zone, sentAt: now}) == nil
}

func (d *Duty) handlePermit(call pendingCall, r controlclient.Result) {
	p := d.permits[call.zone]
	if p == nil {
		return
	}
	p.requestPending = false
	var grant controlapi.PermitResponse
	if r.Err != nil || json.Unmarshal(r.Payload, &grant) != nil {
		return // the permit expires unless a later request renews it
	}
	p.reason = grant.Reason
	if grant.TTLMillis <= 0 {
		p.expiresAt = 0
	} else {
		p.expiresAt = max(p.expiresAt, call.sentAt+time.Duration(grant.TTLMillis)*time.Millisecond)
	}
	if d.options.OnPermit != nil {
		d.options.OnPermit(call.zone, time.Now().Add(p.expiresAt-bootclock.Now()))
	}
}

// answerPermit grants the agent the remaining time of the zone's permit. The
// agent counts it from when it sent its request, so its permit never outlasts
// this one.
func (d *Duty) answerPermit(conn *link.Conn, m *wire.PermitRequest) {
	grant := &wire.PermitGrant{Zone: m.GetZone(), Nonce: m.GetNonce()}
	p := d.permits[m.GetZone()]
	switch {
	case slices.Contains(d.config.ZonesOut, m.GetZone()):
		grant.Reason = "zone is out of service"
	case p == nil:
		grant.Reason = "no permit from control"
	default:
		grant.RemainingMillis = max(0, (p.expiresAt - bootclock.Now()).Milliseconds())
		grant.Reason = p.reason
	}
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_PermitGrant{PermitGrant: grant}})
}
