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
	// reportInterval gives 1.25 reports a second, so that a lease of 3 s survives
	// two lost reports. Control may hold the response to a report for up to
	// reportHold while it has no commands, so a new placement waits at most for
	// the remaining 200 ms of the interval.
	reportInterval = 800 * time.Millisecond
	reportHold     = 600 * time.Millisecond
	// minReportInterval limits the rate of reports triggered by task changes.
	minReportInterval = 50 * time.Millisecond
	permitInterval    = 800 * time.Millisecond
	// answerTimeout is how long to wait for the answer to a message. After it
	// the message counts as lost and the next one goes through another entry
	// instance.
	answerTimeout = time.Second
	// maxTrackedRequests is the number of most recent messages whose answers are
	// still accepted.
	maxTrackedRequests = 16
)

// requestTracker records the send times of periodic messages of one kind, such
// as reports, by message number.
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

// due reports whether it is time to send the next message.
func (x *requestTracker) due(now time.Duration) bool {
	if x.awaitingAnswer {
		return x.timedOut(now)
	}
	return now-x.lastSentAt >= x.interval
}

// sinceLast returns the time since the last message was sent.
func (x *requestTracker) sinceLast(now time.Duration) time.Duration { return now - x.lastSentAt }

// timedOut reports whether the last message or its answer counts as lost.
func (x *requestTracker) timedOut(now time.Duration) bool {
	return x.awaitingAnswer && now-x.lastSentAt >= answerTimeout
}

// recordSend registers a message sent now and returns its number.
func (x *requestTracker) recordSend(now time.Duration) uint64 {
	x.lastNumber++
	x.sentAt[x.lastNumber] = now
	delete(x.sentAt, x.lastNumber-maxTrackedRequests)
	x.lastSentAt, x.awaitingAnswer = now, true
	return x.lastNumber
}

// recordAnswer returns the send time of the answered message and removes it, so
// that a duplicate answer is ignored.
func (x *requestTracker) recordAnswer(number uint64) (time.Duration, bool) {
	sentAt, ok := x.sentAt[number]
	delete(x.sentAt, number)
	if number == x.lastNumber {
		x.awaitingAnswer = false
	}
	return sentAt, ok
}

// uplinks is the set of links to entry instances. One is used at a time; the
// next one takes over after a lost message.
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

// send sends the frame on the current link or, if that fails, on the next one
// that accepts it.
func (u *uplinks) send(f *wire.Frame) {
	for range u.conns {
		if u.conns[u.next%len(u.conns)].Send(f) == nil {
			return
		}
		u.next++
	}
}

// advance selects the next link for the following messages.
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
		d.log.Error("encoding the report failed", zap.Error(err))
		return
	}
	d.uplinks.send(&wire.Frame{Body: &wire.Frame_ControlRequest{ControlRequest: &wire.ControlRequest{
		Id:            d.reportRequests.recordSend(now),
		Operation:     string(controlapi.OpReport),
		Payload:       payload,
		TimeoutMillis: answerTimeout.Milliseconds(),
	}}})
}

// handleCommands passes the commands in the response to a report to the
// executor. If control sent commands or asked for the whole task list, the next
// report follows at once.
func (d *Duty) handleCommands(now time.Duration, m *wire.ControlResponse) {
	sentAt, ok := d.reportRequests.recordAnswer(m.GetId())
	if !ok || m.GetStatus() != wire.ControlStatus_CONTROL_STATUS_OK {
		return
	}
	var commands controlapi.AgentCommands
	if err := json.Unmarshal(m.GetPayload(), &commands); err != nil {
		d.log.Warn("invalid response to a report", zap.Error(err))
		return
	}
	d.issueCalls(d.executor.HandleCommands(now, sentAt, commands))
	if len(commands.Commands) > 0 || commands.Resend {
		d.sendReport(bootclock.Now())
	}
}
