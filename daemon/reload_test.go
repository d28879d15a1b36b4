package daemon

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/settings"
)

// recordedLinks records the members that are to be linked.
type recordedLinks struct{ ids chan []string }

func (l recordedLinks) EnsureMembers(_ context.Context, ids []string) error {
	l.ids <- ids
	return nil
}

// Guards against a process that goes on with seeds which are all gone: a changed
// settings file was only logged, so that a process whose control members were
// replaced one by one found none of the new ones.
func TestReloadedSeedsAreLinked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	write := func(seeds string) *settings.Settings {
		text := fmt.Sprintf("[daemon]\nid = 10.0.0.9\nroles = agent\nzone = z\n[cluster]\nport = 7100\nseeds = %s\n[jobs]\nenabled = true\n[platform]\ncontrol = 127.0.0.1:1\ntarget = 127.0.0.1:2\n", seeds)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := settings.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	first := write("10.0.0.1:8000,10.0.0.2:8000")
	links := recordedLinks{make(chan []string, 1)}
	d := &Daemon{log: zap.NewNop(), links: []memberLinks{links}}
	signals := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	r := NewReloader(path, first, signals, zap.NewNop(), d.ApplySettings)
	go func() { done <- r.Run(ctx) }()
	write("10.0.0.5:8000,10.0.0.6:8000")
	signals <- os.Interrupt
	select {
	case ids := <-links.ids:
		if want := []string{"10.0.0.5", "10.0.0.6"}; !slices.Equal(ids, want) {
			t.Errorf("linked %v, want %v", ids, want)
		}
	case <-time.After(5 * time.Second):
		t.Error("the new seeds are not linked")
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
