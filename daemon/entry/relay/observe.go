package relay

import "github.com/ibispier/ibispier/telemetry"

// SetTelemetry registers the metrics of the rings. It must be called before Run.
func (d *Duty) SetTelemetry(t telemetry.Telemetry) {
	t.Metrics.RegisterRing(d.events.Stats)
	t.Metrics.RegisterRing(d.results.Stats)
}
