package link

import (
	"sync/atomic"
	"time"
)

// heartbeatGap is the longest time between two heartbeats that this process has
// written to a link. When a link is lost, it tells a process that was not scheduled
// from a peer or a network that was silent. The sender of the control stream records
// it, any duty of the link reads it.
type heartbeatGap struct {
	lastNanos    atomic.Int64 // when the newest heartbeat was written, since the link was up
	longestNanos atomic.Int64
}

// record records that a heartbeat was written at the time, counted from when the link
// was up.
func (g *heartbeatGap) record(at time.Duration) {
	gap := int64(at) - g.lastNanos.Swap(int64(at))
	g.longestNanos.Store(max(g.longestNanos.Load(), gap))
}

// longest returns the longest gap, including the one that is open at the time.
func (g *heartbeatGap) longest(at time.Duration) time.Duration {
	return time.Duration(max(g.longestNanos.Load(), int64(at)-g.lastNanos.Load()))
}
