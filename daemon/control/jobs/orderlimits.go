package jobs

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/controlapi"
)

const (
	// maxStartBytes bounds the encoded starts of one answer, so that an answer stays
	// far below wire.MaxFrameBytes whatever the jobs contain. It is the window of a
	// stream of a link: the answer is written without waiting for the agent.
	maxStartBytes = 256 << 10
	// maxStops bounds the stops of one answer. A stop takes less than 100 bytes.
	maxStops = 1024
)

// Upper bounds of the encoded size of a start.
const (
	startBytes       = 512 // fields of a fixed size, and names of fields
	disturbanceBytes = 128 // an entry of Disturbs without its name
	maxEscapedBytes  = 6   // for one byte of a string
)

// mayExceed reports whether the encoded starts may be larger than the limit. It counts
// upper bounds, because most answers are far smaller and need not be encoded twice.
func mayExceed(orders []controlapi.StartOrder, limit int) bool {
	size := 0
	for i := range orders {
		o := &orders[i]
		size += startBytes + maxEscapedBytes*(len(o.Payload)+len(o.Checkpoint)+len(o.Image))
		for image := range o.Disturbs {
			size += disturbanceBytes + maxEscapedBytes*len(image)
		}
	}
	return size > limit
}

// fitStarts returns the starts that fit into an answer: those that were never sent, and
// then those that were sent longest ago. What one answer leaves out comes first in the next.
func (e *engine) fitStarts(s *session, orders []controlapi.StartOrder) []controlapi.StartOrder {
	sentAt := func(o *controlapi.StartOrder) time.Time {
		if sent := s.sentStarts[o.Task]; sent.run == o.Run {
			return sent.sentAt
		}
		return time.Time{}
	}
	slices.SortFunc(orders, func(x, y controlapi.StartOrder) int {
		return cmp.Or(sentAt(&x).Compare(sentAt(&y)), cmp.Compare(e.store.Jobs[x.Task.Job].Order, e.store.Jobs[y.Task.Job].Order),
			cmp.Compare(x.Task.Occurrence, y.Task.Occurrence), cmp.Compare(x.Task.Step, y.Task.Step), cmp.Compare(x.Task.Index, y.Task.Index))
	})
	size := 0
	for i := range orders {
		size += e.encodedBytes(&orders[i])
		if i > 0 && size > maxStartBytes {
			e.log.Info("starts left for the next answer", zap.String("target", s.target.ID), zap.Int("sent", i), zap.Int("due", len(orders)))
			return orders[:i]
		}
	}
	return orders
}

// encodedBytes returns the size of a start in an answer.
func (e *engine) encodedBytes(o *controlapi.StartOrder) int {
	data, err := json.Marshal(o)
	if err != nil {
		e.log.Error("start cannot be encoded", zap.Stringer("task", o.Task), zap.Error(err))
	}
	return len(data)
}
