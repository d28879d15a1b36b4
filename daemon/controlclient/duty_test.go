package controlclient

import (
	"context"
	"testing"
	"time"

	"github.com/ibispier/ibispier/settings"
)

// Guards against a client that never links the members that reloaded settings name,
// or that links a member twice.
func TestNamedMembersAreLinkedOnce(t *testing.T) {
	linked := make(chan string, 8)
	d := newDuty([]settings.Member{{ID: "a"}})
	d.linkMember = func(_ context.Context, id string) error {
		linked <- id
		return nil
	}
	d.membersRequestedAt = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	c := &Client{duty: d}
	for _, ids := range [][]string{{"a", "b"}, {"b", "c"}} {
		if err := c.EnsureMembers(ctx, ids); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{"b", "c"} {
		select {
		case got := <-linked:
			if got != want {
				t.Errorf("linked %s, want %s", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%s was not linked", want)
		}
	}
	cancel()
	if err := <-done; err != nil || len(linked) > 0 {
		t.Errorf("%d further links, error %v", len(linked), err)
	}
}
