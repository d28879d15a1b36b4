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

// announced is a target as an agent announced it.
type announced struct {
	controlapi.AnnouncedTarget
	conn *link.Conn
}

// watchConfig asks for a configuration newer than the known one. Control holds
// the response until there is one.
func (d *Duty) watchConfig(now time.Duration) {
	payload, err := json.Marshal(controlapi.ConfigRequest{
		KnownRevision: d.config.Revision,
		WaitMillis:    configWait.Milliseconds(),
		Process:       d.options.Entry,
	})
	if err != nil {
		return
	}
	d.watching = d.start(controlclient.Call{
		Operation: controlapi.OpConfig,
		Payload:   payload,
		Deadline:  time.Now().Add(configWait + ownCallTimeout),
		MaxHold:   configWait,
	}, pending{kind: configCall, sentAt: now}) == nil
}

func (d *Duty) configured(r controlclient.Result) {
	if r.Err != nil {
		d.options.Log.Debug("configuration not read", zap.Error(r.Err))
		return
	}
	var answer controlapi.ConfigResponse
	if err := json.Unmarshal(r.Payload, &answer); err != nil {
		d.options.Log.Warn("configuration not decoded", zap.Error(err))
		return
	}
	first := !d.ready.Swap(true)
	newer := answer.Changed && answer.Config.Revision > d.config.Revision
	if newer {
		d.config = answer.Config
	}
	if first || newer {
		d.enforce()
	}
}

// enforce puts the configuration in force in this process and tells the agents.
func (d *Duty) enforce() {
	d.revision.Store(d.config.Revision)
	d.options.OnConfig(d.config)
	d.options.Log.Info("configuration in force", zap.Uint64("revision", d.config.Revision))
	for conn := range d.conns {
		d.sendConfig(conn)
	}
}

// sendConfig tells an agent the revision and the zones that are out, which is
// all that it needs.
func (d *Duty) sendConfig(conn *link.Conn) {
	payload, err := json.Marshal(controlapi.Config{Revision: d.config.Revision, ZonesOut: d.config.ZonesOut})
	if err != nil {
		return
	}
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_ConfigUpdate{ConfigUpdate: &wire.ConfigUpdate{
		Revision: d.config.Revision, Config: payload,
	}}})
}

func (d *Duty) noteTarget(conn *link.Conn, a *wire.Announce) {
	capacity := a.GetWorker().GetCapacity()
	d.targets[a.GetTarget()] = announced{conn: conn, AnnouncedTarget: controlapi.AnnouncedTarget{
		Target:   a.GetTarget(),
		Service:  a.GetService(),
		Zone:     a.GetZone(),
		State:    strings.ToLower(strings.TrimPrefix(a.GetState().String(), "TARGET_STATE_")),
		Slots:    int(a.GetSlots()),
		Revision: conn.PeerRevision(),
		Capacity: controlapi.Resources{
			CPUMilli:     capacity.GetCpuMilli(),
			MemoryMiB:    capacity.GetMemoryMib(),
			Accelerators: capacity.GetAccelerators(),
		},
	}}
}

func (d *Duty) forgetTargets(conn *link.Conn) {
	for id, t := range d.targets {
		if t.conn == conn {
			delete(d.targets, id)
		}
	}
}

func (d *Duty) reportTargets(now time.Duration) {
	report := controlapi.AnnouncedRequest{Entry: d.options.Entry, Revision: d.config.Revision}
	for _, t := range d.targets {
		t.Revision = t.conn.PeerRevision()
		report.Targets = append(report.Targets, t.AnnouncedTarget)
	}
	payload, err := json.Marshal(report)
	if err != nil {
		return
	}
	_ = d.start(controlclient.Call{
		Operation: controlapi.OpAnnounced,
		Payload:   payload,
		Deadline:  time.Now().Add(ownCallTimeout),
	}, pending{kind: announcedCall, sentAt: now})
}

// respond returns the result of a relayed call to the agent. When its link has
// ended, the agent asks again.
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
