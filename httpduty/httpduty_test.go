package httpduty

import (
	"context"
	"net/http"
	"testing"
	"time"
)

func serves(t *testing.T, address string) bool {
	t.Helper()
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := c.Get("http://" + address)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func await(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 10 s")
		}
	}
}

// Guards against a server that no longer serves after its supervisor has
// restarted it: with a closed http.Server, Run would return at once without an
// error.
func TestServesAgainAfterARestart(t *testing.T) {
	s, err := New("127.0.0.1:0", Options{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		await(t, func() bool { return serves(t, s.Addr()) })
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a server that serves again after a planned stop.
func TestShutdownIsFinal(t *testing.T) {
	s, err := New("127.0.0.1:0", Options{Handler: http.NotFoundHandler()})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := s.Run(context.Background()); err != nil || serves(t, s.Addr()) {
		t.Fatalf("served after the shutdown: %v", err)
	}
}
