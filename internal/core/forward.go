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
	// forwardTimeout bounds a forwarded call with all its attempts. Operators and
	// targets ask the next host after a second without an answer.
	forwardTimeout = 800 * time.Millisecond
	// forwardCallTimeout bounds one attempt, so that a call that a frozen leader
	// received is repeated at its successor.
	forwardCallTimeout = 400 * time.Millisecond
	// forwardRetryDelay separates the attempts. An election takes a second.
	forwardRetryDelay = 50 * time.Millisecond
	// electionWait is how long after the loss of a leader calls still wait for the
	// next one. Later calls are refused at once, so that the sender asks a host that
	// is not partitioned from the leader.
	electionWait = 2 * time.Second
)

// notServing reports whether err means that this host does not lead, or is not ready
// to lead yet.
func notServing(err error) bool {
	var notLeader *fault.NotLeader
	var unavailable *fault.Unavailable
	return errors.As(err, &notLeader) || errors.As(err, &unavailable)
}

// forward makes a call at whichever host leads, this one or another. It repeats the
// call until its outcome is known: all such calls are idempotent.
func (c *Core) forward(ctx context.Context, kind, subject string,
	local func(ctx context.Context) error, remote func(ctx context.Context, leader *link.Client) (*link.Answer, error),
) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	started := time.Now()
	tries, host := 0, ""
	var err error
	for {
		tries++
		if host = c.remoteLeader(); host != "" {
			err = c.callLeader(ctx, host, remote)
		} else {
			err = local(ctx)
		}
		if !retryable(err) || c.leaderlessTooLong() || !sleep(ctx, forwardRetryDelay) {
			break
		}
	}
	c.cfg.Log.Info().Str("kind", kind).Str("subject", subject).Str("leader", host).Int("tries", tries).
		Dur("took", time.Since(started)).AnErr("error", err).Msg("call forwarded")
	var notLeader *fault.NotLeader
	if errors.As(err, &notLeader) {
		// A redirect would name a host that has just failed to serve the call.
		return &fault.Unavailable{What: "leader", Reason: "no host leads"}
	}
	return err
}

// trackLeader updates the time since which no leader has been known.
func (c *Core) trackLeader(s replica.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case s.Leader != "":
		c.leaderless = time.Time{}
	case c.leaderless.IsZero():
		c.leaderless = time.Now()
	}
}

// leaderlessTooLong reports whether no leader has been known for electionWait.
func (c *Core) leaderlessTooLong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leaderless.IsZero() && time.Since(c.leaderless) > electionWait
}

// callLeader makes one attempt at the leader's host.
func (c *Core) callLeader(ctx context.Context, host string, f func(ctx context.Context, leader *link.Client) (*link.Answer, error)) error {
	ctx, cancel := context.WithTimeout(ctx, forwardCallTimeout)
	defer cancel()
	a, err := f(ctx, c.clients.To(host))
	if err != nil {
		return err
	}
	return a.Err(group)
}

// retryable reports whether a call that failed with err may succeed when repeated.
func retryable(err error) bool {
	var invalid *fault.Invalid
	return err != nil && !errors.As(err, &invalid)
}

// sleep waits for d and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// resultAnswer returns the answer to a call that ended with err, which may be nil.
func (c *Core) resultAnswer(err error) *link.Answer {
	if err == nil {
		return &link.Answer{Code: link.Done}
	}
	return c.errorAnswer(err)
}
