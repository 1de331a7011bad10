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
	// membersEvery is how often the leader looks for voters to replace.
	membersEvery = 500 * time.Millisecond
	// betweenChanges separates two steps of one replacement.
	betweenChanges = 20 * time.Millisecond
	// silentForRetirement is how long a voter is silent before it is removed.
	// It is above a restart, and below the time after which the platform may
	// take the next host.
	silentForRetirement = 3 * time.Second
	// maxVoters bears the loss of two hosts, as the platform asks. More would
	// only make commits wait for more disks.
	maxVoters = 5
)

// membership decides which replicas vote. Their number is odd, so that no cut
// leaves two halves of which neither has a quorum; the other replicas stand by
// and take the place of voters that are lost.
type membership struct {
	// silentSince holds since when members are silent.
	silentSince map[string]time.Time
}

// memberChange is the next step: a member to remove, or a standby replica that
// is to vote, or neither.
type memberChange struct{ remove, promote string }

// observe notes which members are silent now.
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

// choose returns the next step. A voter that is gone for good would otherwise
// count against the quorum for ever. It is removed only if another takes its
// place: a standby replica, or one that votes already, so that the number of
// voters is even. The group then bears the loss of as many voters as before.
func (s *membership) choose(members []replica.Member, now time.Time) memberChange {
	voters, votersIn, promoting := 0, map[string]int{}, false
	var standby []replica.Member
	var lost string // the voter that has been silent for longest
	for _, m := range members {
		since, silent := s.silentSince[m.ID]
		gone := silent && now.Sub(since) >= silentForRetirement
		switch {
		case m.Standby:
			if !silent {
				standby = append(standby, m)
			}
		case m.Learner && gone:
			return memberChange{remove: m.ID} // it blocks all other changes
		case m.Learner:
			promoting = true
		default:
			voters++
			votersIn[m.DataCentre]++
			if gone && (lost == "" || since.Before(s.silentSince[lost])) {
				lost = m.ID
			}
		}
	}
	if promoting {
		return memberChange{}
	}
	if lost != "" && (len(standby) > 0 || voters%2 == 0) {
		return memberChange{remove: lost}
	}
	if voters >= wantedVoters(voters+len(standby)) {
		return memberChange{}
	}
	next := slices.MinFunc(standby, func(a, b replica.Member) int {
		return cmp.Or(cmp.Compare(votersIn[a.DataCentre], votersIn[b.DataCentre]), cmp.Compare(a.ID, b.ID))
	})
	return memberChange{promote: next.ID}
}

// wantedVoters returns how many of the replicas that answer should vote.
func wantedVoters(replicas int) int {
	n := min(maxVoters, replicas)
	return n - (1 - n%2)
}

// membersLoop replaces voters while this host leads.
func (c *Core) membersLoop(ctx context.Context) {
	pause := membersEvery
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = membersEvery
		if _, err := c.leaderHere(); err != nil {
			continue
		}
		silent, err := c.replica.SilentMembers(ctx)
		if err != nil {
			c.cfg.Log.Warn().Err(err).Msg("silent members not known")
			continue
		}
		now := time.Now()
		c.membership.observe(silent, now)
		change := c.membership.choose(c.replica.Status().Members, now)
		if change != (memberChange{}) && c.changeMembers(ctx, change) {
			pause = betweenChanges
		}
	}
}

// changeMembers carries out one step and reports whether it was done.
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

// Join implements link.Handler. The new replica stands by until it is needed as
// a voter. A host has one replica, so a new identity of a member proves that
// its former one is lost.
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
	if err := c.replica.AddReplica(ctx, replica.Member{ID: r.ID, Host: r.Host, DataCentre: r.DataCentre, Standby: true}); err != nil {
		c.cfg.Log.Warn().Err(err).Str("replica", r.ID).Msg("replica not added")
		return &link.Answer{Code: link.NotReady, Reason: err.Error()}, nil
	}
	c.cfg.Log.Info().Str("replica", r.ID).Msg("replica added")
	return &link.Answer{Code: link.Done}, nil
}
