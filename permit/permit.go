// Package permit grants entry instances time-limited permits to start tasks in
// a zone, and decides when a zone that operators have taken out of service is
// safely drained of permits. An entry instance holds one permit for each zone
// and passes the remaining time on to agents. A zone that is out gets no new
// permits; it is out "in force" once every permit granted before has expired or
// was revoked.
//
// The package does no I/O; callers pass in the time. Each leader has its own
// Table. A new leader first waits for one full permit time, because its
// predecessor may have granted permits until the change of leader.
package permit

import "time"

// Timing holds the validity of a permit and the clock error to allow for.
type Timing struct {
	TTL              time.Duration // validity for the holder, counted from when it sent the request
	DriftPercent     int           // maximum drift between two clocks, in percent of TTL
	ClockGranularity time.Duration // granularity of timers and clocks
}

// DefaultTiming returns the timing of zone permits: 2 s, 1% and 50 ms.
func DefaultTiming() Timing {
	return Timing{TTL: 2 * time.Second, DriftPercent: 1, ClockGranularity: 50 * time.Millisecond}
}

// SafeExpiry returns how long after granting a permit the leader must assume
// that it may still be used.
func (t Timing) SafeExpiry() time.Duration {
	return t.TTL + t.TTL*time.Duration(t.DriftPercent)/100 + t.ClockGranularity
}

// Table holds the permits that a leader has granted.
//
// Invariant: no permit is granted for a zone that is out.
type Table struct {
	timing    Timing
	startedAt time.Time
	zonesOut  map[string]bool
	grantedAt map[string]map[string]time.Time // zone -> holder -> time of the last grant
}

// NewTable returns the Table of a leader whose term starts at now.
func NewTable(now time.Time, timing Timing) *Table {
	return &Table{timing: timing, startedAt: now, zonesOut: map[string]bool{}, grantedAt: map[string]map[string]time.Time{}}
}

// SetZonesOut replaces the set of zones that are out of service.
func (t *Table) SetZonesOut(zones []string) {
	t.zonesOut = make(map[string]bool, len(zones))
	for _, z := range zones {
		t.zonesOut[z] = true
	}
}

// Grant grants a permit to the holder at now and returns its validity, or 0 if
// the zone is out.
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

// Revoke removes the permit of a holder that has confirmed that neither it nor
// any agent will use it again.
func (t *Table) Revoke(zone, holder string) { delete(t.grantedAt[zone], holder) }

// InForce reports whether a zone is out and no valid permit for it can exist.
func (t *Table) InForce(now time.Time, zone string) bool {
	if !t.zonesOut[zone] || now.Sub(t.startedAt) < t.timing.SafeExpiry() {
		return false
	}
	return t.activeHolders(now, zone) == 0
}

// activeHolders counts the holders whose permit may still be used, and removes
// the others.
func (t *Table) activeHolders(now time.Time, zone string) int {
	for holder, answered := range t.grantedAt[zone] {
		if now.Sub(answered) >= t.timing.SafeExpiry() {
			delete(t.grantedAt[zone], holder)
		}
	}
	return len(t.grantedAt[zone])
}
