package tasks

import "github.com/ibispier/ibispier/telemetry"

// SetTelemetry registers the metrics of the rings. It must be called before Run.
func (d *Duty) SetTelemetry(t telemetry.Telemetry) {
	t.Metrics.Ring(d.Jobs.Stats)
	t.Metrics.Ring(d.Results.Stats)
	t.Metrics.Ring(d.events.Stats)
}
