package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/ibispier/ibispier/cli/keys"
	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/plan"
)

// run executes a command line. handler serves the admin and the entry address.
func run(t *testing.T, handler http.Handler, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	return runAt(t, handler, func(string) []string { return args })
}

// runAt executes a command line that names the address of the handler.
func runAt(t *testing.T, handler http.Handler, args func(address string) []string) (code int, stdout, stderr string) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var out, errOut bytes.Buffer
	code = Run(context.Background(), args(address), Environment{Stdout: &out, Stderr: &errOut, Getenv: func(string) string { return address }})
	return code, out.String(), errOut.String()
}

func respond(status int, v any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(v)
	})
}

func respondError(status int, reason string) http.Handler {
	return respond(status, map[string]any{"error": controlapi.Error{Reason: reason, Message: "m"}})
}

// Guards against a changed exit code, which scripts rely on.
func TestExitCodes(t *testing.T) {
	tests := []struct {
		name    string
		handler http.Handler
		args    string
		code    int
	}{
		{"ok", respond(200, controlapi.StatusResponse{}), "status", ExitOK},
		{"help", http.NotFoundHandler(), "help", ExitOK},
		{"help of a command", http.NotFoundHandler(), "zone out -h", ExitOK},
		{"no command", http.NotFoundHandler(), "", ExitUsage},
		{"unknown command", http.NotFoundHandler(), "plan explode", ExitUsage},
		{"unknown flag", http.NotFoundHandler(), "status -x", ExitUsage},
		{"missing word", http.NotFoundHandler(), "zone out", ExitUsage},
		{"too many words", http.NotFoundHandler(), "task status a b", ExitUsage},
		{"bad timeout", http.NotFoundHandler(), "status -timeout 0s", ExitUsage},
		{"no such file", http.NotFoundHandler(), "plan propose none.ini", ExitUsage},
		{"bad load", http.NotFoundHandler(), "load -service s -customer c -rate -1", ExitUsage},
		{"refused", respondError(409, "conflict"), "zone out a -base 1", ExitRefused},
		{"not found", respondError(404, "not_found"), "task status t", ExitRefused},
		{"unavailable", respondError(503, "unavailable"), "status -timeout 300ms", ExitUnavailable},
		{"not ibispier", respond(200, "text"), "status", ExitFailed},
	}
	for _, test := range tests {
		code, stdout, stderr := run(t, test.handler, strings.Fields(test.args)...)
		if code != test.code {
			t.Errorf("%s: exit code %d, want %d: %s", test.name, code, test.code, stderr)
		}
		if code != ExitOK && (stderr == "" || stdout != "") {
			t.Errorf("%s: error not on standard error: %q", test.name, stdout)
		}
	}
}

// Guards against a command without help or example.
func TestEveryCommandHasHelp(t *testing.T) {
	for _, c := range commands {
		code, stdout, _ := run(t, http.NotFoundHandler(), append(strings.Fields(c.path), "-h")...)
		if code != ExitOK || !strings.Contains(stdout, c.example) || !strings.Contains(stdout, "-timeout") {
			t.Errorf("%s: exit code %d, help %q", c.path, code, stdout)
		}
		if !strings.HasPrefix(c.example, "ibispier "+c.path) {
			t.Errorf("%s: example %q is of another command", c.path, c.example)
		}
	}
}

// Guards against a command that fails without printing the id of its change or
// task, which the operator needs in order to retry it.
func TestChangeIDIsPrintedBeforeTheAnswer(t *testing.T) {
	code, _, stderr := run(t, respondError(503, "unavailable"), "zone", "out", "a", "-base", "3", "-id", "c7", "-timeout", "300ms")
	if code != ExitUnavailable || !strings.Contains(stderr, "change c7 base 3") {
		t.Errorf("exit code %d, stderr %q", code, stderr)
	}
	code, _, stderr = run(t, respondError(503, "unavailable"), "task", "submit", "-customer", "d", "-timeout", "300ms")
	if code != ExitUnavailable || !strings.Contains(stderr, "task ") {
		t.Errorf("exit code %d, stderr %q", code, stderr)
	}
}

