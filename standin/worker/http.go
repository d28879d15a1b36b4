package worker

import (
	"encoding/json"
	"net/http"

	"github.com/ibispier/ibispier/bootclock"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/workerapi"
)

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/fence", handle(w, w.fence))
	mux.HandleFunc("GET /v1/tasks", w.serveTasks)
	mux.HandleFunc("POST /v1/tasks", handle(w, w.start))
	mux.HandleFunc("POST /v1/leases", handle(w, w.renew))
	mux.HandleFunc("POST /v1/tasks/{id}/stop", w.taskHandler((*Worker).stop))
	mux.HandleFunc("POST /v1/tasks/{id}/checkpoint", w.taskHandler((*Worker).checkpoint))
	mux.HandleFunc("POST /v1/tasks/{id}/throttle", w.taskHandler((*Worker).throttle))
	mux.HandleFunc("POST /v1/tasks/{id}/forget", w.taskHandler((*Worker).forget))
	mux.HandleFunc("GET /v1/events", w.serveEvents)
	return mux
}

// handle returns a handler that decodes the body, calls f under the mutex and
// encodes its result.
func handle[T any](w *Worker, f func(T) (any, int)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var in T
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(out, err.Error(), http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		result, status := f(in)
		w.mu.Unlock()
		writeJSON(out, status, result)
	}
}

// taskHandler returns a handler that calls f for the task in the path after it has
// checked the agent epoch and the epoch of the task.
func (w *Worker) taskHandler(f func(*Worker, *task, workerapi.TaskRequest)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		handle(w, func(c workerapi.TaskRequest) (any, int) {
			t := w.tasks[id]
			switch {
			case w.fenced(c.AgentEpoch):
				return refusal("agent epoch is fenced")
			case t == nil:
				return workerapi.Task{ID: id}, http.StatusNotFound
			case t.Epoch != c.Epoch:
				return refusal("task runs under another epoch")
			}
			f(w, t, c)
			return t.Task, http.StatusOK
		})(out, r)
	}
}

// fenced raises the fence if epoch is newer and reports whether epoch is below the fence, so
// that the call of an older agent must be refused.
func (w *Worker) fenced(epoch uint64) bool {
	if epoch > w.agentEpoch {
		w.agentEpoch = epoch
	}
	return epoch < w.agentEpoch
}

func (w *Worker) fence(f workerapi.FenceRequest) (any, int) {
	if w.fenced(f.AgentEpoch) {
		return refusal("agent epoch is fenced")
	}
	return nil, http.StatusNoContent
}

func (w *Worker) start(s workerapi.StartRequest) (any, int) {
	known := w.tasks[s.Task.ID]
	switch {
	case w.fenced(s.AgentEpoch):
		return refusal("agent epoch is fenced")
	case known != nil && known.Epoch == s.Epoch:
		return known.Task, http.StatusOK
	case known != nil && (known.Epoch > s.Epoch || known.State == workerapi.Running):
		return refusal("task is present under another epoch")
	case int64(bootclock.Now()) > s.NotAfter:
		return refusal("start is too late")
	}
	t := newTask(s)
	w.tasks[t.ID] = t
	w.record(EventStart, t)
	w.recordOvercommit()
	return t.Task, http.StatusOK
}

func (w *Worker) renew(r workerapi.RenewRequest) (any, int) {
	if w.fenced(r.AgentEpoch) {
		return refusal("agent epoch is fenced")
	}
	for _, lease := range r.Leases {
		if t := w.tasks[lease.Task]; t != nil && t.Epoch == lease.Epoch {
			t.Deadline = max(t.Deadline, lease.Deadline)
		}
	}
	return nil, http.StatusNoContent
}

func (w *Worker) stop(t *task, _ workerapi.TaskRequest) {
	if t.State == workerapi.Running {
		w.end(t, workerapi.Stopped, "stopped by its agent")
	}
}

func (w *Worker) checkpoint(t *task, _ workerapi.TaskRequest) {
	if t.State == workerapi.Running {
		t.checkpoint()
		w.end(t, workerapi.Checkpointed, "")
	}
}

func (w *Worker) throttle(t *task, c workerapi.TaskRequest) {
	t.throttle = min(max(c.ThrottlePercent, 0), 99)
}

func (w *Worker) forget(t *task, _ workerapi.TaskRequest) {
	if t.State != workerapi.Running {
		delete(w.tasks, t.ID)
	}
}

func (w *Worker) serveTasks(out http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	list := workerapi.Tasks{AgentEpoch: w.agentEpoch, Capacity: w.options.Capacity, Tasks: []workerapi.Task{}}
	now := bootclock.Now()
	for _, t := range w.tasks {
		list.Tasks = append(list.Tasks, t.Task)
		if s, ok := t.sampleUsage(now, w.options.UsageLag); ok && t.State == workerapi.Running {
			list.Usage = append(list.Usage, controlapi.Usage{
				Task:      t.ID,
				Class:     t.Class,
				AgeMillis: (now - s.at).Milliseconds(),
				Used:      s.used,
				Slowdown:  s.slowdown,
			})
		}
	}
	w.mu.Unlock()
	writeJSON(out, http.StatusOK, list)
}

func (w *Worker) serveEvents(out http.ResponseWriter, _ *http.Request) {
	writeJSON(out, http.StatusOK, w.Events())
}

func refusal(reason string) (any, int) {
	return map[string]string{"reason": reason}, http.StatusConflict
}

func writeJSON(out http.ResponseWriter, status int, v any) {
	if v == nil {
		out.WriteHeader(status)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(v)
}
