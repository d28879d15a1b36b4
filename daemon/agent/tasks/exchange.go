package tasks

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/bootclock"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/link"
	"github.com/ibispier/ibispier/wire"
)

const (
	// reportInterval and reportHold give 1.25 reports a second. A lease of 3 s
	// then survives two lost reports, and a placement reaches the agent within
	// the 200 ms in which no answer is held.
	reportInterval = 800 * time.Millisecond
	reportHold     = 600 * time.Millisecond
	// changeInterval bounds the reports that changes of tasks cause.
	changeInterval = 50 * time.Millisecond
	permitInterval = 800 * time.Millisecond
	// answerTimeout is when a message counts as lost and the next one goes
	// through another entry instance.
	answerTimeout = time.Second
	// remembered bounds the sent messages whose answer may still come.
	remembered = 16
)

// exchange keeps when messages of one kind were sent, by their number.
type exchange struct {
	interval time.Duration
	number   uint64
	sentAt   map[uint64]time.Duration
	last     time.Duration
	waiting  bool
}

func newExchange(interval time.Duration) exchange {
	return exchange{interval: interval, sentAt: map[uint64]time.Duration{}}
}

// due reports whether the next message should be sent.
func (x *exchange) due(now time.Duration) bool {
	if x.waiting {
		return x.overdue(now)
	}
	return now-x.last >= x.interval
}

// pause returns the time since the last message.
func (x *exchange) pause(now time.Duration) time.Duration { return now - x.last }

// overdue reports whether the answer to the last message counts as lost.
func (x *exchange) overdue(now time.Duration) bool {
	return x.waiting && now-x.last >= answerTimeout
}

// send notes a new message and returns its number.
func (x *exchange) send(now time.Duration) uint64 {
	x.number++
	x.sentAt[x.number] = now
	delete(x.sentAt, x.number-remembered)
	x.last, x.waiting = now, true
	return x.number
}

// answered returns when the message with the number was sent. It is known only
// once, so that a repeated answer has no effect.
func (x *exchange) answered(number uint64) (time.Duration, bool) {
	sentAt, ok := x.sentAt[number]
	delete(x.sentAt, number)
	if number == x.number {
		x.waiting = false
	}
	return sentAt, ok
}

// uplinks are the links to entry instances, used in turn after a lost message.
type uplinks struct {
	conns []*link.Conn
	next  int
}

func (u *uplinks) add(c *link.Conn) { u.conns = append(u.conns, c) }

func (u *uplinks) remove(c *link.Conn) {
	for i, other := range u.conns {
		if other == c {
			u.conns = append(u.conns[:i:i], u.conns[i+1:]...)
			return
		}
	}
}

// send sends on the current link, or on the next one that takes the frame.
func (u *uplinks) send(f *wire.Frame) {
	for range u.conns {
		if u.conns[u.next%len(u.conns)].Send(f) == nil {
			return
		}
		u.next++
	}
}

// turn makes the next message use another link.
func (u *uplinks) turn() { u.next++ }

func (d *Duty) askPermit(now time.Duration) {
	if d.permits.overdue(now) {
		d.uplinks.turn()
	}
	d.uplinks.send(&wire.Frame{Body: &wire.Frame_PermitRequest{PermitRequest: &wire.PermitRequest{
		Zone: d.worker.Zone, Nonce: d.permits.send(now),
	}}})
}

func (d *Duty) granted(_ time.Duration, g *wire.PermitGrant) {
	sentAt, ok := d.permits.answered(g.GetNonce())
	if !ok || g.GetZone() != d.worker.Zone {
		return
	}
	d.executor.SetPermit(sentAt, time.Duration(g.GetRemainingMillis())*time.Millisecond)
}

func (d *Duty) report(now time.Duration) {
	if d.reports.overdue(now) {
		d.uplinks.turn()
	}
	report := d.executor.Report(now)
	if !d.reports.overdue(now) {
		report.HoldMillis = reportHold.Milliseconds()
	}
	payload, err := json.Marshal(report)
	if err != nil {
		d.log.Error("report not encoded", zap.Error(err))
		return
	}
	d.uplinks.send(&wire.Frame{Body: &wire.Frame_ControlRequest{ControlRequest: &wire.ControlRequest{
		Id:            d.reports.send(now),
		Operation:     string(controlapi.OpReport),
		Payload:       payload,
		TimeoutMillis: answerTimeout.Milliseconds(),
	}}})
}

func (d *Duty) commanded(now time.Duration, m *wire.ControlResponse) {
	sentAt, ok := d.reports.answered(m.GetId())
	if !ok || m.GetStatus() != wire.ControlStatus_CONTROL_STATUS_OK {
		return
	}
	var commands controlapi.AgentCommands
	if err := json.Unmarshal(m.GetPayload(), &commands); err != nil {
		d.log.Warn("commands not decoded", zap.Error(err))
		return
	}
	d.issue(d.executor.HandleCommands(now, sentAt, commands))
	if len(commands.Commands) > 0 || commands.Resend {
		d.report(bootclock.Now())
	}
}
