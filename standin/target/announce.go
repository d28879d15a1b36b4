package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	announceInterval = 300 * time.Millisecond
	announceTTL      = time.Second
	stopTimeout      = 30 * time.Second
)

// Announce tells the agent about this target until ctx ends.
func (t *Target) Announce(ctx context.Context) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		body, err := json.Marshal(map[string]any{
			"url":    "http://" + t.socket.Addr().String(),
			"ttl_ms": announceTTL.Milliseconds(),
		})
		if err != nil {
			return err
		}
		_ = t.notifyAgent(ctx, http.MethodPut, body) // a lost one is followed by the next
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (t *Target) notifyAgent(ctx context.Context, method string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+t.options.Agent+"/v1/target", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// shutDown announces the leave, which returns when no request is left, and then
// ends the server.
func (t *Target) shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if t.options.Agent != "" {
		_ = t.notifyAgent(ctx, http.MethodDelete, nil)
	}
	_ = server.Shutdown(ctx)
}
