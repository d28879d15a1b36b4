package telemetry

import "go.uber.org/zap"

// Telemetry is what a duty uses to be observed. The zero value observes
// nothing, but for Log, which must be set.
type Telemetry struct {
	Log     *zap.Logger
	Metrics *Metrics
	Tracer  *Tracer
}
