package frontend

import (
	"net/http/httptest"
	"testing"
)

// Guards against forwarding a path that differs from the one the caller sent,
// for example by decoding an escaped slash or question mark.
func TestTargetPath(t *testing.T) {
	for in, want := range map[string]string{
		"/v1/services/quote/":              "/",
		"/v1/services/quote/lots/1":        "/lots/1",
		"/v1/services/quote/a%2Fb/c%3Fd":   "/a%2Fb/c%3Fd",
		"/v1/services/quote/v1/services/x": "/v1/services/x",
		"/v1/services/quote/lots?x=1&y=%2": "/lots?x=1&y=%2",
		"/v1/services/q%2Fuote/lots/2?a=b": "/lots/2?a=b",
	} {
		if got := targetPath(httptest.NewRequest("GET", in, nil)); got != want {
			t.Errorf("%s: %s, want %s", in, got, want)
		}
	}
}
