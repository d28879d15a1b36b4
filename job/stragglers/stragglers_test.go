package stragglers

import (
	"testing"
	"time"

	"github.com/ibispier/ibispier/job"
)

const testJob = "00000000000000aa"

// Guards against copies of runs that are only a little slower than their siblings, of
// steps that do not wait for single tasks, and of runs so short that a copy ends later.
// Guards against a new leader that copies runs whose start it has not seen, or that takes
// the time of one from when it first saw it. Records of ended jobs must not be kept.
func TestFind(t *testing.T) {
	start, target := time.Unix(1000, 0), job.TargetIncarnation{ID: "a", Born: 1}
	ms := func(n int64) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	for name, c := range map[string]struct {
		seen, done int   // tasks whose start was seen, and that are done after took
		took       int64 // ms
		first      int64 // ms until Find is first called, if not 0
		at         int64 // ms until Find is called
		want       int
	}{
		"too few are done":         {10, 6, 500, 0, 9000, 0},
		"slower than its siblings": {10, 9, 500, 0, 950, 0},
		"straggler":                {10, 9, 500, 0, 1050, 1},
		"two stragglers":           {10, 8, 500, 0, 1050, 2},
		"all are done":             {10, 10, 500, 0, 9000, 0},
		"a copy costs more":        {10, 9, 100, 0, 350, 0},
		"too few were measured":    {2, 9, 500, 0, 9000, 0},
		"start not seen":           {9, 9, 500, 0, 9000, 0},
		"not seen for long enough": {9, 9, 500, 3000, 3950, 0},
		"seen for long enough":     {9, 9, 500, 3000, 4050, 1},
	} {
		st, tracker := job.NewStore(), NewTracker()
		st.Apply(&job.Command{Submit: []*job.Submission{{
			Spec: job.Spec{ID: testJob, Steps: []job.Step{{Count: 10, Speculative: true}}}, Queue: job.Queue{Attempts: 4},
		}}})
		for i := range 10 {
			ref := job.Ref{Job: testJob, Index: i}
			st.Apply(&job.Command{Starts: []job.Start{{Task: ref, Run: 1, Target: target}}})
			if i < c.seen {
				tracker.RecordStart(start, ref, 1)
			}
			if i < c.done {
				tracker.RecordEnd(ms(c.took), ref, 1, job.RunDone)
				st.Apply(&job.Command{Ends: []job.End{{Target: target, Number: uint64(i + 1), Task: ref, Run: 1, Outcome: job.RunDone}}})
			}
		}
		if c.first > 0 {
			tracker.Find(ms(c.first), st)
		}
		if found := tracker.Find(ms(c.at), st); len(found) != c.want {
			t.Errorf("%s: found %v, want %d", name, found, c.want)
		}
		tracker.Forget(func(id string) bool { return id == testJob })
		if len(tracker.steps) != 0 {
			t.Errorf("%s: the step of an ended job is kept", name)
		}
	}
}
