package controlclient

import "github.com/ibispier/ibispier/telemetry"

// SetTelemetry registers the metrics of the rings. It must be called before Run.
func (c *Client) SetTelemetry(t telemetry.Telemetry) {
	t.Metrics.RegisterRing(c.duty.calls.Stats)
	t.Metrics.RegisterRing(c.duty.events.Stats)
}
