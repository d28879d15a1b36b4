package telemetry

import "go.uber.org/zap"

// Telemetry holds the logger, the metrics and the tracer of a duty. Log must be
// set; Metrics and Tracer may be nil.
type Telemetry struct {
	Log     *zap.Logger
	Metrics *Metrics
	Tracer  *Tracer
}
