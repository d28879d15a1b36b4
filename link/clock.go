package link

import (
	"sync/atomic"
	"time"

	"github.com/ibispier/ibispier/wire"
)

// rttWeightShift gives a new sample a weight of 1/8, as TCP does.
const rttWeightShift = 3

// rttEstimator estimates the round-trip time of a link from its heartbeats. The
// sender and the receiver of the control stream use it concurrently, so its
// fields are atomic.
type rttEstimator struct {
	start            time.Time
	peerSentMicros   atomic.Int64 // when the peer sent its last heartbeat, on its clock
	receivedAtMicros atomic.Int64 // when that heartbeat arrived, on the local clock
	smoothedMicros   atomic.Int64 // smoothed round-trip time; 0 before the first sample
}

// nowMicros returns the time since start. It is never 0, because 0 in a
// heartbeat means that there is no earlier heartbeat to echo.
func (e *rttEstimator) nowMicros() int64 { return time.Since(e.start).Microseconds() + 1 }

// heartbeatTimes returns the times for the next heartbeat to the peer.
func (e *rttEstimator) heartbeatTimes() (sentMicros, echoMicros, delayMicros int64) {
	sentMicros = e.nowMicros()
	if echoMicros = e.peerSentMicros.Load(); echoMicros != 0 {
		delayMicros = sentMicros - e.receivedAtMicros.Load()
	}
	return sentMicros, echoMicros, delayMicros
}

// observe updates the estimate from a heartbeat of the peer.
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
// first sample.
func (c *Conn) RoundTrip() time.Duration {
	return time.Duration(c.rtt.smoothedMicros.Load()) * time.Microsecond
}
