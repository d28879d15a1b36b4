package tasks

import "github.com/ibispier/ibispier/telemetry"

// SetTelemetry registers the metrics of the rings. It must be called before Run.
func (d *Duty) SetTelemetry(t telemetry.Telemetry) {
	t.Metrics.RegisterRing(d.Jobs.Stats)
	t.Metrics.RegisterRing(d.Results.Stats)
	t.Metrics.RegisterRing(d.events.Stats)
}
