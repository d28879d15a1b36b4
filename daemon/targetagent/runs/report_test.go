package runs

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
	"github.com/ibispier/ibispier/wire"
)

// Guards against a report with many ends that exceeds a frame, so that it never reaches
// control and the target loses its lease, and against ends that are left out for good.
func TestEndsAreSpreadOverReports(t *testing.T) {
	const count = 500 // ends that a target returns at a time
	h := newHarness(t)
	var ends []job.End
	for i := range count {
		ends = append(ends, job.End{
			Number: uint64(i + 1), Task: job.Ref{Job: testTask.Job, Index: i}, Run: 1, Outcome: job.RunDone, Checkpoint: strings.Repeat("<", 4000),
		})
	}
	h.answerWatch(nil, ends...)
	h.takeCalls(0)
	reported := uint64(0)
	for reports := 0; reported < count; reports++ {
		r := h.nextReport()
		data, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > wire.MaxFrameBytes/2 || reports > count {
			t.Fatalf("report %d has %d bytes and %d ends; %d of %d ends reported before", reports, len(data), len(r.Ends), reported, count)
		}
		for _, e := range r.Ends {
			if e.Number != reported+1 {
				t.Fatalf("end %d follows %d", e.Number, reported)
			}
			reported = e.Number
		}
		h.answerReport(controlapi.TargetOrders{EndWatermark: reported})
	}
}
