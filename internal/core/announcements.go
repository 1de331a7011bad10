package core

import (
	"context"

	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

// HandleAnnouncement takes an announcement of a target. One that it drains is
// carried out through any host, as orders of operators are, since its target
// waits for it to end. Others are repeated until they meet the leader. Errors
// are those of leaderHere, *fault.LimitExceeded and *fault.ProposalUnknown.
func (c *Core) HandleAnnouncement(ctx context.Context, a *work.Announcement) error {
	err := c.announceHere(ctx, a)
	if !a.Target.Draining || !servedElsewhere(err) {
		return err
	}
	err = c.forward(ctx, "draining", a.Target.Key(),
		func(ctx context.Context) error { return c.announceHere(ctx, a) },
		func(ctx context.Context, leader *link.Client) (*link.Answer, error) { return leader.Announce(ctx, a) })
	if err != nil && c.machine.IsLeaving(a.Target.Key()) {
		c.cfg.Log.Info().Str("target", a.Target.Key()).Msg("draining confirmed again")
		return nil
	}
	return err
}

// HandleLeave takes the last message of a target, through any host. Errors are
// those of HandleAnnouncement.
func (c *Core) HandleLeave(ctx context.Context, target string) error {
	err := c.leaveHere(ctx, target)
	if !servedElsewhere(err) {
		return err
	}
	return c.forward(ctx, "leave", target,
		func(ctx context.Context) error { return c.leaveHere(ctx, target) },
		func(ctx context.Context, leader *link.Client) (*link.Answer, error) {
			return leader.Leave(ctx, &link.LeaveRequest{Target: target})
		})
}

// IsLeader reports whether this host leads and serves.
func (c *Core) IsLeader() bool {
	_, err := c.leaderHere()
	return err == nil
}

func (c *Core) announceHere(ctx context.Context, a *work.Announcement) error {
	l, err := c.leaderHere()
	if err != nil {
		return err
	}
	return l.Announce(ctx, a)
}

func (c *Core) leaveHere(ctx context.Context, target string) error {
	l, err := c.leaderHere()
	if err != nil {
		return err
	}
	return l.Leave(ctx, target)
}

// Announce implements link.Handler.
func (c *Core) Announce(ctx context.Context, a *work.Announcement) (*link.Answer, error) {
	return c.answerTo(c.announceHere(ctx, a)), nil
}

// Leave implements link.Handler.
func (c *Core) Leave(ctx context.Context, r *link.LeaveRequest) (*link.Answer, error) {
	return c.answerTo(c.leaveHere(ctx, r.Target)), nil
}
