package core

import (
	"context"
	"errors"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/replica"
)

const (
	// membersEvery is how often the leader looks for voters to retire.
	membersEvery = 500 * time.Millisecond
	// silentForRetirement is how long a voter is silent before it is removed.
	// It is above a restart, and below the time after which the platform may
	// take the next host.
	silentForRetirement = 3 * time.Second
	// joinRemembered is how long a host that could not join counts as waiting.
	joinRemembered = 2 * time.Second
)

// retirement decides which voter is removed. A voter that is gone for good
// would otherwise count against the quorum for ever.
type retirement struct {
	// silentSince holds since when voters are silent.
	silentSince map[string]time.Time
	// joining is when a new host last could not join.
	joining time.Time
}

// observe notes which voters are silent now.
func (r *retirement) observe(silent []string, now time.Time) {
	next := map[string]time.Time{}
	for _, id := range silent {
		if since, ok := r.silentSince[id]; ok {
			next[id] = since
		} else {
			next[id] = now
		}
	}
	r.silentSince = next
}

// choose returns the voter to remove, or "". A silent voter is removed only if
// another host takes its place: one that waits to join, or one that has joined
// already, so that the number of voters is even. The group then bears the loss
// of as many voters as before.
func (r *retirement) choose(members []replica.Member, now time.Time) string {
	voters, longest := 0, ""
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		since, silent := r.silentSince[m.ID]
		if silent && now.Sub(since) >= silentForRetirement && (longest == "" || since.Before(r.silentSince[longest])) {
			longest = m.ID
		}
	}
	waiting := !r.joining.IsZero() && now.Sub(r.joining) < joinRemembered
	if waiting || voters%2 == 0 {
		return longest
	}
	return ""
}

// membersLoop retires voters while this host leads.
func (c *Core) membersLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(membersEvery):
		}
		if _, err := c.leaderHere(); err != nil {
			continue
		}
		silent, err := c.replica.Silent(ctx)
		if err != nil {
			c.cfg.Log.Warn().Err(err).Msg("silent voters not known")
			continue
		}
		now := time.Now()
		c.mu.Lock()
		c.retirement.observe(silent, now)
		id := c.retirement.choose(c.replica.Status().Members, now)
		c.mu.Unlock()
		if id == "" {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		err = c.replica.RemoveReplica(callCtx, id)
		cancel()
		c.cfg.Log.Info().Str("replica", id).AnErr("refused", err).Msg("silent voter retired")
	}
}

// noteWaiting remembers that a host could not join for a silent voter.
func (c *Core) noteWaiting(err error) {
	var precondition *fault.Precondition
	if !errors.As(err, &precondition) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retirement.joining = time.Now()
}

// joinLoop asks the leader to make this replica a member while it is none, or
// may have been removed while it was cut off: it hears of no leader.
func (c *Core) joinLoop(ctx context.Context) {
	led := time.Now()
	for {
		s := c.replica.Status()
		if s.Leader != "" {
			led = time.Now()
		}
		if !c.member(s) || time.Since(led) > silentForRetirement {
			c.join(ctx, s)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinEvery):
		}
	}
}

// Join implements link.Handler. A host has one replica, so a new identity of
// a member proves that its former one is lost.
func (c *Core) Join(ctx context.Context, r *link.JoinRequest) (*link.Answer, error) {
	if _, err := c.leaderHere(); err != nil {
		return c.answerOf(err), nil
	}
	for _, m := range c.replica.Status().Members {
		if m.ID == r.ID {
			return &link.Answer{Code: link.Done}, nil
		}
		if m.Host != r.Host {
			continue
		}
		if err := c.replica.RemoveReplica(ctx, m.ID); err != nil {
			c.cfg.Log.Warn().Err(err).Str("replica", m.ID).Msg("former replica not removed")
			return &link.Answer{Code: link.NotReady, Reason: err.Error()}, nil
		}
		c.cfg.Log.Info().Str("replica", m.ID).Str("successor", r.ID).Msg("former replica removed")
	}
	if err := c.replica.AddReplica(ctx, replica.Member{ID: r.ID, Host: r.Host}); err != nil {
		c.noteWaiting(err)
		c.cfg.Log.Warn().Err(err).Str("replica", r.ID).Msg("replica not added")
		return &link.Answer{Code: link.NotReady, Reason: err.Error()}, nil
	}
	c.cfg.Log.Info().Str("replica", r.ID).Msg("replica added")
	return &link.Answer{Code: link.Done}, nil
}
