package core

import (
	"context"
	"slices"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/link"
)

const (
	// publishInterval is how often the leader sends the member list to the seeds outside
	// the core. Requests at entry hosts wait up to two seconds for a leader.
	publishInterval = 500 * time.Millisecond
	// publishTimeout bounds one round of these calls.
	publishTimeout = 300 * time.Millisecond
)

// publishMembersLoop sends the member list to the seeds while this host leads. Entry
// hosts keep nothing on disk: if all seeds are entry hosts that have restarted, no other
// host could tell them where the core is.
func (c *Core) publishMembersLoop(ctx context.Context) {
	for sleep(ctx, publishInterval) {
		if _, err := c.localLeader(); err == nil {
			c.publishMembers(ctx)
		}
	}
}

// publishMembers sends the member list to all seeds that are not members.
func (c *Core) publishMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	hosts := c.memberHosts()
	m := &link.Members{Leader: c.cfg.Host, Term: c.replica.Status().Term, Hosts: hosts}
	var wg sync.WaitGroup
	for _, seed := range c.cfg.Seeds() {
		if slices.Contains(hosts, seed) {
			continue
		}
		wg.Go(func() {
			if _, err := c.clients.To(seed).UpdateMembers(ctx, m); err != nil {
				c.cfg.Log.Debug().Err(err).Str("seed", seed).Msg("cannot send member list to seed")
			}
		})
	}
	wg.Wait()
}

// UpdateMembers implements link.Handler. It is a no-op: a replica knows the members from
// its own state.
func (c *Core) UpdateMembers(context.Context, *link.Members) (*link.Empty, error) {
	return &link.Empty{}, nil
}
