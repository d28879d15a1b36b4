package worker

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/workerapi"
)

// task is a simulated task. Its checkpoint holds its progress in milliseconds.
type task struct {
	workerapi.Task
	payload  Payload
	progress time.Duration
	slowdown float64
	throttle int
	samples  []sample
}

// sample is a usage measurement. It is reported once it is older than the usage lag.
type sample struct {
	at       time.Duration
	used     controlapi.Resources
	slowdown float64
}

const maxSamples = 1000

func newTask(s workerapi.StartRequest) *task {
	t := &task{Task: workerapi.Task{
		ID:                 s.Task.ID,
		Epoch:              s.Epoch,
		State:              workerapi.Running,
		Class:              s.Task.Class,
		Size:               s.Task.Size,
		Checkpoint:         s.Checkpoint,
		CheckpointSequence: s.CheckpointSequence,
		Deadline:           s.Deadline,
	}}
	_ = json.Unmarshal(s.Task.Payload, &t.payload) // without a valid payload the task is a watcher
	if millis, err := strconv.ParseInt(s.Checkpoint, 10, 64); err == nil {
		t.progress = time.Duration(millis) * time.Millisecond
	}
	return t
}

func (t *task) advance(elapsed time.Duration, slowdown float64) {
	t.slowdown = slowdown
	share := float64(100-t.throttle) / 100
	t.progress += time.Duration(float64(elapsed) * share / slowdown)
}

func (t *task) finished() bool {
	work := time.Duration(t.payload.WorkMillis) * time.Millisecond
	return work > 0 && t.progress >= work
}

func (t *task) checkpoint() {
	t.Checkpoint = strconv.FormatInt(t.progress.Milliseconds(), 10)
	t.CheckpointSequence++
}

// sampleUsage adds a sample and returns the newest one that is at least lag old.
func (t *task) sampleUsage(now, lag time.Duration) (sample, bool) {
	t.samples = append(t.samples, sample{at: now, used: t.Size, slowdown: t.slowdown})
	if len(t.samples) > maxSamples {
		t.samples = t.samples[1:]
	}
	for i := len(t.samples) - 1; i >= 0; i-- {
		if now-t.samples[i].at >= lag {
			return t.samples[i], true
		}
	}
	return sample{}, false
}
