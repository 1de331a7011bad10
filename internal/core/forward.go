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
	// forwardTimeout bounds a call that another host carries out. Operators and
	// targets ask the next host after a second without an answer.
	forwardTimeout = 800 * time.Millisecond
	// forwardCallTimeout bounds one call to the leader, so that one that a frozen
	// leader took is repeated with its successor.
	forwardCallTimeout = 400 * time.Millisecond
	// forwardPause separates the tries of a call. An election takes a second.
	forwardPause = 50 * time.Millisecond
	// outagePatience is how long after the loss of a leader calls still wait for
	// the next one. Later ones are refused at once, so that the caller asks a
	// host that is not cut off.
	outagePatience = 2 * time.Second
)

// servedElsewhere reports whether a call ended with err since this host does
// not lead, or does not do so yet.
func servedElsewhere(err error) bool {
	var notLeader *fault.NotLeader
	var unavailable *fault.Unavailable
	return errors.As(err, &notLeader) || errors.As(err, &unavailable)
}

// forward carries out a call here or at the leader, whichever leads first. It
// repeats the call until its effect is known: all such calls are idempotent.
func (c *Core) forward(ctx context.Context, kind, subject string,
	here func(ctx context.Context) error, there func(ctx context.Context, leader *link.Client) (*link.Answer, error),
) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	started := time.Now()
	tries, host := 0, ""
	var err error
	for {
		tries++
		if host = c.knownLeader(); host != "" {
			err = c.callLeader(ctx, host, there)
		} else {
			err = here(ctx)
		}
		if !mayRepeat(err) || c.outageLasts() || !pause(ctx, forwardPause) {
			break
		}
	}
	c.cfg.Log.Info().Str("kind", kind).Str("subject", subject).Str("leader", host).Int("tries", tries).
		Dur("took", time.Since(started)).AnErr("error", err).Msg("call forwarded")
	var notLeader *fault.NotLeader
	if errors.As(err, &notLeader) {
		// A redirect would lead to a host that did not serve.
		return &fault.Unavailable{What: "leader", Reason: "no host leads"}
	}
	return err
}

// noteLeader keeps since when no leader is known.
func (c *Core) noteLeader(s replica.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case s.Leader != "":
		c.leaderless = time.Time{}
	case c.leaderless.IsZero():
		c.leaderless = time.Now()
	}
}

// outageLasts reports whether no leader has been known for long.
func (c *Core) outageLasts() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leaderless.IsZero() && time.Since(c.leaderless) > outagePatience
}

// callLeader makes a call to the leader.
func (c *Core) callLeader(ctx context.Context, host string, f func(ctx context.Context, leader *link.Client) (*link.Answer, error)) error {
	ctx, cancel := context.WithTimeout(ctx, forwardCallTimeout)
	defer cancel()
	a, err := f(ctx, c.clients.To(host))
	if err != nil {
		return err
	}
	return a.Err(group)
}

// mayRepeat reports whether a call that ended with err may yet succeed.
func mayRepeat(err error) bool {
	var invalid *fault.Invalid
	return err != nil && !errors.As(err, &invalid)
}

// pause waits, and reports whether ctx is still running.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// answerTo returns the answer to a call that ended with err.
func (c *Core) answerTo(err error) *link.Answer {
	if err == nil {
		return &link.Answer{Code: link.Done}
	}
	return c.answerOf(err)
}
