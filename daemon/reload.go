package daemon

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/settings"
)

// reloadInterval is how often the modification time of the settings file is checked,
// because the file may change without a signal.
const reloadInterval = 2 * time.Second

// Reloader is the duty that watches the settings file. New seeds take effect at once;
// all other settings take effect at the next start. The log lists what changed.
type Reloader struct {
	path    string
	current *settings.Settings
	signals <-chan os.Signal
	log     *zap.Logger
	apply   func(ctx context.Context, s *settings.Settings)
	modTime time.Time // modification time of the file when it was last read
}

// NewReloader returns the duty that watches the file at path, from which s was read.
// It passes changed settings to apply.
func NewReloader(path string, s *settings.Settings, signals <-chan os.Signal, log *zap.Logger, apply func(ctx context.Context, s *settings.Settings)) *Reloader {
	r := &Reloader{path: path, current: s, signals: signals, log: log, apply: apply}
	if info, err := os.Stat(path); err == nil {
		r.modTime = info.ModTime()
	}
	return r
}

// Run reads the file on each signal and after each change until ctx ends.
func (r *Reloader) Run(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			r.reload(ctx, "signal")
		case <-ticker.C:
			info, err := os.Stat(r.path)
			if err == nil && !info.ModTime().Equal(r.modTime) {
				r.modTime = info.ModTime()
				r.reload(ctx, "file changed")
			}
		}
	}
}

// reload reads and validates the file. An invalid file leaves the settings unchanged.
func (r *Reloader) reload(ctx context.Context, trigger string) {
	s, err := settings.Load(r.path)
	if err != nil {
		r.log.Warn("settings refused", zap.String("why", trigger), zap.Error(err))
		return
	}
	changed := settings.Diff(r.current, s)
	r.current = s
	r.log.Info("settings reloaded", zap.String("why", trigger), zap.Strings("changed", changed))
	if len(changed) > 0 {
		r.apply(ctx, s)
	}
}
