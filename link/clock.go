package link

import (
	"sync/atomic"
	"time"

	"github.com/ibispier/ibispier/wire"
)

// rttShift is the weight of a new round-trip time: 1/8, as TCP uses.
const rttShift = 3

// clock measures the round-trip time of a link from its heartbeats. The sender
// and the receiver of the control stream use it, so its fields are atomic.
type clock struct {
	start      time.Time
	peerSent   atomic.Int64 // clock of the peer in its last heartbeat
	receivedAt atomic.Int64 // when that heartbeat arrived, in micros of this clock
	rtt        atomic.Int64 // smoothed, in micros; 0 before the first measurement
}

func (c *clock) now() int64 { return time.Since(c.start).Microseconds() + 1 }

// stamp returns the times that a heartbeat carries.
func (c *clock) stamp() (sent, echo, delay int64) {
	sent = c.now()
	if echo = c.peerSent.Load(); echo != 0 {
		delay = sent - c.receivedAt.Load()
	}
	return sent, echo, delay
}

// received takes the times of a heartbeat of the peer.
func (c *clock) received(hb *wire.Heartbeat) {
	now := c.now()
	c.receivedAt.Store(now)
	c.peerSent.Store(hb.GetSentMicros())
	if hb.GetEchoMicros() == 0 {
		return
	}
	sample := max(now-hb.GetEchoMicros()-hb.GetEchoDelayMicros(), 1)
	old := c.rtt.Load()
	if old == 0 {
		old = sample
	}
	c.rtt.Store(old + (sample-old)>>rttShift)
}

// RoundTrip returns the smoothed round-trip time of the link, or 0 before the
// first measurement.
func (c *Conn) RoundTrip() time.Duration {
	return time.Duration(c.clock.rtt.Load()) * time.Microsecond
}
