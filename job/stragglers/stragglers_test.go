package stragglers

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/job"
)

const testJob = "00000000000000aa"

var start = time.Unix(1000, 0)

// step is a speculative step whose tasks run from start, all but some on one target each.
type step struct {
	st      *job.Store
	tracker *Tracker
	ends    uint64
}

func newStep(count int) *step {
	s := &step{st: job.NewStore(), tracker: NewTracker()}
	s.st.Apply(&job.Command{Submit: []*job.Submission{{
		Spec: job.Spec{ID: testJob, Steps: []job.Step{{Count: count, Speculative: true}}}, Queue: job.Queue{Attempts: 4},
	}}})
	for i := range count {
		s.st.Apply(&job.Command{Starts: []job.Start{{Task: ref(i), Run: 1, Target: job.TargetIncarnation{ID: "a", Born: 1}}}})
	}
	return s
}

func ref(index int) job.Ref { return job.Ref{Job: testJob, Index: index} }

func (s *step) seeStarts(count int) {
	for i := range count {
		s.tracker.RecordStart(start, ref(i), 1)
	}
}

// end ends the tasks from index first to last after the time.
func (s *step) end(first, last int, after time.Duration) {
	for i := first; i <= last; i++ {
		s.ends++
		s.tracker.RecordEnd(start.Add(after), ref(i), 1, job.RunDone)
		s.st.Apply(&job.Command{Ends: []job.End{{Target: job.TargetIncarnation{ID: "a", Born: 1}, Number: s.ends, Task: ref(i), Run: 1, Outcome: job.RunDone}}})
	}
}

func (s *step) found(after time.Duration) int { return len(s.tracker.Find(start.Add(after), s.st)) }

// Guards against copies of runs that are only a little slower than their siblings, of
// steps that do not wait for single tasks, and of runs so short that a copy ends later.
func TestWhichRunsAreStragglers(t *testing.T) {
	s := newStep(10)
	s.seeStarts(10)
	s.end(0, 5, 500*time.Millisecond)
	if n := s.found(5 * time.Second); n != 0 {
		t.Errorf("%d stragglers while 4 of 10 tasks are open", n)
	}
	s.end(6, 8, 600*time.Millisecond)
	for after, want := range map[time.Duration]int{900 * time.Millisecond: 0, 1100 * time.Millisecond: 1} {
		if n := s.found(after); n != want {
			t.Errorf("%d stragglers after %s, want %d", n, after, want)
		}
	}
	s.end(9, 9, 1200*time.Millisecond)
	if n := s.found(5 * time.Second); n != 0 {
		t.Errorf("%d stragglers of a step that is done", n)
	}
	s = newStep(10)
	s.seeStarts(10)
	s.end(0, 8, 50*time.Millisecond)
	if n := s.found(300 * time.Millisecond); n != 0 {
		t.Errorf("%d stragglers although a copy would cost more than the run has lasted", n)
	}
}

// Guards against a new leader that copies runs whose start it has not seen, or that
// takes the end of one for the time it took.
func TestUnseenStartsAreMeasuredAnew(t *testing.T) {
	s := newStep(10)
	s.seeStarts(4)
	s.end(4, 8, 100*time.Millisecond) // their starts were not seen
	s.end(0, 2, 500*time.Millisecond)
	if n := s.found(600 * time.Millisecond); n != 0 {
		t.Errorf("%d stragglers before twice the time of the measured runs", n)
	}
	found := s.tracker.Find(start.Add(1100*time.Millisecond), s.st)
	if len(found) != 1 || found[0].Task != ref(3) || found[0].Typical != 500*time.Millisecond {
		t.Errorf("stragglers %v, want the task whose start was seen", found)
	}
	s = newStep(10)
	s.seeStarts(9)
	s.end(0, 8, 500*time.Millisecond)
	if n := s.found(5 * time.Second); n != 0 {
		t.Errorf("%d stragglers when a run is seen first", n)
	}
	if n := s.found(6100 * time.Millisecond); n != 1 {
		t.Errorf("%d stragglers after the run has lasted twice the time before this leader", n)
	}
}

// Guards against records that are kept for jobs that have ended.
func TestForget(t *testing.T) {
	s := newStep(4)
	s.seeStarts(4)
	s.tracker.Forget(func(id string) bool { return id == testJob })
	if len(s.tracker.steps) != 0 {
		t.Error("the step of an ended job is kept")
	}
}
