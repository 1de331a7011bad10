package core

import (
	"context"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/relay"
)

// newWorker returns the worker that makes calls to targets while another host leads.
func (c *Core) newWorker() *relay.Worker {
	return relay.NewWorker(relay.WorkerConfig{
		Host: c.cfg.Host, Targets: c.cfg.Targets, Leader: c.remoteLeader, Clock: clock.System{}, Log: c.cfg.Log,
		Exchange: func(ctx context.Context, host string, r *relay.Request) (*relay.Answer, error) {
			return c.clients.To(host).Exchange(ctx, r)
		},
	})
}

// Exchange implements link.Handler.
func (c *Core) Exchange(ctx context.Context, r *relay.Request) (*relay.Answer, error) {
	c.mu.Lock()
	hub := c.hub
	c.mu.Unlock()
	if hub == nil {
		return &relay.Answer{}, nil
	}
	return hub.Exchange(ctx, r), nil
}
