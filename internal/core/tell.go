package core

import (
	"context"
	"slices"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/link"
)

const (
	// tellEvery is how often the leader tells the seeds outside the core where the
	// core is. Entry hosts wait for an answer for two seconds.
	tellEvery = 500 * time.Millisecond
	// tellTimeout bounds one such call.
	tellTimeout = 300 * time.Millisecond
)

// tellLoop tells the seeds where the core is. Entry hosts keep nothing on disk: if
// all seeds are entry hosts that have started again, nobody else could tell them.
func (c *Core) tellLoop(ctx context.Context) {
	for pause(ctx, tellEvery) {
		if _, err := c.leaderHere(); err == nil {
			c.tell(ctx)
		}
	}
}

// tell makes one round of calls.
func (c *Core) tell(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	hosts := c.memberHosts()
	m := &link.Members{Leader: c.cfg.Host, Term: c.replica.Status().Term, Hosts: hosts}
	var wg sync.WaitGroup
	for _, seed := range c.cfg.Seeds() {
		if slices.Contains(hosts, seed) {
			continue
		}
		wg.Go(func() {
			if _, err := c.clients.To(seed).Tell(ctx, m); err != nil {
				c.cfg.Log.Debug().Err(err).Str("seed", seed).Msg("seed not told")
			}
		})
	}
	wg.Wait()
}

// UpdateMembers implements link.Handler. A replica learns where the core is by itself.
func (c *Core) UpdateMembers(context.Context, *link.Members) (*link.Empty, error) {
	return &link.Empty{}, nil
}
