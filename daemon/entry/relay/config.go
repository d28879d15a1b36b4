package relay

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/daemon/controlclient"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/wire"
)

// announcedTarget is a target announced by an agent, and the agent's link.
type announcedTarget struct {
	controlapi.AnnouncedTarget
	conn *link.Conn
}

// watchConfig long-polls control for a configuration newer than the current
// one.
func (d *Duty) watchConfig(now time.Duration) {
	payload, err := json.Marshal(controlapi.ConfigRequest{
		KnownRevision: d.config.Revision,
		WaitMillis:    configWait.Milliseconds(),
		Process:       d.options.EntryID,
	})
	if err != nil {
		return
	}
	d.configCallPending = d.startCall(controlclient.Call{
		Operation: controlapi.OpConfig,
		Payload:   payload,
		Deadline:  time.Now().Add(configWait + ownCallTimeout),
		MaxHold:   configWait,
	}, pendingCall{kind: configCall, sentAt: now}) == nil
}

// handleConfig applies the first configuration read since the process started,
// and each newer one.
func (d *Duty) handleConfig(r controlclient.Result) {
	if r.Err != nil {
		d.options.Log.Debug("reading the configuration failed", zap.Error(r.Err))
		return
	}
	var answer controlapi.ConfigResponse
	if err := json.Unmarshal(r.Payload, &answer); err != nil {
		d.options.Log.Warn("invalid configuration response", zap.Error(err))
		return
	}
	first := !d.ready.Swap(true)
	newer := answer.Changed && answer.Config.Revision > d.config.Revision
	if newer {
		d.config = answer.Config
	}
	if first || newer {
		d.applyConfig()
	}
}

// applyConfig makes the configuration effective in this process and sends it to
// the agents.
func (d *Duty) applyConfig() {
	d.revision.Store(d.config.Revision)
	d.options.OnConfig(d.config)
	d.options.Log.Info("configuration in force", zap.Uint64("revision", d.config.Revision))
	for conn := range d.conns {
		d.sendConfig(conn)
	}
}

// sendConfig sends an agent the revision and the zones that are out of service.
// Agents need no other part of the configuration.
func (d *Duty) sendConfig(conn *link.Conn) {
	payload, err := json.Marshal(controlapi.Config{Revision: d.config.Revision, ZonesOut: d.config.ZonesOut})
	if err != nil {
		return
	}
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_ConfigUpdate{ConfigUpdate: &wire.ConfigUpdate{
		Revision: d.config.Revision, Config: payload,
	}}})
}

func (d *Duty) recordTarget(conn *link.Conn, a *wire.Announce) {
	capacity := a.GetWorker().GetCapacity()
	d.targets[a.GetTarget()] = announcedTarget{conn: conn, AnnouncedTarget: controlapi.AnnouncedTarget{
		Target:   a.GetTarget(),
		Service:  a.GetService(),
		Zone:     a.GetZone(),
		State:    strings.ToLower(strings.TrimPrefix(a.GetState().String(), "TARGET_STATE_")),
		Slots:    int(a.GetSlots()),
		Revision: conn.PeerConfigRevision(),
		Capacity: controlapi.Resources{
			CPUMilli:     capacity.GetCpuMilli(),
			MemoryMiB:    capacity.GetMemoryMib(),
			Accelerators: capacity.GetAccelerators(),
		},
	}}
}

func (d *Duty) removeTargets(conn *link.Conn) {
	for id, t := range d.targets {
		if t.conn == conn {
			delete(d.targets, id)
		}
	}
}

// reportTargets sends control the targets that this entry instance sees.
func (d *Duty) reportTargets(now time.Duration) {
	report := controlapi.AnnouncedRequest{Entry: d.options.EntryID, Revision: d.config.Revision}
	for _, t := range d.targets {
		t.Revision = t.conn.PeerConfigRevision()
		report.Targets = append(report.Targets, t.AnnouncedTarget)
	}
	payload, err := json.Marshal(report)
	if err != nil {
		return
	}
	_ = d.startCall(controlclient.Call{
		Operation: controlapi.OpAnnounced,
		Payload:   payload,
		Deadline:  time.Now().Add(ownCallTimeout),
	}, pendingCall{kind: targetReportCall, sentAt: now})
}

// respond sends the result of a forwarded request to the agent. If the link has
// closed, the response is dropped and the agent repeats its request.
func (d *Duty) respond(conn *link.Conn, id uint64, r controlclient.Result) {
	m := &wire.ControlResponse{Id: id, Payload: r.Payload, Status: wire.ControlStatus_CONTROL_STATUS_OK}
	var refused *controlclient.RefusedError
	switch {
	case errors.As(r.Err, &refused):
		m.Status = wire.ControlStatus_CONTROL_STATUS_REFUSED
		m.Reason = refused.Reason
	case r.Err != nil:
		m.Status = wire.ControlStatus_CONTROL_STATUS_UNAVAILABLE
		m.Reason = r.Err.Error()
	}
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_ControlResponse{ControlResponse: m}})
}
