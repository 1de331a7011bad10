package core

import (
	"context"

	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

// HandleAnnouncement records an announcement of a target. If the target is draining,
// any host forwards the announcement to the leader, as it does with orders of
// operators, since the target waits for a confirmation before it stops. One that changes
// nothing is taken by any host in contact with the leader, and passed on. Others are only
// taken by the leader; targets repeat them until they reach it. Errors are those of
// localLeader, *fault.LimitExceeded and *fault.ProposalUnknown.
func (c *Core) HandleAnnouncement(ctx context.Context, a *work.Announcement) error {
	if c.takeHeartbeat(a) {
		return nil
	}
	err := c.announceLocally(ctx, a)
	if !a.Target.Draining || !notServing(err) {
		return err
	}
	err = c.forward(ctx, "draining", a.Target.Key(),
		func(ctx context.Context) error { return c.announceLocally(ctx, a) },
		func(ctx context.Context, to *link.Client) (*link.Answer, error) { return to.Announce(ctx, a) })
	if err != nil && c.stateMachine.IsLeaving(a.Target.Key()) {
		c.cfg.Log.Info().Str("target", a.Target.Key()).Msg("draining is already recorded; confirmed without the leader")
		return nil
	}
	return err
}

// HandleLeave records that a target has left. Any host forwards it to the leader.
// Errors are those of HandleAnnouncement.
func (c *Core) HandleLeave(ctx context.Context, target string) error {
	err := c.leaveLocally(ctx, target)
	if !notServing(err) {
		return err
	}
	return c.forward(ctx, "leave", target,
		func(ctx context.Context) error { return c.leaveLocally(ctx, target) },
		func(ctx context.Context, to *link.Client) (*link.Answer, error) {
			return to.Leave(ctx, &link.LeaveRequest{Target: target})
		})
}

// takeHeartbeat takes an announcement that changes nothing, while another host leads.
func (c *Core) takeHeartbeat(a *work.Announcement) bool {
	return c.remoteLeader() != "" && c.stateMachine.HoldsReady(&a.Target) &&
		c.worker.TakeHeartbeat(leader.Heartbeat{Target: a.Target.Key(), Sequence: a.Sequence, ClockMS: a.ClockMS})
}

// AnnounceHost returns the host at which a target is to announce itself from now on, ""
// to leave it as it is. Only the leader assigns hosts.
func (c *Core) AnnounceHost(target string) string {
	c.mu.Lock()
	hub := c.hub
	c.mu.Unlock()
	if _, err := c.localLeader(); err != nil || hub == nil {
		return ""
	}
	if host := hub.HostFor(target); host != "" {
		return host
	}
	return c.cfg.Host
}

func (c *Core) announceLocally(ctx context.Context, a *work.Announcement) error {
	l, err := c.localLeader()
	if err != nil {
		return err
	}
	return l.Announce(ctx, a)
}

func (c *Core) leaveLocally(ctx context.Context, target string) error {
	l, err := c.localLeader()
	if err != nil {
		return err
	}
	return l.Leave(ctx, target)
}

// Announce implements link.Handler.
func (c *Core) Announce(ctx context.Context, a *work.Announcement) (*link.Answer, error) {
	return c.resultAnswer(c.announceLocally(ctx, a)), nil
}

// Leave implements link.Handler.
func (c *Core) Leave(ctx context.Context, r *link.LeaveRequest) (*link.Answer, error) {
	return c.resultAnswer(c.leaveLocally(ctx, r.Target)), nil
}
