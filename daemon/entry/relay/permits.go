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

// zonePermit is the permission to start tasks in a zone, held by this entry
// instance and handed to the agents of the zone.
//
// Invariant: ends is at most the time the request was sent plus the granted
// length, so it is never later than what control counts.
type zonePermit struct {
	ends    time.Duration // instance clock
	askedAt time.Duration
	asking  bool
	reason  string
}

// askPermits renews the permits of all zones that have agents here.
func (d *Duty) askPermits(now time.Duration) {
	for conn := range d.conns {
		zone := conn.Peer().Zone
		p := d.permits[zone]
		if p == nil {
			p = &zonePermit{askedAt: now - permitInterval}
			d.permits[zone] = p
		}
		if !p.asking && now-p.askedAt >= permitInterval {
			d.askPermit(now, zone, p)
		}
	}
}

func (d *Duty) askPermit(now time.Duration, zone string, p *zonePermit) {
	payload, err := json.Marshal(controlapi.PermitRequest{Zone: zone, Holder: d.options.EntryID})
	if err != nil {
		return
	}
	p.askedAt = now
	p.asking = d.start(controlclient.Call{
		Operation: controlapi.OpPermit,
		Payload:   payload,
		Deadline:  time.Now().Add(ownCallTimeout),
	}, pending{kind: permitCall, zone: zone, sentAt: now}) == nil
}

func (d *Duty) permitted(call pending, r controlclient.Result) {
	p := d.permits[call.zone]
	if p == nil {
		return
	}
	p.asking = false
	var grant controlapi.PermitResponse
	if r.Err != nil || json.Unmarshal(r.Payload, &grant) != nil {
		return // the permit runs out by itself
	}
	p.reason = grant.Reason
	if grant.TTLMillis <= 0 {
		p.ends = 0
	} else {
		p.ends = max(p.ends, call.sentAt+time.Duration(grant.TTLMillis)*time.Millisecond)
	}
	if d.options.OnPermit != nil {
		d.options.OnPermit(call.zone, time.Now().Add(p.ends-bootclock.Now()))
	}
}

// answerPermit hands out what is left of the zone's permit. The agent counts it
// from when it sent its request, which was earlier.
func (d *Duty) answerPermit(conn *link.Conn, m *wire.PermitRequest) {
	grant := &wire.PermitGrant{Zone: m.GetZone(), Nonce: m.GetNonce()}
	p := d.permits[m.GetZone()]
	switch {
	case slices.Contains(d.config.ZonesOut, m.GetZone()):
		grant.Reason = "zone is out of service"
	case p == nil:
		grant.Reason = "no permit from control"
	default:
		grant.RemainingMillis = max(0, (p.ends - bootclock.Now()).Milliseconds())
		grant.Reason = p.reason
	}
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_PermitGrant{PermitGrant: grant}})
}
