package jobs

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
)

const (
	// maxStartBytes bounds the encoded starts of one answer, so that an answer stays
	// far below wire.MaxFrameBytes whatever the jobs contain. It is the window of a
	// stream of a link: the answer is written without waiting for the agent.
	maxStartBytes = 256 << 10
	// maxStops bounds the stops of one answer. A stop takes less than 100 bytes.
	maxStops = 1024
)

// dueStart is a committed start that the target must be told of.
type dueStart struct {
	ref    job.Ref
	task   *job.Task
	sentAt time.Time // zero if this leader has not sent it
}

// dueStarts returns the starts that must be sent to the target: those that were never
// sent, and then those that were sent longest ago. What one answer leaves out comes
// first in the next.
func (e *engine) dueStarts(now time.Time, s *session) []dueStart {
	var due []dueStart
	for ref, t := range e.store.TasksOn(s.target) {
		if !e.needsStart(now, s, ref, t) {
			continue
		}
		d := dueStart{ref: ref, task: t}
		if sent := s.sentStarts[ref]; sent.run == t.Run {
			d.sentAt = sent.sentAt
		}
		due = append(due, d)
	}
	slices.SortFunc(due, func(x, y dueStart) int {
		return cmp.Or(x.sentAt.Compare(y.sentAt), cmp.Compare(e.store.Jobs[x.ref.Job].Order, e.store.Jobs[y.ref.Job].Order),
			cmp.Compare(x.ref.Occurrence, y.ref.Occurrence), cmp.Compare(x.ref.Step, y.ref.Step), cmp.Compare(x.ref.Index, y.ref.Index))
	})
	return due
}

// encodedBytes returns the size of a start in an answer.
func (e *engine) encodedBytes(o *controlapi.StartOrder) int {
	data, err := json.Marshal(o)
	if err != nil {
		e.log.Error("start cannot be encoded", zap.Stringer("task", o.Task), zap.Error(err))
	}
	return len(data)
}
