package job

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a job that runs although its submission was refused: a proposal that does
// not know of the latest refusal has no effect, whatever else happens to the ID, and
// neither has a refusal of a job that was accepted or cancelled. Records survive a snapshot.
func TestRefusalsBesideSubmissions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st := NewStore()
		id := fmt.Sprintf("%016x", 1)
		for range 30 {
			jobBefore, count, cancelled := st.Jobs[id] != nil, st.RefusalCount(id), st.HasTombstone(id)
			known := max(0, count-rapid.IntRange(0, 1).Draw(t, "behind"))
			switch rapid.IntRange(0, 4).Draw(t, "command") {
			case 0:
				st.Apply(&Command{Submit: []*Submission{{Spec: Spec{ID: id, Steps: []Step{{Count: 1}}}, AfterRefusals: known}}})
				if accepted := !jobBefore && st.Jobs[id] != nil; accepted && (cancelled || known < count) {
					t.Fatalf("accepted after %d refusals, of which the proposer knew %d, cancelled %v", count, known, cancelled)
				}
			case 1:
				st.Apply(&Command{Refuse: []NewRefusal{{ID: id, After: known, HoldMillis: 1, AtMillis: int64(count)}}})
				if refused := st.RefusalCount(id) > count; refused != (!jobBefore && !cancelled && known == count) {
					t.Fatalf("refused %v: job %v, cancelled %v, knew %d of %d", refused, jobBefore, cancelled, known, count)
				}
			case 2:
				st.Apply(&Command{Cancel: []string{id}})
			case 3:
				st.Apply(&Command{Expired: []ExpiredRefusal{{ID: id, Count: known}}})
				if kept := st.RefusalCount(id) == count; count > 0 && kept != (known < count) {
					t.Fatalf("record of %d refusals kept %v, expired with %d", count, kept, known)
				}
			case 4:
				data, err := json.Marshal(st)
				restored := NewStore()
				if err != nil || json.Unmarshal(data, restored) != nil || !maps.Equal(restored.Refusals, st.Refusals) {
					t.Fatalf("restored %v, want %v", restored.Refusals, st.Refusals)
				}
				restored.RebuildIndexes()
				st = restored
			}
			if held := st.RefusalCount(id) > 0; held && (st.Jobs[id] != nil || st.HasTombstone(id)) {
				t.Fatal("an ID has a record and a job or tombstone")
			}
		}
	})
}

// Guards against a snapshot that members of an earlier build would read otherwise although
// nothing was refused, and against records without a bound.
func TestRefusalsAreBounded(t *testing.T) {
	st := NewStore()
	if data, err := json.Marshal(st); err != nil || strings.Contains(string(data), "Refusals") {
		t.Errorf("%s, error %v", data, err)
	}
	for i := range MaxRefusals + 10 {
		st.Apply(&Command{Refuse: []NewRefusal{{ID: fmt.Sprintf("%016x", i), HoldMillis: 1}}})
	}
	st.Apply(&Command{Refuse: []NewRefusal{{ID: fmt.Sprintf("%016x", 0), After: 1, HoldMillis: 1}}})
	if len(st.Refusals) != MaxRefusals || st.RefusalCount(fmt.Sprintf("%016x", 0)) != 2 {
		t.Errorf("%d records, want %d; a known one must be renewed", len(st.Refusals), MaxRefusals)
	}
}
