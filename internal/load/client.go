// Package load sends requests to entry hosts as callers do, and measures the
// answers. It is the tool for experiments against a running region.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"agatehaven.dev/agatehaven/internal/caller"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/httpapi"
)

// maxBody limits the size of a response. It leaves ample space for an answer
// of 256 KiB in base64 with the other fields.
const maxBody = 1 << 20

// answerMargin is how much longer than the requested wait a response may take.
const answerMargin = 10 * time.Second

// Client calls the API for callers of several entry hosts.
type Client struct {
	entries []string
	http    *http.Client
}

// NewClient returns a client for the given IP:port addresses.
func NewClient(entries []string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &Client{entries: entries, http: &http.Client{Transport: transport}}
}

// Entry returns the address of the n-th entry host, counting round-robin.
func (c *Client) Entry(n int) string { return c.entries[n%len(c.entries)] }

// Ticket asks an entry host for a ticket key.
func (c *Client) Ticket(ctx context.Context, entry string) (string, error) {
	var ticket caller.Ticket
	_, err := c.post(ctx, entry, "/v1/tickets", "", nil, answerMargin, &ticket)
	return ticket.Key, err
}

// Send submits a request under an idempotency key and returns the response and
// its HTTP status. The error is a *RefusedError if the entry host answered with
// an error.
func (c *Client) Send(ctx context.Context, entry, key string, body caller.Body) (caller.Response, int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return caller.Response{}, 0, err
	}
	var response caller.Response
	limit := time.Duration(body.WaitMS)*time.Millisecond + answerMargin
	status, err := c.post(ctx, entry, "/v1/requests", key, data, limit, &response)
	return response, status, err
}

func (c *Client) post(ctx context.Context, entry, path, key string, body []byte, limit time.Duration, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return 0, &fault.Invalid{Field: "entry", Reason: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, &fault.Unavailable{What: "entry host " + entry, Reason: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return response.StatusCode, &fault.Unavailable{What: "entry host " + entry, Reason: err.Error()}
	}
	if response.StatusCode >= http.StatusBadRequest && !strings.Contains(string(data), `"state"`) {
		refused := &RefusedError{Status: response.StatusCode}
		if json.Unmarshal(data, &refused.Failure) != nil || refused.Failure.Code == "" {
			refused.Failure = httpapi.Failure{Code: fault.CodeInternal, Message: string(data), Effect: httpapi.EffectUnknown}
		}
		return response.StatusCode, refused
	}
	if err := json.Unmarshal(data, out); err != nil {
		return response.StatusCode, &fault.Corrupt{What: "response of " + entry, Reason: err.Error()}
	}
	return response.StatusCode, nil
}
