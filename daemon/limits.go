package daemon

import (
	"math"
	"syscall"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/httpduty"
	"github.com/ibispier/ibispier/settings"
	"github.com/ibispier/ibispier/telemetry"
)

// newLimits returns the limits on what clients hold in the process. It completes the
// settings with the limit of descriptors that the system has set.
func newLimits(s *settings.Settings, t telemetry.Telemetry) *httpduty.Limits {
	if system := systemDescriptors(); system > 0 && (s.Limits.Descriptors == 0 || system < s.Limits.Descriptors) {
		s.Limits.Descriptors = system
	}
	b := s.Bounds()
	t.Log.Info("client limits", zap.Int64("body_bytes", b.BodyBytes), zap.Int("caller_connections", b.Callers.Connections),
		zap.Int("other_connections", b.Others.Connections), zap.Int("secondary_connections", b.Secondary.Connections),
		zap.Int("caller_receive_bytes", b.Callers.Socket.ReceiveBytes), zap.Int("other_receive_bytes", b.Others.Socket.ReceiveBytes),
		zap.Int("handshakes", b.Handshakes), zap.Int("descriptors", s.Limits.Descriptors))
	return httpduty.NewLimits(httpduty.LimitOptions{BodyBytes: b.BodyBytes, Window: s.Limits.BodyWindow, Telemetry: t})
}

// systemDescriptors returns how many descriptors the system lets the process open, or 0
// if that is unknown.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
