package httpduty

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a body that is read without a reservation, a body inside the limits
// that is refused, and a refusal that does not tell the caller to come back.
func TestBodiesAreAdmittedBeforeTheyAreRead(t *testing.T) {
	const limit = 40 << 10
	limits := NewLimits(LimitOptions{BodyBytes: 64 << 10, Window: time.Minute})
	handled := 0
	s, err := New("127.0.0.1:0", Options{MaxBodyBytes: limit, Limits: limits, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled++
		data, err := ReadBody(r, limit)
		if err != nil {
			WriteBodyError(w, err)
			return
		}
		_, _ = w.Write(data)
	})})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	defer func() { cancel(); <-done }()
	post := func(size int, chunked bool) (int, string) {
		var body io.Reader = strings.NewReader(strings.Repeat("x", size))
		if chunked {
			body = io.MultiReader(body) // hides the length
		}
		response, err := http.Post("http://"+s.Addr(), "text/plain", body)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		if response.StatusCode == http.StatusOK && len(data) != size {
			t.Fatalf("chunked=%t: read %d bytes of %d", chunked, len(data), size)
		}
		return response.StatusCode, response.Header.Get("Retry-After")
	}
	for _, chunked := range []bool{false, true} {
		for size, want := range map[int]int{1: 200, 16 << 10: 200, 33 << 10: 200, limit: 200, limit + 1: 413} {
			if status, _ := post(size, chunked); status != want {
				t.Errorf("chunked=%t size=%d: status %d, want %d", chunked, size, status, want)
			}
		}
	}
	if limits.reserved() != 0 {
		t.Errorf("%d bytes are still reserved", limits.reserved())
	}
	held := limits.admit(&conn{server: s, address: "127.0.0.2"}, 60<<10)
	before := handled
	for size, calls := range map[int]int{limit: 0, 4 << 10: 1} { // the second one still fits
		handled = before
		status, retry := post(size, false)
		if want := map[int]int{0: 503, 1: 200}[calls]; status != want || handled-before != calls || (retry != "") != (calls == 0) {
			t.Errorf("size=%d: status %d, Retry-After %q, handled %d times", size, status, retry, handled-before)
		}
	}
	limits.release(held)
	if status, _ := post(limit, false); status != 200 {
		t.Errorf("status %d after room was given back", status)
	}
}
