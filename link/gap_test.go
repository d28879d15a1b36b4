package link

import (
	"strings"
	"testing"
	"time"
)

// Guards against a gap that is forgotten after later heartbeats, or not counted while
// it is open, as it is when a process that was stopped loses its links.
func TestLongestHeartbeatGap(t *testing.T) {
	const tick = 200 * time.Millisecond
	var g heartbeatGap
	for _, c := range []struct{ written, want time.Duration }{
		{tick, tick}, {2 * tick, tick}, {7 * tick, 5 * tick}, {8 * tick, 5 * tick},
	} {
		g.record(c.written)
		if got := g.longest(c.written); got != c.want {
			t.Fatalf("gap %s after a heartbeat at %s, want %s", got, c.written, c.want)
		}
	}
	if got := g.longest(20 * tick); got != 12*tick {
		t.Fatalf("open gap %s, want %s", got, 12*tick)
	}
}

// Guards against a lost link whose cause cannot be told from the log: this process was
// not scheduled, or the peer or the network was silent.
func TestLostLinkTellsTheOwnHeartbeatGap(t *testing.T) {
	var relay *silentRelay
	_, client := connectPair(t, func(address string) string {
		var through string
		relay, through = startRelay(t, address)
		return through
	})
	receive(t, client.up, "link")
	relay.silentUpTo.Store(relay.count.Load())
	err := receive(t, client.down, "end of the silent link")
	if err == nil || !strings.Contains(err.Error(), "step=read peer=entry-1 ") || !strings.Contains(err.Error(), "own_heartbeat_gap=") {
		t.Fatalf("error %v, want one of the read with the peer and the gap", err)
	}
}
