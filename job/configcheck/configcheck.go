// Package configcheck examines a configuration before it is sent to control. It
// reports what control would refuse, entries that no request can reach, limits that
// contradict each other, and the differences from the version in force.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/ibispier/ibispier/job"
)

// Severity is the class of a finding.
type Severity string

// Severities, in the order in which Check returns them.
const (
	SeverityError   Severity = "error"   // control refuses the configuration, or it has no effect
	SeverityWarning Severity = "warning" // control accepts it, but a part has no or an unexpected effect
	SeverityChange  Severity = "change"  // difference from the version in force
)

// Kind is the kind of entry that a finding concerns.
type Kind string

// Kinds of entries.
const (
	KindFile    Kind = "file" // it cannot be decoded
	KindVersion Kind = "version"
	KindQueue   Kind = "queue"
	KindService Kind = "service"
	KindLimits  Kind = "limits"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Kind     Kind     `json:"kind"`
	Name     string   `json:"name,omitempty"` // of the queue or service
	Message  string   `json:"message"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	if f.Name == "" {
		return fmt.Sprintf("%s %s: %s", f.Severity, f.Kind, f.Message)
	}
	return fmt.Sprintf("%s %s %q: %s", f.Severity, f.Kind, f.Name, f.Message)
}

// Limits are the limits on callers' connections that a configuration states.
type Limits struct {
	HeaderBytes         int64
	BodyBytes           int64
	HeaderTimeoutMillis int64
	IdleTimeoutMillis   int64
}

// Version is a configuration to check.
type Version struct {
	Config      job.Config
	Limits      *Limits // nil if it states none
	LimitsFault string  // why its limits cannot be read, if so
}

// Check returns the findings on the next version: errors, then warnings, then changes,
// each in the order of the configuration. inForce is nil if the version in force is not
// known. Without it, there is an error exactly if next.Config.Check returns one.
func Check(next Version, inForce *Version) []Finding {
	var l findingList
	l.checkFaults(&next.Config)
	l.checkMatches(&next.Config)
	l.checkQueueLimits(&next.Config)
	l.checkConnectionLimits(&next)
	if inForce != nil {
		l.compare(inForce, &next)
	}
	slices.SortStableFunc(l.findings, func(x, y Finding) int { return cmp.Compare(rank(x.Severity), rank(y.Severity)) })
	return l.findings
}

func rank(s Severity) int {
	return slices.Index([]Severity{SeverityError, SeverityWarning, SeverityChange}, s)
}

// ErrorCount returns the number of errors among the findings.
func ErrorCount(findings []Finding) int {
	count := 0
	for _, f := range findings {
		if f.Severity == SeverityError {
			count++
		}
	}
	return count
}

type findingList struct{ findings []Finding }

func (l *findingList) add(severity Severity, kind Kind, name, format string, args ...any) {
	l.findings = append(l.findings, Finding{Severity: severity, Kind: kind, Name: name, Message: fmt.Sprintf(format, args...)})
}

func (l *findingList) warn(kind Kind, name, format string, args ...any) {
	l.add(SeverityWarning, kind, name, format, args...)
}

func (l *findingList) checkFaults(c *job.Config) {
	for _, f := range c.Faults() {
		if f.Queue == job.WholeConfig {
			l.add(SeverityError, KindVersion, "", "%s", f.Message)
			continue
		}
		l.add(SeverityError, KindQueue, c.Queues[f.Queue].Name, "%s", f.Message)
	}
}
