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

// Bounds of a submission. They keep one job from filling the log.
const (
	MaxPayloadBytes   = 4000    // the platform's bound on a payload
	MaxSteps          = 64      // steps of a job
	MaxTasks          = 20_000  // tasks of all occurrences of a job
	idBytes           = 8       // an id is written as 16 hexadecimal digits
	maxResourceAmount = 1 << 40 // of any resource; sums of MaxTasks stay below 2^63
)

// Step describes tasks that are alike.
type Step struct {
	Count          int
	Need           resource.Vector
	EstimateMillis int64 `json:",omitempty"`
	After          []int `json:",omitempty"` // earlier steps whose tasks must all be done
	Checkpoints    bool  `json:",omitempty"`
	Gang           bool  `json:",omitempty"` // the tasks work only together
	SameRack       bool  `json:",omitempty"`
	Speculative    bool  `json:",omitempty"` // copies may run in parallel
	Lasting        bool  `json:",omitempty"` // runs until the job is cancelled
	Filling        bool  `json:",omitempty"` // uses only the processor time that other tasks leave

	Label            string `json:",omitempty"` // label that the target must have
	DataRack         string `json:",omitempty"` // rack that holds the data
	MaxPerTarget     int    `json:",omitempty"` // 0 for no limit
	Image            string `json:",omitempty"` // tasks of one image behave alike
	TailTargetMillis int64  `json:",omitempty"` // bound on the tail latency of a serving task
	MayMiss          int    `json:",omitempty"` // lasting tasks that may be away by the system's doing
}

// Serves reports whether the tasks answer users of their own.
func (s *Step) Serves() bool { return s.Lasting && s.TailTargetMillis > 0 }

// Reserved returns what a task takes from the capacity of its target. A filling
// task reserves memory and no processor.
func (s *Step) Reserved() resource.Vector {
	need := s.Need
	if s.Filling {
		need.CPUMilli = 0
	}
	return need
}

// Spec is a submission.
type Spec struct {
	ID              string
	Payload         string
	Steps           []Step
	FirstAtMillis   int64 `json:",omitempty"` // Unix time of the first occurrence
	IntervalMillis  int64 `json:",omitempty"` // between occurrences
	OccurrenceCount int   `json:",omitempty"` // 0 for a job that runs once, at once
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(s.OccurrenceCount, 1) }

// DueMillis returns the Unix time at which occurrence k may start, and 0 for a
// job without times.
func (s *Spec) DueMillis(k int) int64 {
	if s.OccurrenceCount == 0 {
		return 0
	}
	return s.FirstAtMillis + int64(k)*s.IntervalMillis
}

// Check refuses a submission that cannot be carried out as written.
func (s *Spec) Check() error {
	if !ValidID(s.ID) {
		return Error.New("step=check: id %q is not 16 hexadecimal digits", s.ID)
	}
	if len(s.Payload) > MaxPayloadBytes {
		return Error.New("step=check job=%s: payload has %d bytes, at most %d", s.ID, len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return Error.New("step=check job=%s: %d steps, want 1 to %d", s.ID, len(s.Steps), MaxSteps)
	}
	if s.OccurrenceCount < 0 || s.OccurrenceCount > MaxTasks || s.IntervalMillis < 0 || s.FirstAtMillis < 0 {
		return Error.New("step=check job=%s: negative or excessive times", s.ID)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return Error.New("step=check job=%s: %w", s.ID, err)
		}
		tasks += s.Steps[i].Count * s.Occurrences()
		if tasks > MaxTasks {
			return Error.New("step=check job=%s: more than %d tasks", s.ID, MaxTasks)
		}
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return errs.New("number %d: count %d", index, s.Count)
	}
	if !s.Need.IsValid() || s.Need.CPUMilli > maxResourceAmount || s.Need.MemoryMiB > maxResourceAmount || s.Need.Accelerators > maxResourceAmount {
		return errs.New("number %d: resources out of range", index)
	}
	if s.EstimateMillis < 0 || s.MaxPerTarget < 0 || s.TailTargetMillis < 0 || s.MayMiss < 0 {
		return errs.New("number %d: negative value", index)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return errs.New("number %d: depends on %d, which is no earlier step", index, dependency)
		}
	}
	return nil
}

// ValidID reports whether id has the form of a job's id.
func ValidID(id string) bool {
	_, err := hex.DecodeString(id)
	return err == nil && len(id) == 2*idBytes
}

// Ref names a task: the job, the occurrence, the step and the index in the step.
type Ref struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name of the task.
func (r Ref) String() string {
	buf := make([]byte, 0, len(r.Job)+12)
	buf = append(buf, r.Job...)
	for _, n := range [...]int{r.Occurrence, r.Step, r.Index} {
		buf = append(buf, '.')
		buf = strconv.AppendInt(buf, int64(n), 10)
	}
	return string(buf)
}

// ParseRef is the inverse of String.
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

// MarshalText encodes the name, so that a Ref is one string in messages.
func (r Ref) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText is the inverse of MarshalText.
func (r *Ref) UnmarshalText(text []byte) error {
	parsed, err := ParseRef(string(text))
	if err == nil {
		*r = parsed
	}
	return err
}
