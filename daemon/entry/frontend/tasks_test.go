package frontend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/ibispier/ibispier/controlapi"
)

type fakeControl struct {
	op     controlapi.Operation
	result controlapi.TaskStatus
	err    error
}

func (f *fakeControl) Do(_ context.Context, op controlapi.Operation, _, out any) error {
	f.op = op
	if status, ok := out.(*controlapi.TaskStatus); ok {
		*status = f.result
	}
	return f.err
}

// Guards against task calls that are mapped to the wrong control operation, and
// against accepting submissions that can never be placed.
func TestTaskInterface(t *testing.T) {
	const valid = `{"id":"t1","customer":"demo","kind":"batch","class":"x","size":{"cpu_milli":100,"memory_mib":10,"accelerators":0}}`
	resent := &fakeControl{result: controlapi.TaskStatus{Resent: true}}
	missing := &fakeControl{err: &controlapi.Error{Reason: controlapi.ReasonNotFound}}
	tests := []struct {
		name, method, path, body string
		control                  *fakeControl
		code                     int
		op                       controlapi.Operation
	}{
		{"submit", "POST", "/v1/tasks", valid, new(fakeControl), 201, controlapi.OpSubmit},
		{"resend", "POST", "/v1/tasks", valid, resent, 200, controlapi.OpSubmit},
		{"no size", "POST", "/v1/tasks", `{"id":"t1","customer":"demo","kind":"batch"}`, new(fakeControl), 400, ""},
		{"bad kind", "POST", "/v1/tasks", strings.Replace(valid, "batch", "cron", 1), new(fakeControl), 400, ""},
		{"negative", "POST", "/v1/tasks", strings.Replace(valid, "100", "-1", 1), new(fakeControl), 400, ""},
		{"no customer", "POST", "/v1/tasks", strings.Replace(valid, "demo", "", 1), new(fakeControl), 400, ""},
		{"status", "GET", "/v1/tasks/t1", "", new(fakeControl), 200, controlapi.OpTask},
		{"missing", "GET", "/v1/tasks/t1", "", missing, 404, controlapi.OpTask},
		{"list", "GET", "/v1/tasks?customer=demo&limit=2", "", new(fakeControl), 200, controlapi.OpTasks},
		{"bad limit", "GET", "/v1/tasks?limit=x", "", new(fakeControl), 400, ""},
		{"cancel", "DELETE", "/v1/tasks/t1", "", new(fakeControl), 200, controlapi.OpCancelTask},
	}
	for _, test := range tests {
		mux := http.NewServeMux()
		registerTasks(mux, test.control)
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)))
		if w.Code != test.code || test.control.op != test.op || !json.Valid(w.Body.Bytes()) {
			t.Errorf("%s: code %d op %q body %s", test.name, w.Code, test.control.op, w.Body)
		}
	}
}
