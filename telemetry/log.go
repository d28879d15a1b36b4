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

// Sampling of repeated events: in each tick the first lines of an event are
// logged, and then one in samplerThereafter, so that a flapping link cannot fill
// the disk.
const (
	samplerTick       = time.Second
	samplerFirst      = 20
	samplerThereafter = 100
)

// NewLogger returns a logger that writes one line of key=value pairs to w for
// each event. Each line has the key process with id, which names the process
// within the deployment. Repeated events are sampled.
func NewLogger(w io.Writer, level, id string) (*zap.Logger, error) {
	return NewLoggerWithMetrics(w, level, id, nil)
}

// NewLoggerWithMetrics is NewLogger with a counter, in m, of the lines that
// sampling leaves out.
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

// Stderr returns the writer for the logs of daemons.
func Stderr() io.Writer { return os.Stderr }
