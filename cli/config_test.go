package cli

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/ibispier/ibispier/job/configcheck"
)

// checkedManifest has one sound queue; VERSION, TIMEOUT and LIMIT are replaced.
const checkedManifest = `{"version":VERSION,"routes":[{"name":"r","hostname":"a.example","pathPrefix":"/r/","timeoutMs":TIMEOUT,
"sloMs":250,"priority":0,"service":"s","maxAttempts":2,"stretch":1.5}],"services":[{"name":"s","admissionCheck":true}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":LIMIT,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

func manifestText(version, timeout, limit string) string {
	return strings.NewReplacer("VERSION", version, "TIMEOUT", timeout, "LIMIT", limit).Replace(checkedManifest)
}

// Guards against a check that sends something to control, that reads the version in
// force from elsewhere or reports another exit code than scripts expect.
func TestConfigCheck(t *testing.T) {
	control := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/config/get" {
			t.Errorf("%s %s", r.Method, r.URL.Path)
		}
		if r.URL.RawQuery == "" { // as of a member that does not lead
			http.Redirect(w, r, "/config/get?leader", http.StatusTemporaryRedirect)
			return
		}
		_, _ = w.Write([]byte(manifestText("7", "3000", "262144")))
	})
	files := t.TempDir()
	for name, text := range map[string]string{
		"next":     manifestText("8", "2000", "262144"),
		"old":      manifestText("6", "3000", "262144"),
		"invalid":  manifestText("8", "0", "262144"),
		"small":    manifestText("8", "3000", "4000"),
		"limits":   manifestText("8", "3000", `"many"`),
		"cutshort": manifestText("8", "3000", "262144")[:100],
	} {
		if err := os.WriteFile(filepath.Join(files, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, test := range []struct {
		args string // FILES and ADDRESS are replaced
		code int
		out  string // whole output
	}{
		{"FILES/next", ExitOK, ""},
		{"FILES/next -from ADDRESS", ExitOK, "change queue \"r\": timeout ms 3000 -> 2000\nchange version: 7 -> 8\n"},
		{"FILES/next -in-force FILES/old", ExitOK, "change queue \"r\": timeout ms 3000 -> 2000\nchange version: 6 -> 8\n"},
		{"FILES/old -from ADDRESS", ExitFailed, "error version: 6 is not above version 7 in force; it would be acknowledged without effect\nchange version: 7 -> 6\n"},
		{"FILES/invalid", ExitFailed, "error queue \"r\": timeout is 0 ms\n"},
		{"FILES/small", ExitOK, "warning limits: body limit of 4000 bytes is below 24512 bytes, the size of a legal submission\n"},
		{"FILES/limits", ExitOK, "warning limits: cannot be read: json: cannot unmarshal string into Go struct field"},
		{"FILES/cutshort", ExitFailed, "error file: platform: step=decode: unexpected end of JSON input\n"},
		{"FILES/none", ExitUsage, ""},
		{"FILES/next -in-force FILES/none", ExitUsage, ""},
		{"FILES/next -in-force FILES/old -from ADDRESS", ExitUsage, ""},
		{"FILES/next -in-force FILES/cutshort", ExitFailed, ""},
	} {
		line := strings.ReplaceAll("config check "+test.args, "FILES", files)
		code, stdout, stderr := runAt(t, control, func(address string) []string {
			return strings.Fields(strings.ReplaceAll(line, "ADDRESS", address))
		})
		if code != test.code || !strings.HasPrefix(stdout, test.out) || (test.out == "") != (stdout == "") {
			t.Errorf("%s: exit code %d, want %d, output\n%s%s", test.args, code, test.code, stdout, stderr)
		}
	}
	code, stdout, _ := run(t, control, "config", "check", "-json", filepath.Join(files, "invalid"))
	var findings []configcheck.Finding
	if err := json.Unmarshal([]byte(stdout), &findings); err != nil || code != ExitFailed || len(findings) != 1 || findings[0].Name != "r" {
		t.Errorf("exit code %d, JSON %s: %v", code, stdout, err)
	}
	if code, _, stderr := run(t, control, "config", "check", filepath.Join(files, "next"), "-from", "127.0.0.1:1", "-timeout", "300ms"); code != ExitUnavailable {
		t.Errorf("control does not respond: exit code %d, %s", code, stderr)
	}
}
