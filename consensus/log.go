package consensus

import (
	"slices"
)

// entryLog is the part of the log that is held in memory.
//
// Invariants: entries are consecutive and start at base+1; a slice that was
// returned is never written again, because other goroutines may still read it.
type entryLog struct {
	base        uint64 // index before the first entry
	baseTerm    uint64
	entries     []Entry
	memberships []indexedMembership // in order of index; the last one is in effect
}

// indexedMembership is the membership in effect from the entry at index on.
type indexedMembership struct {
	index      uint64
	membership Membership
}

func newEntryLog(s State) (*entryLog, error) {
	l := &entryLog{base: s.Snapshot.Index, baseTerm: s.Snapshot.Term}
	l.memberships = []indexedMembership{{index: s.Snapshot.Index, membership: s.Snapshot.Membership}}
	if len(s.Entries) == 0 {
		return l, nil
	}
	first := s.Entries[0].Index
	if first > s.Snapshot.Index+1 {
		return nil, Error.New("step=recover: log starts at %d, snapshot ends at %d", first, s.Snapshot.Index)
	}
	skip := int(s.Snapshot.Index + 1 - first)
	if skip >= len(s.Entries) {
		return l, nil
	}
	return l, l.append(s.Entries[skip:])
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, if it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, known := l.term(index)
	return known && t == term
}

// slice returns the entries from low to high, both inclusive.
func (l *entryLog) slice(low, high uint64) []Entry {
	if low > high {
		return nil
	}
	return slices.Clip(l.entries[low-l.base-1 : high-l.base])
}

// entriesFrom returns entries from low on within the limits, and at least one if
// the log has any.
func (l *entryLog) entriesFrom(low uint64, maxEntries, maxBytes int) []Entry {
	if low > l.lastIndex() {
		return nil
	}
	rest := l.entries[low-l.base-1:]
	size, n := 0, 0
	for n < len(rest) && n < maxEntries {
		size += len(rest[n].Data)
		if n > 0 && size > maxBytes {
			break
		}
		n++
	}
	return slices.Clip(rest[:n])
}

// append adds consecutive entries at the end of the log.
func (l *entryLog) append(entries []Entry) error {
	for _, e := range entries {
		if e.Index != l.lastIndex()+1 {
			return Error.New("step=append: entry %d after %d", e.Index, l.lastIndex())
		}
		if e.Kind == EntryMembership {
			m, err := DecodeMembership(e.Data)
			if err != nil {
				return err
			}
			l.memberships = append(l.memberships, indexedMembership{index: e.Index, membership: m})
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// truncate drops the entry at index and all entries after it.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.base-1])
	l.memberships = slices.DeleteFunc(slices.Clone(l.memberships), func(c indexedMembership) bool { return c.index >= index })
}

// compact drops the entries up to and including index from memory.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, known := l.term(index)
	if !known {
		return
	}
	l.memberships = append([]indexedMembership{l.membershipAt(index)}, slices.DeleteFunc(slices.Clone(l.memberships), func(c indexedMembership) bool {
		return c.index <= index
	})...)
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, term
}

// trailingFrom returns the lowest index after which the entries up to the last one
// are within both limits.
func (l *entryLog) trailingFrom(last, maxEntries uint64, maxBytes int) uint64 {
	size := 0
	for index := last; index > l.base; index-- {
		size += len(l.entries[index-l.base-1].Data)
		if size > maxBytes || last-index >= maxEntries {
			return index
		}
	}
	return l.base
}

// reset replaces the log by a snapshot.
func (l *entryLog) reset(s *Snapshot) {
	l.base, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.memberships = []indexedMembership{{index: s.Index, membership: s.Membership}}
}

func (l *entryLog) membership() Membership { return l.memberships[len(l.memberships)-1].membership }

// lastMembershipIndex returns the index of the last membership entry.
func (l *entryLog) lastMembershipIndex() uint64 { return l.memberships[len(l.memberships)-1].index }

// membershipAt returns the membership in effect at index.
func (l *entryLog) membershipAt(index uint64) indexedMembership {
	at := l.memberships[0]
	for _, c := range l.memberships {
		if c.index <= index {
			at = c
		}
	}
	return at
}
