package core

import (
	"cmp"
	"context"
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/replica"
)

const (
	// memberCheckInterval is how often the leader checks for voters to replace.
	memberCheckInterval = 500 * time.Millisecond
	// memberChangeDelay separates two consecutive membership changes.
	memberChangeDelay = 20 * time.Millisecond
	// silentBeforeRemoval is how long a voter must be silent before it is removed.
	// It is longer than a restart, and shorter than the time after which the
	// platform may take down the next host.
	silentBeforeRemoval = 3 * time.Second
	// maxVoters tolerates the loss of two hosts, as the platform requires. More
	// voters would only make commits wait for more disks.
	maxVoters = 5
)

// membership decides which replicas vote. Their number is odd, so that no network
// partition leaves two halves without a quorum; the other replicas are on standby
// and replace voters that are lost.
type membership struct {
	// silentSince is the time since which each silent member has not been heard from.
	silentSince map[string]time.Time
}

// memberChange is one membership change: a member to remove, a standby replica to
// promote to a voter, or neither.
type memberChange struct{ remove, promote string }

// observe records which members are silent now.
func (s *membership) observe(silent []string, now time.Time) {
	next := map[string]time.Time{}
	for _, id := range silent {
		if since, ok := s.silentSince[id]; ok {
			next[id] = since
		} else {
			next[id] = now
		}
	}
	s.silentSince = next
}

// nextChange returns the next membership change. A voter that is permanently lost
// would count against the quorum permanently. It is removed only if a standby replica
// can replace it, or if the number of voters is even: without it, the group then
// tolerates the loss of as many voters as before.
func (s *membership) nextChange(members []replica.Member, now time.Time) memberChange {
	voters, votersIn, promoting := 0, map[string]int{}, false
	var standby []replica.Member
	var longestSilent string // the overdue voter that has been silent for longest
	for _, m := range members {
		since, silent := s.silentSince[m.ID]
		overdue := silent && now.Sub(since) >= silentBeforeRemoval
		switch {
		case m.Standby:
			if !silent {
				standby = append(standby, m)
			}
		case m.Learner && overdue:
			return memberChange{remove: m.ID} // a pending promotion blocks all other changes
		case m.Learner:
			promoting = true
		default:
			voters++
			votersIn[m.DataCentre]++
			if overdue && (longestSilent == "" || since.Before(s.silentSince[longestSilent])) {
				longestSilent = m.ID
			}
		}
	}
	if promoting {
		return memberChange{}
	}
	if longestSilent != "" && (len(standby) > 0 || voters%2 == 0) {
		return memberChange{remove: longestSilent}
	}
	if voters >= desiredVoters(voters+len(standby)) {
		return memberChange{}
	}
	next := slices.MinFunc(standby, func(a, b replica.Member) int {
		return cmp.Or(cmp.Compare(votersIn[a.DataCentre], votersIn[b.DataCentre]), cmp.Compare(a.ID, b.ID))
	})
	return memberChange{promote: next.ID}
}

// desiredVoters returns how many of the given number of replicas should vote: the
// largest odd number up to that number and maxVoters.
func desiredVoters(replicas int) int {
	n := min(maxVoters, replicas)
	return n - (1 - n%2)
}

// membersLoop replaces voters while this host leads.
func (c *Core) membersLoop(ctx context.Context) {
	pause := memberCheckInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = memberCheckInterval
		if _, err := c.localLeader(); err != nil {
			continue
		}
		silent, err := c.replica.SilentMembers(ctx)
		if err != nil {
			c.cfg.Log.Warn().Err(err).Msg("cannot determine silent members")
			continue
		}
		now := time.Now()
		c.membership.observe(silent, now)
		change := c.membership.nextChange(c.replica.Status().Members, now)
		if change != (memberChange{}) && c.changeMembers(ctx, change) {
			pause = memberChangeDelay
		}
	}
}

// changeMembers applies one membership change and reports whether it succeeded.
func (c *Core) changeMembers(ctx context.Context, change memberChange) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if change.remove != "" {
		err := c.replica.RemoveReplica(ctx, change.remove)
		c.cfg.Log.Info().Str("replica", change.remove).AnErr("refused", err).Msg("silent member removed")
		return err == nil
	}
	err := c.replica.PromoteReplica(ctx, change.promote)
	c.cfg.Log.Info().Str("replica", change.promote).AnErr("refused", err).Msg("standby replica is to vote")
	return err == nil
}

// joinLoop asks the leader to add this replica while it is not a member. It also
// asks if no leader has been known for a while, since the replica may have been
// removed during a network partition.
func (c *Core) joinLoop(ctx context.Context) {
	leaderSeen := time.Now()
	for {
		s := c.replica.Status()
		if s.Leader != "" {
			leaderSeen = time.Now()
		}
		if !c.isMember(s) || time.Since(leaderSeen) > silentBeforeRemoval {
			c.join(ctx, s)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinInterval):
		}
	}
}

// Join implements link.Handler. The new replica is on standby until it is needed as
// a voter. A host has one replica, so a new replica id from the host of a member
// proves that the former replica is lost.
func (c *Core) Join(ctx context.Context, r *link.JoinRequest) (*link.Answer, error) {
	if _, err := c.localLeader(); err != nil {
		return c.errorAnswer(err), nil
	}
	for _, m := range c.replica.Status().Members {
		if m.ID == r.ID {
			return &link.Answer{Code: link.Done}, nil
		}
		if m.Host != r.Host {
			continue
		}
		if err := c.replica.RemoveReplica(ctx, m.ID); err != nil {
			c.cfg.Log.Warn().Err(err).Str("replica", m.ID).Msg("cannot remove former replica")
			return &link.Answer{Code: link.NotReady, Reason: err.Error()}, nil
		}
		c.cfg.Log.Info().Str("replica", m.ID).Str("successor", r.ID).Msg("former replica removed")
	}
	if err := c.replica.AddReplica(ctx, replica.Member{ID: r.ID, Host: r.Host, DataCentre: r.DataCentre, Standby: true}); err != nil {
		c.cfg.Log.Warn().Err(err).Str("replica", r.ID).Msg("cannot add replica")
		return &link.Answer{Code: link.NotReady, Reason: err.Error()}, nil
	}
	c.cfg.Log.Info().Str("replica", r.ID).Msg("replica added")
	return &link.Answer{Code: link.Done}, nil
}
