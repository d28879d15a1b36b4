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

// Announce is the duty that registers the target with its agent until ctx ends. It
// repeats the announcement before the previous one expires.
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
		_ = t.notifyAgent(ctx, http.MethodPut, body) // the next announcement makes up for a lost one
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

// shutDown deregisters the target and then shuts the server down. The agent answers
// the deregistration when no request is left.
func (t *Target) shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if t.options.Agent != "" {
		_ = t.notifyAgent(ctx, http.MethodDelete, nil)
	}
	_ = server.Shutdown(ctx)
}
