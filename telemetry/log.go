// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"io"
	"os"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Error is the class of all errors of this package.
var Error = errs.Class("telemetry")

// Repeated events: each second the log gets the first lines of an event and
// then one in a hundred, so that a flapping link cannot fill the disk.
const (
	samplerTick       = time.Second
	samplerFirst      = 20
	samplerThereafter = 100
)

// NewLogger returns a logger that writes one line of key=value pairs for each
// event to w, with the process id of the deployment on each line. Repeated
// events are limited.
func NewLogger(w io.Writer, level, id string) (*zap.Logger, error) {
	return NewLoggerWithMetrics(w, level, id, nil)
}

// NewLoggerWithMetrics is NewLogger with a counter of the lines left out.
func NewLoggerWithMetrics(w io.Writer, level, id string, m *Metrics) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.MessageKey = "event"
	core := errorMessageCore{zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), parsed)}
	suppressed := m.Counter("ibispier_log_suppressed_total")
	sampled := zapcore.NewSamplerWithOptions(core, samplerTick, samplerFirst, samplerThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				suppressed.Inc(1)
			}
		}))
	return zap.New(sampled).With(zap.String("process", id)), nil
}

// Stderr is where daemons write their log.
func Stderr() io.Writer { return os.Stderr }
