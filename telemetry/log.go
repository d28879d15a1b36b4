// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"io"
	"os"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Error is the class of all errors of this package.
var Error = errs.Class("telemetry")

// NewLogger returns a logger that writes one line of key=value pairs for each
// event to w, with the process id of the deployment on each line.
func NewLogger(w io.Writer, level, id string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.MessageKey = "event"
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core).With(zap.String("process", id)), nil
}

// Stderr is where daemons write their log.
func Stderr() io.Writer { return os.Stderr }
