package controlclient

import "github.com/ibispier/ibispier/telemetry"

// Observe sets where the rings are exported. It must be called before Run.
func (c *Client) Observe(t telemetry.Telemetry) {
	t.Metrics.Ring(c.duty.calls.Stats)
	t.Metrics.Ring(c.duty.events.Stats)
}
