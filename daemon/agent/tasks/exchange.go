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
	// minReportInterval bounds the reports that changes of tasks cause.
	minReportInterval = 50 * time.Millisecond
	permitInterval    = 800 * time.Millisecond
	// answerTimeout is when a message counts as lost and the next one goes
	// through another entry instance.
	answerTimeout = time.Second
	// maxTrackedRequests bounds the sent messages whose answer may still come.
	maxTrackedRequests = 16
)

// requestTracker keeps when messages of one kind were sent, by their number.
type requestTracker struct {
	interval       time.Duration
	lastNumber     uint64
	sentAt         map[uint64]time.Duration
	lastSentAt     time.Duration
	awaitingAnswer bool
}

func newRequestTracker(interval time.Duration) requestTracker {
	return requestTracker{interval: interval, sentAt: map[uint64]time.Duration{}}
}

// due reports whether the next message should be sent.
func (x *requestTracker) due(now time.Duration) bool {
	if x.awaitingAnswer {
		return x.timedOut(now)
	}
	return now-x.lastSentAt >= x.interval
}

// sinceLast returns the time since the last message.
func (x *requestTracker) sinceLast(now time.Duration) time.Duration { return now - x.lastSentAt }

// timedOut reports whether the answer to the last message counts as lost.
func (x *requestTracker) timedOut(now time.Duration) bool {
	return x.awaitingAnswer && now-x.lastSentAt >= answerTimeout
}

// recordSend notes a new message and returns its number.
func (x *requestTracker) recordSend(now time.Duration) uint64 {
	x.lastNumber++
	x.sentAt[x.lastNumber] = now
	delete(x.sentAt, x.lastNumber-maxTrackedRequests)
	x.lastSentAt, x.awaitingAnswer = now, true
	return x.lastNumber
}

// recordAnswer returns when the message with the number was sent. It is known only
// once, so that a repeated answer has no effect.
func (x *requestTracker) recordAnswer(number uint64) (time.Duration, bool) {
	sentAt, ok := x.sentAt[number]
	delete(x.sentAt, number)
	if number == x.lastNumber {
		x.awaitingAnswer = false
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

// advance makes the next message use another link.
func (u *uplinks) advance() { u.next++ }

func (d *Duty) requestPermit(now time.Duration) {
	if d.permitRequests.timedOut(now) {
		d.uplinks.advance()
	}
	d.uplinks.send(&wire.Frame{Body: &wire.Frame_PermitRequest{PermitRequest: &wire.PermitRequest{
		Zone: d.worker.Zone, Nonce: d.permitRequests.recordSend(now),
	}}})
}

func (d *Duty) handleGrant(_ time.Duration, g *wire.PermitGrant) {
	sentAt, ok := d.permitRequests.recordAnswer(g.GetNonce())
	if !ok || g.GetZone() != d.worker.Zone {
		return
	}
	d.executor.SetPermit(sentAt, time.Duration(g.GetRemainingMillis())*time.Millisecond)
}

func (d *Duty) sendReport(now time.Duration) {
	if d.reportRequests.timedOut(now) {
		d.uplinks.advance()
	}
	report := d.executor.Report(now)
	if !d.reportRequests.timedOut(now) {
		report.HoldMillis = reportHold.Milliseconds()
	}
	payload, err := json.Marshal(report)
	if err != nil {
		d.log.Error("report not encoded", zap.Error(err))
		return
	}
	d.uplinks.send(&wire.Frame{Body: &wire.Frame_ControlRequest{ControlRequest: &wire.ControlRequest{
		Id:            d.reportRequests.recordSend(now),
		Operation:     string(controlapi.OpReport),
		Payload:       payload,
		TimeoutMillis: answerTimeout.Milliseconds(),
	}}})
}

func (d *Duty) handleCommands(now time.Duration, m *wire.ControlResponse) {
	sentAt, ok := d.reportRequests.recordAnswer(m.GetId())
	if !ok || m.GetStatus() != wire.ControlStatus_CONTROL_STATUS_OK {
		return
	}
	var commands controlapi.AgentCommands
	if err := json.Unmarshal(m.GetPayload(), &commands); err != nil {
		d.log.Warn("commands not decoded", zap.Error(err))
		return
	}
	d.issueCalls(d.executor.HandleCommands(now, sentAt, commands))
	if len(commands.Commands) > 0 || commands.Resend {
		d.sendReport(bootclock.Now())
	}
}
