// Package caller is the HTTP JSON API of callers: tickets, requests and their
// answers.
package caller

import (
	"context"
	"time"

	"agatehaven.dev/agatehaven/internal/model"
)

// Submission is a caller's request for one job run.
type Submission struct {
	Key  string
	Kind string
	Team string
	// Payload is passed to the target unchanged.
	Payload []byte
	// Deadline is how long the request may stay queued.
	Deadline time.Duration
	// Wait is how long the call waits for the outcome.
	Wait time.Duration
}

// Service is what the API needs from the daemon.
type Service interface {
	// NewTicket issues a key homed in this data centre.
	NewTicket(ctx context.Context) (string, error)
	// Submit claims the key and waits for the outcome up to s.Wait.
	Submit(ctx context.Context, s Submission) (model.Request, error)
	// Await reads a request and waits for its outcome up to wait.
	Await(ctx context.Context, key string, wait time.Duration) (model.Request, error)
	// Cancel cancels a request.
	Cancel(ctx context.Context, key string) (model.Request, error)
	// Ready returns why the process takes no new requests, or nil.
	Ready() error
}
