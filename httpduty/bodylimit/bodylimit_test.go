package bodylimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against reservations that exceed a limit or are never given back, and against
// a body that gives way although it is complete or has made progress.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimits(1 << 20)
		b := New(l)
		now := time.Unix(0, 0)
		live := map[*Body]bool{} // whether it is complete
		gone := func(displaced []*Body) {
			for _, d := range displaced {
				if complete, known := live[d]; !known || complete || now.Sub(d.moved) < StallTime {
					t.Fatalf("body gave way: known=%t complete=%t progress %s ago", known, complete, now.Sub(d.moved))
				}
				delete(live, d)
			}
		}
		pick := func() *Body {
			for body := range live {
				return body
			}
			return nil
		}
		size := rapid.Int64Range(1, 400<<10)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			body := pick()
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op <= 1 || body == nil:
				address := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address")
				admitted, displaced := b.Admit(now, address, size.Draw(t, "bytes"), nil)
				gone(displaced)
				if admitted != nil {
					live[admitted] = false
				}
			case op == 2:
				displaced, _ := b.Grow(now, body, max(body.bytes, size.Draw(t, "bytes")))
				gone(displaced)
			case op == 3:
				b.Progress(now, body, size.Draw(t, "bytes"))
			case op == 4:
				b.Complete(body)
				live[body] = true
			default:
				b.Release(body)
				b.Release(body)
				delete(live, body)
			}
			var total, large int64
			byAddress := map[string]int64{}
			for body := range live {
				total += body.bytes
				large += largePart(body.bytes)
				byAddress[body.address] += body.bytes
			}
			if b.Reserved() != total || b.large != large || total > l.Total || large > l.Large {
				t.Fatalf("reserved %d, large %d, but the bodies hold %d and %d", b.Reserved(), b.large, total, large)
			}
			for address, bytes := range byAddress {
				if b.byAddress[address] != bytes || bytes > l.PerAddress {
					t.Fatalf("address %s: accounted %d, held %d", address, b.byAddress[address], bytes)
				}
			}
		}
	})
}

// Guards against a crowd of stalled bodies that locks out others for ever, and against
// a sender of single bytes that keeps its room.
func TestStalledBodiesGiveWay(t *testing.T) {
	b := New(NewLimits(1 << 20))
	now := time.Unix(0, 0)
	for {
		body, _ := b.Admit(now, "a", 64<<10, nil)
		if body == nil {
			break
		}
	}
	for {
		if body, _ := b.Admit(now, "a", SmallBytes, nil); body == nil {
			break
		}
	}
	if b.byAddress["a"] > b.limits.PerAddress {
		t.Fatal("one address holds more than its share")
	}
	if body, _ := b.Admit(now, "b", SmallBytes, nil); body == nil {
		t.Fatal("large bodies keep a small one of another address out")
	}
	trickle := b.waiting.Front().Value.(*Body)
	now = now.Add(StallTime)
	b.Progress(now, trickle, 1)
	if body, displaced := b.Admit(now, "a", 64<<10, nil); body == nil || len(displaced) != 1 || displaced[0] != trickle {
		t.Fatalf("admitted=%t after %d bodies gave way", body != nil, len(displaced))
	}
}

// Guards against large bodies behind one balancer address that keep small ones from the
// same address out.
func TestSmallBodiesFindRoomBesideLargeOnesOfTheirAddress(t *testing.T) {
	b, now := New(NewLimits(32<<20)), time.Unix(1000, 0)
	for {
		if large, _ := b.Admit(now, "balancer", 256<<10, nil); large == nil {
			break
		}
	}
	if small, _ := b.Admit(now, "balancer", 600, nil); small == nil {
		t.Fatal("no room for a small body")
	}
}

// Guards against a large body that is sent in small pieces, and keeps its reservation
// although it would take an hour.
func TestSlowPiecesOfALargeBodyAreNoProgress(t *testing.T) {
	b, now := New(NewLimits(32<<20)), time.Unix(1000, 0)
	slow, _ := b.Admit(now, "a", 4<<20, nil)
	honest, _ := b.Admit(now, "a", 256<<10, nil)
	if b.Progress(now, slow, ProgressBytes) || !b.Progress(now, honest, 2*ProgressBytes) {
		t.Fatal("4 KiB of 4 MiB count as progress, or 8 KiB of 256 KiB do not")
	}
}
