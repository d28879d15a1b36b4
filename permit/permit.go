// Package permit decides who may start tasks in a zone, and when a zone is
// surely out of service. An entry instance holds a permit for each zone and
// passes the remaining time to agents. A zone that operators have taken out of
// service gets no more permits, and is out "in force" once every permit that
// was granted has run out or was revoked.
//
// The package is pure. A Table lives with a leader: a new leader first waits a
// whole permit time, because its predecessor may have granted permits until
// then.
package permit

import "time"

// Timing are the times of a permit.
type Timing struct {
	TTL              time.Duration // given to the holder, counted from when it sent the request
	DriftPercent     int           // of TTL, by which two clocks may differ
	ClockGranularity time.Duration
}

// DefaultTiming returns the terms of zone permits: 2 s, 1% and 50 ms.
func DefaultTiming() Timing {
	return Timing{TTL: 2 * time.Second, DriftPercent: 1, ClockGranularity: 50 * time.Millisecond}
}

// SafeExpiry returns the time after an answer during which the permit may be used.
func (t Timing) SafeExpiry() time.Duration {
	return t.TTL + t.TTL*time.Duration(t.DriftPercent)/100 + t.ClockGranularity
}

// Table holds the permits that a leader has granted.
//
// Invariant: while a zone is out, no permit of it is granted.
type Table struct {
	timing    Timing
	startedAt time.Time
	zonesOut  map[string]bool
	grantedAt map[string]map[string]time.Time // zone -> holder -> answered
}

// NewTable returns the Table of a leader that starts at now.
func NewTable(now time.Time, timing Timing) *Table {
	return &Table{timing: timing, startedAt: now, zonesOut: map[string]bool{}, grantedAt: map[string]map[string]time.Time{}}
}

// SetZonesOut sets the zones that are out of service.
func (t *Table) SetZonesOut(zones []string) {
	t.zonesOut = make(map[string]bool, len(zones))
	for _, z := range zones {
		t.zonesOut[z] = true
	}
}

// Grant grants the holder a permit that it is answered at now, and returns how
// long it lasts: 0 when the zone is out.
func (t *Table) Grant(now time.Time, zone, holder string) time.Duration {
	if t.zonesOut[zone] {
		return 0
	}
	if t.grantedAt[zone] == nil {
		t.grantedAt[zone] = map[string]time.Time{}
	}
	if t.grantedAt[zone][holder].Before(now) {
		t.grantedAt[zone][holder] = now
	}
	return t.timing.TTL
}

// Revoke forgets the permit of a holder that has confirmed that neither it nor
// any agent will use it again.
func (t *Table) Revoke(zone, holder string) { delete(t.grantedAt[zone], holder) }

// InForce reports whether a zone is out and nobody can hold a permit of it.
func (t *Table) InForce(now time.Time, zone string) bool {
	if !t.zonesOut[zone] || now.Sub(t.startedAt) < t.timing.SafeExpiry() {
		return false
	}
	return t.activeHolders(now, zone) == 0
}

// activeHolders counts the activeHolders whose permit may still be used, and forgets the
// others.
func (t *Table) activeHolders(now time.Time, zone string) int {
	for holder, answered := range t.grantedAt[zone] {
		if now.Sub(answered) >= t.timing.SafeExpiry() {
			delete(t.grantedAt[zone], holder)
		}
	}
	return len(t.grantedAt[zone])
}
