package configcheck

import (
	"bytes"
	"fmt"

	"github.com/ibispier/ibispier/job"
)

// field is a named value of an entry.
type field struct {
	name  string
	value any
}

// entry is a queue, a service or the limits, reduced to what is compared.
type entry struct {
	name   string
	fields []field
}

// compare adds the differences between the version in force and the next one.
func (l *findingList) compare(inForce, next *Version) {
	if next.Config.Version <= inForce.Config.Version && next.Config.Version > 0 {
		l.add(SeverityError, KindVersion, "", "%d is not above version %d in force; it would be acknowledged without effect",
			next.Config.Version, inForce.Config.Version)
	}
	before := len(l.findings)
	l.compareEntries(KindQueue, queueEntries(&inForce.Config), queueEntries(&next.Config))
	l.compareEntries(KindService, serviceEntries(&inForce.Config), serviceEntries(&next.Config))
	l.compareEntries(KindLimits, limitsEntries(inForce), limitsEntries(next))
	if next.Config.Version != inForce.Config.Version {
		l.add(SeverityChange, KindVersion, "", "%d -> %d", inForce.Config.Version, next.Config.Version)
	}
	if len(l.findings) == before && !bytes.Equal(inForce.Config.Source, next.Config.Source) {
		l.add(SeverityChange, KindVersion, "", "the texts differ only in layout or in fields that are not compared")
	}
}

// entryKey identifies an entry. Names may repeat; the first entry of a name is compared
// with the first one of that name in force, and so on.
type entryKey struct {
	name   string
	number int
}

func keysOf(entries []entry) []entryKey {
	count := map[string]int{}
	keys := make([]entryKey, len(entries))
	for i, e := range entries {
		keys[i] = entryKey{e.name, count[e.name]}
		count[e.name]++
	}
	return keys
}

func (l *findingList) compareEntries(kind Kind, inForce, next []entry) {
	old := map[entryKey]entry{}
	for i, key := range keysOf(inForce) {
		old[key] = inForce[i]
	}
	kept := map[entryKey]bool{}
	for i, key := range keysOf(next) {
		kept[key] = true
		if e, exists := old[key]; exists {
			l.compareFields(kind, e, next[i])
		} else {
			l.add(SeverityChange, kind, key.name, "added")
		}
	}
	for _, key := range keysOf(inForce) {
		if !kept[key] {
			l.add(SeverityChange, kind, key.name, "removed")
		}
	}
}

func (l *findingList) compareFields(kind Kind, inForce, next entry) {
	for i, f := range next.fields {
		if old := inForce.fields[i].value; old != f.value {
			l.add(SeverityChange, kind, next.name, "%s %s -> %s", f.name, format(old), format(f.value))
		}
	}
}

func format(v any) string {
	if text, ok := v.(string); ok {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprint(v)
}

func queueEntries(c *job.Config) []entry {
	entries := make([]entry, len(c.Queues))
	for i, q := range c.Queues {
		entries[i] = entry{q.Name, []field{
			{"host", q.Host},
			{"prefix", q.Prefix},
			{"service", q.Service},
			{"priority", q.Priority},
			{"attempts", q.Attempts},
			{"stretch", q.Stretch},
			{"slack ms", q.SlackMillis},
			{"timeout ms", q.TimeoutMillis},
			{"advice ms", q.DecisionMillis},
		}}
	}
	return entries
}

func serviceEntries(c *job.Config) []entry {
	entries := make([]entry, len(c.Services))
	for i, s := range c.Services {
		entries[i] = entry{s.Name, []field{{"guards", s.Guards}}}
	}
	return entries
}

func limitsEntries(v *Version) []entry {
	if v.Limits == nil {
		return nil
	}
	return []entry{{"", []field{
		{"header bytes", v.Limits.HeaderBytes},
		{"body bytes", v.Limits.BodyBytes},
		{"header timeout ms", v.Limits.HeaderTimeoutMillis},
		{"idle timeout ms", v.Limits.IdleTimeoutMillis},
	}}}
}
