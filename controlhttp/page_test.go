package controlhttp

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/ibispier/ibispier/request"
)

// Guards against a path or a reason that is missing from docs/api.md.
func TestPageDescribesEveryPathAndReason(t *testing.T) {
	page := readFile(t, "../docs/api.md")
	routes := regexp.MustCompile(`"(?:GET|POST|DELETE) (/[^"]*)"`)
	found := 0
	for _, source := range []string{"../daemon/admin/admin.go", "../daemon/admin/operators.go", "../daemon/entry/frontend/tasks.go"} {
		for _, m := range routes.FindAllStringSubmatch(readFile(t, source), -1) {
			path := strings.Replace(m[1], "{action}", "bootstrap", 1)
			if found++; !strings.Contains(page, path) && !strings.HasPrefix(path, "/debug/pprof/") {
				t.Errorf("%s of %s is not on the page", m[0], source)
			}
		}
	}
	if found < 15 {
		t.Fatalf("found only %d paths in the code", found)
	}
	for _, reason := range []request.Reason{
		request.ReasonNoTarget, request.ReasonOverloaded, request.ReasonOverLimit, request.ReasonDeadline, request.ReasonZoneOut,
		request.ReasonUnknownService, request.ReasonUnknownCustomer, request.ReasonNotPermitted, request.ReasonNoQuorum,
		request.ReasonDuplicateExpired, request.ReasonKeyConflict, request.ReasonDraining, request.ReasonBadRequest,
		request.ReasonCancelled, request.ReasonTooLarge, request.ReasonTargetFailed, request.ReasonLinkLost, request.ReasonDamaged,
	} {
		if !strings.Contains(page, "`"+string(reason)+"`") {
			t.Errorf("reason %s is not on the page", reason)
		}
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
