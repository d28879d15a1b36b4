package link

import (
	"sync/atomic"
	"time"

	"github.com/ibispier/ibispier/wire"
)

// rttWeightShift is the weight of a new round-trip time: 1/8, as TCP uses.
const rttWeightShift = 3

// rttEstimator measures the round-trip time of a link from its heartbeats. The sender
// and the receiver of the control stream use it, so its fields are atomic.
type rttEstimator struct {
	start            time.Time
	peerSentMicros   atomic.Int64 // clock of the peer in its last heartbeat
	receivedAtMicros atomic.Int64 // when that heartbeat arrived, in micros of this clock
	smoothedMicros   atomic.Int64 // smoothed, in micros; 0 before the first measurement
}

func (e *rttEstimator) nowMicros() int64 { return time.Since(e.start).Microseconds() + 1 }

// heartbeatTimes returns the times that a heartbeat carries.
func (e *rttEstimator) heartbeatTimes() (sent, echo, delay int64) {
	sent = e.nowMicros()
	if echo = e.peerSentMicros.Load(); echo != 0 {
		delay = sent - e.receivedAtMicros.Load()
	}
	return sent, echo, delay
}

// observe takes the times of a heartbeat of the peer.
func (e *rttEstimator) observe(hb *wire.Heartbeat) {
	nowMicros := e.nowMicros()
	e.receivedAtMicros.Store(nowMicros)
	e.peerSentMicros.Store(hb.GetSentMicros())
	if hb.GetEchoMicros() == 0 {
		return
	}
	sample := max(nowMicros-hb.GetEchoMicros()-hb.GetEchoDelayMicros(), 1)
	smoothed := e.smoothedMicros.Load()
	if smoothed == 0 {
		smoothed = sample
	}
	e.smoothedMicros.Store(smoothed + (sample-smoothed)>>rttWeightShift)
}

// RoundTrip returns the smoothed round-trip time of the link, or 0 before the
// first measurement.
func (c *Conn) RoundTrip() time.Duration {
	return time.Duration(c.rtt.smoothedMicros.Load()) * time.Microsecond
}
