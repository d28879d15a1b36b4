package frontend

import (
	"net/http"
	"strconv"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/controlhttp"
)

// taskHandlers holds the HTTP handlers of the task API for callers.
type taskHandlers struct{ control controlhttp.Control }

// ServeTasks registers the task API for callers. It must be called before Run.
func (d *Duty) ServeTasks(control controlhttp.Control) {
	registerTasks(d.mux, control)
}

func registerTasks(mux *http.ServeMux, control controlhttp.Control) {
	t := &taskHandlers{control: control}
	mux.HandleFunc("POST /v1/tasks", t.submit)
	mux.HandleFunc("GET /v1/tasks", t.list)
	mux.HandleFunc("GET /v1/tasks/{id}", t.status)
	mux.HandleFunc("DELETE /v1/tasks/{id}", t.cancel)
}

func (t *taskHandlers) submit(w http.ResponseWriter, r *http.Request) {
	var task controlapi.Task
	err := controlhttp.Read(r, &task)
	if err == nil {
		err = checkTask(task)
	}
	var status controlapi.TaskStatus
	if err == nil {
		err = controlhttp.Do(r, t.control, controlapi.OpSubmit, task, &status)
	}
	if err != nil {
		controlhttp.WriteError(w, controlapi.OpSubmit, err)
		return
	}
	code := http.StatusCreated
	if status.Resent {
		code = http.StatusOK
	}
	controlhttp.Write(w, code, status)
}

// checkTask validates the parts of a submission that do not depend on the
// state of control. Control checks the size against the customer's plan.
func checkTask(t controlapi.Task) error {
	message := ""
	switch {
	case t.ID == "" || len(t.ID) > maxIDBytes:
		message = "id must have 1 to " + strconv.Itoa(maxIDBytes) + " bytes"
	case t.Customer == "":
		message = "customer is missing"
	case t.Kind != controlapi.KindBatch && t.Kind != controlapi.KindWatcher:
		message = "kind must be batch or watcher"
	case t.Size.CPUMilli < 0 || t.Size.MemoryMiB < 0 || t.Size.Accelerators < 0:
		message = "size must not be negative"
	case t.Size == controlapi.Resources{}:
		message = "size is missing"
	}
	if message == "" {
		return nil
	}
	return &controlapi.Error{Reason: controlapi.ReasonBadRequest, Step: "check", Message: message}
}

func (t *taskHandlers) status(w http.ResponseWriter, r *http.Request) {
	controlhttp.Serve(w, r, t.control, controlapi.OpTask, controlapi.TaskQuery{ID: r.PathValue("id")}, new(controlapi.TaskStatus))
}

func (t *taskHandlers) cancel(w http.ResponseWriter, r *http.Request) {
	controlhttp.Serve(w, r, t.control, controlapi.OpCancelTask, controlapi.TaskQuery{ID: r.PathValue("id")}, new(controlapi.TaskStatus))
}

func (t *taskHandlers) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	in := controlapi.TasksQuery{Customer: q.Get("customer"), State: controlapi.TaskState(q.Get("state"))}
	if text := q.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 {
			controlhttp.WriteError(w, controlapi.OpTasks, &controlapi.Error{
				Reason: controlapi.ReasonBadRequest, Step: "check", Message: "limit must be a whole number from 1",
			})
			return
		}
		in.Limit = limit
	}
	controlhttp.Serve(w, r, t.control, controlapi.OpTasks, in, new(controlapi.TasksResponse))
}
