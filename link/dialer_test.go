package link

import (
	"testing"
	"time"
)

// Guards against a dialer that starts its delays anew after each handshake that times
// out: 295 agents and entry instances left 2,700 connections at a leader that was
// frozen for 7.7 s, and it took 9 s to work through them after it woke.
func TestRedialDelayGrowsUntilALinkLasts(t *testing.T) {
	delay, dials, elapsed := time.Duration(0), 0, time.Duration(0)
	const handshake = 1100 * time.Millisecond // of a peer that does not answer
	for elapsed < 10*time.Second {
		delay = redialDelay(delay, 0)
		dials++
		elapsed += handshake + delay
	}
	if dials > 7 {
		t.Errorf("%d dials in 10 s, want at most 7", dials)
	}
	if delay = redialDelay(delay, 10*time.Second); delay != minRedialDelay {
		t.Errorf("delay %s after a link that lasted, want %s", delay, minRedialDelay)
	}
	if next := redialDelay(delay, time.Millisecond); next != 2*delay {
		t.Errorf("delay %s after a short link, want %s", next, 2*delay)
	}
}
