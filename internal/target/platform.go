package target

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
)

// platformTimeout bounds a call to the platform.
const platformTimeout = 5 * time.Second

// PlatformConfig configures the HTTP client of the platform.
type PlatformConfig struct {
	// Address is "IP:port" of the platform.
	Address string
	Clock   clock.Clock
}

// NewHTTPPlatform returns the client of the platform's HTTP protocol.
func NewHTTPPlatform(cfg PlatformConfig) Platform {
	return &httpPlatform{
		address: cfg.Address,
		client:  newHTTPClient(HTTPConfig{Clock: cfg.Clock, StartTimeout: platformTimeout}),
	}
}

type httpPlatform struct {
	address string
	client  *httpClient
}

// Reboot implements Platform. After any error the caller may repeat it with
// the same order id.
func (p *httpPlatform) Reboot(ctx context.Context, host, orderID string) error {
	body, err := json.Marshal(RebootMessage{OrderID: orderID})
	if err != nil {
		return &NotSentError{Address: p.address, Reason: err.Error()}
	}
	resp, err := p.client.post(ctx, p.address, "/v1/hosts/"+url.PathEscape(host)+"/reboot", body)
	if err != nil {
		return err
	}
	if resp.status != http.StatusAccepted && resp.status != http.StatusOK {
		return &StatusError{Address: p.address, Status: resp.status, Text: resp.reason()}
	}
	return nil
}
