package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/controlhttp"
	"github.com/ibispier/ibispier/daemon/controlclient"
)

// fakeControl records the last operation and returns result or err.
type fakeControl struct {
	op     controlapi.Operation
	in     string
	result any
	err    error
}

func (f *fakeControl) Do(_ context.Context, op controlapi.Operation, in, out any) error {
	data, _ := json.Marshal(in)
	f.op, f.in = op, string(data)
	if f.err != nil || f.result == nil {
		return f.err
	}
	data, _ = json.Marshal(f.result)
	return json.Unmarshal(data, out)
}

func call(t *testing.T, control *fakeControl, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	d := &Duty{mux: http.NewServeMux()}
	d.ServeOperators(control)
	w := httptest.NewRecorder()
	d.mux.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// Guards against a path that calls the wrong operation or drops a parameter.
func TestPathsCallTheirOperation(t *testing.T) {
	tests := []struct {
		method, path, body string
		op                 controlapi.Operation
		in                 string
	}{
		{"GET", "/v1/status", "", controlapi.OpStatus, `{}`},
		{"GET", "/v1/config", "", controlapi.OpConfig, `"known":0`},
		{"GET", "/v1/proposals?limit=3", "", controlapi.OpProposals, `"limit":3`},
		{"POST", "/v1/proposals", `{"change_id":"c1","base":4,"change":{"kind":"zone_out","zone":"a"}}`, controlapi.OpPropose, `"base":4`},
		{"POST", "/v1/proposals/c1/approve", `{"owner":"ada","signature":"eA=="}`, controlapi.OpSign, `"change_id":"c1","owner":"ada","signature":"eA=="`},
		{"POST", "/v1/proposals/c1/reject", `{"owner":"ada","signature":"eA=="}`, controlapi.OpSign, `"reject":true`},
		{"GET", "/v1/history", "", controlapi.OpProposals, `{}`},
		{"GET", "/v1/members", "", controlapi.OpMembers, `{}`},
		{"POST", "/v1/members/bootstrap", "", controlapi.OpMembership, `"action":"bootstrap"`},
		{"POST", "/v1/members/transfer", `{"id":"c2"}`, controlapi.OpMembership, `"action":"transfer","id":"c2"`},
		{"POST", "/v1/snapshot", "", controlapi.OpSnapshot, `{}`},
		{"GET", "/v1/quarantine", "", controlapi.OpQuarantine, `{}`},
		{"DELETE", "/v1/quarantine/worker/w7", "", controlapi.OpRelease, `"kind":"worker","name":"w7"`},
		{"GET", "/v1/alarms", "", controlapi.OpStatus, `{}`},
	}
	for _, test := range tests {
		control := new(fakeControl)
		w := call(t, control, test.method, test.path, test.body)
		if w.Code != http.StatusOK || control.op != test.op || !strings.Contains(control.in, test.in) {
			t.Errorf("%s %s: code %d op %s in %s, body %s", test.method, test.path, w.Code, control.op, control.in, w.Body)
		}
	}
}

// Guards against error responses without a reason, and against a status that makes
// clients retry a refusal that is final.
func TestErrorsAreTyped(t *testing.T) {
	refusal := &controlapi.Error{Reason: "unknown_owner", Message: "no key", Peer: "c1"}
	tests := []struct {
		name         string
		control      *fakeControl
		method, path string
		body         string
		code         int
		reason       string
	}{
		{"refused", &fakeControl{err: refusal}, "GET", "/v1/status", "", 409, "unknown_owner"},
		{"refused by control", &fakeControl{err: &controlclient.RefusedError{Reason: "not_found: no member c9"}}, "GET", "/v1/status", "", 404, "not_found"},
		{"text of control", &fakeControl{err: &controlclient.RefusedError{Reason: "step=sign no such owner"}}, "GET", "/v1/status", "", 409, "refused"},
		{"no leader", &fakeControl{err: controlclient.ErrUnavailable}, "GET", "/v1/status", "", 503, "unavailable"},
		{"deadline", &fakeControl{err: context.DeadlineExceeded}, "GET", "/v1/status", "", 504, "deadline"},
		{"unavailable", &fakeControl{err: errors.New("no leader")}, "GET", "/v1/status", "", 503, "unavailable"},
		{"no proposal", new(fakeControl), "GET", "/v1/proposals/c9", "", 404, "not_found"},
		{"unknown field", new(fakeControl), "POST", "/v1/proposals", `{"chnge_id":"c1"}`, 400, "bad_request"},
		{"two values", new(fakeControl), "POST", "/v1/proposals", `{} {}`, 400, "bad_request"},
		{"unknown action", new(fakeControl), "POST", "/v1/members/explode", "", 404, "not_found"},
		{"no id", new(fakeControl), "POST", "/v1/members/remove", "", 400, "bad_request"},
		{"bad kind", new(fakeControl), "DELETE", "/v1/quarantine/zone/a", "", 400, "bad_request"},
		{"bad limit", new(fakeControl), "GET", "/v1/history?limit=0", "", 400, "bad_request"},
		{"lost", &fakeControl{result: controlapi.Proposal{ChangeID: "c1", State: controlapi.ProposalConflict, Winner: "c2"}},
			"POST", "/v1/proposals", `{"change_id":"c1"}`, 409, "conflict"},
	}
	for _, test := range tests {
		w := call(t, test.control, test.method, test.path, test.body)
		var body controlhttp.ErrorBody
		if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil || w.Code != test.code || body.Error.Reason != test.reason {
			t.Errorf("%s: code %d body %s", test.name, w.Code, w.Body)
		}
		if body.Error.Step == "" {
			t.Errorf("%s: no step in %s", test.name, w.Body)
		}
	}
}

// Guards against a history that contains open proposals or omits decided ones.
func TestHistoryListsDecidedProposals(t *testing.T) {
	control := &fakeControl{result: controlapi.ProposalsResponse{Proposals: []controlapi.Proposal{
		{ChangeID: "c3", State: controlapi.ProposalOpen},
		{ChangeID: "c2", State: controlapi.ProposalRejected},
		{ChangeID: "c1", State: controlapi.ProposalAccepted},
	}}}
	w := call(t, control, "GET", "/v1/history?limit=1", "")
	var body controlapi.ProposalsResponse
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	if len(body.Proposals) != 1 || body.Proposals[0].ChangeID != "c2" {
		t.Errorf("history is %s", w.Body)
	}
}
