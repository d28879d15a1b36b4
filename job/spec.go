package job

import (
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/ibispier/ibispier/resource"
)

// Error is the class of all errors of this package.
var Error = errs.Class("job")

// Limits of a submission. They keep a single job from filling the log.
const (
	MaxPayloadBytes   = 4000    // imposed by the platform
	MaxSteps          = 64      // per job
	MaxTasks          = 20_000  // per job, over all occurrences
	idBytes           = 8       // an ID is written as 16 hexadecimal digits
	maxResourceAmount = 1 << 40 // per resource; the sum over MaxTasks tasks stays below 2^63
	maxStartMillis    = 1 << 53 // Unix time of the first occurrence
	maxDurationMillis = 1 << 40 // of an estimate or interval; the sum over all occurrences or steps stays below 2^63
)

// Step describes a group of identical tasks.
type Step struct {
	Count          int
	Need           resource.Vector
	EstimateMillis int64 `json:",omitempty"`
	After          []int `json:",omitempty"` // indexes of earlier steps that must be done first
	Checkpoints    bool  `json:",omitempty"`
	Gang           bool  `json:",omitempty"` // all tasks must run at the same time
	SameRack       bool  `json:",omitempty"`
	Speculative    bool  `json:",omitempty"` // backup copies may run in parallel
	Lasting        bool  `json:",omitempty"` // long-running: runs until the job is cancelled
	Filling        bool  `json:",omitempty"` // best-effort: uses only processor time that other tasks leave

	Label            string `json:",omitempty"` // label required of the target
	DataRack         string `json:",omitempty"` // rack that holds the input data
	MaxPerTarget     int    `json:",omitempty"` // 0 means no limit
	Image            string `json:",omitempty"` // tasks of the same image are assumed to behave alike
	TailTargetMillis int64  `json:",omitempty"` // upper bound for the tail latency of a serving task
	MayMiss          int    `json:",omitempty"` // long-running tasks that scheduler actions may make unavailable at a time
}

// Serves reports whether the tasks are serving tasks: long-running with a tail
// latency target.
func (s *Step) Serves() bool { return s.Lasting && s.TailTargetMillis > 0 }

// MayCopy reports whether a task of the step may have a copy: a second run beside the
// first. The tasks of a gang end together and lasting tasks never, so a copy of one has
// no end to wait for; filling tasks are slow because of the tasks beside them.
func (s *Step) MayCopy() bool { return s.Speculative && !s.Gang && !s.Lasting && !s.Filling }

// Reserved returns the resources that a task reserves on its target. A filling
// task reserves memory but no processor time.
func (s *Step) Reserved() resource.Vector {
	need := s.Need
	if s.Filling {
		need.CPUMilli = 0
	}
	return need
}

// Spec is the specification of a job as submitted.
type Spec struct {
	ID              string
	Payload         string
	Steps           []Step
	FirstAtMillis   int64 `json:",omitempty"` // Unix time of the first occurrence
	IntervalMillis  int64 `json:",omitempty"` // time between occurrences
	OccurrenceCount int   `json:",omitempty"` // 0 means once, immediately
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(s.OccurrenceCount, 1) }

// DueMillis returns the earliest Unix time at which occurrence k may start, or
// 0 for a job without a schedule.
func (s *Spec) DueMillis(k int) int64 {
	if s.OccurrenceCount == 0 {
		return 0
	}
	return s.FirstAtMillis + int64(k)*s.IntervalMillis
}

// Check returns an error if the job cannot be run as specified.
func (s *Spec) Check() error {
	if !ValidID(s.ID) {
		return Error.New("step=check: id %q is not 16 hexadecimal digits", s.ID)
	}
	if len(s.Payload) > MaxPayloadBytes {
		return Error.New("step=check job=%s: payload has %d bytes, limit is %d", s.ID, len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return Error.New("step=check job=%s: has %d steps, must have 1 to %d", s.ID, len(s.Steps), MaxSteps)
	}
	if s.OccurrenceCount < 0 || s.OccurrenceCount > MaxTasks || s.IntervalMillis < 0 || s.IntervalMillis > maxDurationMillis ||
		s.FirstAtMillis < 0 || s.FirstAtMillis > maxStartMillis {
		return Error.New("step=check job=%s: occurrence count, interval or first start time out of range", s.ID)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return Error.New("step=check job=%s: %w", s.ID, err)
		}
		tasks += s.Steps[i].Count * s.Occurrences()
		if tasks > MaxTasks {
			return Error.New("step=check job=%s: has more than %d tasks", s.ID, MaxTasks)
		}
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return errs.New("step number %d: task count %d out of range", index, s.Count)
	}
	if !s.Need.IsValid() || s.Need.CPUMilli > maxResourceAmount || s.Need.MemoryMiB > maxResourceAmount || s.Need.Accelerators > maxResourceAmount {
		return errs.New("step number %d: resources out of range", index)
	}
	if s.EstimateMillis > maxDurationMillis {
		return errs.New("step number %d: estimate %d ms out of range", index, s.EstimateMillis)
	}
	if s.EstimateMillis < 0 || s.MaxPerTarget < 0 || s.TailTargetMillis < 0 || s.MayMiss < 0 {
		return errs.New("step number %d: estimate, per-target limit, tail target or tolerated misses negative", index)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return errs.New("step number %d: depends on %d, which is not an earlier step", index, dependency)
		}
	}
	return nil
}

// ValidID reports whether id is a well-formed job ID.
func ValidID(id string) bool {
	_, err := hex.DecodeString(id)
	return err == nil && len(id) == 2*idBytes
}

// Ref identifies a task by job, occurrence, step and index within the step.
type Ref struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task name in the form job.occurrence.step.index.
func (r Ref) String() string {
	buf := make([]byte, 0, len(r.Job)+12)
	buf = append(buf, r.Job...)
	for _, n := range [...]int{r.Occurrence, r.Step, r.Index} {
		buf = append(buf, '.')
		buf = strconv.AppendInt(buf, int64(n), 10)
	}
	return string(buf)
}

// ParseRef parses a task name in the form returned by String.
func ParseRef(name string) (Ref, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || !ValidID(parts[0]) {
		return Ref{}, Error.New("step=parse: %q is not the name of a task", name)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return Ref{}, Error.New("step=parse: %q is not the name of a task", name)
		}
		numbers[i] = n
	}
	return Ref{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// MarshalText encodes the Ref as its name, a single string in JSON.
func (r Ref) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText decodes a name written by MarshalText.
func (r *Ref) UnmarshalText(text []byte) error {
	parsed, err := ParseRef(string(text))
	if err == nil {
		*r = parsed
	}
	return err
}