// Guards against a retry that takes the latest revision as its base after another
// change was accepted: the proposal would then be refused as a different one.
func TestResentProposalKeepsItsBase(t *testing.T) {
	sent := make(chan controlapi.ProposeRequest, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var out any = controlapi.Config{Revision: 9}
		switch {
		case r.Method == http.MethodPost:
			var in controlapi.ProposeRequest
			_ = json.NewDecoder(r.Body).Decode(&in)
			sent <- in
			out = controlapi.Proposal{ChangeID: in.ChangeID}
		case r.URL.Path == "/v1/proposals/c1":
			out = controlapi.Proposal{ChangeID: "c1", Base: 4}
		case r.URL.Path == "/v1/proposals/c2":
			respondError(404, "not_found").ServeHTTP(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(out)
	})
	for id, base := range map[string]uint64{"c1": 4, "c2": 9} {
		code, _, stderr := run(t, handler, "zone", "out", "a", "-id", id)
		if in := <-sent; code != ExitOK || in.Base != base {
			t.Errorf("%s: exit code %d, base %d, want %d: %s", id, code, in.Base, base, stderr)
		}
	}
}

// Guards against signing anything other than the digest of the proposal, and
// against sending a rejection as an approval.
func TestSignSendsTheSignatureOfTheDigest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ada.key")
	if _, err := keys.Generate(path); err != nil {
		t.Fatal(err)
	}
	key, err := keys.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	content := controlapi.ProposeRequest{ChangeID: "c1", Base: 3, Change: controlapi.Change{Kind: controlapi.ChangeZoneOut, Zone: "a"}}
	digest := plan.Digest(content)
	signed := make(chan string, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			body, _ := io.ReadAll(r.Body)
			signed <- r.URL.Path + " " + string(body)
		}
		_ = json.NewEncoder(w).Encode(controlapi.Proposal{ChangeID: "c1", Base: 3, Change: content.Change, Digest: digest})
	})
	for action, signature := range map[string]string{"approve": plan.Signature(key, digest, false), "reject": plan.Signature(key, digest, true)} {
		code, _, stderr := run(t, handler, "plan", action, "c1", "-owner", "ada", "-key", path)
		if code != ExitOK {
			t.Fatalf("%s: exit code %d, stderr %q", action, code, stderr)
		}
		got := <-signed
		if !strings.HasPrefix(got, "/v1/proposals/c1/"+action) || !strings.Contains(got, signature) {
			t.Errorf("%s: sent %s", action, got)
		}
	}
}

// Guards against signing a digest that does not match the change shown.
func TestSignRefusesAForeignDigest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ada.key")
	if _, err := keys.Generate(path); err != nil {
		t.Fatal(err)
	}
	shown := controlapi.Change{Kind: controlapi.ChangeZoneOut, Zone: "a"}
	foreign := plan.Digest(controlapi.ProposeRequest{ChangeID: "c1", Change: controlapi.Change{Kind: controlapi.ChangeZoneOut, Zone: "b"}})
	handler := respond(200, controlapi.Proposal{ChangeID: "c1", Change: shown, Digest: foreign})
	code, _, stderr := run(t, handler, "plan", "approve", "c1", "-owner", "ada", "-key", path)
	if code != ExitFailed || !strings.Contains(stderr, "digest") {
		t.Errorf("exit code %d, stderr %q", code, stderr)
	}
}

// Guards against a status table that does not mark a process with an old revision.
func TestStatusShowsWhoLags(t *testing.T) {
	status := controlapi.StatusResponse{
		Leader: "c1", Revision: 5,
		Zones:     []controlapi.ZoneStatus{{Zone: "a", Out: true}},
		Processes: []controlapi.ProcessRevision{{Process: "e1", Revision: 4}, {Process: "e2", Revision: 5}},
		Alarms:    []controlapi.Alarm{{Name: "lost_quorum", Subject: "c2"}},
	}
	_, stdout, _ := run(t, respond(200, status), "status")
	for _, want := range []string{"e1       4 lags", "a     out", "lost_quorum"} {
		if !strings.Contains(stdout, want) {
			t.Errorf("no %q in\n%s", want, stdout)
		}
	}
	_, stdout, _ = run(t, respond(200, status), "status", "-json")
	var decoded controlapi.StatusResponse
	if err := json.Unmarshal([]byte(stdout), &decoded); err != nil || decoded.Revision != 5 {
		t.Errorf("JSON %s: %v", stdout, err)
	}
}
