// Package bodylimit decides which request bodies a process receives. Each body reserves
// its bytes before it is read, against limits for the process and for each address.
//
// The package is pure: the time comes in as an argument, and the caller closes the
// connections of the bodies that have to give way. A Budget is not safe for concurrent
// use.
package bodylimit

import (
	"container/list"
	"time"
)

const (
	// SmallBytes bounds the bodies that may use the last sixteenth of the budget, so that
	// large bodies do not keep ordinary requests out. Most submissions are smaller.
	SmallBytes = 16 << 10
	// ProgressBytes, and progressShare of the reservation, count as progress of a body.
	// Fewer bytes do not, so that a sender of single bytes, or of a large body in small
	// pieces, does not keep its reservation for long.
	ProgressBytes = 4 << 10
	progressShare = 32
	// StallTime is how long a body may make no progress before it gives way to another
	// one that finds no room. A lost packet is usually sent again within that time.
	StallTime = 3 * time.Second
)

// Limits bound the reserved bytes.
type Limits struct {
	Total      int64 // all bodies
	Large      int64 // bodies that reserve more than SmallBytes
	PerAddress int64 // bodies from one address
}

// NewLimits returns the limits for a budget of that many bytes. Many clients may share
// an address behind a load balancer, so an address may hold almost everything: all large
// bodies, and half of what is kept for small ones.
func NewLimits(total int64) Limits {
	return Limits{Total: total, Large: total - total/16, PerAddress: total - total/32}
}

// Body is a body with a reservation.
type Body struct {
	Owner    any // of the caller
	address  string
	bytes    int64
	progress int64         // bytes received since moved
	moved    time.Time     // of the last progress
	waiting  *list.Element // in Budget.waiting; nil once the body is complete
	released bool
}

// Budget is the state of all reservations of a process.
type Budget struct {
	limits    Limits
	total     int64
	large     int64
	byAddress map[string]int64
	waiting   *list.List // *Body that are still received, least recent progress first
}

// New returns a budget without reservations.
func New(l Limits) *Budget {
	return &Budget{limits: l, byAddress: map[string]int64{}, waiting: list.New()}
}

// Reserved returns the reserved bytes.
func (b *Budget) Reserved() int64 { return b.total }

// Admit reserves bytes for a new body. It returns nil if there is no room, and the
// stalled bodies that have given way.
func (b *Budget) Admit(now time.Time, address string, bytes int64, owner any) (admitted *Body, displaced []*Body) {
	body := &Body{Owner: owner, address: address, moved: now}
	displaced, ok := b.reserve(now, body, bytes)
	if !ok {
		return nil, displaced
	}
	body.waiting = b.waiting.PushBack(body)
	return body, displaced
}

// Grow raises the reservation of a body to bytes. It reports whether there was room,
// and returns the stalled bodies that have given way.
func (b *Budget) Grow(now time.Time, body *Body, bytes int64) (displaced []*Body, ok bool) {
	if body.released {
		return nil, false
	}
	return b.reserve(now, body, bytes)
}

// Progress records that bytes of the body have arrived. It reports whether they count
// as progress together with those before.
func (b *Budget) Progress(now time.Time, body *Body, bytes int64) bool {
	body.progress += bytes
	if body.progress < max(ProgressBytes, body.bytes/progressShare) || body.waiting == nil {
		return false
	}
	body.progress, body.moved = 0, now
	b.waiting.MoveToBack(body.waiting)
	return true
}

// Complete records that the body has arrived. It keeps its reservation and no longer
// gives way.
func (b *Budget) Complete(body *Body) {
	if body.waiting != nil {
		b.waiting.Remove(body.waiting)
		body.waiting = nil
	}
}

// Release ends the reservation. A body may be released again, without effect.
func (b *Budget) Release(body *Body) {
	if body.released {
		return
	}
	body.released = true
	b.Complete(body)
	b.account(body, -body.bytes)
	if b.byAddress[body.address] == 0 {
		delete(b.byAddress, body.address)
	}
}

// DisplaceStalled releases the body, of those that may give way, whose last progress is
// the longest ago, if it has stalled, and returns it; otherwise nil.
func (b *Budget) DisplaceStalled(now time.Time, gives func(*Body) bool) *Body {
	return b.displace(now, gives)
}

// reserve raises the reservation of body to bytes, for which stalled bodies give way.
func (b *Budget) reserve(now time.Time, body *Body, bytes int64) (displaced []*Body, ok bool) {
	for {
		gives := b.obstacle(body, bytes)
		if gives == nil {
			b.account(body, bytes-body.bytes)
			return displaced, true
		}
		victim := b.displace(now, func(other *Body) bool { return other != body && gives(other) })
		if victim == nil {
			return displaced, false
		}
		displaced = append(displaced, victim)
	}
}

// obstacle returns which bodies have to give way before body can hold bytes, or nil.
func (b *Budget) obstacle(body *Body, bytes int64) func(*Body) bool {
	more := bytes - body.bytes
	moreLarge := largePart(bytes) - largePart(body.bytes)
	switch {
	case b.byAddress[body.address]+more > b.limits.PerAddress:
		return func(other *Body) bool { return other.address == body.address }
	case b.large+moreLarge > b.limits.Large:
		return func(other *Body) bool { return largePart(other.bytes) > 0 }
	case b.total+more > b.limits.Total:
		return func(*Body) bool { return true }
	}
	return nil
}

// largePart returns what a reservation counts towards Limits.Large.
func largePart(bytes int64) int64 {
	if bytes > SmallBytes {
		return bytes
	}
	return 0
}

func (b *Budget) displace(now time.Time, gives func(*Body) bool) *Body {
	for e := b.waiting.Front(); e != nil; e = e.Next() {
		body := e.Value.(*Body)
		if now.Sub(body.moved) < StallTime {
			return nil // the bodies behind it have made progress later
		}
		if gives(body) {
			b.Release(body)
			return body
		}
	}
	return nil
}

func (b *Budget) account(body *Body, more int64) {
	b.large += largePart(body.bytes+more) - largePart(body.bytes)
	body.bytes += more
	b.total += more
	b.byAddress[body.address] += more
}
