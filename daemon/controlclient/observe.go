package controlclient

import "github.com/ibispier/ibispier/telemetry"

// Observe exports the metrics of the client's rings. It must be called before Run.
func (c *Client) Observe(t telemetry.Telemetry) {
	t.Metrics.RegisterRing(c.duty.calls.Stats)
	t.Metrics.RegisterRing(c.duty.events.Stats)
}
